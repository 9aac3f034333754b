//! Records stay in force under faults and never revert.

mod config_cluster;

use std::time::Duration;

use config_cluster::{Cluster, Reach, upstream_json};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use shallottide::config::RecordStore;
use shallottide::kernel::names;
use shallottide::message::PeerReceived;
use shallottide_types::cases;
use shallottide_types::id::StoreIndex;
use shallottide_types::peer::{PeerMsg, RecordCopy, RecordsSince};
use shallottide_types::platform::{Entry, Listing};

const UPSTREAM: &str = "tally-1";
const KEY: &str = "records/upstream/tally-1";
const SOON: Duration = Duration::from_secs(8);
const LONG: Duration = Duration::from_mins(10);

/// Two failure domains of three nodes, all with version 5 of one upstream in force.
fn settled() -> Cluster {
    let mut cluster = Cluster::new(2, 3, 7);
    cluster.platform.put_upstream(UPSTREAM, 5);
    expect(&mut cluster, Some(5));
    cluster
}

fn expect(cluster: &mut Cluster, limit: Option<u32>) {
    let took = cluster.run_until(SOON, |c| c.all_have(UPSTREAM, limit));
    let held: Vec<_> = cluster.nodes.iter().map(|n| n.limit(UPSTREAM)).collect();
    assert!(
        took.is_some(),
        "{limit:?} not in force everywhere: {held:?}"
    );
}

fn stays(cluster: &mut Cluster, limit: Option<u32>) {
    cluster.run(SOON);
    assert!(cluster.all_have(UPSTREAM, limit));
}

fn cut_platform(cluster: &mut Cluster, domains: &[&str], reach: Reach) {
    for domain in domains {
        cluster
            .platform
            .reach
            .insert(domain.parse().unwrap(), reach);
    }
}

fn tell(cluster: &mut Cluster, to: usize, msg: PeerMsg) {
    let from = cluster.nodes[1].cx.me().node;
    cluster.give(to, names::CONFIG, PeerReceived { from, msg }.into());
}

fn old_copy(limit: u32) -> RecordCopy {
    RecordCopy {
        key: KEY.into(),
        index: StoreIndex(1),
        value: Some(upstream_json(UPSTREAM, limit).into_bytes()),
    }
}

fn stale_listing(c: &mut Cluster) {
    let old = c.platform.listing("records/");
    c.platform.put_upstream(UPSTREAM, 6);
    expect(c, Some(6));
    c.platform.stale = Some(old);
    stays(c, Some(6));
    c.platform.stale = None;
    c.platform.put_upstream(UPSTREAM, 7);
    expect(c, Some(7));
}

fn late_watch(c: &mut Cluster) {
    cut_platform(c, &["domain-0", "domain-1"], Reach::Silent);
    c.run(LONG);
    c.platform.put_upstream(UPSTREAM, 6);
    c.platform.reach.clear();
    let most = Duration::from_secs(30);
    assert!(
        c.run_until(most, |c| c.all_have(UPSTREAM, Some(6)))
            .is_some()
    );
}

fn peer_with_older_state(c: &mut Cluster) {
    let records = vec![old_copy(1)];
    tell(c, 0, PeerMsg::Records(records.clone()));
    let [since, to] = [StoreIndex(0), StoreIndex(1)];
    tell(
        c,
        0,
        PeerMsg::RecordsSince(RecordsSince { since, to, records }),
    );
    stays(c, Some(5));
}

fn deletion_then_old_copy(c: &mut Cluster) {
    c.platform.delete(KEY);
    expect(c, None);
    tell(c, 0, PeerMsg::Records(vec![old_copy(5)]));
    stays(c, None);
    c.platform.put_upstream(UPSTREAM, 6);
    expect(c, Some(6));
}

fn restart_in_an_outage(c: &mut Cluster) {
    cut_platform(c, &["domain-0", "domain-1"], Reach::Down);
    c.run(SOON);
    c.restart(2);
    assert_eq!(c.nodes[2].limit(UPSTREAM), None);
    expect(c, Some(5));
}

/// Peers answer a restarted node before it reads the platform, which then isn't asked.
fn restart_without_reads(c: &mut Cluster) {
    c.run(SOON);
    c.restart(2);
    c.platform.record_reads_of = Some(2);
    expect(c, Some(5));
    assert_eq!(c.platform.record_reads, 0);
}

fn platform_down_long(c: &mut Cluster) {
    cut_platform(c, &["domain-0", "domain-1"], Reach::Down);
    let calls = c.platform.calls;
    c.run(LONG);
    assert!(c.all_have(UPSTREAM, Some(5)));
    let tries = c.platform.calls - calls;
    assert!(tries < 1_000, "{tries} tries");
    c.platform.reach.clear();
    c.platform.put_upstream(UPSTREAM, 6);
    expect(c, Some(6));
}

fn unusable(c: &mut Cluster, json: &str) {
    let index = c.platform.put(KEY, json.into());
    expect(c, Some(5));
    let all_there = |c: &Cluster| {
        let known = |n: &config_cluster::Node| n.cx.config().invalid.contains_key(KEY);
        c.nodes.iter().all(known)
    };
    assert!(c.run_until(SOON, all_there).is_some());
    assert!(c.all_have(UPSTREAM, Some(5)));
    let held = &c.nodes[4].config.store().copies()[KEY];
    assert_eq!(
        (held.index, held.value.as_deref()),
        (index, Some(json.as_bytes()))
    );
    c.platform.put_upstream(UPSTREAM, 6);
    expect(c, Some(6));
    assert!(c.nodes[4].cx.config().invalid.is_empty());
}

fn invalid_record(c: &mut Cluster) {
    unusable(c, "{not json");
}

fn record_under_another_key(c: &mut Cluster) {
    unusable(c, &upstream_json("tally-2", 9));
}

fn unknown_schema(c: &mut Cluster) {
    unusable(
        c,
        &upstream_json(UPSTREAM, 9).replace(r#""schema":2"#, r#""schema":9"#),
    );
}

fn old_schema_beside_new(c: &mut Cluster) {
    let v1 = r#"{"kind":"upstream","schema":1,"id":"tally-1","address":"10.0.0.1:80",
        "zone":"domain-0","service":"tally-core","limit":6}"#;
    c.platform.put(KEY, v1.into());
    c.platform.put_upstream("tally-2", 3);
    expect(c, Some(6));
    assert!(
        c.run_until(SOON, |c| c.all_have("tally-2", Some(3)))
            .is_some()
    );
}

/// A partition inside a domain makes the nodes on both sides watch.
fn two_watchers(c: &mut Cluster) {
    c.link = Box::new(|from, to| from == to);
    c.run(Duration::from_secs(20));
    c.platform.put_upstream(UPSTREAM, 6);
    expect(c, Some(6));
    c.link = Box::new(|_, _| true);
    c.platform.put_upstream(UPSTREAM, 7);
    expect(c, Some(7));
}

fn watcher_dies(c: &mut Cluster) {
    for dead in 0..3 {
        c.nodes[dead].up = false;
        c.platform
            .put_upstream(UPSTREAM, 6 + u32::try_from(dead).unwrap());
        expect(c, Some(6 + u32::try_from(dead).unwrap()));
    }
}

/// The other domain is cut off as a whole, so that it can't help.
fn one_node_cut_off_from_the_platform(c: &mut Cluster) {
    cut_platform(c, &["domain-1"], Reach::Down);
    for node in 0..3 {
        c.platform.cut = [node].into();
        c.platform
            .put_upstream(UPSTREAM, 6 + u32::try_from(node).unwrap());
        expect(c, Some(6 + u32::try_from(node).unwrap()));
    }
}

fn domain_cut_off_from_the_platform(c: &mut Cluster) {
    cut_platform(c, &["domain-1"], Reach::Down);
    for limit in 6..9 {
        c.platform.put_upstream(UPSTREAM, limit);
        expect(c, Some(limit));
    }
    c.platform.delete(KEY);
    expect(c, None);
}

fn message_loss(c: &mut Cluster) {
    c.loss = 0.3;
    cut_platform(c, &["domain-1"], Reach::Down);
    for limit in 6..9 {
        c.platform.put_upstream(UPSTREAM, limit);
        let took = c.run_until(SOON * 2, |c| c.all_have(UPSTREAM, Some(limit)));
        assert!(took.is_some());
    }
}

fn check(fault: impl Fn(&mut Cluster)) {
    fault(&mut settled());
}

cases! { check;
    never_reverts_by_a_stale_listing: stale_listing;
    comes_in_force_by_a_late_watch: late_watch;
    never_reverts_by_a_peer_with_older_state: peer_with_older_state;
    deletion_is_not_undone_by_an_old_copy: deletion_then_old_copy;
    restarted_node_learns_from_peers_in_an_outage: restart_in_an_outage;
    restarted_node_leaves_it_to_peers_first: restart_without_reads;
    last_state_stays_while_the_platform_is_down_long: platform_down_long;
    last_good_record_stays_beside_an_invalid_one: invalid_record;
    last_good_record_stays_beside_one_of_another_key: record_under_another_key;
    last_good_record_stays_beside_an_unknown_schema: unknown_schema;
    old_and_new_schema_live_side_by_side: old_schema_beside_new;
    two_watchers_are_harmless: two_watchers;
    next_node_watches_when_the_watcher_dies: watcher_dies;
    deputy_reads_when_a_node_alone_is_cut_off: one_node_cut_off_from_the_platform;
    domain_cut_off_from_the_platform_learns_from_others: domain_cut_off_from_the_platform;
    lost_messages_are_made_up_for: message_loss;
}

/// Applies listings and deltas of one history in any order to several stores, with gaps,
/// repeats and dropped ones, then the newest state to all.
fn random_order(seed: u64) {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut truth = RecordStore::default();
    let mut listings = vec![Listing {
        index: StoreIndex(1),
        entries: Vec::new(),
    }];
    let mut deltas = Vec::new();
    truth.apply_listing(listings[0].clone());
    for index in 2..40 {
        let mut listing = listings.last().unwrap().clone();
        listing.index = StoreIndex(index);
        let key = format!("records/upstream/u{}", rng.random_range(0..16));
        listing.entries.retain(|entry| entry.key != key);
        if rng.random_bool(0.7) {
            let (index, value) = (StoreIndex(index), vec![u8::try_from(index).unwrap()]);
            listing.entries.push(Entry {
                key,
                value,
                index,
                session: None,
            });
        }
        truth.apply_listing(listing.clone());
        deltas.push(truth.delta(StoreIndex(rng.random_range(0..index))));
        listings.push(listing);
    }
    let live = |store: &RecordStore| -> Vec<RecordCopy> {
        let copies = store.copies().values();
        copies
            .filter(|copy| copy.value.is_some())
            .cloned()
            .collect()
    };
    for _ in 0..4 {
        let mut store = RecordStore::default();
        for _ in 0..200 {
            let before = store.clone();
            if rng.random_bool(0.3) {
                let listing = &listings[rng.random_range(0..listings.len())];
                store.apply_listing(listing.clone());
            } else {
                let delta = &deltas[rng.random_range(0..deltas.len())];
                store.apply_delta(delta.clone());
            }
            assert!(store.applied_index() >= before.applied_index());
            for (key, copy) in before.copies() {
                assert!(store.copies()[key].index >= copy.index, "{key} reverted");
            }
            check_complete(&store, &listings);
        }
        store.apply_delta(truth.delta(store.applied_index()));
        assert_eq!(live(&store), live(&truth));
        assert_eq!(store.applied_index(), truth.applied_index());
    }
}

/// Everything up to the store's index is applied: each key is as listed then, or newer.
fn check_complete(store: &RecordStore, listings: &[Listing]) {
    let have = store.applied_index();
    let Some(listing) = listings.iter().find(|listing| listing.index == have) else {
        return;
    };
    for copy in store.copies().values() {
        let listed = listing.entries.iter().find(|entry| entry.key == copy.key);
        let listed = listed.map(|entry| entry.value.clone());
        assert!(
            copy.index > have || copy.value == listed,
            "{} at {have}",
            copy.key
        );
    }
    for entry in &listing.entries {
        assert!(
            store.copies().contains_key(&entry.key),
            "{} is missing",
            entry.key
        );
    }
}

cases! { random_order;
    any_order_ends_the_same_seed_1: 1;
    any_order_ends_the_same_seed_2: 2;
    any_order_ends_the_same_seed_3: 3;
    any_order_ends_the_same_seed_4: 4;
}

#[test]
fn deletion_holds_after_its_tombstone_was_dropped() {
    let mut store = RecordStore::default();
    let mut entries = Vec::new();
    for i in 0..=RecordStore::MAX_TOMBSTONES {
        entries.push(Entry {
            key: format!("records/upstream/{i}"),
            value: Vec::new(),
            index: StoreIndex(1 + i as u64),
            session: None,
        });
    }
    let first = entries[0].clone();
    let last = StoreIndex(entries.len() as u64);
    store.apply_listing(Listing {
        index: last,
        entries,
    });
    for index in [last.next(), last.next().next()] {
        store.apply_listing(Listing {
            index,
            entries: Vec::new(),
        });
    }
    assert_eq!(store.copies().len(), RecordStore::MAX_TOMBSTONES);
    let (key, index, value) = (first.key, first.index, Some(first.value));
    store.apply_copies(vec![RecordCopy { key, index, value }]);
    assert_eq!(store.copies().len(), RecordStore::MAX_TOMBSTONES);
    assert_eq!(
        store.delta(StoreIndex(5)).since,
        StoreIndex(0),
        "deletions are missing"
    );
}

#[test]
fn gap_in_a_peers_records_leaves_the_index_but_not_the_record() {
    let copy = |key: &str, index| RecordCopy {
        key: key.into(),
        index: StoreIndex(index),
        value: Some(Vec::new()),
    };
    let delta = |since, records| RecordsSince {
        since: StoreIndex(since),
        to: StoreIndex(10),
        records,
    };
    let mut store = RecordStore::default();
    let (index, entries) = (StoreIndex(5), Vec::new());
    store.apply_listing(Listing { index, entries });
    store.apply_delta(delta(8, vec![copy("b", 9)]));
    assert!(store.copies().contains_key("b"));
    assert_eq!(
        store.applied_index(),
        StoreIndex(5),
        "a change before 8 is missing"
    );
    store.apply_delta(delta(5, vec![copy("a", 7), copy("b", 9)]));
    assert!(store.copies().contains_key("a"));
    assert_eq!(store.applied_index(), StoreIndex(10));
}
