//! Views follow a store that was restored from an older copy and gives its revisions out again.

mod support;

use std::time::{Duration, Instant};

use shallottide_fleet::ClusterView;
use shallottide_fleet::crash_trigger::TriggerKey;
use shallottide_fleet::quarantine::{QuarantineRecord, RecordWrite};
use shallottide_fleet::restored::REWRITE_TIME;
use shallottide_fleet::view::Change;
use shallottide_types::cases;
use shallottide_types::id::{StoreEra, StoreIndex};
use support::{RestoredDay, catalog, id, plain_upstream, view_of};

fn at(era: u64, revision: u64) -> StoreIndex {
    StoreIndex::new(StoreEra(era), revision)
}

fn config(version: u64) -> Change {
    Change::Catalog(Box::new(catalog(version)))
}

fn view_at(index: StoreIndex, changes: Vec<Change>, now: Instant) -> ClusterView {
    let mut view = ClusterView::default();
    view.replace(index, changes, now);
    view
}

/// Checks the order and the text of two positions, the first of which is earlier.
fn position_is_earlier(earlier: StoreIndex, later: StoreIndex, texts: [&str; 2]) {
    assert!(earlier < later);
    assert_eq!([earlier.to_string(), later.to_string()], texts);
    for index in [earlier, later] {
        assert_eq!(index.to_string().parse(), Ok(index));
    }
}

cases! {
    position_is_earlier;
    position_in_the_same_era: at(0, 7), at(0, 8), ["7", "8"];
    position_before_a_restore: at(1, 342), at(2, 341), ["1.342", "2.341"];
    position_with_the_same_revision: at(1, 342), at(2, 342), ["1.342", "2.342"];
    position_before_two_restores: at(1, 900), at(3, 2), ["1.900", "3.2"];
}

/// Guards against a node without the store that ignores its peers' views after a restore, because
/// their revisions are lower than its own.
#[test]
fn snapshot_of_a_later_era_is_adopted_at_a_lower_revision() {
    let now = Instant::now();
    let source = view_at(at(2, 5), vec![config(9)], now);
    let mut cut_off = view_at(at(1, 40), vec![config(8)], now);
    assert!(cut_off.adopt(source.snapshot(Duration::ZERO, now), now));
    assert_eq!(cut_off.index, at(2, 5));
    assert_eq!(cut_off.catalog.map(|catalog| catalog.version), Some(9));
}

/// Guards against a follower that gets only the changes after its own revision from a node that has
/// followed the store into a later era, and misses those before.
#[test]
fn follower_of_an_earlier_era_gets_a_snapshot() {
    let now = Instant::now();
    let mut source = view_at(at(1, 40), vec![config(8)], now);
    let mut follower = source.clone();
    source.replace(at(2, 30), vec![config(8)], now);
    source.advance(at(2, 60), vec![config(9)], now);
    assert!(source.has_updates(follower.index));
    assert!(source.changes_since(follower.index).is_none());
    assert!(follower.adopt(source.snapshot(Duration::ZERO, now), now));
    source.advance(at(2, 61), vec![config(10)], now);
    let changes = source.changes_since(follower.index).expect("a delta");
    follower.advance(source.index, changes, now);
    assert_eq!(follower.catalog.map(|catalog| catalog.version), Some(10));
}

/// Guards against a follower that is taken back by a node which has not heard of a restore yet.
#[test]
fn view_of_an_earlier_era_is_not_adopted() {
    let now = Instant::now();
    let behind = view_at(at(1, 90), vec![config(8)], now);
    let mut view = view_at(at(2, 30), vec![config(9)], now);
    assert!(!view.adopt(behind.snapshot(Duration::ZERO, now), now));
    let late = vec![config(8)];
    view.advance(behind.index, late, now);
    assert_eq!(view.index, at(2, 30));
    assert_eq!(view.catalog.map(|catalog| catalog.version), Some(9));
}

/// Guards against a configuration that is taken back because the restored store holds an older one
/// until operators write theirs again.
#[test]
fn configuration_stays_in_force_when_the_store_holds_an_older_one() {
    let now = Instant::now();
    let mut view = view_at(at(1, 40), vec![config(8)], now);
    view.replace(at(2, 30), vec![config(7)], now);
    assert_eq!(view.catalog.map(|catalog| catalog.version), Some(8));
}

#[test]
fn upstream_written_after_a_restore_is_served() {
    let now = Instant::now();
    let mut view = view_of([], now);
    view.index = at(1, 40);
    let upstream = plain_upstream("a", "booking", "zone-a");
    let entry = Change::Upstream(id("a"), Some(Box::new(upstream)));
    view.replace(at(2, 30), vec![entry], now);
    view.index_serving();
    assert_eq!(view.serving(&id("booking"), None).len(), 1);
}

fn evacuated(domain: &str, is_evacuated: bool) -> Change {
    Change::Evacuated(id(domain), is_evacuated)
}

fn node(name: &str) -> Change {
    let entry = "10.0.0.1:1 zone-a 250".parse().expect("an entry");
    Change::Node(id(name), Some(entry))
}

fn entry(name: &str, born: u64, heartbeat_seq: u64) -> Change {
    let mut upstream = plain_upstream(name, "booking", "zone-a");
    upstream.born = born;
    upstream.heartbeat_seq = heartbeat_seq;
    Change::Upstream(upstream.id.clone(), Some(Box::new(upstream)))
}

fn serves(view: &mut ClusterView, name: &str) -> bool {
    view.index_serving();
    view.serving(&id("booking"), None).contains(&id(name))
}

/// Guards against an evacuation that a restored store has lost: it must hold until operators had the
/// time to write it again, and what they write meanwhile counts at once. One that only the store
/// knows may be new to a node that meets the restore late, and counts at once too: a node that held it
/// back sent requests to a domain 5 s after its evacuation.
fn evacuation_is_held(before: bool, written_again: Option<bool>, expected: bool) {
    let now = Instant::now();
    let domain = id("zone-a");
    let mut view = view_at(at(1, 40), vec![], now);
    view.advance(at(1, 41), vec![evacuated("zone-a", before)], now);
    let listed = (!before).then(|| evacuated("zone-a", true));
    view.replace(at(2, 30), listed.into_iter().collect(), now);
    // A follower that meets the restore through this node decides in the same way.
    let mut follower = view_at(at(1, 40), vec![evacuated("zone-a", before)], now);
    assert!(follower.adopt(view.snapshot(Duration::ZERO, now), now));
    assert!(view.evacuated.contains(&domain));
    assert!(follower.evacuated.contains(&domain));
    if let Some(is_evacuated) = written_again {
        let known = follower.index;
        view.advance(at(2, 31), vec![evacuated("zone-a", is_evacuated)], now);
        let changes = view.changes_since(known).expect("a delta");
        follower.advance(view.index, changes, now);
        assert_eq!(view.evacuated.contains(&domain), is_evacuated);
    }
    for view in [&mut view, &mut follower] {
        view.expire(now + REWRITE_TIME);
        assert_eq!(view.evacuated.contains(&domain), expected);
    }
}

cases! {
    evacuation_is_held;
    evacuation_lost_and_written_again: true, Some(true), true;
    evacuation_lost_and_ended: true, Some(false), false;
    evacuation_lost_for_good: true, None, false;
    end_of_evacuation_lost_and_written_again: false, Some(false), false;
    evacuation_brought_back_and_written_again: false, Some(true), true;
    evacuation_brought_back_for_good: false, None, true;
}

/// Guards against requests to an upstream that has left, as a restored store lists it again, and
/// against one that is left out although it has written its entry again.
fn brought_back_upstream_is_served(entries: [(u64, u64); 2], expected: bool) {
    let now = Instant::now();
    let [(born, seq), (listed_born, listed_seq)] = entries;
    let mut view = view_at(at(1, 40), vec![entry("a", born, seq)], now);
    view.advance(at(1, 41), vec![Change::UpstreamRemoved(id("a"))], now);
    view.replace(at(2, 30), vec![entry("a", listed_born, listed_seq)], now);
    assert_eq!(serves(&mut view, "a"), expected);
    view.advance(at(2, 31), vec![entry("a", born, seq + 1)], now);
    assert!(serves(&mut view, "a"));
}

cases! {
    brought_back_upstream_is_served;
    upstream_brought_back_as_it_left: [(1, 8), (1, 8)], false;
    upstream_brought_back_from_before: [(1, 8), (1, 5)], false;
    upstream_brought_back_from_an_earlier_lifetime: [(2, 1), (1, 90)], false;
    upstream_that_wrote_again: [(1, 8), (1, 9)], true;
    upstream_that_started_again: [(1, 8), (2, 0)], true;
}

/// Guards against requests to an upstream that drains, as a restored store lists it as it was before.
#[test]
fn draining_upstream_stays_so_when_the_store_lists_it_as_ready() {
    let now = Instant::now();
    let mut upstream = plain_upstream("a", "booking", "zone-a");
    (upstream.born, upstream.heartbeat_seq, upstream.draining) = (2, 3, true);
    let draining = Change::Upstream(id("a"), Some(Box::new(upstream)));
    let mut view = view_at(at(1, 40), vec![draining], now);
    // Longer ago than entries of an earlier lifetime are held back otherwise.
    let now = now + Duration::from_secs(20);
    view.replace(at(2, 30), vec![entry("a", 1, 70)], now);
    assert!(!serves(&mut view, "a"));
}

/// Guards against upstreams that get no requests, and nodes whose share of limits the others take,
/// until they have written again what a restored store has lost.
#[test]
fn lost_entries_are_kept_until_they_must_have_been_written_again() {
    let now = Instant::now();
    let entries = vec![entry("a", 1, 1), entry("b", 1, 1), node("n-1"), node("n-2")];
    let mut view = view_at(at(1, 40), entries, now);
    view.replace(at(2, 3), vec![node("n-1")], now);
    view.expire(now);
    assert!(serves(&mut view, "a") && serves(&mut view, "b"));
    assert_eq!(view.nodes.len(), 2);
    view.advance(at(2, 4), vec![entry("a", 1, 2)], now);
    view.expire(now + REWRITE_TIME);
    assert!(serves(&mut view, "a") && !serves(&mut view, "b"));
    assert_eq!(view.nodes.len(), 1);
}

/// Guards against a listing of the same era, after a gap in the history, that ends this time early.
#[test]
fn second_listing_of_an_era_does_not_confirm_what_the_first_lacked() {
    let now = Instant::now();
    let mut view = view_at(at(1, 40), vec![evacuated("zone-a", true), node("n-1")], now);
    view.replace(at(2, 30), vec![], now);
    view.replace(at(2, 35), vec![], now + Duration::from_secs(1));
    assert!(view.evacuated.contains(&id("zone-a")));
    assert_eq!(view.nodes.len(), 1);
}

fn part_record(trials: u32, revision: StoreIndex) -> (TriggerKey, Change) {
    let key = TriggerKey {
        service: id("engines"),
        trigger: "5c1e07a2".parse().expect("a part"),
    };
    let record = QuarantineRecord {
        trials,
        revision: Some(revision),
    };
    (key.clone(), Change::Quarantined(key, Some(record)))
}

/// Guards against a prompt part that is released because a restored store has lost its record.
#[test]
fn quarantine_record_that_was_lost_is_written_again() {
    let now = Instant::now();
    let (key, record) = part_record(3, at(1, 39));
    let mut view = view_at(at(1, 40), vec![record], now);
    view.replace(at(2, 30), vec![], now);
    assert!(view.quarantine.record(&key).is_some());
    let due = view.quarantine.due_writes(now + Duration::from_secs(9));
    assert_eq!(due, [(key, RecordWrite::Create(3))]);
}

/// Guards against trials of a part that are made again because a restored store has lost them.
#[test]
fn trials_that_a_restored_store_has_lost_still_count() {
    let now = Instant::now();
    let (key, record) = part_record(3, at(1, 39));
    let mut view = view_at(at(1, 40), vec![record], now);
    let (_, older) = part_record(1, at(2, 20));
    view.replace(at(2, 30), vec![older], now);
    let expected = QuarantineRecord {
        trials: 3,
        revision: Some(at(2, 20)),
    };
    assert_eq!(view.quarantine.record(&key), Some(expected));
}

/// Guards against nodes that differ for good from what operators and upstreams have written, after
/// the store was restored many times while nodes were cut off from it or from the node they follow.
fn views_follow_the_writers(nodes: usize, seeds: std::ops::Range<u64>, length: Duration) {
    for seed in seeds {
        RestoredDay::new(nodes, seed).play(length);
    }
}

cases! {
    views_follow_the_writers;
    views_of_two_nodes_follow: 2, 0..60, Duration::from_mins(2);
    views_of_seven_nodes_follow: 7, 0..40, Duration::from_mins(2);
    views_of_a_hundred_nodes_follow: 100, 0..4, Duration::from_mins(1);
    views_of_four_hundred_nodes_follow: 400, 0..2, Duration::from_mins(1);
}
