//! Random interleavings of calls with tickets, retries and faults over three nodes, by fixed
//! seeds and without a platform.

mod call_support;

use std::time::Duration;

use call_support::fleet::Fleet;
use rand::rngs::Xoshiro256PlusPlus;
use rand::{RngExt, SeedableRng};
use shallottide::claims::{ClaimOptions, TicketOptions};
use shallottide_types::call::ReplyEvent;
use shallottide_types::cases;

const NODES: usize = 3;
const STEPS: u32 = 4_000;
/// Tickets that bookings choose from.
const IN_USE: usize = 4;

struct Run {
    fleet: Fleet,
    rng: Xoshiro256PlusPlus,
    tickets: Vec<String>,
}

impl Run {
    fn step(&mut self) {
        match self.rng.random_range(0..100) {
            0..60 => self.let_some_happen(),
            60..63 => self.mint(),
            63..73 => self.book(),
            73..93 => self.pass(),
            93..95 => self.lose_one(),
            95..96 => self.double_one(),
            96..97 => self.restart(),
            97..99 => self.pause(),
            _ => self.change_view(),
        }
    }

    fn node(&mut self) -> usize {
        self.rng.random_range(0..NODES)
    }

    fn event(&mut self) -> usize {
        let count = self.fleet.events.len().max(1);
        self.rng.random_range(0..count)
    }

    fn let_some_happen(&mut self) {
        for _ in 0..self.rng.random_range(1..10) {
            let at = self.event();
            if let Some(event) = self.fleet.take_event(at) {
                self.fleet.happen(event);
            }
        }
    }

    fn lose_one(&mut self) {
        let at = self.event();
        if let Some(event) = self.fleet.take_event(at) {
            self.fleet.lose(&event);
        }
    }

    /// Lets a control message come twice.
    fn double_one(&mut self) {
        let at = self.event();
        if let Some(event) = self.fleet.events.get(at).cloned()
            && (event.is_relay() || event.is_claim_answer())
        {
            self.fleet.events.push(event);
        }
    }

    fn mint(&mut self) {
        let node = self.node();
        self.tickets
            .extend(self.fleet.mint(node, 1).unwrap_or_default());
    }

    fn book(&mut self) {
        let back = self.rng.random_range(1..=IN_USE);
        let node = self.node();
        if let Some(at) = self.tickets.len().checked_sub(back) {
            let ticket = self.tickets[at].clone();
            self.fleet.book(node, &ticket);
        }
    }

    fn pass(&mut self) {
        let ms = match self.rng.random_range(0..200) {
            0 => 30_000,
            _ => self.rng.random_range(1..200),
        };
        self.fleet.clock.advance(Duration::from_millis(ms));
        self.fleet.tick();
        for node in &mut self.fleet.nodes {
            node.paused &= self.rng.random_bool(0.9);
        }
    }

    fn restart(&mut self) {
        let node = self.node();
        self.fleet.restart(node);
        self.fleet.nodes[node].cut_off = true;
    }

    fn pause(&mut self) {
        let node = self.node();
        self.fleet.nodes[node].paused = true;
    }

    fn change_view(&mut self) {
        let (viewer, dead) = (self.node(), self.node());
        self.fleet.publish_view(viewer, |j| j != dead);
    }
}

/// Checks one seed with short times, so that tickets are also forgotten.
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
    let mut run = Run {
        fleet: Fleet::new(NODES, options),
        rng: Xoshiro256PlusPlus::seed_from_u64(seed),
        tickets: Vec::new(),
    };
    run.fleet.forward_from(0);
    for _ in 0..STEPS {
        run.step();
        run.fleet.check();
    }
    for node in &mut run.fleet.nodes {
        node.paused = false;
    }
    run.fleet.publish_members();
    run.fleet.pass(Duration::from_mins(1));
    run.fleet.check();
    run.fleet.check_quiet();
    assert_eq!(run.fleet.platform_calls, 0);
    let is_whole = |events: &&Vec<ReplyEvent>| events.ends_with(&[ReplyEvent::End]);
    let whole = run.fleet.replies.values().filter(is_whole).count();
    let ran = run.fleet.runs_by_key.len();
    assert!(
        whole > 100 && ran > 50,
        "hardly anything ran: {whole} whole answers, {ran} tickets used"
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
