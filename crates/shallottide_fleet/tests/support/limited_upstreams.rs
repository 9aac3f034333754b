//! Simulated nodes that send requests to upstreams which name limits.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::seq::IteratorRandom;
use rand::{RngExt, SeedableRng};
use shallottide_fleet::crash_evidence::Lifetime;
use shallottide_fleet::named_limits::{LimitReport, NamedLimits};
use shallottide_fleet::report_targets::REPORT_FANOUT;
use shallottide_fleet::request_rate::RequestRate;
use shallottide_types::id::NodeId;

use super::id;

const STEP: Duration = Duration::from_millis(20);
/// Steps between two reports of a node.
const REPORT_STEPS: u32 = 10;
/// Time from sending a request until its answer begins.
const ANSWER_DELAY: Duration = Duration::from_millis(100);
/// Longest time that a request is on its way.
const MAX_TRANSIT: Duration = Duration::from_millis(40);
/// Share of the reports between nodes that get lost.
const REPORT_LOSS: f64 = 0.02;
/// Upstreams of which a node chooses the one with the fewest requests.
const CHOICES: usize = 3;
/// When the upstreams begin to name limits, and when they stop.
const NAMED_FROM: Duration = Duration::from_secs(3);
/// Time from the first limit from which the rule binds, and time after which a node that was told
/// counts.
const REACTION_TIME: Duration = Duration::from_secs(3);
const TOLD_TIME: Duration = Duration::from_millis(500);
/// The window of the rule, and what requests may exceed the limit by in it.
const WINDOW: Duration = Duration::from_secs(4);
const MAX_FACTOR: f64 = 1.5;
const MAX_EXTRA: f64 = 5.0;

/// What happens to the nodes besides.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum NodeFault {
    None,
    /// A third of the nodes hears no reports and sends none.
    CutOff,
    /// The nodes restart in turn, one a second.
    Restart,
    /// All nodes are killed at once, five seconds after the limits began.
    AllKilled,
}

/// One simulated day.
#[derive(Debug, Clone, Copy)]
pub(crate) struct LimitScenario {
    pub(crate) nodes: usize,
    pub(crate) upstreams: usize,
    /// The limit that each of the first `limited` upstreams names.
    pub(crate) limit: &'static str,
    pub(crate) limited: usize,
    /// Requests a second over all nodes.
    pub(crate) rate: f64,
    pub(crate) named_for: Duration,
    pub(crate) fault: NodeFault,
}

impl Default for LimitScenario {
    fn default() -> Self {
        Self {
            nodes: 7,
            upstreams: 20,
            limit: "3.6",
            limited: 14,
            rate: 160.0,
            named_for: Duration::from_secs(16),
            fault: NodeFault::None,
        }
    }
}

/// What the limited upstreams got.
#[derive(Debug, Default)]
pub(crate) struct LimitOutcome {
    /// The most by which requests in a window exceeded what the rule allows, over all upstreams.
    pub(crate) excess: f64,
    /// Requests while the limits held, as a share of what the limits allow.
    pub(crate) used: f64,
    /// Requests from some seconds after the limits ended, as a share of those before they began.
    pub(crate) recovered: f64,
}

struct Node {
    id: NodeId,
    limits: NamedLimits,
    /// When it first heard of each upstream's limit itself.
    told_at: BTreeMap<usize, Instant>,
    is_cut: bool,
    restarted_at: Option<Instant>,
}

struct Arrival {
    at: Instant,
    upstream: usize,
    is_counted: bool,
}

/// Plays a scenario.
pub(crate) fn play_limits(scenario: LimitScenario, seed: u64) -> LimitOutcome {
    let mut rng = StdRng::seed_from_u64(seed);
    let start = Instant::now();
    let limit: RequestRate = scenario.limit.parse().expect("a rate");
    let new_node = |number: usize| Node {
        id: id(&format!("node-{number}")),
        limits: NamedLimits::default(),
        told_at: BTreeMap::new(),
        is_cut: false,
        restarted_at: None,
    };
    let mut nodes: Vec<Node> = (0..scenario.nodes).map(new_node).collect();
    let ids: Vec<NodeId> = nodes.iter().map(|node| node.id.clone()).collect();
    let all: Vec<&NodeId> = ids.iter().collect();
    let lifetimes: Vec<_> = (0..scenario.upstreams)
        .map(|number| Lifetime::new(&id(&format!("e{number}")), 1))
        .collect();
    let (from, until) = (start + NAMED_FROM, start + NAMED_FROM + scenario.named_for);
    let end = until + Duration::from_secs(9);
    let mut arrivals: Vec<Arrival> = Vec::new();
    let mut answers: Vec<(Instant, usize, usize)> = Vec::new();
    let (mut now, mut step) = (start, 0_u32);
    while now < end {
        now += STEP;
        step += 1;
        disturb(&mut nodes, scenario.fault, (now - start, now), new_node);
        let arrived = answers.extract_if(.., |(at, ..)| now >= *at);
        for (_, node, upstream) in arrived {
            let is_named = upstream < scenario.limited && now >= from && now < until;
            let node = &mut nodes[node];
            let named = is_named.then_some(limit);
            node.limits.record_answer(lifetimes[upstream], named, now);
            if is_named {
                node.told_at.entry(upstream).or_insert(now);
            }
        }
        if step.is_multiple_of(REPORT_STEPS) {
            exchange(&mut nodes, &all, now, &mut rng);
        }
        let mut due = scenario.rate * STEP.as_secs_f64();
        while due > 0.0 && rng.random_bool(due.min(1.0)) {
            due -= 1.0;
            let number = rng.random_range(0..nodes.len());
            let node = &mut nodes[number];
            let open = (0..scenario.upstreams)
                .filter(|upstream| node.limits.allows(lifetimes[*upstream], now));
            // Limited upstreams have fewer requests than others, so they come first.
            let Some(upstream) = open.sample(&mut rng, CHOICES).into_iter().min() else {
                continue;
            };
            node.limits.sent(lifetimes[upstream], now);
            let told = node.told_at.get(&upstream);
            let is_calm = node.restarted_at.is_none_or(|at| now >= at + REACTION_TIME);
            let at = now + MAX_TRANSIT.mul_f64(rng.random());
            arrivals.push(Arrival {
                at,
                upstream,
                is_counted: told.is_some_and(|told| at >= *told + TOLD_TIME) && is_calm,
            });
            answers.push((at + ANSWER_DELAY, number, upstream));
        }
    }
    judge(&arrivals, scenario, limit, (start, from, until, end))
}

fn disturb(
    nodes: &mut [Node],
    fault: NodeFault,
    (elapsed, now): (Duration, Instant),
    new_node: impl Fn(usize) -> Node,
) {
    let restarted = |number: usize| Node {
        restarted_at: Some(now),
        ..new_node(number)
    };
    match fault {
        NodeFault::CutOff => {
            let cut = nodes.len().div_ceil(3);
            for node in &mut nodes[..cut] {
                node.is_cut = true;
            }
        }
        NodeFault::Restart if elapsed.as_millis().is_multiple_of(1_000) => {
            let second = usize::try_from(elapsed.as_secs()).expect("a small number");
            let number = second % nodes.len();
            nodes[number] = restarted(number);
        }
        NodeFault::AllKilled if elapsed == NAMED_FROM + Duration::from_secs(5) => {
            for (number, node) in nodes.iter_mut().enumerate() {
                *node = restarted(number);
            }
        }
        _ => {}
    }
}

fn exchange(nodes: &mut [Node], all: &[&NodeId], now: Instant, rng: &mut StdRng) {
    let mut sent: Vec<(usize, Vec<LimitReport>)> = Vec::new();
    for (number, node) in nodes.iter_mut().enumerate() {
        node.limits.update_shares(&node.id, all, now);
        if node.is_cut {
            continue;
        }
        let targets = (0..all.len()).filter(|other| *other != number);
        for target in targets.sample(rng, REPORT_FANOUT) {
            for report in node.limits.reports(now) {
                if !rng.random_bool(REPORT_LOSS) {
                    sent.push((target, report));
                }
            }
        }
    }
    for (target, report) in sent {
        if !nodes[target].is_cut {
            nodes[target].limits.merge(&report, now);
        }
    }
}

fn judge(
    arrivals: &[Arrival],
    scenario: LimitScenario,
    limit: RequestRate,
    (start, from, until, end): (Instant, Instant, Instant, Instant),
) -> LimitOutcome {
    let per_second = f64::from(limit.0) / 1_000.0;
    let allowed = MAX_FACTOR * per_second * WINDOW.as_secs_f64() + MAX_EXTRA;
    let limited = |arrival: &&Arrival| arrival.upstream < scenario.limited;
    let rate = |first: Instant, last: Instant| {
        let between = |arrival: &&Arrival| arrival.at >= first && arrival.at < last;
        let count = arrivals.iter().filter(limited).filter(between).count();
        let count = f64::from(u32::try_from(count).expect("a small number"));
        count / (last - first).as_secs_f64()
    };
    let mut excess = f64::MIN;
    for upstream in 0..scenario.limited {
        let counted = arrivals.iter().filter(|arrival| {
            arrival.upstream == upstream
                && arrival.is_counted
                && arrival.at >= from + REACTION_TIME
                && arrival.at < until
        });
        let times: Vec<_> = counted.map(|arrival| arrival.at).collect();
        for first in &times {
            let in_window = times
                .iter()
                .filter(|at| **at >= *first && **at < *first + WINDOW);
            let count = u32::try_from(in_window.count()).expect("a small number");
            excess = excess.max(f64::from(count) - allowed);
        }
    }
    let limited_count = f64::from(u32::try_from(scenario.limited).expect("a small number"));
    LimitOutcome {
        excess,
        used: rate(from + REACTION_TIME, until) / (per_second * limited_count),
        recovered: rate(until + Duration::from_secs(5), end) / rate(start, from),
    }
}
