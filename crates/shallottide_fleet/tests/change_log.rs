//! A node that follows another's changes comes to believe the same, without hearing heartbeats.

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

/// What routing and shared bounds depend on, as text.
fn beliefs(view: &ClusterView) -> String {
    let facts = |u: &Upstream| Upstream {
        heartbeat_seq: 0,
        cold_left: Duration::ZERO,
        ..u.clone()
    };
    let upstreams: Vec<_> = view
        .upstreams
        .values()
        .map(|known| (facts(&known.upstream), known.lapsed.is_some()))
        .collect();
    format!(
        "{upstreams:?} {:?} {:?} {:?} {:?} {:?}",
        view.catalog, view.evacuated, view.nodes, view.controllers, view.formations
    )
}

/// Brings a follower up to date, as its task does.
fn catch_up(follower: &mut ClusterView, reader: &ClusterView, now: Instant) {
    match reader.changes_since(follower.index) {
        Some(changes) => follower.advance(reader.index, changes, now),
        None => assert!(follower.adopt(reader.snapshot(Duration::ZERO, now), now)),
    }
}

fn draw(rng: &mut StdRng, beat: u64) -> Change {
    let name = format!("u-{}", rng.random_range(0..5));
    let domain = format!("zone-{}", rng.random_range(0..2));
    match rng.random_range(0..12) {
        0..5 => {
            let mut upstream = plain_upstream(&name, "booking", "zone-a");
            upstream.heartbeat_seq = beat;
            upstream.draining = rng.random_range(0..4) == 0;
            entry(upstream)
        }
        5 => Change::UpstreamGone(id(&name)),
        6 => Change::Upstream(id(&name), None),
        7 => Change::Evacuated(id(&domain), rng.random()),
        8 => Change::Node(id(&name), rng.random::<bool>().then(|| "10.0.0.1:1".into())),
        9 => claim(&name, beat),
        10 => Change::Controller(id("zone-a"), None),
        _ => Change::Catalog(Box::new(catalog(rng.random_range(0..30)))),
    }
}

/// Plays random changes in batches; a follower that catches up now and then believes the same.
fn a_follower_believes_the_same(seed: u64) {
    let mut rng = StdRng::seed_from_u64(seed);
    let now = Instant::now();
    let (mut reader, mut follower) = (ClusterView::default(), ClusterView::default());
    let mut index = 1;
    for _ in 0..400 {
        let count = rng.random_range(1..5);
        let changes: Vec<_> = (0..count)
            .map(|number| draw(&mut rng, index + number))
            .collect();
        index += count;
        if rng.random_range(0..50) == 0 {
            // The reader's history is gone: it lists the store anew.
            let mut listed = ClusterView::default();
            listed.advance(
                StoreIndex(index),
                reader.snapshot(Duration::ZERO, now).changes,
                now,
            );
            let listing = listed.snapshot(Duration::ZERO, now);
            reader.replace(StoreIndex(index), listing.changes, now);
        } else {
            reader.advance(StoreIndex(index), changes, now);
        }
        if rng.random_range(0..4) == 0 {
            catch_up(&mut follower, &reader, now);
            assert_eq!(beliefs(&follower), beliefs(&reader), "at {index}");
        }
    }
}

cases! {
    a_follower_believes_the_same;
    with_seed_1: 1;
    with_seed_2: 2;
    with_seed_3: 3;
    with_seed_4: 4;
}

#[test]
fn heartbeats_are_not_passed_on() {
    let now = Instant::now();
    let mut reader = view_of([], now);
    let mut upstream = plain_upstream("a", "booking", "zone-a");
    reader.advance(StoreIndex(1), vec![entry(upstream.clone())], now);
    for beat in 2..50 {
        upstream.heartbeat_seq = beat;
        reader.advance(StoreIndex(beat), vec![entry(upstream.clone())], now);
    }
    assert_eq!(
        reader
            .changes_since(StoreIndex(0))
            .expect("all of it")
            .len(),
        1
    );
    assert_eq!(reader.changes_since(StoreIndex(1)), Some(vec![]));
}

#[test]
fn a_longer_cold_phase_is_passed_on() {
    let now = Instant::now();
    let mut reader = view_of([], now);
    let mut upstream = plain_upstream("a", "booking", "zone-a");
    upstream.cold_left = Duration::from_secs(2);
    reader.advance(StoreIndex(1), vec![entry(upstream.clone())], now);
    // One second later as announced, then cold again for longer.
    let later = now + Duration::from_secs(1);
    upstream.cold_left = Duration::from_secs(1);
    upstream.heartbeat_seq += 1;
    reader.advance(StoreIndex(2), vec![entry(upstream.clone())], later);
    assert_eq!(reader.changes_since(StoreIndex(1)), Some(vec![]));
    upstream.cold_left = Duration::from_secs(4);
    upstream.heartbeat_seq += 1;
    reader.advance(StoreIndex(3), vec![entry(upstream)], later);
    assert_eq!(reader.changes_since(StoreIndex(2)).expect("it").len(), 1);
}

#[test]
fn the_return_of_a_lapsed_upstream_is_passed_on() {
    let now = Instant::now();
    let upstream = plain_upstream("a", "booking", "zone-a");
    let (mut reader, mut follower) = (view_of([], now), view_of([], now));
    reader.advance(StoreIndex(1), vec![entry(upstream.clone())], now);
    catch_up(&mut follower, &reader, now);
    for view in [&mut reader, &mut follower] {
        view.store_failed(now);
    }
    reader.advance(StoreIndex(2), vec![Change::UpstreamGone(id("a"))], now);
    catch_up(&mut follower, &reader, now);
    reader.advance(StoreIndex(3), vec![entry(upstream)], now);
    catch_up(&mut follower, &reader, now);
    follower.expire(now + LAPSE_GRACE);
    assert!(follower.upstreams.contains_key(&id("a")));
}

#[test]
fn a_follower_that_is_too_far_behind_is_told_so() {
    let now = Instant::now();
    let mut reader = view_of([], now);
    for index in 1..3_000 {
        let changes = vec![Change::Evacuated(id("zone-a"), index % 2 == 0)];
        reader.advance(StoreIndex(index), changes, now);
    }
    assert_eq!(reader.changes_since(StoreIndex(1)), None);
    assert!(reader.changes_since(StoreIndex(2_990)).is_some());
}

#[test]
fn a_peers_view_names_the_stewards() {
    let now = Instant::now();
    let mut reader = view_of([], now);
    reader.advance(StoreIndex(7), vec![claim("node-1", 7)], now);
    let mut other = view_of([], now);
    let snapshot: Snapshot = reader.snapshot(Duration::ZERO, now);
    assert!(other.adopt(snapshot, now));
    assert_eq!(other.controllers, reader.controllers);
}

#[test]
fn what_a_reader_has_just_confirmed_is_not_old() {
    let now = Instant::now();
    let mut view = view_of([plain_upstream("a", "booking", "zone-a")], now);
    let later = now + Duration::from_mins(1);
    view.confirm(later);
    assert_eq!(view.upstreams[&id("a")].seen, later);
    // A late entry of an earlier lifetime changes nothing, as with a node that hears heartbeats.
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
