//! Views follow a store that was restored from an older copy and gives its revisions out again.

mod support;

use std::time::{Duration, Instant};

use shallottide_fleet::ClusterView;
use shallottide_fleet::view::Change;
use shallottide_types::cases;
use shallottide_types::id::{StoreEra, StoreIndex};
use support::{catalog, id, plain_upstream, view_of};

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
