//! Upstreams that ask for no requests for a time get few from the nodes that they asked.

mod support;

use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use shallottide_fleet::ClusterView;
use shallottide_fleet::balance::{LoadTracker, Need, NoPlace, SendLimits};
use shallottide_fleet::cold_gate::ColdGate;
use shallottide_fleet::cooldowns::{Cooldowns, MAX_COOLDOWN};
use shallottide_fleet::crash_evidence::Lifetime;
use shallottide_fleet::departures::Departures;
use shallottide_fleet::named_limits::NamedLimits;
use shallottide_types::cases;
use shallottide_types::id::{DomainId, NodeId, ServiceId, UpstreamId};
use support::{id, plain_upstream, view_of};

const SEEDS: u64 = 4;
const STEP: Duration = Duration::from_millis(10);
const UPSTREAMS: usize = 6;
/// Time from the answer from which requests count, and the most until the end of the wait.
const REACTION_TIME: Duration = Duration::from_millis(500);
const MAX_REQUESTS: usize = 2;
/// Longest times of a request on its way and of its work.
const MAX_TRANSIT: Duration = Duration::from_millis(200);
const MAX_WORK: Duration = Duration::from_millis(400);
/// Requests of a node in one step.
const REQUESTS_PER_STEP: f64 = 0.4;
/// When upstreams begin to turn requests away, and for how long they do.
const ASKS_FROM: Duration = Duration::from_secs(1);
const ASKS_FOR: Duration = Duration::from_secs(4);
const END: Duration = Duration::from_secs(9);

/// One simulated service; its first `asking` upstreams turn requests away.
#[derive(Debug, Clone, Copy)]
struct Scenario {
    nodes: usize,
    asking: usize,
    wait: Duration,
    /// Share of the requests that they run all the same.
    run_share: f64,
}

impl Default for Scenario {
    fn default() -> Self {
        Self {
            nodes: 7,
            asking: 2,
            wait: Duration::from_secs(2),
            run_share: 0.3,
        }
    }
}

struct Node {
    id: NodeId,
    domain: DomainId,
    loads: LoadTracker,
    cooldowns: Cooldowns,
}

impl Node {
    fn new(number: usize) -> Self {
        Self {
            id: id(&format!("node-{number}")),
            domain: id("zone-a"),
            loads: LoadTracker::default(),
            cooldowns: Cooldowns::default(),
        }
    }

    fn choose(&self, view: &ClusterView, now: Instant, draw: u32) -> Result<UpstreamId, NoPlace> {
        let service: ServiceId = id("booking");
        let need = Need {
            service: &service,
            model: None,
            domains: None,
            tried: &[],
            queue: 1_000,
        };
        let limits = SendLimits {
            cold: &ColdGate::default(),
            named: &NamedLimits::default(),
            cooldowns: &self.cooldowns,
            departures: &Departures::default(),
        };
        let own = (&self.id, &self.domain);
        let chosen = self.loads.choose(&need, view, limits, own, now, draw);
        chosen.map(|choice| choice.upstream)
    }
}

#[derive(Debug, Clone, Copy)]
struct Request {
    node: usize,
    upstream: usize,
    arrives_at: Instant,
    answered_at: Instant,
    is_turned_away: bool,
}

#[derive(Debug, Default)]
struct Outcome {
    /// The most requests of one node to one upstream while it had asked for none.
    most: usize,
    /// Requests to the upstreams that asked, after they ended to.
    afterwards: usize,
    refused: usize,
}

fn play(scenario: Scenario, seed: u64) -> Outcome {
    let mut rng = StdRng::seed_from_u64(seed);
    let start = Instant::now();
    let ids: Vec<UpstreamId> = (0..UPSTREAMS)
        .map(|number| id(&format!("u{number}")))
        .collect();
    let upstreams = ids
        .iter()
        .map(|id| plain_upstream(id.as_str(), "booking", "zone-a"));
    let view = view_of(upstreams, start);
    let lifetimes: Vec<Lifetime> = ids.iter().map(|id| view.upstreams[id].lifetime()).collect();
    let mut nodes: Vec<_> = (0..scenario.nodes).map(Node::new).collect();
    let asks = |at: Instant| at >= start + ASKS_FROM && at < start + ASKS_FROM + ASKS_FOR;
    let mut requests: Vec<Request> = Vec::new();
    let mut open: Vec<Request> = Vec::new();
    let mut outcome = Outcome::default();
    let mut now = start;
    while now < start + END {
        now += STEP;
        for request in open.extract_if(.., |request| now >= request.answered_at) {
            let (node, upstream) = (&mut nodes[request.node], &ids[request.upstream]);
            node.loads.ended(upstream);
            if request.is_turned_away {
                let lifetime = lifetimes[request.upstream];
                node.cooldowns.record_answer(lifetime, scenario.wait, now);
            } else {
                node.loads.record_success(upstream, MAX_WORK);
            }
        }
        for (number, node) in nodes.iter_mut().enumerate() {
            if !rng.random_bool(REQUESTS_PER_STEP) {
                continue;
            }
            let Ok(chosen) = node.choose(&view, now, rng.random()) else {
                outcome.refused += 1;
                continue;
            };
            node.loads.started(&chosen);
            let upstream = ids.iter().position(|id| *id == chosen);
            let upstream = upstream.expect("a known upstream");
            let arrives_at = now + MAX_TRANSIT.mul_f64(rng.random());
            let is_turned_away = upstream < scenario.asking
                && asks(arrives_at)
                && !rng.random_bool(scenario.run_share);
            let work = if is_turned_away {
                Duration::ZERO
            } else {
                MAX_WORK.mul_f64(rng.random())
            };
            let request = Request {
                node: number,
                upstream,
                arrives_at,
                answered_at: arrives_at + work,
                is_turned_away,
            };
            requests.push(request);
            open.push(request);
        }
    }
    judge(
        &requests,
        scenario,
        start + ASKS_FROM + ASKS_FOR,
        &mut outcome,
    );
    outcome
}

fn judge(requests: &[Request], scenario: Scenario, ends: Instant, outcome: &mut Outcome) {
    for asked in requests.iter().filter(|request| request.is_turned_away) {
        let (from, until) = (
            asked.answered_at + REACTION_TIME,
            asked.answered_at + scenario.wait,
        );
        let counted = requests.iter().filter(|request| {
            (request.node, request.upstream) == (asked.node, asked.upstream)
                && request.arrives_at > from
                && request.arrives_at < until
        });
        outcome.most = outcome.most.max(counted.count());
    }
    let afterwards = requests.iter().filter(|request| {
        request.upstream < scenario.asking && request.arrives_at > ends + scenario.wait
    });
    outcome.afterwards = afterwards.count();
}

/// Guards against requests to upstreams that asked for none (BUDGET), although requests that were on
/// their way still succeed, and against upstreams that stay without requests afterwards.
fn upstreams_that_ask_for_no_requests_get_few(scenario: Scenario) {
    let seeds = if scenario.nodes > 30 { 1 } else { SEEDS };
    for seed in 0..seeds {
        let outcome = play(scenario, seed);
        assert!(outcome.most <= MAX_REQUESTS, "seed {seed}: {outcome:?}");
        assert!(outcome.afterwards > 0, "seed {seed}: {outcome:?}");
        let all_ask = scenario.asking == UPSTREAMS;
        assert_eq!(outcome.refused > 0, all_ask, "seed {seed}: {outcome:?}");
    }
}

cases! {
    upstreams_that_ask_for_no_requests_get_few;
    two_nodes: Scenario { nodes: 2, ..Scenario::default() };
    seven_nodes: Scenario::default();
    seven_nodes_and_a_short_wait: Scenario { wait: Duration::from_millis(700), ..Scenario::default() };
    seven_nodes_and_no_request_is_run: Scenario { run_share: 0.0, ..Scenario::default() };
    seven_nodes_at_one_that_does_not_ask: Scenario { asking: UPSTREAMS - 1, ..Scenario::default() };
    seven_nodes_at_all_upstreams: Scenario { asking: UPSTREAMS, run_share: 0.0, ..Scenario::default() };
    hundred_nodes: Scenario { nodes: 100, ..Scenario::default() };
    four_hundred_nodes: Scenario { nodes: 400, ..Scenario::default() };
}

/// Guards against an upstream that a damaged value excludes for good, a panic over such a value, and a
/// cooldown that binds a later lifetime.
#[test]
fn overlong_wait_is_cut_and_holds_for_one_lifetime() {
    let now = Instant::now();
    let lifetime = |born| Lifetime::new(&id("u0"), born);
    let mut cooldowns = Cooldowns::default();
    assert!(!cooldowns.record_answer(lifetime(1), Duration::ZERO, now));
    assert!(cooldowns.is_empty());
    assert!(cooldowns.record_answer(lifetime(1), Duration::MAX, now));
    assert!(!cooldowns.record_answer(lifetime(1), Duration::MAX, now));
    assert_eq!(cooldowns.end(lifetime(2), now), None);
    let end = now + MAX_COOLDOWN;
    assert_eq!(cooldowns.end(lifetime(1), now), Some(end));
    assert_eq!(cooldowns.end(lifetime(1), end), None);
    cooldowns.expire(end);
    assert!(cooldowns.is_empty());
}
