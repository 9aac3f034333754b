//! Nodes agree on the lifetimes of upstreams, whatever the upstreams' clocks show.

mod support;

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use shallottide_fleet::ClusterView;
use shallottide_fleet::held_back_entries::LATE_ENTRY_TIME;
use shallottide_fleet::upstream::Upstream;
use shallottide_fleet::view::{Change, LAPSE_GRACE};
use shallottide_types::cases;
use shallottide_types::id::{StoreEra, StoreIndex, UpstreamId};
use support::{id, plain_upstream, sim_seeds};

const SECOND: Duration = Duration::from_secs(1);

fn lifetime(born: u64, heartbeat_seq: u64) -> Upstream {
    Upstream {
        born,
        heartbeat_seq,
        ..plain_upstream("a", "booking", "zone-a")
    }
}

fn entry(upstream: &Upstream) -> Change {
    Change::Upstream(upstream.id.clone(), Some(Box::new(upstream.clone())))
}

fn born(view: &ClusterView) -> Option<u64> {
    let known = view.upstreams.get(&id("a"))?;
    Some(known.upstream.born)
}

/// A node that reads the store, and one that follows it.
struct Pair {
    reader: ClusterView,
    follower: ClusterView,
    index: u64,
    start: Instant,
}

impl Pair {
    /// Starts with a lifetime that began at 200 by its clock.
    fn start() -> Self {
        let start = Instant::now();
        let mut pair = Self {
            reader: ClusterView::default(),
            follower: ClusterView::default(),
            index: 1,
            start,
        };
        pair.reader
            .advance(StoreIndex(1), vec![entry(&lifetime(200, 1))], start);
        let snapshot = pair.reader.snapshot(Duration::ZERO, start);
        assert!(pair.follower.adopt(snapshot, start));
        pair.expire(Duration::ZERO);
        pair
    }

    /// Applies the store's changes at the reader, and what it passes on at the follower.
    fn advance(&mut self, changes: Vec<Change>, after: Duration) {
        let now = self.start + after;
        let last = self.reader.index;
        self.index += 1;
        self.reader.advance(StoreIndex(self.index), changes, now);
        let passed_on = self.reader.changes_since(last).expect("the changes");
        self.follower
            .advance(StoreIndex(self.index), passed_on, now);
        self.follower.confirm(now);
        self.expire(after);
    }

    fn expire(&mut self, after: Duration) {
        for view in [&mut self.reader, &mut self.follower] {
            view.expire(self.start + after);
            view.index_serving();
        }
    }

    fn both<T>(&self, read: impl Fn(&ClusterView) -> T) -> [T; 2] {
        [read(&self.reader), read(&self.follower)]
    }

    fn serving(&self) -> [usize; 2] {
        self.both(|view| view.serving(&id("booking"), None).len())
    }
}

/// Guards against a lifetime that is ignored for good, as its only entry comes soon after the last one
/// of the lifetime before, and by its clock before it.
#[test]
fn only_entry_of_a_lifetime_counts_in_the_end() {
    let mut pair = Pair::start();
    pair.advance(vec![entry(&lifetime(100, 1))], SECOND);
    assert_eq!(pair.both(born), [Some(200); 2]);
    pair.expire(SECOND + LATE_ENTRY_TIME);
    assert_eq!(pair.both(born), [Some(100); 2]);
}

/// Guards against a node that takes the whole view again and counts a deferred entry sooner than its
/// source does.
#[test]
fn deferred_entry_counts_at_the_same_time_everywhere() {
    let mut pair = Pair::start();
    let half = SECOND / 2;
    pair.reader.advance(
        StoreIndex(2),
        vec![entry(&lifetime(100, 1))],
        pair.start + half,
    );
    for step in 1..12 {
        let now = pair.start + half * step;
        pair.index += 10;
        pair.reader.advance(StoreIndex(pair.index), Vec::new(), now);
        let snapshot = pair.reader.snapshot(Duration::ZERO, now);
        assert!(pair.follower.adopt(snapshot, now));
        let is_over = half * step >= half + LATE_ENTRY_TIME;
        let expected = Some(if is_over { 100 } else { 200 });
        assert_eq!(pair.both(born), [expected; 2], "step {step}");
    }
}

/// Guards against requests to an upstream that leaves, while it isn't certain which lifetime is
/// over.
#[test]
fn upstream_gets_no_requests_when_either_lifetime_drains() {
    let mut pair = Pair::start();
    assert_eq!(pair.serving(), [1; 2]);
    let draining = Upstream {
        draining: true,
        ..lifetime(100, 2)
    };
    pair.advance(vec![entry(&draining)], SECOND);
    assert_eq!(pair.serving(), [0; 2]);
    // It was a late entry: the known lifetime goes on.
    pair.advance(vec![entry(&lifetime(200, 2))], SECOND * 2);
    assert_eq!(pair.serving(), [1; 2]);
    pair.expire(SECOND * 10);
    assert_eq!(pair.both(born), [Some(200); 2]);
}

#[test]
fn late_entry_of_a_replaced_lifetime_is_ignored() {
    let mut pair = Pair::start();
    pair.advance(vec![entry(&lifetime(100, 1))], SECOND * 4);
    assert_eq!(pair.both(born), [Some(100); 2]);
    pair.advance(vec![entry(&lifetime(200, 9))], SECOND * 5);
    assert_eq!(pair.both(born), [Some(100); 2]);
    // A lifetime that began later still replaces it at once.
    pair.advance(vec![entry(&lifetime(300, 1))], SECOND * 6);
    assert_eq!(pair.both(born), [Some(300); 2]);
}

/// Guards against followers that miss a later change, such as that the upstream drains, when the node
/// that they follow has taken the lifetime without an entry to pass on.
#[test]
fn change_after_a_lifetime_by_an_earlier_clock_reaches_followers() {
    let mut pair = Pair::start();
    pair.advance(vec![entry(&lifetime(100, 1))], SECOND);
    pair.reader.expire(pair.start + SECOND + LATE_ENTRY_TIME);
    assert_eq!(born(&pair.reader), Some(100));
    let draining = Upstream {
        draining: true,
        ..lifetime(100, 2)
    };
    pair.advance(vec![entry(&draining)], SECOND * 5);
    assert_eq!(pair.both(born), [Some(100); 2]);
    assert_eq!(pair.serving(), [0; 2]);
}

/// A deferred entry goes with the upstream's removal, with an unusable entry, and as part of a whole
/// view.
#[test]
fn deferred_entry_is_dropped_with_its_upstream() {
    for end in [
        Change::UpstreamRemoved(id("a")),
        Change::Upstream(id("a"), None),
    ] {
        let mut pair = Pair::start();
        pair.advance(vec![entry(&lifetime(100, 1))], SECOND);
        pair.advance(vec![end], SECOND * 2);
        pair.expire(SECOND * 9);
        assert_eq!(pair.both(born), [None; 2]);
    }
}

/// A node that knows nothing of the upstream takes what the store holds, from a peer as from the store.
#[test]
fn deferred_entry_is_part_of_a_whole_view() {
    let mut pair = Pair::start();
    pair.advance(vec![entry(&lifetime(100, 1))], SECOND);
    let now = pair.start + SECOND;
    let mut other = ClusterView::default();
    assert!(other.adopt(pair.reader.snapshot(Duration::ZERO, now), now));
    assert_eq!(born(&other), Some(100));
    // The follower knows the earlier lifetime, and defers the entry.
    let mut snapshot = pair.reader.snapshot(Duration::ZERO, now);
    snapshot.index = StoreIndex(9);
    assert!(pair.follower.adopt(snapshot, now));
    assert_eq!(born(&pair.follower), Some(200));
    pair.expire(SECOND + LATE_ENTRY_TIME);
    assert_eq!(pair.both(born), [Some(100); 2]);
}

/// A restored store lists the copy's entry, which may be an earlier lifetime's or that of a lifetime
/// whose clock was set back; the writer's next entry decides.
fn entry_of_a_restored_store(written_again: Option<u64>, expected: u64) {
    let start = Instant::now();
    let mut view = ClusterView::default();
    view.advance(StoreIndex(5), vec![entry(&lifetime(200, 1))], start);
    let restored = StoreIndex::new(StoreEra(1), 4);
    let now = start + SECOND * 60;
    view.replace(restored, vec![entry(&lifetime(100, 7))], now);
    assert_eq!(born(&view), Some(200));
    if let Some(born) = written_again {
        let again = vec![entry(&lifetime(born, 8))];
        view.advance(restored.next(), again, now + SECOND);
    }
    for step in 1..10 {
        view.expire(now + SECOND * step);
    }
    assert_eq!(born(&view), Some(expected));
}

cases! {
    entry_of_a_restored_store;
    entry_of_a_restored_store_is_replaced: Some(200), 200;
    entry_of_a_restored_store_is_written_again: Some(100), 100;
    entry_of_a_restored_store_was_written_before_it_was_listed: None, 100;
}

/// A server with a clock that jumps, and what the store holds of it.
#[derive(Debug, Clone)]
struct Server {
    upstream: Upstream,
    is_up: bool,
    clock: u64,
}

/// The store, with servers that write to it, some of their writes late.
struct Store {
    index: u64,
    held: BTreeMap<UpstreamId, Upstream>,
    events: Vec<(u64, Change)>,
    servers: Vec<Server>,
    late: Vec<(Instant, Upstream)>,
}

impl Store {
    /// Holds an entry; only more than a new heartbeat is an event.
    fn write(&mut self, upstream: &Upstream) {
        let last = self.held.insert(upstream.id.clone(), upstream.clone());
        let is_same = last.is_some_and(|last| {
            let heartbeat_seq = last.heartbeat_seq;
            last == Upstream {
                heartbeat_seq,
                ..upstream.clone()
            }
        });
        if !is_same {
            self.index += 1;
            self.events.push((self.index, entry(upstream)));
        }
    }

    fn beat(&mut self) {
        for number in 0..self.servers.len() {
            let server = &mut self.servers[number];
            if server.is_up {
                server.upstream.heartbeat_seq += 1;
                let upstream = server.upstream.clone();
                self.write(&upstream);
            }
        }
    }

    /// Lets servers crash, some with a write that comes late, start again by other clocks, or drain.
    fn disturb(&mut self, now: Instant, rng: &mut StdRng) {
        for number in 0..self.servers.len() {
            let server = &mut self.servers[number];
            match rng.random_range(0..40) {
                0 if server.is_up => {
                    server.is_up = false;
                    if rng.random() {
                        let delay = Duration::from_millis(rng.random_range(0..2_500));
                        self.late.push((now + delay, server.upstream.clone()));
                    }
                }
                1..8 if !server.is_up => {
                    server.is_up = true;
                    let jump = rng.random_range(0..6_000);
                    server.clock = (server.clock + 3_000).saturating_sub(jump).max(1);
                    server.upstream.born = server.clock;
                    server.upstream.heartbeat_seq = 0;
                    server.upstream.draining = false;
                    let upstream = server.upstream.clone();
                    self.write(&upstream);
                }
                8 if server.is_up => {
                    server.upstream.draining = true;
                    let upstream = server.upstream.clone();
                    self.write(&upstream);
                }
                9 if !server.is_up => {
                    let id = server.upstream.id.clone();
                    self.remove(&id);
                }
                _ => {}
            }
        }
    }

    fn remove(&mut self, id: &UpstreamId) {
        if self.held.remove(id).is_some() {
            self.index += 1;
            self.events
                .push((self.index, Change::UpstreamRemoved(id.clone())));
        }
    }

    /// Removes the entries of servers that are down.
    fn expire_leases(&mut self) {
        self.late.clear();
        for server in self.servers.clone() {
            if !server.is_up {
                self.remove(&server.upstream.id);
            }
        }
    }

    fn write_late(&mut self, now: Instant) {
        let (due, later) = std::mem::take(&mut self.late)
            .into_iter()
            .partition(|(at, _)| *at <= now);
        self.late = later;
        for (_, upstream) in due {
            self.write(&upstream);
        }
    }

    /// Brings a node's view up to date, as its task does.
    fn read(&self, view: &mut ClusterView, now: Instant, lists: bool) {
        if lists {
            let listing = self.held.values().map(entry).collect();
            view.replace(StoreIndex(self.index), listing, now);
            return;
        }
        let after = view.index;
        let events = self.events.iter().filter(|(at, _)| StoreIndex(*at) > after);
        let changes = events.map(|(_, change)| change.clone()).collect();
        view.advance(StoreIndex(self.index), changes, now);
    }
}

/// Nodes read the store or follow each other, in an order that changes; after a quiet time all of them
/// know what the store holds.
fn nodes_agree_with_the_store(nodes: usize, seed: u64) {
    const STEP: Duration = Duration::from_millis(200);
    const HEARTBEAT_STEPS: u32 = 6;
    let mut rng = StdRng::seed_from_u64(seed);
    let start = Instant::now();
    let servers = (0..6).map(|number| Server {
        upstream: plain_upstream(&format!("u-{number}"), "booking", "zone-a"),
        is_up: false,
        clock: 100_000,
    });
    let mut store = Store {
        index: 1,
        held: BTreeMap::new(),
        events: Vec::new(),
        servers: servers.collect(),
        late: Vec::new(),
    };
    let mut views: Vec<ClusterView> = vec![ClusterView::default(); nodes];
    let disturbed = 250;
    for step in 0..disturbed + 45 {
        let now = start + STEP * step;
        if step < disturbed {
            store.disturb(now, &mut rng);
        }
        store.write_late(now);
        if step == disturbed {
            store.expire_leases();
        }
        if step % HEARTBEAT_STEPS == 0 {
            store.beat();
        }
        store.read(&mut views[0], now, step == 0);
        for node in 1..nodes {
            let source = rng.random_range(0..node);
            let reads = rng.random_range(0..12) == 0;
            let (before, rest) = views.split_at_mut(node);
            let view = &mut rest[0];
            if rng.random_range(0..8) == 0 && step < disturbed {
                continue;
            }
            if reads || view.index == StoreIndex::default() {
                let lists = view.index == StoreIndex::default() || rng.random_range(0..4) == 0;
                store.read(view, now, lists);
            } else {
                let source = &before[source];
                match source.changes_since(view.index) {
                    Some(changes) => view.advance(source.index, changes, now),
                    None => {
                        view.adopt(source.snapshot(Duration::ZERO, now), now);
                    }
                }
                if view.index == source.index {
                    view.confirm(now);
                }
            }
        }
        for view in &mut views {
            view.expire(now);
        }
    }
    let without_heartbeat = |upstream: &Upstream| Upstream {
        heartbeat_seq: 0,
        ..upstream.clone()
    };
    let held: Vec<_> = store.held.values().map(without_heartbeat).collect();
    for (node, view) in views.iter().enumerate() {
        let known = view.upstreams.values();
        let known: Vec<_> = known
            .map(|known| without_heartbeat(&known.upstream))
            .collect();
        assert_eq!(known, held, "node {node} of seed {seed}");
    }
}

fn nodes_agree_with_the_store_on_seeds(nodes: usize, seeds: u64) {
    for seed in sim_seeds(0..seeds) {
        nodes_agree_with_the_store(nodes, seed);
    }
}

cases! {
    nodes_agree_with_the_store_on_seeds;
    two_nodes_agree_with_the_store: 2, 300;
    seven_nodes_agree_with_the_store: 7, 100;
    sixty_nodes_agree_with_the_store: 60, 10;
    four_hundred_nodes_agree_with_the_store: 400, 2;
}

/// Guards against an entry that returns after its removal and is compared with the removed one.
#[test]
fn lifetime_by_an_earlier_clock_takes_the_place_of_a_lapsed_one() {
    let start = Instant::now();
    let mut view = ClusterView::default();
    view.advance(StoreIndex(1), vec![entry(&lifetime(200, 1))], start);
    view.store_failed(start);
    view.advance(StoreIndex(2), vec![Change::UpstreamRemoved(id("a"))], start);
    let now = start + SECOND;
    view.advance(StoreIndex(3), vec![entry(&lifetime(100, 1))], now);
    view.expire(now + LAPSE_GRACE);
    assert_eq!(born(&view), Some(100));
}
