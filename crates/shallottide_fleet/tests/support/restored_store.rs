//! Simulated store that is restored from older copies, its writers, and nodes that follow it.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use shallottide_fleet::ClusterView;
use shallottide_fleet::view::Change;
use shallottide_types::id::{StoreEra, StoreIndex};

use super::{catalog, id, plain_upstream};

const TICK: Duration = Duration::from_millis(100);
/// Interval at which a node reads the store or the node that it follows.
const READ_INTERVAL: Duration = Duration::from_millis(400);
/// Time after a restore until all writers have written again what was lost.
const REWRITE_DELAY: Duration = Duration::from_millis(1_500);
/// Time in which what is written must hold on a node that reads.
const APPLY_BOUND: Duration = Duration::from_secs(2);
const UPSTREAMS: usize = 12;
const DOMAINS: usize = 3;
/// Nodes that follow one node.
const FAN_OUT: usize = 8;

type Items = BTreeMap<String, (u64, Change)>;

/// A key-value store with decoded values.
#[derive(Clone, Default)]
struct SimStore {
    era: u64,
    revision: u64,
    items: Items,
    events: Vec<(u64, Change)>,
    /// Revisions up to this one are no longer in the history.
    compacted: u64,
    is_down: bool,
}

impl SimStore {
    fn index(&self) -> StoreIndex {
        StoreIndex::new(StoreEra(self.era), self.revision)
    }

    fn put(&mut self, key: &str, change: Change) {
        self.revision += 1;
        self.events.push((self.revision, change.clone()));
        self.items.insert(key.into(), (self.revision, change));
    }

    fn remove(&mut self, key: &str, change: Change) {
        if self.items.remove(key).is_some() {
            self.revision += 1;
            self.events.push((self.revision, change));
        }
    }

    /// Goes back to a copy, in the next era.
    fn restore(&mut self, copy: Self) {
        let era = self.era + 1;
        *self = Self {
            era,
            compacted: copy.revision,
            events: Vec::new(),
            ..copy
        };
    }
}

/// What operators and upstreams have written, whatever the store has kept of it.
struct Writers {
    version: u64,
    evacuated: BTreeSet<usize>,
    /// Heartbeats and state of the upstreams that have not left.
    upstreams: BTreeMap<usize, (u64, bool)>,
    /// When each of these last changed, by key.
    changed: BTreeMap<String, Instant>,
}

impl Writers {
    fn upstream_change(&self, number: usize) -> Change {
        let (heartbeat_seq, draining) = self.upstreams[&number];
        let mut upstream = plain_upstream(&format!("u-{number}"), "booking", "zone-a");
        upstream.heartbeat_seq = heartbeat_seq;
        upstream.draining = draining;
        Change::Upstream(upstream.id.clone(), Some(Box::new(upstream)))
    }

    fn write_config(&self, store: &mut SimStore) {
        store.put("config", Change::Catalog(Box::new(catalog(self.version))));
    }

    fn write_domain(&self, domain: usize, store: &mut SimStore) {
        let key = format!("evacuate/{domain}");
        let is_evacuated = self.evacuated.contains(&domain);
        let change = Change::Evacuated(id(&format!("zone-{domain}")), is_evacuated);
        if is_evacuated {
            store.put(&key, change);
        } else {
            store.remove(&key, change);
        }
    }

    fn write_upstream(&self, number: usize, store: &mut SimStore) {
        let key = format!("servers/{number}");
        if self.upstreams.contains_key(&number) {
            store.put(&key, self.upstream_change(number));
        } else {
            store.remove(&key, Change::UpstreamRemoved(id(&format!("u-{number}"))));
        }
    }
}

struct Follower {
    view: ClusterView,
    /// Until when it reaches neither the store nor other nodes.
    cut_until: Instant,
    /// When it was last cut off, or behind a store that was away.
    disturbed_at: Instant,
}

/// A day with restores, and the nodes that live through it.
pub(crate) struct RestoredDay {
    rng: StdRng,
    seed: u64,
    start: Instant,
    now: Instant,
    store: SimStore,
    copies: Vec<SimStore>,
    writers: Writers,
    rewrite_at: Option<Instant>,
    /// When the store was last away or restored.
    store_disturbed_at: Instant,
    up_at: Option<Instant>,
    nodes: Vec<Follower>,
}

impl RestoredDay {
    pub(crate) fn new(nodes: usize, seed: u64) -> Self {
        let start = Instant::now();
        let writers = Writers {
            version: 1,
            evacuated: BTreeSet::new(),
            upstreams: (0..UPSTREAMS).map(|number| (number, (0, false))).collect(),
            changed: BTreeMap::new(),
        };
        let mut store = SimStore::default();
        writers.write_config(&mut store);
        for number in 0..UPSTREAMS {
            writers.write_upstream(number, &mut store);
        }
        let follower = Follower {
            view: ClusterView::default(),
            cut_until: start,
            disturbed_at: start,
        };
        Self {
            rng: StdRng::seed_from_u64(seed),
            seed,
            start,
            now: start,
            store,
            copies: Vec::new(),
            writers,
            rewrite_at: None,
            store_disturbed_at: start,
            up_at: None,
            nodes: (0..nodes)
                .map(|_| Follower {
                    view: follower.view.clone(),
                    ..follower
                })
                .collect(),
        }
    }

    /// Plays the day, and checks the nodes' views at each tick.
    pub(crate) fn play(&mut self, length: Duration) {
        while self.now.duration_since(self.start) < length {
            self.now += TICK;
            self.copies.push(self.store.clone());
            self.disturb();
            self.write();
            for number in 0..self.nodes.len() {
                let reads_now = (self.ticks() + number as u64).is_multiple_of(4);
                if reads_now {
                    self.read(number);
                }
            }
            self.check();
        }
    }

    fn ticks(&self) -> u64 {
        let ticks = self.now.duration_since(self.start).as_millis() / TICK.as_millis();
        u64::try_from(ticks).expect("a short day")
    }

    fn disturb(&mut self) {
        if self.up_at.is_some_and(|at| self.now >= at) {
            self.up_at = None;
            let age = self.rng.random_range(1..120);
            let copy = self.copies[self.copies.len().saturating_sub(age)].clone();
            if copy.era == self.store.era || self.rng.random() {
                self.store.restore(SimStore {
                    era: self.store.era,
                    is_down: false,
                    ..copy
                });
                self.rewrite_at = Some(self.now + REWRITE_DELAY);
            }
            self.store.is_down = false;
        }
        if self.store.is_down {
            self.store_disturbed_at = self.now;
            return;
        }
        if self.rng.random_range(0..60) == 0 {
            self.store.is_down = true;
            let length = Duration::from_millis(self.rng.random_range(100..3_000));
            self.up_at = Some(self.now + length);
        }
        if self.rng.random_range(0..10) == 0 {
            let number = self.rng.random_range(0..self.nodes.len());
            let length = Duration::from_millis(self.rng.random_range(500..12_000));
            self.nodes[number].cut_until = self.now + length;
        }
    }

    fn write(&mut self) {
        if self.store.is_down {
            return;
        }
        if self.rewrite_at.is_some_and(|at| self.now >= at) {
            self.rewrite_at = None;
            self.store_disturbed_at = self.now;
            self.writers.write_config(&mut self.store);
            for domain in 0..DOMAINS {
                self.writers.write_domain(domain, &mut self.store);
            }
            for number in 0..UPSTREAMS {
                self.writers.write_upstream(number, &mut self.store);
            }
        }
        let (rng, writers, store) = (&mut self.rng, &mut self.writers, &mut self.store);
        for number in 0..UPSTREAMS {
            if let Some((heartbeat_seq, _)) = writers.upstreams.get_mut(&number)
                && rng.random_range(0..10) == 0
            {
                *heartbeat_seq += 1;
                writers.write_upstream(number, store);
            }
        }
        if rng.random_range(0..12) == 0 {
            let (key, now) = match rng.random_range(0..4) {
                0 | 1 => {
                    writers.version += 1;
                    writers.write_config(store);
                    ("config".into(), self.now)
                }
                2 => {
                    let domain = rng.random_range(0..DOMAINS);
                    if !writers.evacuated.remove(&domain) {
                        writers.evacuated.insert(domain);
                    }
                    writers.write_domain(domain, store);
                    (format!("evacuate/{domain}"), self.now)
                }
                _ => {
                    let number = rng.random_range(0..UPSTREAMS);
                    match writers.upstreams.get_mut(&number) {
                        Some((heartbeat_seq, draining)) if !*draining => {
                            *heartbeat_seq += 1;
                            *draining = true;
                        }
                        Some(_) => drop(writers.upstreams.remove(&number)),
                        // It left for good: its id is not used again.
                        None => {}
                    }
                    writers.write_upstream(number, store);
                    (format!("servers/{number}"), self.now)
                }
            };
            writers.changed.insert(key, now);
        }
    }

    /// Lets a node read the store, or follow another node as in the tree of a failure domain.
    fn read(&mut self, number: usize) {
        let now = self.now;
        if now < self.nodes[number].cut_until {
            self.nodes[number].disturbed_at = now;
            return;
        }
        let parent = (number > 0).then(|| (number - 1) / FAN_OUT);
        let parent = parent.filter(|parent| now >= self.nodes[*parent].cut_until);
        if let Some(parent) = parent
            && parent != number
        {
            let known = self.nodes[number].view.index;
            let source = &self.nodes[parent].view;
            let (index, failure) = (source.index, source.last_store_failure);
            let changes = source.changes_since(known);
            let snapshot = source.snapshot(Duration::ZERO, now);
            let view = &mut self.nodes[number].view;
            view.last_store_failure = view.last_store_failure.max(failure);
            match changes {
                Some(changes) => view.advance(index, changes, now),
                None => drop(view.adopt(snapshot, now)),
            }
            view.expire(now);
            return;
        }
        let view = &mut self.nodes[number].view;
        if self.store.is_down {
            view.store_failed(now);
            return;
        }
        let (store, known) = (&self.store, view.index);
        let is_complete = known.era() == StoreEra(store.era)
            && (store.compacted..=store.revision).contains(&known.revision())
            && known != StoreIndex::default();
        if is_complete {
            let later = store
                .events
                .iter()
                .filter(|(rev, _)| *rev > known.revision());
            let changes = later.map(|(_, change)| change.clone()).collect();
            view.advance(store.index(), changes, now);
        } else {
            view.store_failed(now);
            let items = store.items.values().map(|(_, change)| change.clone());
            view.replace(store.index(), items.collect(), now);
        }
        view.expire(now);
    }

    /// Checks the nodes that have read undisturbed for the whole bound.
    fn check(&mut self) {
        let levels = self.nodes.len().ilog(FAN_OUT) + 2;
        let bound = APPLY_BOUND + READ_INTERVAL * levels;
        let is_calm = |at: Instant| self.now.duration_since(at) > bound + REWRITE_DELAY;
        let is_settled = |key: &str| {
            let changed = self.writers.changed.get(key);
            changed.is_none_or(|at| self.now.duration_since(*at) > bound)
        };
        if !is_calm(self.store_disturbed_at) || self.rewrite_at.is_some() {
            return;
        }
        let seed = self.seed;
        for (number, node) in self.nodes.iter().enumerate() {
            let is_cut = |node: &Follower| !is_calm(node.disturbed_at);
            if is_cut(node) {
                continue;
            }
            let at = self.now.duration_since(self.start);
            if is_settled("config") {
                let version = node.view.catalog.as_ref().map(|catalog| catalog.version);
                let expected = Some(self.writers.version);
                assert_eq!(version, expected, "seed {seed}, node {number}, {at:?}");
            }
            for domain in 0..DOMAINS {
                if is_settled(&format!("evacuate/{domain}")) {
                    let is_evacuated = node.view.evacuated.contains(&id(&format!("zone-{domain}")));
                    let expected = self.writers.evacuated.contains(&domain);
                    assert_eq!(
                        is_evacuated, expected,
                        "seed {seed}, node {number}, {at:?}: zone-{domain}"
                    );
                }
            }
            for upstream in 0..UPSTREAMS {
                if is_settled(&format!("servers/{upstream}")) {
                    let name = format!("u-{upstream}");
                    let known = node.view.upstreams.get(&id(&name));
                    let is_served = known.is_some_and(|known| !known.upstream.draining);
                    let entry = self.writers.upstreams.get(&upstream);
                    let expected = entry.is_some_and(|(_, draining)| !draining);
                    assert_eq!(
                        is_served, expected,
                        "seed {seed}, node {number}, {at:?}: {name}"
                    );
                }
            }
        }
    }
}
