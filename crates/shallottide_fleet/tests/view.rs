//! What a node believes changes only as the platform's words allow.

mod support;

use std::time::{Duration, Instant};

use shallottide_fleet::ClusterView;
use shallottide_fleet::upstream::GroupState;
use shallottide_fleet::view::{Change, LAPSE_GRACE};
use shallottide_types::cases;
use shallottide_types::id::StoreIndex;
use support::{catalog, id, member, plain_upstream, view_of};

fn configured(view: &ClusterView) -> u64 {
    view.catalog.as_ref().expect("a configuration").version
}

/// Applies configurations in an order; the highest version holds.
fn configuration_never_reverts(versions: &[u64], holds: u64) {
    let now = Instant::now();
    let mut view = ClusterView::default();
    for version in versions {
        view.apply(Change::Catalog(Box::new(catalog(*version))), now);
    }
    assert_eq!(configured(&view), holds);
}

cases! {
    configuration_never_reverts;
    configurations_in_order: &[1, 4, 9], 9;
    a_late_configuration: &[1, 9, 4], 9;
    the_same_configuration: &[3, 3], 3;
}

#[test]
fn a_peers_older_view_changes_nothing() {
    let now = Instant::now();
    let mut old = view_of([plain_upstream("a", "booking", "zone-a")], now);
    old.index = StoreIndex(5);
    let snapshot = old.snapshot(Duration::ZERO, now);
    let mut view = view_of([], now);
    view.apply(Change::Catalog(Box::new(catalog(8))), now);
    view.index = StoreIndex(9);
    assert!(!view.adopt(snapshot.clone(), now));
    assert!(view.upstreams.is_empty());
    // A newer view of the store that still shows an older configuration does not bring it back.
    let newer = shallottide_fleet::view::Snapshot {
        index: StoreIndex(10),
        ..snapshot
    };
    assert!(view.adopt(newer, now));
    assert_eq!(configured(&view), 8);
    assert!(view.upstreams.contains_key(&id("a")));
}

#[test]
fn an_entry_that_goes_away_in_calm_is_gone_at_once() {
    let now = Instant::now();
    let mut view = view_of([plain_upstream("a", "booking", "zone-a")], now);
    view.apply(Change::UpstreamGone(id("a")), now);
    view.index_serving();
    assert!(view.serving(&id("booking"), None).is_empty());
}

#[test]
fn an_entry_that_lapses_in_trouble_is_kept_until_it_should_be_back() {
    let now = Instant::now();
    let mut view = view_of([plain_upstream("a", "booking", "zone-a")], now);
    view.store_failed(now);
    view.apply(Change::UpstreamGone(id("a")), now);
    view.expire(now + Duration::from_secs(1));
    view.index_serving();
    assert_eq!(view.serving(&id("booking"), None).len(), 1);
    view.expire(now + LAPSE_GRACE);
    view.index_serving();
    assert!(view.serving(&id("booking"), None).is_empty());
}

/// Hunt day f301-15: an upstream left 1.8 s after the store's return and still got requests 2.7 s
/// later, because its lapse was counted from when its entry went away.
#[test]
fn a_lapse_is_counted_from_the_end_of_the_trouble() {
    let now = Instant::now();
    let mut view = view_of([plain_upstream("a", "booking", "zone-a")], now);
    view.store_failed(now);
    let removed = now + Duration::from_millis(1_800);
    view.apply(Change::UpstreamGone(id("a")), removed);
    view.expire(removed + Duration::from_millis(500));
    assert!(!view.upstreams.contains_key(&id("a")));
}

#[test]
fn a_lapsed_entry_that_comes_back_stays() {
    let now = Instant::now();
    let mut view = view_of([plain_upstream("a", "booking", "zone-a")], now);
    view.store_failed(now);
    view.apply(Change::UpstreamGone(id("a")), now);
    let back = Box::new(plain_upstream("a", "booking", "zone-a"));
    view.apply(
        Change::Upstream(id("a"), Some(back)),
        now + Duration::from_secs(1),
    );
    view.expire(now + 2 * LAPSE_GRACE);
    assert!(view.upstreams.contains_key(&id("a")));
}

#[test]
fn an_entry_that_cannot_be_read_names_no_upstream() {
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
fn an_evacuated_or_draining_upstream_gets_nothing() {
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

/// A group of two; the second member reports something else, or nothing.
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
        None => Change::UpstreamGone(id("m")),
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
fn a_closed_head_gets_nothing() {
    let now = Instant::now();
    let view = view_of([member("h", 7, 0, GroupState::Closing, "small")], now);
    assert!(view.serving(&id("engines"), Some(&id("small"))).is_empty());
}
