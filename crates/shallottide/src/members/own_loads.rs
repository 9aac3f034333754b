//! Loads of the slots that this node dispatches to.

use std::time::Instant;

use shallottide_types::peer::LoadSummary;

/// Loads of the slots that this node dispatches to, sent in batches.
#[derive(Debug, Default)]
pub(super) struct OwnLoads {
    loads: Vec<LoadSummary>,
    replaced_at: Option<Instant>,
    offset: usize,
}

impl OwnLoads {
    /// Replaces all loads.
    pub(super) fn replace(&mut self, loads: Vec<LoadSummary>, now: Instant) {
        self.loads = loads;
        self.replaced_at = Some(now);
    }

    /// Advances to the next batch of `max` loads.
    pub(super) fn next_batch(&mut self, max: usize) {
        self.offset = self.offset.wrapping_add(max);
    }

    /// Returns the current batch of at most `max` loads.
    pub(super) fn batch(&self, max: usize) -> Vec<LoadSummary> {
        let len = self.loads.len();
        let first = self.offset.checked_rem(len).unwrap_or(0);
        let rotated = self.loads.iter().cycle().skip(first);
        rotated.take(max.min(len)).cloned().collect()
    }

    /// Returns all loads with the time at which they were replaced.
    pub(super) fn all(&self) -> impl Iterator<Item = (&LoadSummary, Instant)> {
        let replaced_at = self.replaced_at;
        self.loads
            .iter()
            .filter_map(move |load| Some((load, replaced_at?)))
    }
}
