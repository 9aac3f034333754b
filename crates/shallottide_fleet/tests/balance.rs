//! Where requests go: by load, health and distance.

mod support;

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use shallottide_fleet::ClusterView;
use shallottide_fleet::balance::{LoadTracker, Need, NoPlace};
use shallottide_fleet::border::ReportedLoad;
use shallottide_fleet::cold_gate::ColdGate;
use shallottide_types::id::{DomainId, NodeId, ServiceId, UpstreamId};
use shallottide_types::rendezvous;
use support::{id, plain_upstream, view_of};

struct World {
    loads: LoadTracker,
    view: ClusterView,
    node: NodeId,
    domain: DomainId,
    service: ServiceId,
    domains: Option<BTreeSet<DomainId>>,
    now: Instant,
}

fn world(domains: &[&str]) -> World {
    let now = Instant::now();
    let upstreams = domains
        .iter()
        .enumerate()
        .map(|(number, domain)| plain_upstream(&format!("u{number}"), "booking", domain));
    World {
        loads: LoadTracker::default(),
        view: view_of(upstreams, now),
        node: id("node-1"),
        domain: id("zone-a"),
        service: id("booking"),
        domains: None,
        now,
    }
}

impl World {
    fn choose(&self, tried: &[UpstreamId], draw: u32) -> Result<UpstreamId, NoPlace> {
        let need = Need {
            service: &self.service,
            model: None,
            domains: self.domains.as_ref(),
            tried,
            queue: 0,
        };
        let own = (&self.node, &self.domain);
        let cold = ColdGate::default();
        let chosen = self
            .loads
            .choose(&need, &self.view, &cold, own, self.now, draw);
        chosen.map(|choice| choice.upstream)
    }

    /// Places requests until all are full, and counts them by upstream.
    fn fill(&mut self) -> Vec<usize> {
        let mut counts = vec![0; self.view.upstreams.len()];
        for draw in 0.. {
            let Ok(upstream) = self.choose(&[], draw) else {
                return counts;
            };
            self.loads.started(&upstream);
            let number = upstream.as_str()[1..].parse::<usize>().expect("a number");
            counts[number] += 1;
        }
        counts
    }
}

/// Pattern: a burst fills all upstreams evenly, and no further than their slots.
#[test]
fn a_burst_fills_all_upstreams_to_their_slots() {
    let mut world = world(&["zone-a", "zone-b", "zone-c"]);
    assert_eq!(world.fill(), [6, 6, 6]);
    assert_eq!(world.choose(&[], 0), Err(NoPlace::Full));
}

/// Pattern: nodes that do not see each other's requests would all fill the same upstream.
#[test]
fn peers_requests_count() {
    let mut world = world(&["zone-a", "zone-a"]);
    let report = [(rendezvous::hash("u0"), 6)];
    world
        .loads
        .record_peer_report(id("node-2"), report, 2, world.now);
    assert_eq!(world.fill(), [0, 6]);
}

/// Pattern: with many nodes, reports of some stand for all.
#[test]
fn peers_that_were_not_heard_are_taken_to_be_like_the_others() {
    let mut world = world(&["zone-a", "zone-a"]);
    let report = [(rendezvous::hash("u0"), 1)];
    world
        .loads
        .record_peer_report(id("node-2"), report, 7, world.now);
    assert!((world.loads.estimate(&id("u0"), world.now) - 6.0).abs() < 0.01);
}

#[test]
fn load_that_an_upstream_tells_counts_while_it_is_new() {
    let mut world = world(&["zone-a", "zone-a"]);
    let told = ReportedLoad {
        running: 6,
        waiting: 3,
    };
    world.loads.record_reported_load(&id("u0"), told, world.now);
    assert_eq!(world.choose(&[], 0), Ok(id("u1")));
    world.now += Duration::from_secs(2);
    assert!(world.loads.estimate(&id("u0"), world.now) < 1.0);
}

#[test]
fn the_own_domain_comes_first_when_loads_are_equal() {
    let world = world(&["zone-b", "zone-a", "zone-c"]);
    for draw in 0..10 {
        assert_eq!(world.choose(&[], draw), Ok(id("u1")));
    }
}

#[test]
fn what_was_tried_is_not_tried_again() {
    let world = world(&["zone-a", "zone-b"]);
    assert_eq!(world.choose(&[id("u0")], 0), Ok(id("u1")));
    assert_eq!(world.choose(&[id("u0"), id("u1")], 0), Err(NoPlace::Full));
}

/// Pattern: an upstream falls silent while its entry is still there.
#[test]
fn a_silent_upstream_is_left_alone_for_longer_each_time() {
    let mut world = world(&["zone-a", "zone-b"]);
    world.loads.failed(&id("u0"), world.now);
    assert_eq!(world.choose(&[], 0), Ok(id("u1")));
    world.now += Duration::from_millis(500);
    world.loads.failed(&id("u0"), world.now);
    world.now += Duration::from_millis(500);
    assert_eq!(world.choose(&[id("u1")], 0), Err(NoPlace::Full));
    world.now += Duration::from_millis(500);
    assert_eq!(world.choose(&[id("u1")], 0), Ok(id("u0")));
}

/// Pattern: an upstream answers half of its requests badly while its health is good.
#[test]
fn a_half_failing_upstream_gets_less() {
    let mut world = world(&["zone-a", "zone-a"]);
    for _ in 0..10 {
        world.loads.answered_badly(&id("u0"));
        world.loads.succeeded(&id("u1"), Duration::from_millis(60));
    }
    for draw in 0..10 {
        assert_eq!(world.choose(&[], draw), Ok(id("u1")));
    }
}

/// Pattern: one upstream works several times as long as the others.
#[test]
fn a_straggler_gets_less() {
    let mut world = world(&["zone-a", "zone-a", "zone-a", "zone-a"]);
    for _ in 0..10 {
        for name in ["u1", "u2", "u3"] {
            world.loads.succeeded(&id(name), Duration::from_millis(60));
        }
        world.loads.succeeded(&id("u0"), Duration::from_millis(600));
    }
    for draw in 0..10 {
        assert_ne!(world.choose(&[], draw), Ok(id("u0")));
    }
}

#[test]
fn nothing_serves_an_unknown_service() {
    let mut world = world(&["zone-a"]);
    world.service = id("nobody");
    assert_eq!(world.choose(&[], 0), Err(NoPlace::None));
}

/// Pattern: a group lost a member, so none of its streams goes on; its entry says nothing yet.
#[test]
fn an_upstream_whose_streams_stand_still_gets_no_more() {
    let mut world = world(&["zone-a", "zone-b"]);
    world.loads.stream_began(&id("u0"), world.now);
    world.now += Duration::from_millis(200);
    assert_eq!(world.choose(&[], 0), Ok(id("u0")));
    world.now += Duration::from_millis(100);
    assert_eq!(world.choose(&[], 0), Ok(id("u1")));
    world.loads.record_stream_progress(&id("u0"), world.now);
    assert_eq!(world.choose(&[], 0), Ok(id("u0")));
    world.now += Duration::from_secs(1);
    world.loads.stream_over(&id("u0"));
    assert_eq!(
        world.choose(&[], 0),
        Ok(id("u0")),
        "no stream is left to stand still"
    );
}

#[test]
fn a_route_with_homes_is_served_only_there() {
    let mut world = world(&["zone-a", "zone-b"]);
    world.domains = Some(BTreeSet::from([id("zone-b")]));
    assert_eq!(world.choose(&[], 0), Ok(id("u1")));
    world.domains = Some(BTreeSet::from([id("zone-c")]));
    assert_eq!(world.choose(&[], 0), Err(NoPlace::None));
}
