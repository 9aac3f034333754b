//! Compares routers on the same seeded load of one failure domain:
//! `cargo run --release -p shallottide --example routing_compare`.
//!
//! Simulated engines batch continuously and have a bounded prefix cache; one of them is a
//! straggler. Every group accepts calls up to its limit, and a call is refused after three full
//! groups. Time is simulated; there are no sockets.

mod baselines;
mod engine;
mod views;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use shallottide::admission::RequestOutcome;
use shallottide::groups::rendezvous;
use shallottide::kernel::Context;
use shallottide::routing::{Route, RouteQuery, Router, RoutingOptions, SlotRouter};
use shallottide::view::{DispatcherLoad, MemberView, NodeState};
use shallottide_types::clock::{Clock, ManualClock};
use shallottide_types::id::StoreIndex;
use shallottide_types::peer::{LoadSummary, NodeInfo, Slot};

use baselines::{LeastInFlight, RoundRobin};
use engine::{Engine, Running};
use views::{call_head, node_info, publish_views};

/// Entry VMs that callers reach; one more dispatches to all groups.
const ENTRIES: usize = 7;
const GROUPS: usize = 12;
/// Calls that a group accepts at once.
const LIMIT: u32 = 16;
/// Length of a simulation step.
const STEP_MS: u64 = 5;
/// Length of a run.
const RUN_SECONDS: u64 = 300;
/// Distinct prompt prefixes; low numbers are drawn more often.
const PREFIXES: u64 = 400;
/// Capacity of an engine's cache, in prefixes.
const CACHE_PREFIXES: usize = 60;
/// Prefill time on an idle engine, with the prefix cached and without.
const PREFILL_HIT_MS: f64 = 60.0;
const PREFILL_MISS_MS: f64 = 400.0;
/// Time between tokens of a lone call, and its increase for each concurrent call.
const TOKEN_MS: f64 = 20.0;
const TOKEN_MS_PER_CONCURRENT: f64 = 1.5;
/// Factor by which the straggler is slower.
const STRAGGLER_SLOWDOWN: f64 = 3.0;
/// Groups that a call tries before it is refused.
const MAX_ATTEMPTS: usize = 3;
/// Time between load summaries.
const SUMMARY_INTERVAL_MS: u64 = 1_000;

/// A deterministic random number generator.
struct SeededRandom {
    seed: u64,
    drawn: u64,
}

impl SeededRandom {
    fn below(&mut self, bound: u64) -> u64 {
        self.drawn += 1;
        rendezvous::weight(self.seed, &self.drawn.to_string()) % bound
    }
}

fn id<T: std::str::FromStr<Err: std::fmt::Debug>>(text: &str) -> T {
    text.parse().expect("valid id")
}

fn slot(number: usize) -> Slot {
    Slot::Group(id(&format!("g{number:02}")))
}

struct Simulation {
    clock: ManualClock,
    entries: Vec<(Context, Box<dyn Router>)>,
    engines: Vec<Engine>,
    members: MemberView,
    dispatcher: NodeInfo,
    random: SeededRandom,
    results: Results,
}

#[derive(Default)]
struct Results {
    first_token_ms: Vec<u64>,
    between_ms: Vec<u64>,
    refused: u64,
    tries: u64,
}

impl Simulation {
    fn new(seed: u64, router: &dyn Fn(&NodeInfo) -> Box<dyn Router>) -> Self {
        let clock = ManualClock::default();
        let dispatcher = node_info("dispatcher");
        let entry = |number: usize| {
            let me = node_info(&format!("entry-{number}"));
            let cx = Context::new(Arc::new(clock.clone()), me);
            publish_views(&cx, &dispatcher.node);
            (cx, router(&dispatcher))
        };
        let engine = |number: usize| Engine {
            slowdown: if number == 0 { STRAGGLER_SLOWDOWN } else { 1.0 },
            ..Engine::default()
        };
        let entries = (0..ENTRIES).map(entry).collect();
        let state = NodeState {
            info: dispatcher.clone(),
            last_seen: clock.now(),
            alive: true,
            config_index: StoreIndex(1),
        };
        Self {
            entries,
            engines: (0..GROUPS).map(engine).collect(),
            members: MemberView {
                nodes: BTreeMap::from([(dispatcher.node.clone(), state)]),
                loads: BTreeMap::new(),
            },
            dispatcher,
            random: SeededRandom { seed, drawn: 0 },
            results: Results::default(),
            clock,
        }
    }

    fn run(mut self, calls_per_second: u64) -> Results {
        let mut number = 0;
        for step in 0..RUN_SECONDS * 1_000 / STEP_MS {
            let now_ms = step * STEP_MS;
            self.clock.advance(Duration::from_millis(STEP_MS));
            if now_ms.is_multiple_of(SUMMARY_INTERVAL_MS) {
                self.publish_loads();
            }
            for index in 0..GROUPS {
                for call in self.engines[index].step(now_ms) {
                    self.finish_call(&call, now_ms);
                }
            }
            // Two draws per step make arrivals bursty, like those of real callers.
            for _ in 0..2 {
                if self.random.below(2_000_000) < calls_per_second * STEP_MS * 1_000 {
                    number += 1;
                    self.start_call(number, now_ms);
                }
            }
        }
        self.results
    }

    fn publish_loads(&mut self) {
        for (number, engine) in self.engines.iter().enumerate() {
            let slot = slot(number);
            let load = LoadSummary {
                slot: slot.clone(),
                in_flight: u32::try_from(engine.running.len()).expect("few"),
                limit: LIMIT,
            };
            let node = self.dispatcher.node.clone();
            let heard_at = self.clock.now();
            let load = DispatcherLoad {
                node,
                load,
                received_at: heard_at,
            };
            self.members.loads.insert(slot, load);
        }
        for (cx, _) in &self.entries {
            cx.publish_members(self.members.clone());
        }
    }

    fn start_call(&mut self, number: u64, now_ms: u64) {
        let entry = usize::try_from(self.random.below(ENTRIES as u64)).expect("small");
        let prefix = self.random.below(PREFIXES).min(self.random.below(PREFIXES));
        let tokens = 20 + self.random.below(80);
        let head = call_head(number, prefix);
        let mut tried = BTreeSet::new();
        for _ in 0..MAX_ATTEMPTS {
            let query = RouteQuery {
                head: &head,
                forwarded_slot: None,
                tried: &tried,
                tried_domains: &BTreeSet::new(),
                own_domain_only: false,
            };
            self.results.tries += 1;
            let (cx, router) = &mut self.entries[entry];
            let Ok(route) = router.route(&query, cx) else {
                break;
            };
            let Route::Peer { slot: chosen, .. } = &route else {
                break;
            };
            let index = (0..GROUPS).position(|n| slot(n) == *chosen).expect("known");
            let engine = &mut self.engines[index];
            if engine.running.len() >= LIMIT as usize {
                tried.insert(chosen.clone());
                continue;
            }
            router.record_start(&route, cx);
            let prefill_left = engine.prefill(prefix);
            #[expect(clippy::cast_precision_loss, reason = "small counts")]
            let tokens = tokens as f64;
            engine.running.push(Running {
                entry,
                route,
                started_ms: now_ms,
                prefill_left,
                first_token_ms: None,
                tokens_left: tokens,
                tokens,
            });
            return;
        }
        self.results.refused += 1;
    }

    #[expect(
        clippy::cast_precision_loss,
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "small positive counts"
    )]
    fn finish_call(&mut self, call: &Running, now_ms: u64) {
        let first_ms = call.first_token_ms.unwrap_or(now_ms);
        let between = (now_ms - first_ms) as f64 / call.tokens;
        self.results.first_token_ms.push(first_ms - call.started_ms);
        self.results.between_ms.push(between as u64);
        let (cx, router) = &mut self.entries[call.entry];
        let finished = RequestOutcome {
            complete: true,
            started: cx.now(),
            first_byte: Some(Duration::from_millis(first_ms - call.started_ms)),
        };
        router.record_finish(&call.route, &finished, cx);
    }
}

fn percentile(values: &mut [u64], percent: usize) -> u64 {
    values.sort_unstable();
    let index = (values.len().saturating_sub(1)) * percent / 100;
    values.get(index).copied().unwrap_or(0)
}

type MakeRouter = Box<dyn Fn(&NodeInfo) -> Box<dyn Router>>;

fn routers() -> Vec<(&'static str, MakeRouter)> {
    vec![
        (
            "round robin",
            Box::new(|dispatcher| {
                let dispatcher = dispatcher.clone();
                Box::new(RoundRobin {
                    next: 0,
                    dispatcher,
                })
            }),
        ),
        (
            "least in flight",
            Box::new(|dispatcher| {
                let dispatcher = dispatcher.clone();
                let in_flight = BTreeMap::new();
                Box::new(LeastInFlight {
                    in_flight,
                    dispatcher,
                })
            }),
        ),
        (
            "SlotRouter without affinity",
            Box::new(|_| {
                Box::new(SlotRouter::new(RoutingOptions {
                    affinity_slack_percent: 0,
                    ..RoutingOptions::default()
                }))
            }),
        ),
        (
            "SlotRouter",
            Box::new(|_| Box::new(SlotRouter::new(RoutingOptions::default()))),
        ),
    ]
}

fn main() {
    println!(
        "| calls/s | seed | router | first token p50, p95, p99, ms | between tokens p95, ms | served | refused | tries |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- | --- |");
    for calls_per_second in [30, 50, 65] {
        for seed in 1..=2 {
            for (name, router) in routers() {
                let mut results = Simulation::new(seed, &*router).run(calls_per_second);
                let first = &mut results.first_token_ms;
                let (p50, p95, p99) = (
                    percentile(first, 50),
                    percentile(first, 95),
                    percentile(first, 99),
                );
                let between = percentile(&mut results.between_ms, 95);
                let served = results.first_token_ms.len();
                let Results { refused, tries, .. } = results;
                println!(
                    "| {calls_per_second} | {seed} | {name} | {p50}, {p95}, {p99} | {between} | {served} | {refused} | {tries} |"
                );
            }
        }
    }
}
