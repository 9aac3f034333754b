//! A fake model engine driven by the simulation's clock.

use std::time::{Duration, Instant};

use shallottide::message::OrderError;
use shallottide_types::engine::{Assignment, EngineReport, EngineState, Order, OrderAction};
use shallottide_types::id::{FencingToken, Incarnation, VmId};

/// A fake engine with settings for its faults.
#[derive(Debug, Clone)]
pub(crate) struct FakeEngine {
    pub(crate) vm: VmId,
    /// Whether the engine refuses orders with a stale fencing token.
    pub(crate) checks_fencing_token: bool,
    /// Fencing token of the last accepted order.
    pub(crate) last_fencing_token: FencingToken,
    pub(crate) assignment: Option<Assignment>,
    pub(crate) incarnation: Incarnation,
    pub(crate) dead: bool,
    pub(crate) running: u32,
    pub(crate) loaded_at: Option<Instant>,
    pub(crate) load_time: Duration,
    /// Orders accepted, oldest first.
    pub(crate) accepted_orders: Vec<Order>,
}

impl FakeEngine {
    pub(crate) fn new(vm: &VmId, checks_fencing_token: bool) -> Self {
        Self {
            vm: vm.clone(),
            checks_fencing_token,
            last_fencing_token: FencingToken(0),
            assignment: None,
            incarnation: Incarnation(1),
            dead: false,
            running: 0,
            loaded_at: None,
            load_time: Duration::from_secs(2),
            accepted_orders: Vec::new(),
        }
    }

    /// Restarts the engine's process; it has no assignment afterwards.
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
        if self.checks_fencing_token && order.fencing_token < self.last_fencing_token {
            return Err(OrderError::Stale {
                seen: self.last_fencing_token,
            });
        }
        self.last_fencing_token = order.fencing_token;
        self.accepted_orders.push(order.clone());
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
            fencing_token: if self.checks_fencing_token {
                self.last_fencing_token
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
