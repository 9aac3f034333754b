//! The requests of all nodes together stay within the cold limit through takeovers, crashes and
//! delayed placements.

mod group_support;

use std::sync::Arc;
use std::time::{Duration, Instant};

use group_support::{DOMAIN, DispatcherHarness, group, id, node_ids, node_info};
use shallottide::admission::{Admission, AdmissionOptions, RequestOutcome, SlotAdmission};
use shallottide::groups::rendezvous;
use shallottide::kernel::Context;
use shallottide::view::PlacementView;
use shallottide_types::cases;
use shallottide_types::engine::EngineState;
use shallottide_types::placement::Placement;

const COLD: usize = 2;
const NODES: usize = 3;
const STEP: Duration = Duration::from_millis(100);

/// Maximum delay of a placement on its way to a node, in steps; shorter than the handover delay.
const MAX_DELAY_STEPS: u64 = 15;

/// Age of the load in an engine report.
const LAG: Duration = Duration::from_millis(500);

struct Node {
    cx: Context,
    admission: SlotAdmission,
    /// Placements in transit to the node, and when they arrive.
    in_transit: Vec<(Instant, Placement)>,
    down_until: Option<Instant>,
}

/// A call that is running on the engine.
struct Running {
    node: usize,
    started: Instant,
    ends_at: Instant,
}

struct TakeoverSim {
    harness: DispatcherHarness,
    nodes: Vec<Node>,
    running: Vec<Running>,
    /// Number of running calls after each step, oldest first, for building delayed reports.
    history: Vec<usize>,
    seed: u64,
    draws: u64,
    calls_served: usize,
}

impl TakeoverSim {
    fn new(seed: u64) -> Self {
        let mut harness = DispatcherHarness::new();
        harness.report_all(EngineState::Cold);
        let ids = node_ids(NODES);
        let clock = harness.clock.clone();
        let node = |name: &shallottide_types::id::NodeId| Node {
            cx: Context::new(Arc::new(clock.clone()), node_info(name.as_str(), DOMAIN, 1)),
            admission: SlotAdmission::new(AdmissionOptions::default()),
            in_transit: Vec::new(),
            down_until: None,
        };
        let nodes = ids.iter().map(node).collect();
        let mut sim = Self {
            harness,
            nodes,
            running: Vec::new(),
            history: Vec::new(),
            seed,
            draws: 0,
            calls_served: 0,
        };
        sim.send_placement();
        sim
    }

    fn random_below(&mut self, bound: u64) -> u64 {
        self.draws += 1;
        rendezvous::weight(self.seed, &self.draws.to_string()) % bound
    }

    /// Sends the placement to all nodes, each with a random delay.
    fn send_placement(&mut self) {
        let now = self.harness.now();
        for index in 0..NODES {
            let steps = u32::try_from(self.random_below(MAX_DELAY_STEPS)).expect("small");
            let placement = self.harness.placement.clone();
            self.nodes[index]
                .in_transit
                .push((now + STEP * steps, placement));
        }
    }

    fn move_dispatcher(&mut self) {
        let to = self.random_below(NODES as u64);
        self.harness.placement.fencing_token = self.harness.placement.fencing_token.next();
        let group = self.harness.placement.groups.get_mut(&id("g0"));
        group.expect("placed").dispatcher = id(&format!("entry-{to}"));
        self.send_placement();
    }

    /// Restarts a node's process; its calls keep running on the engine.
    fn restart_node(&mut self) {
        let index = usize::try_from(self.random_below(NODES as u64)).expect("small");
        let back = self.harness.now() + Duration::from_secs(1 + self.random_below(5));
        let placement = self.harness.placement.clone();
        let node = &mut self.nodes[index];
        node.admission = SlotAdmission::new(AdmissionOptions::default());
        node.down_until = Some(back);
        node.cx.publish_placement(PlacementView::default());
        node.in_transit.push((back, placement));
        // No later incarnation of the node knows of these calls.
        for call in self.running.iter_mut().filter(|call| call.node == index) {
            call.node = NODES;
        }
    }

    fn step(&mut self, number: u64) {
        self.harness.clock.advance(STEP);
        match self.random_below(100) {
            0 => self.move_dispatcher(),
            1 => self.restart_node(),
            _ => {}
        }
        self.end_calls();
        self.history.push(self.running.len());
        if number.is_multiple_of(10) {
            self.report();
        }
        for index in 0..NODES {
            self.step_node(index);
        }
        assert!(self.running.len() <= COLD, "{} run", self.running.len());
    }

    fn end_calls(&mut self) {
        let now = self.harness.now();
        let (ended, running) = std::mem::take(&mut self.running)
            .into_iter()
            .partition(|call: &Running| call.ends_at <= now);
        self.running = running;
        for call in ended {
            if let Some(node) = self.nodes.get_mut(call.node) {
                let finished = RequestOutcome {
                    complete: true,
                    started: call.started,
                    first_byte: Some(STEP),
                };
                let (team, cx) = (id("depot"), &node.cx);
                node.admission.release(&group("g0"), &team, &finished, cx);
            }
        }
    }

    /// Updates the engine reports with a load that is `LAG` old.
    fn report(&mut self) {
        let steps = usize::try_from(LAG.as_millis() / STEP.as_millis()).expect("small");
        let past = self.history.len().saturating_sub(1 + steps);
        let running = u32::try_from(self.history[past]).expect("few");
        let now = self.harness.now();
        for timed in self.harness.engines.reports.values_mut() {
            timed.read_at = now;
            timed.report.running = running;
            timed.report.lag_ms = u64::try_from(LAG.as_millis()).expect("short");
        }
    }

    fn step_node(&mut self, index: usize) {
        let now = self.harness.now();
        let node = &mut self.nodes[index];
        if node.down_until.is_some_and(|until| now < until) {
            return;
        }
        node.in_transit.retain(|(at, placement)| {
            let view = node.cx.placement();
            let known = view.domains.get(&placement.domain).map(|p| p.fencing_token);
            if now >= *at && Some(placement.fencing_token) > known {
                let domain = placement.domain.clone();
                let domains = [(domain, placement.clone())].into();
                node.cx.publish_placement(PlacementView { domains });
            }
            now < *at
        });
        node.cx.publish_config(self.harness.config.clone());
        node.cx.publish_engines(self.harness.engines.clone());
        node.admission.tick(&node.cx);
        while node
            .admission
            .acquire(&group("g0"), &id("depot"), &node.cx)
            .is_ok()
        {
            self.draws += 1;
            let steps = rendezvous::weight(self.seed, &self.draws.to_string()) % 40;
            let steps = 5 + u32::try_from(steps).expect("small");
            self.calls_served += 1;
            self.running.push(Running {
                node: index,
                started: now,
                ends_at: now + STEP * steps,
            });
        }
    }
}

/// Engines always report that they are cold, so the sum must never exceed the cold limit.
fn sum_stays_within_cold_limit(seed: u64) {
    let mut sim = TakeoverSim::new(seed);
    for number in 0..3_000 {
        sim.step(number);
    }
    assert!(
        sim.calls_served > 50,
        "only {} calls served",
        sim.calls_served
    );
}

cases! {
    sum_stays_within_cold_limit;
    takeovers_1: 1;
    takeovers_2: 2;
    takeovers_3: 3;
    takeovers_4: 4;
    takeovers_5: 5;
    takeovers_6: 6;
}
