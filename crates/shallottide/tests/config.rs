//! Configuration records converge under faults and never revert to an older version.

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
/// Time within which a change must be in force on all nodes.
const CONVERGENCE_TIMEOUT: Duration = Duration::from_secs(8);
const LONG_OUTAGE: Duration = Duration::from_mins(10);

/// Returns a cluster of two failure domains with three nodes each, all with version 5 of one
/// upstream in force.
fn converged_cluster() -> Cluster {
    let mut cluster = Cluster::new(2, 3, 7);
    cluster.platform.put_upstream(UPSTREAM, 5);
    wait_until_in_force(&mut cluster, Some(5));
    cluster
}

fn wait_until_in_force(cluster: &mut Cluster, limit: Option<u32>) {
    let elapsed = cluster.run_until(CONVERGENCE_TIMEOUT, |c| c.is_in_force(UPSTREAM, limit));
    let limits: Vec<_> = cluster.nodes.iter().map(|n| n.limit(UPSTREAM)).collect();
    assert!(
        elapsed.is_some(),
        "{limit:?} not in force everywhere: {limits:?}"
    );
}

fn assert_stays_in_force(cluster: &mut Cluster, limit: Option<u32>) {
    cluster.run(CONVERGENCE_TIMEOUT);
    assert!(cluster.is_in_force(UPSTREAM, limit));
}

fn cut_platform(cluster: &mut Cluster, domains: &[&str], reach: Reach) {
    for domain in domains {
        cluster
            .platform
            .reach
            .insert(domain.parse().unwrap(), reach);
    }
}

fn deliver_from_peer(cluster: &mut Cluster, to: usize, msg: PeerMsg) {
    let from = cluster.nodes[1].cx.me().node;
    cluster.deliver(to, names::CONFIG, PeerReceived { from, msg }.into());
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
    wait_until_in_force(c, Some(6));
    c.platform.stale_listing = Some(old);
    assert_stays_in_force(c, Some(6));
    c.platform.stale_listing = None;
    c.platform.put_upstream(UPSTREAM, 7);
    wait_until_in_force(c, Some(7));
}

fn late_watch(c: &mut Cluster) {
    cut_platform(c, &["domain-0", "domain-1"], Reach::Silent);
    c.run(LONG_OUTAGE);
    c.platform.put_upstream(UPSTREAM, 6);
    c.platform.reach.clear();
    let timeout = Duration::from_secs(30);
    assert!(
        c.run_until(timeout, |c| c.is_in_force(UPSTREAM, Some(6)))
            .is_some()
    );
}

fn peer_with_older_state(c: &mut Cluster) {
    let records = vec![old_copy(1)];
    deliver_from_peer(c, 0, PeerMsg::Records(records.clone()));
    let [since, to] = [StoreIndex(0), StoreIndex(1)];
    deliver_from_peer(
        c,
        0,
        PeerMsg::RecordsSince(RecordsSince { since, to, records }),
    );
    assert_stays_in_force(c, Some(5));
}

fn deletion_then_old_copy(c: &mut Cluster) {
    c.platform.delete(KEY);
    wait_until_in_force(c, None);
    deliver_from_peer(c, 0, PeerMsg::Records(vec![old_copy(5)]));
    assert_stays_in_force(c, None);
    c.platform.put_upstream(UPSTREAM, 6);
    wait_until_in_force(c, Some(6));
}

fn restart_in_an_outage(c: &mut Cluster) {
    cut_platform(c, &["domain-0", "domain-1"], Reach::Down);
    c.run(CONVERGENCE_TIMEOUT);
    c.restart(2);
    assert_eq!(c.nodes[2].limit(UPSTREAM), None);
    wait_until_in_force(c, Some(5));
}

/// A restarted node gets all records from peers and therefore does not read the platform.
fn restart_without_reads(c: &mut Cluster) {
    c.run(CONVERGENCE_TIMEOUT);
    c.restart(2);
    c.platform.counted_reader = Some(2);
    wait_until_in_force(c, Some(5));
    assert_eq!(c.platform.record_reads, 0);
}

fn platform_down_long(c: &mut Cluster) {
    cut_platform(c, &["domain-0", "domain-1"], Reach::Down);
    let calls_before = c.platform.call_count;
    c.run(LONG_OUTAGE);
    assert!(c.is_in_force(UPSTREAM, Some(5)));
    let calls = c.platform.call_count - calls_before;
    assert!(calls < 1_000, "{calls} platform calls");
    c.platform.reach.clear();
    c.platform.put_upstream(UPSTREAM, 6);
    wait_until_in_force(c, Some(6));
}

fn reject_document(c: &mut Cluster, json: &str) {
    let index = c.platform.put(KEY, json.into());
    wait_until_in_force(c, Some(5));
    let all_report_invalid = |c: &Cluster| {
        let reports_invalid = |n: &config_cluster::Node| n.cx.config().invalid.contains_key(KEY);
        c.nodes.iter().all(reports_invalid)
    };
    assert!(
        c.run_until(CONVERGENCE_TIMEOUT, all_report_invalid)
            .is_some()
    );
    assert!(c.is_in_force(UPSTREAM, Some(5)));
    let held = &c.nodes[4].config.store().copies()[KEY];
    assert_eq!(
        (held.index, held.value.as_deref()),
        (index, Some(json.as_bytes()))
    );
    c.platform.put_upstream(UPSTREAM, 6);
    wait_until_in_force(c, Some(6));
    assert!(c.nodes[4].cx.config().invalid.is_empty());
}

fn invalid_record(c: &mut Cluster) {
    reject_document(c, "{not json");
}

fn record_under_another_key(c: &mut Cluster) {
    reject_document(c, &upstream_json("tally-2", 9));
}

fn unknown_schema(c: &mut Cluster) {
    reject_document(
        c,
        &upstream_json(UPSTREAM, 9).replace(r#""schema":2"#, r#""schema":9"#),
    );
}

fn old_schema_beside_new(c: &mut Cluster) {
    let v1 = r#"{"kind":"upstream","schema":1,"id":"tally-1","address":"10.0.0.1:80",
        "zone":"domain-0","service":"tally-core","limit":6}"#;
    c.platform.put(KEY, v1.into());
    c.platform.put_upstream("tally-2", 3);
    wait_until_in_force(c, Some(6));
    assert!(
        c.run_until(CONVERGENCE_TIMEOUT, |c| c.is_in_force("tally-2", Some(3)))
            .is_some()
    );
}

/// While no messages get through, every node considers the others dead and watches the platform.
fn two_watchers(c: &mut Cluster) {
    c.link_is_up = Box::new(|from, to| from == to);
    c.run(Duration::from_secs(20));
    c.platform.put_upstream(UPSTREAM, 6);
    wait_until_in_force(c, Some(6));
    c.link_is_up = Box::new(|_, _| true);
    c.platform.put_upstream(UPSTREAM, 7);
    wait_until_in_force(c, Some(7));
}

fn watcher_dies(c: &mut Cluster) {
    for dead in 0..3 {
        c.nodes[dead].running = false;
        c.platform
            .put_upstream(UPSTREAM, 6 + u32::try_from(dead).unwrap());
        wait_until_in_force(c, Some(6 + u32::try_from(dead).unwrap()));
    }
}

/// The other failure domain is cut off from the platform, so that its nodes can't provide newer
/// records.
fn one_node_cut_off_from_the_platform(c: &mut Cluster) {
    cut_platform(c, &["domain-1"], Reach::Down);
    for node in 0..3 {
        c.platform.cut_off_nodes = [node].into();
        c.platform
            .put_upstream(UPSTREAM, 6 + u32::try_from(node).unwrap());
        wait_until_in_force(c, Some(6 + u32::try_from(node).unwrap()));
    }
}

fn domain_cut_off_from_the_platform(c: &mut Cluster) {
    cut_platform(c, &["domain-1"], Reach::Down);
    for limit in 6..9 {
        c.platform.put_upstream(UPSTREAM, limit);
        wait_until_in_force(c, Some(limit));
    }
    c.platform.delete(KEY);
    wait_until_in_force(c, None);
}

fn message_loss(c: &mut Cluster) {
    c.loss_rate = 0.3;
    cut_platform(c, &["domain-1"], Reach::Down);
    for limit in 6..9 {
        c.platform.put_upstream(UPSTREAM, limit);
        let elapsed = c.run_until(CONVERGENCE_TIMEOUT * 2, |c| {
            c.is_in_force(UPSTREAM, Some(limit))
        });
        assert!(elapsed.is_some());
    }
}

fn check(fault: impl Fn(&mut Cluster)) {
    fault(&mut converged_cluster());
}

cases! { check;
    stale_listing_does_not_revert_records: stale_listing;
    change_takes_effect_after_unanswered_watches: late_watch;
    peer_with_older_state_does_not_revert_records: peer_with_older_state;
    old_copy_does_not_undo_a_deletion: deletion_then_old_copy;
    restarted_node_syncs_from_peers_during_a_platform_outage: restart_in_an_outage;
    restarted_node_syncs_from_peers_before_reading_the_platform: restart_without_reads;
    records_stay_in_force_during_a_long_platform_outage: platform_down_long;
    last_valid_record_stays_in_force_after_malformed_json: invalid_record;
    last_valid_record_stays_in_force_after_a_key_mismatch: record_under_another_key;
    last_valid_record_stays_in_force_after_an_unknown_schema: unknown_schema;
    old_and_new_schema_coexist: old_schema_beside_new;
    two_watchers_are_harmless: two_watchers;
    next_node_watches_when_the_watcher_dies: watcher_dies;
    backup_reader_takes_over_when_one_node_is_cut_off: one_node_cut_off_from_the_platform;
    domain_cut_off_from_the_platform_syncs_from_others: domain_cut_off_from_the_platform;
    records_converge_despite_message_loss: message_loss;
}

/// Applies listings and deltas of one history to several stores in random order, with gaps,
/// duplicates and losses, and then the missing changes. All stores must converge to the same state.
fn random_order(seed: u64) {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut reference = RecordStore::default();
    let mut listings = vec![Listing {
        index: StoreIndex(1),
        entries: Vec::new(),
    }];
    let mut deltas = Vec::new();
    reference.apply_listing(listings[0].clone());
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
        reference.apply_listing(listing.clone());
        deltas.push(reference.delta(StoreIndex(rng.random_range(0..index))));
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
        store.apply_delta(reference.delta(store.applied_index()));
        assert_eq!(live(&store), live(&reference));
        assert_eq!(store.applied_index(), reference.applied_index());
    }
}

/// Checks that every change up to the store's applied index is applied: each key has the value
/// listed at that index, or a newer one.
fn check_complete(store: &RecordStore, listings: &[Listing]) {
    let applied_index = store.applied_index();
    let Some(listing) = listings
        .iter()
        .find(|listing| listing.index == applied_index)
    else {
        return;
    };
    for copy in store.copies().values() {
        let listed = listing.entries.iter().find(|entry| entry.key == copy.key);
        let listed = listed.map(|entry| entry.value.clone());
        assert!(
            copy.index > applied_index || copy.value == listed,
            "{} at {applied_index}",
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
    updates_in_any_order_converge_seed_1: 1;
    updates_in_any_order_converge_seed_2: 2;
    updates_in_any_order_converge_seed_3: 3;
    updates_in_any_order_converge_seed_4: 4;
}

#[test]
fn old_copy_does_not_undo_a_deletion_after_its_tombstone_was_dropped() {
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
        "a delta would omit deletions of dropped tombstones"
    );
}

#[test]
fn delta_after_a_gap_applies_its_records_but_does_not_raise_the_index() {
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
