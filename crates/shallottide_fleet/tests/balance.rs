//! Choice of a request's upstream by load, health and failure domain.

mod support;

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use shallottide_fleet::ClusterView;
use shallottide_fleet::adapter::ReportedLoad;
use shallottide_fleet::balance::{LoadTracker, Need, NoPlace, SendLimits};
use shallottide_fleet::cold_gate::ColdGate;
use shallottide_fleet::cooldowns::Cooldowns;
use shallottide_fleet::departures::Departures;
use shallottide_fleet::named_limits::NamedLimits;
use shallottide_types::id::{DomainId, NodeId, ServiceId, UpstreamId};
use shallottide_types::rendezvous;
use support::{id, plain_upstream, view_of};

/// Time after which an upstream that is leaving gets no requests.
const DRAIN_TIME: Duration = Duration::from_secs(2);

struct Fixture {
    loads: LoadTracker,
    view: ClusterView,
    node: NodeId,
    domain: DomainId,
    service: ServiceId,
    domains: Option<BTreeSet<DomainId>>,
    now: Instant,
    named_limits: NamedLimits,
    cooldowns: Cooldowns,
    departures: Departures,
}

fn fixture(domains: &[&str]) -> Fixture {
    let now = Instant::now();
    let upstreams = domains
        .iter()
        .enumerate()
        .map(|(number, domain)| plain_upstream(&format!("u{number}"), "booking", domain));
    Fixture {
        loads: LoadTracker::default(),
        view: view_of(upstreams, now),
        node: id("node-1"),
        domain: id("zone-a"),
        service: id("booking"),
        domains: None,
        named_limits: NamedLimits::default(),
        cooldowns: Cooldowns::default(),
        departures: Departures::new(DRAIN_TIME),
        now,
    }
}

impl Fixture {
    fn choose(&self, tried: &[UpstreamId], draw: u32) -> Result<UpstreamId, NoPlace> {
        let need = Need {
            service: &self.service,
            model: None,
            domains: self.domains.as_ref(),
            tried,
            queue: 0,
        };
        let own = (&self.node, &self.domain);
        let limits = SendLimits {
            cold: &ColdGate::default(),
            named: &self.named_limits,
            cooldowns: &self.cooldowns,
            departures: &self.departures,
        };
        let chosen = self
            .loads
            .choose(&need, &self.view, limits, own, self.now, draw);
        chosen.map(|choice| choice.upstream)
    }

    /// Sends requests until all upstreams are full; returns the number sent to each.
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

/// A burst fills all upstreams evenly, and no further than their slots.
#[test]
fn a_burst_fills_all_upstreams_to_their_slots() {
    let mut fixture = fixture(&["zone-a", "zone-b", "zone-c"]);
    assert_eq!(fixture.fill(), [6, 6, 6]);
    assert_eq!(fixture.choose(&[], 0), Err(NoPlace::Full));
}

/// Nodes that do not know each other's requests would all fill the same upstream.
#[test]
fn requests_of_peers_count() {
    let mut fixture = fixture(&["zone-a", "zone-a"]);
    let report = [(rendezvous::hash("u0"), 6)];
    fixture
        .loads
        .record_peer_report(id("node-2"), report, 2, fixture.now);
    assert_eq!(fixture.fill(), [0, 6]);
}

/// With many nodes, the reports that arrived stand for all nodes.
#[test]
fn reports_of_some_peers_are_scaled_to_all_nodes() {
    let mut fixture = fixture(&["zone-a", "zone-a"]);
    let report = [(rendezvous::hash("u0"), 1)];
    fixture
        .loads
        .record_peer_report(id("node-2"), report, 7, fixture.now);
    assert!((fixture.loads.estimate(&id("u0"), fixture.now) - 6.0).abs() < 0.01);
}

#[test]
fn reported_load_counts_while_it_is_recent() {
    let mut fixture = fixture(&["zone-a", "zone-a"]);
    let reported = ReportedLoad {
        running: 6,
        waiting: 3,
    };
    fixture
        .loads
        .record_reported_load(&id("u0"), reported, fixture.now);
    assert_eq!(fixture.choose(&[], 0), Ok(id("u1")));
    fixture.now += Duration::from_secs(2);
    assert!(fixture.loads.estimate(&id("u0"), fixture.now) < 1.0);
}

#[test]
fn own_domain_is_preferred_at_equal_load() {
    let fixture = fixture(&["zone-b", "zone-a", "zone-c"]);
    for draw in 0..10 {
        assert_eq!(fixture.choose(&[], draw), Ok(id("u1")));
    }
}

#[test]
fn tried_upstreams_are_not_chosen_again() {
    let fixture = fixture(&["zone-a", "zone-b"]);
    assert_eq!(fixture.choose(&[id("u0")], 0), Ok(id("u1")));
    assert_eq!(fixture.choose(&[id("u0"), id("u1")], 0), Err(NoPlace::Full));
}

/// An upstream stops answering while its entry still exists.
#[test]
fn back_off_grows_with_each_failure() {
    let mut fixture = fixture(&["zone-a", "zone-b"]);
    fixture.loads.record_failure(&id("u0"), fixture.now);
    assert_eq!(fixture.choose(&[], 0), Ok(id("u1")));
    fixture.now += Duration::from_millis(500);
    fixture.loads.record_failure(&id("u0"), fixture.now);
    fixture.now += Duration::from_millis(500);
    assert_eq!(fixture.choose(&[id("u1")], 0), Err(NoPlace::Full));
    fixture.now += Duration::from_millis(500);
    assert_eq!(fixture.choose(&[id("u1")], 0), Ok(id("u0")));
}

/// An upstream answers half of its requests with errors while its health is good.
#[test]
fn upstream_that_fails_half_of_its_requests_is_not_preferred() {
    let mut fixture = fixture(&["zone-a", "zone-a"]);
    for _ in 0..10 {
        fixture.loads.record_error_answer(&id("u0"));
        fixture
            .loads
            .record_success(&id("u1"), Duration::from_millis(60));
    }
    for draw in 0..10 {
        assert_eq!(fixture.choose(&[], draw), Ok(id("u1")));
    }
}

/// One upstream takes several times as long as the others.
#[test]
fn straggler_is_not_preferred() {
    let mut fixture = fixture(&["zone-a", "zone-a", "zone-a", "zone-a"]);
    for _ in 0..10 {
        for name in ["u1", "u2", "u3"] {
            fixture
                .loads
                .record_success(&id(name), Duration::from_millis(60));
        }
        fixture
            .loads
            .record_success(&id("u0"), Duration::from_millis(600));
    }
    for draw in 0..10 {
        assert_ne!(fixture.choose(&[], draw), Ok(id("u0")));
    }
}

#[test]
fn unknown_service_has_no_upstream() {
    let mut fixture = fixture(&["zone-a"]);
    fixture.service = id("nobody");
    assert_eq!(fixture.choose(&[], 0), Err(NoPlace::None));
}

/// A group lost a member, so none of its streams progresses, but its entry does not show that yet.
#[test]
fn upstream_with_stalled_streams_gets_no_new_requests() {
    let mut fixture = fixture(&["zone-a", "zone-b"]);
    fixture.loads.record_stream_start(&id("u0"), fixture.now);
    fixture.now += Duration::from_millis(200);
    assert_eq!(fixture.choose(&[], 0), Ok(id("u0")));
    fixture.now += Duration::from_millis(100);
    assert_eq!(fixture.choose(&[], 0), Ok(id("u1")));
    fixture.loads.record_stream_progress(&id("u0"), fixture.now);
    assert_eq!(fixture.choose(&[], 0), Ok(id("u0")));
    fixture.now += Duration::from_secs(1);
    fixture.loads.record_stream_end(&id("u0"));
    assert_eq!(
        fixture.choose(&[], 0),
        Ok(id("u0")),
        "no open stream is left that could be stalled"
    );
}

#[test]
fn requests_are_served_only_in_their_allowed_domains() {
    let mut fixture = fixture(&["zone-a", "zone-b"]);
    fixture.domains = Some(BTreeSet::from([id("zone-b")]));
    assert_eq!(fixture.choose(&[], 0), Ok(id("u1")));
    fixture.domains = Some(BTreeSet::from([id("zone-c")]));
    assert_eq!(fixture.choose(&[], 0), Err(NoPlace::None));
}

/// Guards against requests to an upstream that is leaving while others have a place, and against
/// refusals while it still serves; a new lifetime of its id is free.
#[test]
fn upstream_that_is_leaving_is_used_last_and_not_for_long() {
    let mut fixture = fixture(&["zone-a", "zone-b"]);
    let lifetime = fixture.view.upstreams[&id("u0")].lifetime();
    fixture.departures.record_answer(lifetime, fixture.now);
    for _ in 0..6 {
        assert_eq!(fixture.choose(&[], 0), Ok(id("u1")));
        fixture.loads.started(&id("u1"));
    }
    assert_eq!(fixture.choose(&[], 0), Ok(id("u0")));
    fixture.now += DRAIN_TIME / 2;
    assert_eq!(fixture.choose(&[], 0), Err(NoPlace::Full));
    fixture.loads.ended(&id("u1"));
    assert_eq!(fixture.choose(&[], 0), Ok(id("u1")));
    assert_eq!(fixture.choose(&[id("u1")], 0), Err(NoPlace::Full));
    fixture.domains = Some(BTreeSet::from([id("zone-a")]));
    assert_eq!(fixture.choose(&[], 0), Err(NoPlace::None));
    let mut restarted = plain_upstream("u0", "booking", "zone-a");
    restarted.born += 1;
    fixture.view = view_of([restarted], fixture.now);
    assert_eq!(fixture.choose(&[], 0), Ok(id("u0")));
}

/// Guards against requests to an upstream that asked for none, also after it has answered an earlier
/// request with success or a shorter time, and against callers that wait for a place in vain.
#[test]
fn upstream_that_asked_for_no_requests_gets_none_until_the_end() {
    let mut fixture = fixture(&["zone-a", "zone-b"]);
    let lifetimes = ["u0", "u1"].map(|name| fixture.view.upstreams[&id(name)].lifetime());
    let wait = Duration::from_secs(3);
    let end = fixture.now + wait;
    assert!(
        fixture
            .cooldowns
            .record_answer(lifetimes[0], wait, fixture.now)
    );
    fixture
        .loads
        .record_success(&id("u0"), Duration::from_millis(60));
    fixture
        .cooldowns
        .record_answer(lifetimes[0], Duration::from_secs(1), fixture.now);
    assert_eq!(fixture.choose(&[], 0), Ok(id("u1")));
    assert_eq!(
        fixture.choose(&[id("u1")], 0),
        Err(NoPlace::CoolingDown(end))
    );
    fixture.loads.started(&id("u1"));
    for _ in 0..5 {
        fixture.loads.started(&id("u1"));
    }
    assert_eq!(fixture.choose(&[], 0), Err(NoPlace::Full));
    fixture
        .cooldowns
        .record_answer(lifetimes[1], wait * 2, fixture.now);
    fixture.now += Duration::from_millis(2_999);
    assert_eq!(fixture.choose(&[], 0), Err(NoPlace::CoolingDown(end)));
    fixture.now = end;
    assert_eq!(fixture.choose(&[], 0), Ok(id("u0")));
}
