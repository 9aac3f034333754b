//! Compares routers on the same seeded load of one failure domain:
//! `cargo run --release -p shallottide --example routing_compare`.
//!
//! Simulated engines batch continuously, keep a bounded prefix cache, and one of them
//! straggles. Every group takes at most its limit; a call tries three groups, then it is
//! refused. Simulated time, no sockets.

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
use views::{head, node, publish};

/// Entry VMs that callers reach, and one more that dispatches to all groups.
const ENTRIES: usize = 7;
const GROUPS: usize = 12;
const LIMIT: u32 = 16;
const STEP_MS: u64 = 5;
const SECONDS: u64 = 300;
/// Distinct first blocks of prompts; low numbers are drawn more often.
const PREFIXES: u64 = 400;
/// Prefixes that one engine's cache holds.
const CACHE: usize = 60;
/// Work before the first token in milliseconds, with the prefix cached and without.
const PREFILL_HIT_MS: f64 = 60.0;
const PREFILL_MISS_MS: f64 = 400.0;
/// Time between tokens in milliseconds: alone, and more for each other request.
const TOKEN_MS: f64 = 20.0;
const TOKEN_MS_PER_OTHER: f64 = 1.5;
/// How many times slower the straggler is.
const STRAGGLER: f64 = 3.0;
const TRIES: usize = 3;
const SUMMARY_EVERY_MS: u64 = 1_000;

struct Seeded {
    seed: u64,
    drawn: u64,
}

impl Seeded {
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

struct World {
    clock: ManualClock,
    entries: Vec<(Context, Box<dyn Router>)>,
    engines: Vec<Engine>,
    members: MemberView,
    dispatcher: NodeInfo,
    seeded: Seeded,
    results: Results,
}

#[derive(Default)]
struct Results {
    first_token_ms: Vec<u64>,
    between_ms: Vec<u64>,
    refused: u64,
    tries: u64,
}

impl World {
    fn new(seed: u64, router: &dyn Fn(&NodeInfo) -> Box<dyn Router>) -> Self {
        let clock = ManualClock::default();
        let dispatcher = node("dispatcher");
        let entry = |number: usize| {
            let me = node(&format!("entry-{number}"));
            let cx = Context::new(Arc::new(clock.clone()), me);
            publish(&cx, &dispatcher.node);
            (cx, router(&dispatcher))
        };
        let engine = |number: usize| Engine {
            slow: if number == 0 { STRAGGLER } else { 1.0 },
            ..Engine::default()
        };
        let entries = (0..ENTRIES).map(entry).collect();
        let state = NodeState {
            info: dispatcher.clone(),
            heard_at: clock.now(),
            alive: true,
            config: StoreIndex(1),
        };
        Self {
            entries,
            engines: (0..GROUPS).map(engine).collect(),
            members: MemberView {
                nodes: BTreeMap::from([(dispatcher.node.clone(), state)]),
                loads: BTreeMap::new(),
            },
            dispatcher,
            seeded: Seeded { seed, drawn: 0 },
            results: Results::default(),
            clock,
        }
    }

    fn run(mut self, calls_per_second: u64) -> Results {
        let mut number = 0;
        for step in 0..SECONDS * 1_000 / STEP_MS {
            let now_ms = step * STEP_MS;
            self.clock.advance(Duration::from_millis(STEP_MS));
            if now_ms.is_multiple_of(SUMMARY_EVERY_MS) {
                self.summarize();
            }
            for index in 0..GROUPS {
                for call in self.engines[index].step(now_ms) {
                    self.ended(&call, now_ms);
                }
            }
            // Two draws a step make arrivals come in clumps, as callers do.
            for _ in 0..2 {
                if self.seeded.below(2_000_000) < calls_per_second * STEP_MS * 1_000 {
                    number += 1;
                    self.arrive(number, now_ms);
                }
            }
        }
        self.results
    }

    fn summarize(&mut self) {
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
                heard_at,
            };
            self.members.loads.insert(slot, load);
        }
        for (cx, _) in &self.entries {
            cx.publish_members(self.members.clone());
        }
    }

    fn arrive(&mut self, number: u64, now_ms: u64) {
        let entry = usize::try_from(self.seeded.below(ENTRIES as u64)).expect("small");
        let prefix = self.seeded.below(PREFIXES).min(self.seeded.below(PREFIXES));
        let tokens = 20 + self.seeded.below(80);
        let head = head(number, prefix);
        let mut tried = BTreeSet::new();
        for _ in 0..TRIES {
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
    fn ended(&mut self, call: &Running, now_ms: u64) {
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
                let mut results = World::new(seed, &*router).run(calls_per_second);
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
