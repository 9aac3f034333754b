//! A node's view changes only as the platform's guarantees allow.

mod support;

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use shallottide_fleet::ClusterView;
use shallottide_fleet::access::Access;
use shallottide_fleet::catalog::Catalog;
use shallottide_fleet::upstream::GroupState;
use shallottide_fleet::view::{Change, LAPSE_GRACE, Snapshot};
use shallottide_types::cases;
use shallottide_types::id::StoreIndex;
use support::{catalog, id, member, plain_upstream, view_of};

fn config_version(view: &ClusterView) -> u64 {
    view.catalog.as_ref().expect("a configuration").version
}

/// Applies configurations in the given order; the highest version stays in force.
fn configuration_never_reverts(versions: &[u64], expected: u64) {
    let now = Instant::now();
    let mut view = ClusterView::default();
    for version in versions {
        view.apply(Change::Catalog(Box::new(catalog(*version))), now);
    }
    assert_eq!(config_version(&view), expected);
}

cases! {
    configuration_never_reverts;
    configurations_in_order: &[1, 4, 9], 9;
    a_late_configuration: &[1, 9, 4], 9;
    the_same_configuration: &[3, 3], 3;
}

#[test]
fn older_snapshot_is_ignored() {
    let now = Instant::now();
    let mut old = view_of([plain_upstream("a", "booking", "zone-a")], now);
    old.index = StoreIndex(5);
    let snapshot = old.snapshot(Duration::ZERO, now);
    let mut view = view_of([], now);
    view.apply(Change::Catalog(Box::new(catalog(8))), now);
    view.index = StoreIndex(9);
    assert!(!view.adopt(snapshot.clone(), now));
    assert!(view.upstreams.is_empty());
    // A newer snapshot with an older configuration does not bring that configuration back.
    let newer = Snapshot {
        index: StoreIndex(10),
        ..snapshot
    };
    assert!(view.adopt(newer, now));
    assert_eq!(config_version(&view), 8);
    assert!(view.upstreams.contains_key(&id("a")));
}

fn with_access(version: u64, access: Access) -> Change {
    Change::Catalog(Box::new(Catalog {
        access,
        ..catalog(version)
    }))
}

/// Guards against peers of earlier versions, whose configuration without any key left looks like one
/// that needs no keys.
#[test]
fn peers_do_not_lift_the_need_for_keys() {
    let now = Instant::now();
    let mut view = view_of([], now);
    view.advance(StoreIndex(5), vec![with_access(5, Access::default())], now);
    assert!(
        !view.opens_routes(&[with_access(6, Access::Open)]),
        "open already"
    );
    let keys = Access::Keys(BTreeMap::new());
    view.advance(StoreIndex(7), vec![with_access(7, keys.clone())], now);
    assert!(
        !view.opens_routes(&[with_access(6, Access::Open)]),
        "an older one"
    );
    assert!(!view.opens_routes(&[with_access(8, keys)]));
    let opening = with_access(8, Access::Open);
    assert!(view.opens_routes(std::slice::from_ref(&opening)));
    let snapshot = Snapshot {
        index: StoreIndex(9),
        age: Duration::ZERO,
        changes: vec![opening.clone()],
    };
    assert!(!view.adopt(snapshot, now));
    assert_eq!(config_version(&view), 7);
    // The store itself does.
    view.advance(StoreIndex(9), vec![opening], now);
    assert_eq!(config_version(&view), 8);
}

#[test]
fn entry_removed_while_the_store_works_is_dropped_at_once() {
    let now = Instant::now();
    let mut view = view_of([plain_upstream("a", "booking", "zone-a")], now);
    view.apply(Change::UpstreamRemoved(id("a")), now);
    view.index_serving();
    assert!(view.serving(&id("booking"), None).is_empty());
}

#[test]
fn entry_removed_while_the_store_fails_is_kept_for_the_grace_period() {
    let now = Instant::now();
    let mut view = view_of([plain_upstream("a", "booking", "zone-a")], now);
    view.store_failed(now);
    view.apply(Change::UpstreamRemoved(id("a")), now);
    view.expire(now + Duration::from_secs(1));
    view.index_serving();
    assert_eq!(view.serving(&id("booking"), None).len(), 1);
    view.expire(now + LAPSE_GRACE);
    view.index_serving();
    assert!(view.serving(&id("booking"), None).is_empty());
}

/// Hunt day f301-15: an upstream left 1.8 s after the store's recovery and still got requests 2.7 s
/// later, because the grace period was counted from the removal of its entry.
#[test]
fn grace_period_is_counted_from_the_last_store_failure() {
    let now = Instant::now();
    let mut view = view_of([plain_upstream("a", "booking", "zone-a")], now);
    view.store_failed(now);
    let removed = now + Duration::from_millis(1_800);
    view.apply(Change::UpstreamRemoved(id("a")), removed);
    view.expire(removed + Duration::from_millis(500));
    assert!(!view.upstreams.contains_key(&id("a")));
}

/// Regression test: a node whose store calls failed for a second kept an upstream that had left, and sent it
/// requests 3.1 s after it had left. An outage shorter than a lapse takes no entry away.
#[test]
fn entry_missing_sooner_than_it_can_lapse_is_dropped_at_once() {
    let now = Instant::now();
    let mut view = view_of([plain_upstream("a", "booking", "zone-a")], now);
    view.shortest_lapse = Duration::from_millis(2_400);
    let listed_at = now + Duration::from_millis(1_100);
    view.store_failed(listed_at);
    view.replace(StoreIndex(9), Vec::new(), listed_at);
    assert!(!view.upstreams.contains_key(&id("a")));
}

/// An outage long enough for entries to lapse leaves upstreams in use until they can have written again.
#[test]
fn entry_missing_after_a_long_outage_is_kept_for_the_grace_period() {
    let now = Instant::now();
    let mut view = view_of([plain_upstream("a", "booking", "zone-a")], now);
    view.shortest_lapse = Duration::from_millis(2_400);
    let listed_at = now + Duration::from_millis(4_500);
    view.store_failed(listed_at);
    view.replace(StoreIndex(9), Vec::new(), listed_at);
    assert!(view.upstreams.contains_key(&id("a")));
    view.expire(listed_at + LAPSE_GRACE);
    assert!(!view.upstreams.contains_key(&id("a")));
}

#[test]
fn lapsed_entry_that_returns_stays() {
    let now = Instant::now();
    let mut view = view_of([plain_upstream("a", "booking", "zone-a")], now);
    view.store_failed(now);
    view.apply(Change::UpstreamRemoved(id("a")), now);
    let back = Box::new(plain_upstream("a", "booking", "zone-a"));
    view.apply(
        Change::Upstream(id("a"), Some(back)),
        now + Duration::from_secs(1),
    );
    view.expire(now + 2 * LAPSE_GRACE);
    assert!(view.upstreams.contains_key(&id("a")));
}

/// Guards against a cold phase that ends beyond the clock's range, which ended the task that follows
/// the store and those of all nodes to which the entry was passed on.
fn cold_phase_of_any_length_is_applied(cold_left: Duration) {
    let now = Instant::now();
    let mut cold = plain_upstream("a", "booking", "zone-a");
    cold.cold_left = cold_left;
    let change = Change::Upstream(id("a"), Some(Box::new(cold)));
    let mut view = view_of([plain_upstream("b", "booking", "zone-a")], now);
    view.advance(StoreIndex(5), vec![change.clone()], now);
    assert!(view.upstreams[&id("a")].is_cold(now + Duration::from_hours(1)));
    assert!(!view.upstreams[&id("b")].is_cold(now));
    // The same entry again changes nothing for followers.
    view.advance(StoreIndex(6), vec![change], now);
    assert_eq!(view.changes_since(StoreIndex(5)), Some(Vec::new()));
    let mut follower = ClusterView::default();
    assert!(follower.adopt(view.snapshot(Duration::ZERO, now), now));
    assert!(follower.upstreams[&id("a")].is_cold(now));
}

cases! {
    cold_phase_of_any_length_is_applied;
    cold_phase_of_two_hours: Duration::from_hours(2);
    cold_phase_beyond_the_clock: Duration::from_secs(1 << 63);
    longest_cold_phase: Duration::MAX;
}

#[test]
fn unusable_entry_removes_its_upstream() {
    let now = Instant::now();
    let both = [
        plain_upstream("a", "booking", "zone-a"),
        plain_upstream("b", "booking", "zone-a"),
    ];
    let mut view = view_of(both, now);
    view.apply(Change::Upstream(id("a"), None), now);
    view.index_serving();
    assert_eq!(view.serving(&id("booking"), None), [id("b")]);
}

#[test]
fn evacuated_or_draining_upstream_gets_no_requests() {
    let now = Instant::now();
    let mut draining = plain_upstream("b", "booking", "zone-b");
    draining.draining = true;
    let mut view = view_of([plain_upstream("a", "booking", "zone-a"), draining], now);
    assert_eq!(view.serving(&id("booking"), None), [id("a")]);
    view.apply(Change::Evacuated(id("zone-a"), true), now);
    view.index_serving();
    assert!(view.serving(&id("booking"), None).is_empty());
    view.apply(Change::Evacuated(id("zone-a"), false), now);
    view.index_serving();
    assert_eq!(view.serving(&id("booking"), None), [id("a")]);
}

/// A group of two whose second member joins another formation, breaks, or has no entry.
fn group_serves(second: Option<(u64, GroupState)>, serves: bool) {
    let now = Instant::now();
    let pair = [
        member("h", 7, 0, GroupState::Open, "small"),
        member("m", 7, 1, GroupState::Ready, "small"),
    ];
    let mut view = view_of(pair, now);
    let change = match second {
        Some((epoch, state)) => {
            let moved = Box::new(member("m", epoch, 1, state, "small"));
            Change::Upstream(id("m"), Some(moved))
        }
        None => Change::UpstreamRemoved(id("m")),
    };
    view.apply(change, now);
    view.index_serving();
    let model = id("small");
    assert_eq!(
        !view.serving(&id("engines"), Some(&model)).is_empty(),
        serves
    );
}

cases! {
    group_serves;
    a_whole_group_serves: Some((7, GroupState::Ready)), true;
    a_group_whose_member_joined_another_does_not: Some((9, GroupState::Joining)), false;
    a_group_whose_member_is_broken_does_not: Some((7, GroupState::Broken)), false;
    a_group_whose_member_has_no_entry_still_does: None, true;
}

#[test]
fn closing_head_gets_no_requests() {
    let now = Instant::now();
    let view = view_of([member("h", 7, 0, GroupState::Closing, "small")], now);
    assert!(view.serving(&id("engines"), Some(&id("small"))).is_empty());
}

/// Guards against followers that keep an upstream's earlier lifetime for good after it started again
/// with its clock set back: the node that reads the store accepts the new one.
#[test]
fn follower_takes_a_lifetime_that_began_with_an_earlier_clock() {
    let start = Instant::now();
    let entry = |born| {
        let mut upstream = plain_upstream("a", "booking", "zone-a");
        upstream.born = born;
        Change::Upstream(id("a"), Some(Box::new(upstream)))
    };
    let (mut view, mut follower) = (ClusterView::default(), ClusterView::default());
    view.advance(StoreIndex(1), vec![entry(200)], start);
    assert!(follower.adopt(view.snapshot(Duration::ZERO, start), start));
    // The upstream writes nothing for four seconds, then with its new clock.
    let later = start + Duration::from_secs(4);
    follower.confirm(later);
    view.advance(StoreIndex(2), vec![entry(100)], later);
    assert_eq!(view.upstreams[&id("a")].upstream.born, 100);
    let changes = view.changes_since(StoreIndex(1)).expect("the changes");
    follower.advance(StoreIndex(2), changes, later);
    assert_eq!(follower.upstreams[&id("a")].upstream.born, 100);
}
