//! A node that follows another's changes reaches the same view, without receiving heartbeats.

mod support;

use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use shallottide_fleet::ClusterView;
use shallottide_fleet::upstream::Upstream;
use shallottide_fleet::view::{Change, ControllerClaim, LAPSE_GRACE, Snapshot};
use shallottide_types::cases;
use shallottide_types::id::StoreIndex;
use support::{catalog, id, plain_upstream, view_of};

fn entry(upstream: Upstream) -> Change {
    Change::Upstream(upstream.id.clone(), Some(Box::new(upstream)))
}

fn claim(holder: &str, since: u64) -> Change {
    let claim = ControllerClaim {
        holder: id(holder),
        since: StoreIndex(since),
    };
    Change::Controller(id("zone-a"), Some(claim))
}

/// The state that routing and shared limits depend on, as text.
fn relevant_state(view: &ClusterView) -> String {
    let without_heartbeat = |u: &Upstream| Upstream {
        heartbeat_seq: 0,
        cold_left: Duration::ZERO,
        ..u.clone()
    };
    let upstreams: Vec<_> = view
        .upstreams
        .values()
        .map(|known| {
            (
                without_heartbeat(&known.upstream),
                known.lapsed_at.is_some(),
            )
        })
        .collect();
    format!(
        "{upstreams:?} {:?} {:?} {:?} {:?} {:?}",
        view.catalog, view.evacuated, view.nodes, view.controllers, view.formations
    )
}

/// Brings a follower up to date, as its task does.
fn catch_up(follower: &mut ClusterView, source: &ClusterView, now: Instant) {
    match source.changes_since(follower.index) {
        Some(changes) => follower.advance(source.index, changes, now),
        None => assert!(follower.adopt(source.snapshot(Duration::ZERO, now), now)),
    }
}

fn random_change(rng: &mut StdRng, heartbeat_seq: u64) -> Change {
    let name = format!("u-{}", rng.random_range(0..5));
    let domain = format!("zone-{}", rng.random_range(0..2));
    match rng.random_range(0..12) {
        0..5 => {
            let mut upstream = plain_upstream(&name, "booking", "zone-a");
            upstream.heartbeat_seq = heartbeat_seq;
            upstream.draining = rng.random_range(0..4) == 0;
            entry(upstream)
        }
        5 => Change::UpstreamRemoved(id(&name)),
        6 => Change::Upstream(id(&name), None),
        7 => Change::Evacuated(id(&domain), rng.random()),
        8 => Change::Node(
            id(&name),
            rng.random::<bool>()
                .then(|| "10.0.0.1:1 zone-a 250".parse().expect("an entry")),
        ),
        9 => claim(&name, heartbeat_seq),
        10 => Change::Controller(id("zone-a"), None),
        _ => Change::Catalog(Box::new(catalog(rng.random_range(0..30)))),
    }
}

/// Applies random batches of changes; a follower that catches up from time to time reaches the same
/// view.
fn follower_reaches_the_same_view(seed: u64) {
    let mut rng = StdRng::seed_from_u64(seed);
    let now = Instant::now();
    let (mut source, mut follower) = (ClusterView::default(), ClusterView::default());
    let mut index = 1;
    for _ in 0..400 {
        let count = rng.random_range(1..5);
        let changes: Vec<_> = (0..count)
            .map(|number| random_change(&mut rng, index + number))
            .collect();
        index += count;
        if rng.random_range(0..50) == 0 {
            // The store no longer has the history that the source needs, so the source lists the
            // store again.
            let mut listed = ClusterView::default();
            listed.advance(
                StoreIndex(index),
                source.snapshot(Duration::ZERO, now).changes,
                now,
            );
            let listing = listed.snapshot(Duration::ZERO, now);
            source.replace(StoreIndex(index), listing.changes, now);
        } else {
            source.advance(StoreIndex(index), changes, now);
        }
        if rng.random_range(0..4) == 0 {
            catch_up(&mut follower, &source, now);
            assert_eq!(
                relevant_state(&follower),
                relevant_state(&source),
                "at {index}"
            );
        }
    }
}

cases! {
    follower_reaches_the_same_view;
    with_seed_1: 1;
    with_seed_2: 2;
    with_seed_3: 3;
    with_seed_4: 4;
}

#[test]
fn heartbeats_are_not_logged() {
    let now = Instant::now();
    let mut source = view_of([], now);
    let mut upstream = plain_upstream("a", "booking", "zone-a");
    source.advance(StoreIndex(1), vec![entry(upstream.clone())], now);
    for heartbeat_seq in 2..50 {
        upstream.heartbeat_seq = heartbeat_seq;
        source.advance(
            StoreIndex(heartbeat_seq),
            vec![entry(upstream.clone())],
            now,
        );
    }
    assert_eq!(
        source
            .changes_since(StoreIndex(0))
            .expect("a complete log")
            .len(),
        1
    );
    assert_eq!(source.changes_since(StoreIndex(1)), Some(vec![]));
}

#[test]
fn longer_cold_phase_is_logged() {
    let now = Instant::now();
    let mut source = view_of([], now);
    let mut upstream = plain_upstream("a", "booking", "zone-a");
    upstream.cold_left = Duration::from_secs(2);
    source.advance(StoreIndex(1), vec![entry(upstream.clone())], now);
    // First the phase proceeds as announced, then it is extended.
    let later = now + Duration::from_secs(1);
    upstream.cold_left = Duration::from_secs(1);
    upstream.heartbeat_seq += 1;
    source.advance(StoreIndex(2), vec![entry(upstream.clone())], later);
    assert_eq!(source.changes_since(StoreIndex(1)), Some(vec![]));
    upstream.cold_left = Duration::from_secs(4);
    upstream.heartbeat_seq += 1;
    source.advance(StoreIndex(3), vec![entry(upstream)], later);
    assert_eq!(
        source
            .changes_since(StoreIndex(2))
            .expect("a complete log")
            .len(),
        1
    );
}

#[test]
fn return_of_a_lapsed_upstream_is_logged() {
    let now = Instant::now();
    let upstream = plain_upstream("a", "booking", "zone-a");
    let (mut source, mut follower) = (view_of([], now), view_of([], now));
    source.advance(StoreIndex(1), vec![entry(upstream.clone())], now);
    catch_up(&mut follower, &source, now);
    for view in [&mut source, &mut follower] {
        view.store_failed(now);
    }
    source.advance(StoreIndex(2), vec![Change::UpstreamRemoved(id("a"))], now);
    catch_up(&mut follower, &source, now);
    source.advance(StoreIndex(3), vec![entry(upstream)], now);
    catch_up(&mut follower, &source, now);
    follower.expire(now + LAPSE_GRACE);
    assert!(follower.upstreams.contains_key(&id("a")));
}

#[test]
fn follower_that_is_too_far_behind_gets_no_changes() {
    let now = Instant::now();
    let mut source = view_of([], now);
    for index in 1..3_000 {
        let changes = vec![Change::Evacuated(id("zone-a"), index % 2 == 0)];
        source.advance(StoreIndex(index), changes, now);
    }
    assert_eq!(source.changes_since(StoreIndex(1)), None);
    assert!(source.changes_since(StoreIndex(2_990)).is_some());
}

#[test]
fn snapshot_contains_the_controllers() {
    let now = Instant::now();
    let mut source = view_of([], now);
    source.advance(StoreIndex(7), vec![claim("node-1", 7)], now);
    let mut other = view_of([], now);
    let snapshot: Snapshot = source.snapshot(Duration::ZERO, now);
    assert!(other.adopt(snapshot, now));
    assert_eq!(other.controllers, source.controllers);
}

#[test]
fn late_entry_of_an_earlier_lifetime_is_ignored_after_a_confirmation() {
    let now = Instant::now();
    let mut view = view_of([plain_upstream("a", "booking", "zone-a")], now);
    let later = now + Duration::from_mins(1);
    view.confirm(later);
    assert_eq!(view.upstreams[&id("a")].seen, later);
    // A late entry of an earlier lifetime is ignored, as at a node that receives heartbeats.
    let mut late = plain_upstream("a", "booking", "zone-a");
    late.born -= 1;
    late.draining = true;
    view.advance(
        StoreIndex(9),
        vec![entry(late)],
        later + Duration::from_secs(1),
    );
    assert!(!view.upstreams[&id("a")].upstream.draining);
}
