//! Random interleavings of bookings, retries and faults over three nodes, by fixed seeds.

mod call_support;

use std::time::Duration;

use call_support::fleet::Fleet;
use call_support::platform::WriteFault;
use rand::rngs::Xoshiro256PlusPlus;
use rand::{RngExt, SeedableRng};
use shallottide::claims::ClaimOptions;
use shallottide_types::call::ReplyEvent;
use shallottide_types::cases;

const NODES: usize = 3;
const STEPS: u32 = 4_000;
/// Bookings between two new keys.
const BOOKINGS_PER_KEY: u32 = 4;

struct Run {
    fleet: Fleet,
    rng: Xoshiro256PlusPlus,
    bookings: u32,
}

impl Run {
    fn step(&mut self) {
        match self.rng.random_range(0..100) {
            0..60 => self.let_some_happen(),
            60..70 => self.book(),
            70..90 => self.pass(),
            90..92 => self.lose_one(),
            92..93 => self.restart(),
            93..94 => self.pause(),
            94..95 => self.cut_off(),
            95..97 => self.fail_a_write(),
            97..99 => self.fleet.platform.land_delayed(),
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

    fn book(&mut self) {
        self.bookings += 1;
        let newest = self.bookings / BOOKINGS_PER_KEY;
        let key = newest.saturating_sub(self.rng.random_range(0..3));
        let node = self.node();
        self.fleet.book(node, &format!("key-{key}"));
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
            node.cut_off &= self.rng.random_bool(0.9);
        }
    }

    fn restart(&mut self) {
        let node = self.node();
        self.fleet.restart(node);
    }

    fn pause(&mut self) {
        let node = self.node();
        self.fleet.nodes[node].paused = true;
    }

    fn cut_off(&mut self) {
        let node = self.node();
        self.fleet.nodes[node].cut_off = true;
    }

    fn fail_a_write(&mut self) {
        let faults = [
            WriteFault::LostBefore,
            WriteFault::LostAfter,
            WriteFault::Delayed,
            WriteFault::Unreachable,
            WriteFault::Limited,
        ];
        let fault = faults[self.rng.random_range(0..faults.len())];
        self.fleet.platform.faults.push_back(fault);
    }

    /// Lets two nodes disagree about who is alive, and so about who writes.
    fn change_view(&mut self) {
        let (viewer, dead) = (self.node(), self.node());
        self.fleet.publish_view(viewer, |j| j != dead);
    }

    fn heal(&mut self) {
        for node in &mut self.fleet.nodes {
            (node.paused, node.cut_off) = (false, false);
        }
        self.fleet.platform.faults.clear();
        self.fleet.platform.land_delayed();
        self.fleet.publish_members();
        self.fleet.pass(Duration::from_mins(1));
    }
}

/// Checks one seed with small partitions, so that keys also grow old.
fn check(seed: u64) {
    let options = ClaimOptions {
        retention: Duration::from_secs(20),
        max_recent_bytes: 512,
        ..ClaimOptions::default()
    };
    let mut run = Run {
        fleet: Fleet::new(NODES, options),
        rng: Xoshiro256PlusPlus::seed_from_u64(seed),
        bookings: 0,
    };
    run.fleet.forward_from(0);
    for _ in 0..STEPS {
        run.step();
        run.fleet.check();
    }
    run.heal();
    run.fleet.check();
    run.fleet.check_quiet();
    let is_whole = |events: &&Vec<ReplyEvent>| events.ends_with(&[ReplyEvent::End]);
    let whole = run.fleet.replies.values().filter(is_whole).count();
    assert!(
        whole > 100 && run.fleet.runs_by_key.len() > 50,
        "hardly anything ran: {whole} whole answers"
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
