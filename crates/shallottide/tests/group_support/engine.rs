//! A model engine that keeps no time but the bench's.

use std::time::{Duration, Instant};

use shallottide::message::OrderError;
use shallottide_types::engine::{Assignment, EngineReport, EngineState, Order, OrderAction};
use shallottide_types::id::{FencingToken, Incarnation, VmId};

/// An engine with switches for its faults.
#[derive(Debug, Clone)]
pub(crate) struct FakeEngine {
    pub(crate) vm: VmId,
    pub(crate) fences: bool,
    pub(crate) seen: FencingToken,
    pub(crate) assignment: Option<Assignment>,
    pub(crate) incarnation: Incarnation,
    pub(crate) dead: bool,
    pub(crate) running: u32,
    pub(crate) loaded_at: Option<Instant>,
    pub(crate) load_time: Duration,
    /// Orders obeyed, oldest first.
    pub(crate) obeyed: Vec<Order>,
}

impl FakeEngine {
    pub(crate) fn new(vm: &VmId, fences: bool) -> Self {
        Self {
            vm: vm.clone(),
            fences,
            seen: FencingToken(0),
            assignment: None,
            incarnation: Incarnation(1),
            dead: false,
            running: 0,
            loaded_at: None,
            load_time: Duration::from_secs(2),
            obeyed: Vec::new(),
        }
    }

    /// Starts the engine's process anew: it holds nothing.
    pub(crate) fn restart(&mut self) {
        self.incarnation = self.incarnation.next();
        self.assignment = None;
        self.loaded_at = None;
        self.running = 0;
        self.dead = false;
    }

    pub(crate) fn order(&mut self, order: &Order, now: Instant) -> Result<(), OrderError> {
        if self.dead {
            return Err(OrderError::NoAnswer("dead".into()));
        }
        if self.fences && order.fencing_token < self.seen {
            return Err(OrderError::Stale { seen: self.seen });
        }
        self.seen = order.fencing_token;
        self.obeyed.push(order.clone());
        let assignment = match &order.action {
            OrderAction::Join(assignment) => Some(assignment.clone()),
            OrderAction::Release => None,
        };
        if assignment != self.assignment {
            self.loaded_at = assignment.as_ref().map(|_| now + self.load_time);
            self.assignment = assignment;
        }
        Ok(())
    }

    pub(crate) fn is_ready(&self, now: Instant) -> bool {
        !self.dead && self.loaded_at.is_some_and(|at| now >= at)
    }

    pub(crate) fn report(&self, now: Instant) -> Result<EngineReport, String> {
        if self.dead {
            return Err("dead".into());
        }
        let state = match self.assignment {
            None => EngineState::Idle,
            Some(_) if self.is_ready(now) => EngineState::Warm,
            Some(_) => EngineState::Loading,
        };
        Ok(EngineReport {
            vm: self.vm.clone(),
            incarnation: self.incarnation,
            fencing_token: if self.fences {
                self.seen
            } else {
                FencingToken(0)
            },
            assignment: self.assignment.clone(),
            state,
            running: self.running,
            queued: 0,
            lag_ms: 0,
        })
    }
}
