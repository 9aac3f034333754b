//! A baseline admission policy without a ramp for cold engines.

use std::collections::BTreeMap;
use std::time::Duration;

use shallottide::admission::{Admission, RequestOutcome};
use shallottide::kernel::Context;
use shallottide_types::id::TeamId;
use shallottide_types::peer::{LoadSummary, Slot};
use shallottide_types::refusal::Refusal;

use super::FULL_LIMIT;

/// Admits up to the full limit at once, whether the engine is cold or warm.
pub(super) struct NoRamp(pub(super) BTreeMap<Slot, u32>);

impl Admission for NoRamp {
    fn acquire(&mut self, slot: &Slot, _: &TeamId, _: &Context) -> Result<(), Refusal> {
        let count = self.0.entry(slot.clone()).or_default();
        if *count < FULL_LIMIT {
            *count += 1;
            return Ok(());
        }
        let kind = shallottide_types::refusal::RefusalKind::Overloaded;
        Err(Refusal::new(
            kind,
            shallottide_types::refusal::Ran::No,
            "full",
        ))
    }

    fn release(&mut self, slot: &Slot, _: &TeamId, _: &RequestOutcome, _: &Context) {
        *self.0.entry(slot.clone()).or_default() -= 1;
    }

    fn hold(&mut self, _: &Slot, _: Duration, _: &Context) {}

    fn tick(&mut self, _: &Context) {}

    fn loads(&self, _: &Context) -> Vec<LoadSummary> {
        Vec::new()
    }
}
