//! Compares policies while operators take a failure domain out and bring it back:
//! `cargo run --release -p shallottide --example domain_move_compare`.
//!
//! Simulates three failure domains with one entry node each, which dispatches to the groups of its
//! domain. Engines of the domain that was out return cold: a cold engine with more calls than its
//! cold limit crashes, which fails all of its calls. Time is simulated; there are no sockets.

mod engine;
mod no_ramp;
mod node;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use shallottide::admission::RequestOutcome;
use shallottide::groups::rendezvous;
use shallottide::routing::Router;
use shallottide::view::{MemberView, NodeState};
use shallottide_types::call::{CallHead, Target, TraceContext};
use shallottide_types::clock::{Clock, ManualClock};
use shallottide_types::id::{DomainId, StoreIndex};
use shallottide_types::peer::Slot;
use shallottide_types::record::DomainState;

use engine::Running;
use node::{Arrival, Node, Served};

/// Failure domains, and groups in each.
const DOMAINS: usize = 3;
const GROUPS: usize = 6;
/// Limit of calls in flight on a cold and on a warm engine.
const COLD_LIMIT: u32 = 2;
const FULL_LIMIT: u32 = 16;
/// Complete answers after which a cold engine is warm.
const ANSWERS_TO_WARM: u32 = 30;
/// Time until a crashed engine is back.
const RESTART_MS: u64 = 10_000;
/// Length of a simulation step.
const STEP_MS: u64 = 10;
/// When the first domain goes out of service, when it returns, and when the run ends.
const OUT_AT_S: u64 = 60;
const BACK_AT_S: u64 = 180;
const END_AT_S: u64 = 300;
/// Calls per second at each entry node.
const CALLS_PER_SECOND: u64 = 12;
/// Delay until a record is in force at a node, times the node's number.
const RECORD_DELAY_MS: u64 = 1_000;
/// Time from the start of a call to its first token.
const FIRST_TOKEN_MS: u64 = 150;
/// One-way delay between failure domains.
const HOP_MS: u64 = 5;
/// A first token that takes longer than this is late.
const LATE_MS: u64 = 800;

fn id<T: std::str::FromStr<Err: std::fmt::Debug>>(text: &str) -> T {
    text.parse().expect("valid id")
}

fn domain(index: usize) -> DomainId {
    id(["jkpg", "vmo", "hlm"][index])
}

fn slot(number: usize) -> Slot {
    Slot::Group(id(&format!("g{number}")))
}

/// Counts of the calls that arrived in one phase.
#[derive(Debug, Default, Clone, Copy)]
struct Phase {
    served: u64,
    late: u64,
    refused: u64,
    failed: u64,
}

struct Simulation {
    clock: ManualClock,
    nodes: Vec<Node>,
    drawn: u64,
    seed: u64,
    phases: [Phase; 3],
}

impl Simulation {
    fn new(seed: u64, other_domains: bool, ramps: bool) -> Self {
        let clock = ManualClock::default();
        let node = |index| Node::new(index, &clock, other_domains, ramps);
        let nodes: Vec<Node> = (0..DOMAINS).map(node).collect();
        let state = |node: &Node| NodeState {
            info: node.info.clone(),
            last_seen: clock.now(),
            alive: true,
            config_index: StoreIndex(1),
        };
        let members = MemberView {
            nodes: nodes
                .iter()
                .map(|n| (n.info.node.clone(), state(n)))
                .collect(),
            loads: BTreeMap::new(),
        };
        for node in &nodes {
            node.cx.publish_members(members.clone());
        }
        Self {
            clock,
            nodes,
            drawn: 0,
            seed,
            phases: [Phase::default(); 3],
        }
    }

    fn random_below(&mut self, bound: u64) -> u64 {
        self.drawn += 1;
        rendezvous::weight(self.seed, &self.drawn.to_string()) % bound
    }

    /// Returns the phase of a call by its arrival: before, while or after the domain is out.
    fn phase(&mut self, arrived_ms: u64) -> &mut Phase {
        let second = arrived_ms / 1_000;
        &mut self.phases[usize::from(second >= OUT_AT_S) + usize::from(second >= BACK_AT_S)]
    }

    fn run(mut self) -> [Phase; 3] {
        for step in 0..END_AT_S * 1_000 / STEP_MS {
            let now_ms = step * STEP_MS;
            self.clock.advance(Duration::from_millis(STEP_MS));
            self.change_records(now_ms);
            for index in 0..DOMAINS {
                if now_ms.is_multiple_of(1_000) {
                    self.nodes[index].publish_reports(index, now_ms);
                }
                self.step_engines(index, now_ms);
                if self.random_below(1_000) < CALLS_PER_SECOND * STEP_MS {
                    self.start_call(index, now_ms);
                }
            }
        }
        self.phases
    }

    fn change_records(&mut self, now_ms: u64) {
        for (index, node) in self.nodes.iter_mut().enumerate() {
            let delay = RECORD_DELAY_MS * index as u64;
            if now_ms == OUT_AT_S * 1_000 + delay {
                node.set_domain(DomainState::Out);
            }
            if now_ms == BACK_AT_S * 1_000 + delay {
                node.set_domain(DomainState::Serving);
            }
        }
        if now_ms == BACK_AT_S * 1_000 {
            self.nodes[0].engines.iter_mut().for_each(|e| e.answers = 0);
        }
    }

    /// Ends finished calls, and crashes cold engines that have too many calls.
    fn step_engines(&mut self, index: usize, now_ms: u64) {
        for number in 0..GROUPS {
            let engine = &mut self.nodes[index].engines[number];
            let crashes = engine.running.len() > COLD_LIMIT as usize && engine.is_cold();
            let down = now_ms < engine.down_until_ms;
            let ended: Vec<Running> = if crashes || down {
                if crashes && !down {
                    engine.down_until_ms = now_ms + RESTART_MS;
                    engine.answers = 0;
                }
                std::mem::take(&mut engine.running)
            } else {
                let done = |call: &mut Running| call.ends_ms <= now_ms;
                engine.running.extract_if(.., done).collect()
            };
            let complete = !(crashes || down);
            for call in ended {
                self.finish_call(index, number, &call, complete);
            }
        }
    }

    fn finish_call(&mut self, index: usize, number: usize, call: &Running, complete: bool) {
        let node = &mut self.nodes[index];
        let finished = RequestOutcome {
            complete,
            started: self.clock.now(),
            first_byte: complete.then(|| Duration::from_millis(FIRST_TOKEN_MS)),
        };
        node.admission
            .release(&slot(number), &id("depot"), &finished, &node.cx);
        node.router.record_finish(&call.route, &finished, &node.cx);
        if complete {
            node.engines[number].answers += 1;
        }
        let late = call.first_ms - call.arrived_ms > LATE_MS;
        let phase = self.phase(call.arrived_ms);
        phase.served += u64::from(complete);
        phase.late += u64::from(complete && late);
        phase.failed += u64::from(!complete);
    }

    /// Serves a call at the node where it arrived, else at a node of another domain.
    fn start_call(&mut self, index: usize, now_ms: u64) {
        let head = head(self.drawn);
        let tokens_ms = 500 + self.random_below(3_000);
        let call = |hops: u64, own_domain_only: bool| Arrival {
            head: &head,
            arrived_ms: now_ms,
            now_ms: now_ms + hops * HOP_MS,
            tokens_ms,
            own_domain_only,
        };
        let mut tried_domains = BTreeSet::new();
        loop {
            match self.nodes[index].serve(&call(0, false), &tried_domains) {
                Served::Here => return,
                Served::Refused => break,
                Served::Elsewhere(domain) => {
                    let other = self.nodes.iter().position(|n| n.info.domain == domain);
                    let other = &mut self.nodes[other.expect("known domain")];
                    if let Served::Here = other.serve(&call(1, true), &BTreeSet::new()) {
                        return;
                    }
                    tried_domains.insert(domain);
                }
            }
        }
        self.phase(now_ms).refused += 1;
    }
}

fn head(number: u64) -> CallHead {
    CallHead {
        id: id(&format!("call-{number}")),
        team: id("depot"),
        target: Target::Model(id("tide")),
        method: "POST".into(),
        path: "/v1/completions".into(),
        content_type: None,
        key: None,
        stream: true,
        prefix: None,
        time_left: Duration::from_secs(30),
        trace: TraceContext::default(),
    }
}

fn main() {
    println!("| seed | policy | phase | served | served/s | late | refused | failed |");
    println!("| --- | --- | --- | --- | --- | --- | --- | --- |");
    for seed in 1..=2 {
        for (name, other_domains, ramps) in [
            ("at home only, no ramp", false, false),
            ("other domains, no ramp", true, false),
            ("SlotRouter and SlotAdmission", true, true),
        ] {
            let phases = Simulation::new(seed, other_domains, ramps).run();
            let lengths = [OUT_AT_S, BACK_AT_S - OUT_AT_S, END_AT_S - BACK_AT_S];
            for (index, phase) in phases.into_iter().enumerate() {
                let when = ["before", "out", "back"][index];
                let rate = phase.served / lengths[index];
                let Phase {
                    served,
                    late,
                    refused,
                    failed,
                } = phase;
                println!(
                    "| {seed} | {name} | {when} | {served} | {rate} | {late} | {refused} | {failed} |"
                );
            }
        }
    }
}
