//! Upstreams that announce that they are leaving get no requests soon after.

mod support;

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::seq::IteratorRandom;
use rand::{RngExt, SeedableRng};
use shallottide_fleet::ClusterView;
use shallottide_fleet::balance::{LoadTracker, Need, NoPlace, SendLimits};
use shallottide_fleet::cold_gate::ColdGate;
use shallottide_fleet::cooldowns::Cooldowns;
use shallottide_fleet::crash_evidence::Lifetime;
use shallottide_fleet::departures::Departures;
use shallottide_fleet::named_limits::NamedLimits;
use shallottide_fleet::report_targets::REPORT_FANOUT;
use shallottide_fleet::view::KnownUpstream;
use shallottide_types::cases;
use shallottide_types::id::{DomainId, NodeId, ServiceId, UpstreamId};
use support::{id, plain_upstream, view_of};

const SEEDS: u64 = 4;
/// The bound on requests after an announcement, from when callers send them.
const DRAIN_TIME: Duration = Duration::from_secs(2);
const STEP: Duration = Duration::from_millis(20);
/// Steps between two reports of a node.
const REPORT_STEPS: u32 = 10;
/// Time from sending a request until its answer, and the longest that a request waits for a place.
const ANSWER_DELAY: Duration = Duration::from_millis(60);
const MAX_WAIT: Duration = Duration::from_millis(900);
/// Requests of a node in one step.
const REQUESTS_PER_STEP: f64 = 0.3;
const UPSTREAMS: usize = 6;
const LEAVES_AT: Duration = Duration::from_secs(1);
const END: Duration = Duration::from_secs(7);
/// Share of the reports between nodes that get lost.
const REPORT_LOSS: f64 = 0.1;

/// One simulated service; its first `leaving` upstreams leave.
#[derive(Debug, Clone, Copy)]
struct Scenario {
    nodes: usize,
    leaving: usize,
    /// Whether a third of the nodes hears no reports and sends none.
    is_partly_cut: bool,
    /// Whether the nodes restart in turn, two a second.
    restarts: bool,
}

impl Default for Scenario {
    fn default() -> Self {
        Self {
            nodes: 7,
            leaving: 2,
            is_partly_cut: false,
            restarts: false,
        }
    }
}

struct Node {
    id: NodeId,
    domain: DomainId,
    departures: Departures,
    /// When an answer with the announcement of each upstream first reached it.
    told_at: [Option<Instant>; UPSTREAMS],
    is_cut: bool,
}

impl Node {
    fn new(number: usize, scenario: Scenario) -> Self {
        Self {
            id: id(&format!("node-{number}")),
            domain: id("zone-a"),
            departures: Departures::new(DRAIN_TIME),
            told_at: [None; UPSTREAMS],
            is_cut: scenario.is_partly_cut && number.is_multiple_of(3),
        }
    }

    fn choose(&self, view: &ClusterView, now: Instant, draw: u32) -> Result<UpstreamId, NoPlace> {
        let service: ServiceId = id("booking");
        let need = Need {
            service: &service,
            model: None,
            domains: None,
            tried: &[],
            queue: 0,
        };
        let limits = SendLimits {
            cold: &ColdGate::default(),
            named: &NamedLimits::default(),
            cooldowns: &Cooldowns::default(),
            departures: &self.departures,
        };
        let own = (&self.id, &self.domain);
        let chosen = LoadTracker::default().choose(&need, view, limits, own, now, draw);
        chosen.map(|choice| choice.upstream)
    }
}

#[derive(Debug, Default)]
struct Outcome {
    /// Requests that reached an upstream although callers sent them after the bound.
    late: usize,
    /// Requests to an upstream that had announced its departure to the node.
    after_announcement: usize,
    /// Requests for which no upstream was chosen.
    refused: usize,
    /// Share of the nodes in contact that knew of all departures at the end.
    informed: f64,
}

fn play(scenario: Scenario, seed: u64) -> Outcome {
    let mut rng = StdRng::seed_from_u64(seed);
    let start = Instant::now();
    let ids: Vec<String> = (0..UPSTREAMS).map(|number| format!("u{number}")).collect();
    let upstreams = ids.iter().map(|id| plain_upstream(id, "booking", "zone-a"));
    let view = view_of(upstreams, start);
    let lifetimes: Vec<_> = view
        .upstreams
        .values()
        .map(KnownUpstream::lifetime)
        .collect();
    let mut nodes: Vec<_> = (0..scenario.nodes)
        .map(|number| Node::new(number, scenario))
        .collect();
    let mut waiting: Vec<(Instant, Instant, usize)> = Vec::new();
    let mut answers: Vec<(Instant, usize, usize)> = Vec::new();
    let mut outcome = Outcome::default();
    let (mut now, mut step) = (start, 0_u32);
    while now < start + END {
        now += STEP;
        step += 1;
        if scenario.restarts && step.is_multiple_of(25) {
            let number = step as usize / 25 % nodes.len();
            nodes[number] = Node::new(number, scenario);
            answers.retain(|(_, node, _)| *node != number);
        }
        for (_, node, upstream) in answers.extract_if(.., |(at, ..)| now >= *at) {
            if upstream < scenario.leaving && now >= start + LEAVES_AT {
                let node = &mut nodes[node];
                node.departures.record_answer(lifetimes[upstream], now);
                node.told_at[upstream].get_or_insert(now);
            }
        }
        if step.is_multiple_of(REPORT_STEPS) {
            exchange(&mut nodes, now, &mut rng);
        }
        for number in 0..nodes.len() {
            if rng.random_bool(REQUESTS_PER_STEP) {
                waiting.push((now, now + MAX_WAIT.mul_f64(rng.random()), number));
            }
        }
        for (sent_at, _, number) in waiting.extract_if(.., |(_, due, _)| now >= *due) {
            let node = &nodes[number];
            let Ok(chosen) = node.choose(&view, now, rng.random()) else {
                outcome.refused += 1;
                continue;
            };
            let upstream = ids.iter().position(|id| *id == chosen.as_str());
            let upstream = upstream.expect("a known upstream");
            answers.push((now + ANSWER_DELAY, number, upstream));
            if let Some(told_at) = node.told_at[upstream] {
                outcome.after_announcement += 1;
                outcome.late += usize::from(sent_at > told_at + DRAIN_TIME);
            }
        }
    }
    let leaving = &lifetimes[..scenario.leaving];
    let knows = |node: &&Node| leaving.iter().all(|l| node.departures.is_leaving(*l));
    let connected = || nodes.iter().filter(|node| !node.is_cut);
    let count = |count: usize| f64::from(u32::try_from(count).expect("a small number"));
    outcome.informed = count(connected().filter(knows).count()) / count(connected().count());
    outcome
}

fn exchange(nodes: &mut [Node], now: Instant, rng: &mut StdRng) {
    let mut sent = Vec::new();
    for (number, node) in nodes.iter().enumerate().filter(|(_, node)| !node.is_cut) {
        let others = (0..nodes.len()).filter(|other| *other != number);
        for target in others.sample(rng, REPORT_FANOUT) {
            for report in node.departures.reports(now) {
                if !rng.random_bool(REPORT_LOSS) {
                    sent.push((target, report));
                }
            }
        }
    }
    for (target, report) in sent {
        if !nodes[target].is_cut {
            nodes[target].departures.merge(&report, now);
        }
    }
}

/// Guards against requests to upstreams that have announced that they are leaving (DRAIN) while
/// others serve, and against nodes that hear of it only from their own callers' requests.
fn upstreams_that_leave_get_no_requests(scenario: Scenario) {
    let seeds = if scenario.nodes > 100 { 1 } else { SEEDS };
    for seed in 0..seeds {
        let outcome = play(scenario, seed);
        assert_eq!(outcome.late, 0, "seed {seed}: {outcome:?}");
        assert_eq!(outcome.after_announcement, 0, "seed {seed}: {outcome:?}");
        assert_eq!(outcome.refused, 0, "seed {seed}: {outcome:?}");
        if !scenario.restarts {
            assert!(outcome.informed >= 1.0, "seed {seed}: {outcome:?}");
        }
    }
}

cases! {
    upstreams_that_leave_get_no_requests;
    two_nodes: Scenario { nodes: 2, ..Scenario::default() };
    seven_nodes: Scenario::default();
    seven_nodes_at_one_that_stays: Scenario { leaving: UPSTREAMS - 1, ..Scenario::default() };
    seven_nodes_with_some_cut_off: Scenario { is_partly_cut: true, ..Scenario::default() };
    seven_nodes_that_restart: Scenario { restarts: true, ..Scenario::default() };
    hundred_nodes: Scenario { nodes: 100, ..Scenario::default() };
    four_hundred_nodes: Scenario { nodes: 400, ..Scenario::default() };
    four_hundred_nodes_with_some_cut_off: Scenario { nodes: 400, is_partly_cut: true, ..Scenario::default() };
}

/// Guards against late requests when all upstreams leave (DRAIN), and against refusals while they
/// still serve.
fn upstreams_that_all_leave_are_used_within_the_bound(scenario: Scenario) {
    for seed in 0..SEEDS {
        let outcome = play(scenario, seed);
        assert_eq!(outcome.late, 0, "seed {seed}: {outcome:?}");
        assert!(outcome.after_announcement > 0, "seed {seed}: {outcome:?}");
        assert!(outcome.refused > 0, "seed {seed}: {outcome:?}");
    }
}

cases! {
    upstreams_that_all_leave_are_used_within_the_bound;
    all_leave_two_nodes: Scenario { nodes: 2, leaving: UPSTREAMS, ..Scenario::default() };
    all_leave_thirty_nodes: Scenario { nodes: 30, leaving: UPSTREAMS, ..Scenario::default() };
    all_leave_thirty_nodes_with_some_cut_off: Scenario { nodes: 30, leaving: UPSTREAMS, is_partly_cut: true, ..Scenario::default() };
}

fn lifetime(born: u64) -> Lifetime {
    Lifetime::new(&id("u0"), born)
}

/// Guards against an upstream that started again and gets no requests, and against requests to one
/// whose entry lapsed for a while and returned.
#[test]
fn departure_holds_for_one_lifetime_and_while_its_entry_lapses() {
    let now = Instant::now();
    let mut departures = Departures::new(DRAIN_TIME);
    assert!(departures.record_answer(lifetime(1), now));
    assert!(!departures.record_answer(lifetime(1), now + DRAIN_TIME));
    assert!(!departures.is_leaving(lifetime(2)));
    let later = now + Duration::from_mins(30);
    departures.retain(&BTreeSet::from([lifetime(1)]), later);
    departures.retain(&BTreeSet::new(), later + Duration::from_mins(5));
    assert!(departures.is_leaving(lifetime(1)));
    assert!(!departures.allows_last_use(lifetime(1), later));
    departures.retain(&BTreeSet::new(), later + Duration::from_mins(15));
    assert!(departures.is_empty());
}

/// Guards against a bound that is extended by each further answer, or by a peer that heard later.
#[test]
fn bound_counts_from_the_first_announcement() {
    let now = Instant::now();
    let mut departures = Departures::new(DRAIN_TIME);
    departures.record_answer(lifetime(1), now);
    let later = now + DRAIN_TIME * 3 / 4;
    departures.record_answer(lifetime(1), later);
    let mut peer = Departures::new(DRAIN_TIME);
    peer.record_answer(lifetime(1), later);
    for report in peer.reports(later) {
        assert_eq!(departures.merge(&report, later), 0);
    }
    assert!(!departures.allows_last_use(lifetime(1), later));
}

/// Guards against reports that do not fit a datagram, or that are sent on and on.
#[test]
fn reports_are_small_and_end() {
    let now = Instant::now();
    let mut departures = Departures::new(DRAIN_TIME);
    for born in 0..200 {
        departures.record_answer(lifetime(born), now);
    }
    let reports = departures.reports(now + Duration::from_secs(1));
    assert_eq!(reports.iter().map(Vec::len).sum::<usize>(), 200);
    for report in &reports {
        let bytes = bincode::serde::encode_to_vec(report, bincode::config::standard());
        assert!(bytes.expect("encodes").len() <= 1_300);
    }
    let mut peer = Departures::new(DRAIN_TIME);
    for report in &reports {
        peer.merge(report, now);
    }
    assert_eq!(peer.len(), 200);
    assert!(peer.reports(now).is_empty(), "peers do not pass them on");
    assert!(departures.reports(now + Duration::from_secs(5)).is_empty());
}
