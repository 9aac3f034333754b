//! Random interleavings of calls with tickets, retries and faults on three nodes, with fixed seeds
//! and without a platform.

mod call_support;

use std::time::Duration;

use call_support::test_cluster::TestCluster;
use rand::rngs::Xoshiro256PlusPlus;
use rand::{RngExt, SeedableRng};
use shallottide::claims::{ClaimOptions, TicketOptions};
use shallottide_types::call::ReplyEvent;
use shallottide_types::cases;

const NODES: usize = 3;
const STEPS: u32 = 4_000;
/// Number of latest tickets that bookings choose from.
const IN_USE: usize = 4;

struct RandomRun {
    cluster: TestCluster,
    rng: Xoshiro256PlusPlus,
    tickets: Vec<String>,
}

impl RandomRun {
    fn step(&mut self) {
        match self.rng.random_range(0..100) {
            0..60 => self.process_some_events(),
            60..63 => self.mint(),
            63..73 => self.book(),
            73..93 => self.advance_time(),
            93..95 => self.drop_event(),
            95..96 => self.duplicate_message(),
            96..97 => self.restart(),
            97..99 => self.pause(),
            _ => self.change_view(),
        }
    }

    fn random_node(&mut self) -> usize {
        self.rng.random_range(0..NODES)
    }

    fn random_event(&mut self) -> usize {
        let count = self.cluster.events.len().max(1);
        self.rng.random_range(0..count)
    }

    fn process_some_events(&mut self) {
        for _ in 0..self.rng.random_range(1..10) {
            let at = self.random_event();
            if let Some(event) = self.cluster.take_event(at) {
                self.cluster.process(event);
            }
        }
    }

    fn drop_event(&mut self) {
        let at = self.random_event();
        if let Some(event) = self.cluster.take_event(at) {
            self.cluster.drop_event(&event);
        }
    }

    /// Duplicates a claim, an outcome or an answer between nodes.
    fn duplicate_message(&mut self) {
        let at = self.random_event();
        if let Some(event) = self.cluster.events.get(at).cloned()
            && (event.is_relay() || event.is_claim_answer())
        {
            self.cluster.events.push(event);
        }
    }

    fn mint(&mut self) {
        let node = self.random_node();
        self.tickets
            .extend(self.cluster.mint(node, 1).unwrap_or_default());
    }

    fn book(&mut self) {
        let back = self.rng.random_range(1..=IN_USE);
        let node = self.random_node();
        if let Some(at) = self.tickets.len().checked_sub(back) {
            let ticket = self.tickets[at].clone();
            self.cluster.book(node, &ticket);
        }
    }

    fn advance_time(&mut self) {
        let ms = match self.rng.random_range(0..200) {
            0 => 30_000,
            _ => self.rng.random_range(1..200),
        };
        self.cluster.clock.advance(Duration::from_millis(ms));
        self.cluster.tick();
        for node in &mut self.cluster.nodes {
            node.paused &= self.rng.random_bool(0.9);
        }
    }

    fn restart(&mut self) {
        let node = self.random_node();
        self.cluster.restart(node);
        self.cluster.nodes[node].cut_off = true;
    }

    fn pause(&mut self) {
        let node = self.random_node();
        self.cluster.nodes[node].paused = true;
    }

    fn change_view(&mut self) {
        let (viewer, dead) = (self.random_node(), self.random_node());
        self.cluster.publish_view(viewer, |j| j != dead);
    }
}

/// Runs one seed with a short lifetime and retention, so that tickets also expire.
fn check(seed: u64) {
    let tickets = TicketOptions {
        lifetime: Duration::from_secs(10),
        ..TicketOptions::default()
    };
    let options = ClaimOptions {
        retention: Duration::from_secs(5),
        tickets,
        ..ClaimOptions::default()
    };
    let mut run = RandomRun {
        cluster: TestCluster::new(NODES, options),
        rng: Xoshiro256PlusPlus::seed_from_u64(seed),
        tickets: Vec::new(),
    };
    run.cluster.forward_from(0);
    for _ in 0..STEPS {
        run.step();
        run.cluster.check_invariants();
    }
    for node in &mut run.cluster.nodes {
        node.paused = false;
    }
    run.cluster.publish_members();
    run.cluster.advance_time(Duration::from_mins(1));
    run.cluster.check_invariants();
    run.cluster.check_idle();
    assert_eq!(run.cluster.platform_calls, 0);
    let is_complete = |events: &&Vec<ReplyEvent>| events.ends_with(&[ReplyEvent::End]);
    let complete = run.cluster.replies.values().filter(is_complete).count();
    let ran = run.cluster.runs_by_key.len();
    assert!(
        complete > 100 && ran > 50,
        "too few calls ran: {complete} complete answers, {ran} tickets used"
    );
}

cases! {
    check;
    seed_1: 1;
    seed_2: 2;
    seed_3: 3;
    seed_4: 4;
    seed_5: 5;
    seed_6: 6;
    seed_7: 7;
    seed_8: 8;
}
