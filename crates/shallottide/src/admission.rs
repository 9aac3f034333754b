//! Admission control: limits the requests in flight on each upstream, at its only dispatcher.

use std::time::{Duration, Instant};

use shallottide_types::id::TeamId;
use shallottide_types::peer::{LoadSummary, Slot};
use shallottide_types::refusal::Refusal;

use crate::kernel::Context;

mod admission_options;
mod inherited_load;
mod slot_admission;
mod slot_limit;
mod slot_permits;
mod slot_status;
mod team_share;

pub use admission_options::AdmissionOptions;
pub use slot_admission::SlotAdmission;

/// Decides whether a slot that this node dispatches to may receive one more request.
pub trait Admission {
    /// Acquires one permit of a slot's limit for a request.
    ///
    /// # Errors
    /// A refusal with `Ran::No`: the slot is full, not ready, or not dispatched here.
    fn acquire(&mut self, slot: &Slot, team: &TeamId, cx: &Context) -> Result<(), Refusal>;

    /// Releases the permit and adapts the limit to the outcome of the request.
    fn release(&mut self, slot: &Slot, team: &TeamId, outcome: &RequestOutcome, cx: &Context);

    /// Gives no permits of a slot for a time, as its upstream asked this node; of several times, the
    /// latest end holds.
    fn hold(&mut self, slot: &Slot, wait: Duration, cx: &Context);

    /// Updates limits from the placement, the records and the engine reports; called on every tick.
    fn tick(&mut self, cx: &Context);

    /// Returns in-flight requests and limits of all slots dispatched here.
    fn loads(&self, cx: &Context) -> Vec<LoadSummary>;
}

/// Outcome of a dispatched request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RequestOutcome {
    /// Whether the answer was complete.
    pub complete: bool,
    /// When the request was dispatched.
    pub started: Instant,
    /// Time from dispatch to the first byte of the answer's body, if one arrived.
    pub first_byte: Option<Duration>,
}
