//! How much work each upstream may hold, decided by its only dispatcher.

use std::time::{Duration, Instant};

use shallottide_types::id::TeamId;
use shallottide_types::peer::{LoadSummary, Slot};
use shallottide_types::refusal::Refusal;

use crate::kernel::Context;

mod admission_options;
mod evidence;
mod inherited_load;
mod slot_admission;
mod slot_limit;
mod slot_places;
mod team_share;

pub use admission_options::AdmissionOptions;
pub use slot_admission::SlotAdmission;

/// Decides whether a slot that this node dispatches to may take one more request.
pub trait Admission {
    /// Takes one place of a slot's limit for a request.
    ///
    /// # Errors
    /// A refusal with `Ran::No`: the slot is full, not ready, or not dispatched here.
    fn acquire(&mut self, slot: &Slot, team: &TeamId, cx: &Context) -> Result<(), Refusal>;

    /// Gives the place back and learns from how the request went.
    fn release(&mut self, slot: &Slot, team: &TeamId, finished: &RequestOutcome, cx: &Context);

    /// Lets limits ramp and notices cold starts; called on every tick.
    fn tick(&mut self, cx: &Context);

    /// Returns in-flight requests and limits of all slots dispatched here.
    fn loads(&self, cx: &Context) -> Vec<LoadSummary>;
}

/// How a dispatched request went.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RequestOutcome {
    /// Whether the answer was whole.
    pub complete: bool,
    /// When it was dispatched.
    pub started: Instant,
    /// Time to the first byte of the answer's body, if one came.
    pub first_byte: Option<Duration>,
}
