//! The cold limit summed over all nodes, through takeovers, deaths and late news.

mod group_support;

use std::sync::Arc;
use std::time::{Duration, Instant};

use group_support::{DOMAIN, Desk, group, id, node_ids, node_info};
use shallottide::admission::{Admission, AdmissionOptions, Finished, SlotAdmission};
use shallottide::groups::rendezvous;
use shallottide::kernel::Context;
use shallottide::view::PlacementView;
use shallottide_types::cases;
use shallottide_types::engine::EngineState;
use shallottide_types::placement::Placement;

const COLD: usize = 2;
const NODES: usize = 3;
const STEP: Duration = Duration::from_millis(100);

/// Longest time after which a node learns a placement; shorter than the handover.
const NEWS_STEPS: u64 = 15;

/// How old the load in a report is.
const LAG: Duration = Duration::from_millis(500);

struct Node {
    cx: Context,
    admission: SlotAdmission,
    /// Placements on their way to it and when they arrive.
    news: Vec<(Instant, Placement)>,
    dead_until: Option<Instant>,
}

/// A call that runs on the engine.
struct Running {
    node: usize,
    started: Instant,
    ends: Instant,
}

struct World {
    desk: Desk,
    nodes: Vec<Node>,
    running: Vec<Running>,
    /// Counts of running calls, oldest first, from which lagging reports are made.
    history: Vec<usize>,
    seed: u64,
    drawn: u64,
    served: usize,
}

impl World {
    fn new(seed: u64) -> Self {
        let mut desk = Desk::new();
        desk.report_all(EngineState::Cold);
        let ids = node_ids(NODES);
        let clock = desk.clock.clone();
        let node = |name: &shallottide_types::id::NodeId| Node {
            cx: Context::new(Arc::new(clock.clone()), node_info(name.as_str(), DOMAIN, 1)),
            admission: SlotAdmission::new(AdmissionOptions::default()),
            news: Vec::new(),
            dead_until: None,
        };
        let nodes = ids.iter().map(node).collect();
        let mut world = Self {
            desk,
            nodes,
            running: Vec::new(),
            history: Vec::new(),
            seed,
            drawn: 0,
            served: 0,
        };
        world.spread();
        world
    }

    fn below(&mut self, bound: u64) -> u64 {
        self.drawn += 1;
        rendezvous::weight(self.seed, &self.drawn.to_string()) % bound
    }

    /// Sends the placement to all nodes, each with its own delay.
    fn spread(&mut self) {
        let now = self.desk.now();
        for index in 0..NODES {
            let steps = u32::try_from(self.below(NEWS_STEPS)).expect("small");
            let placement = self.desk.placement.clone();
            self.nodes[index].news.push((now + STEP * steps, placement));
        }
    }

    fn move_dispatcher(&mut self) {
        let to = self.below(NODES as u64);
        self.desk.placement.fencing_token = self.desk.placement.fencing_token.next();
        let group = self.desk.placement.groups.get_mut(&id("g0"));
        group.expect("placed").dispatcher = id(&format!("entry-{to}"));
        self.spread();
    }

    /// Starts a node's process anew; its calls go on running on the engine.
    fn kill_node(&mut self) {
        let index = usize::try_from(self.below(NODES as u64)).expect("small");
        let back = self.desk.now() + Duration::from_secs(1 + self.below(5));
        let placement = self.desk.placement.clone();
        let node = &mut self.nodes[index];
        node.admission = SlotAdmission::new(AdmissionOptions::default());
        node.dead_until = Some(back);
        node.cx.publish_placement(PlacementView::default());
        node.news.push((back, placement));
        // No later process knows of these calls.
        for call in self.running.iter_mut().filter(|call| call.node == index) {
            call.node = NODES;
        }
    }

    fn step(&mut self, number: u64) {
        self.desk.clock.advance(STEP);
        match self.below(100) {
            0 => self.move_dispatcher(),
            1 => self.kill_node(),
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
        let now = self.desk.now();
        let (ended, running) = std::mem::take(&mut self.running)
            .into_iter()
            .partition(|call: &Running| call.ends <= now);
        self.running = running;
        for call in ended {
            if let Some(node) = self.nodes.get_mut(call.node) {
                let finished = Finished {
                    complete: true,
                    started: call.started,
                    first_byte: Some(STEP),
                };
                let (team, cx) = (id("depot"), &node.cx);
                node.admission.release(&group("g0"), &team, &finished, cx);
            }
        }
    }

    /// Reads the engine's report, whose load lags.
    fn report(&mut self) {
        let steps = usize::try_from(LAG.as_millis() / STEP.as_millis()).expect("small");
        let past = self.history.len().saturating_sub(1 + steps);
        let running = u32::try_from(self.history[past]).expect("few");
        let now = self.desk.now();
        for timed in self.desk.fleet.reports.values_mut() {
            timed.read_at = now;
            timed.report.running = running;
            timed.report.lag_ms = u64::try_from(LAG.as_millis()).expect("short");
        }
    }

    fn step_node(&mut self, index: usize) {
        let now = self.desk.now();
        let node = &mut self.nodes[index];
        if node.dead_until.is_some_and(|until| now < until) {
            return;
        }
        node.news.retain(|(at, placement)| {
            let view = node.cx.placement();
            let known = view.domains.get(&placement.domain).map(|p| p.fencing_token);
            if now >= *at && Some(placement.fencing_token) > known {
                let domain = placement.domain.clone();
                let domains = [(domain, placement.clone())].into();
                node.cx.publish_placement(PlacementView { domains });
            }
            now < *at
        });
        node.cx.publish_config(self.desk.config.clone());
        node.cx.publish_engines(self.desk.fleet.clone());
        node.admission.tick(&node.cx);
        while node
            .admission
            .acquire(&group("g0"), &id("depot"), &node.cx)
            .is_ok()
        {
            self.drawn += 1;
            let steps = rendezvous::weight(self.seed, &self.drawn.to_string()) % 40;
            let steps = 5 + u32::try_from(steps).expect("small");
            self.served += 1;
            self.running.push(Running {
                node: index,
                started: now,
                ends: now + STEP * steps,
            });
        }
    }
}

/// Engines report themselves cold all the time, so no sum may ever exceed the cold limit.
fn sum_stays_within_cold_limit(seed: u64) {
    let mut world = World::new(seed);
    for number in 0..3_000 {
        world.step(number);
    }
    assert!(world.served > 50, "only {} calls served", world.served);
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
