//! Active, cancelled and counted runs of an engine.

use std::collections::{BTreeMap, BTreeSet};

/// Active, cancelled and counted runs of an engine.
#[derive(Debug, Default)]
pub(super) struct RunTable {
    /// Number of runs by `X-Request-Id`.
    counts: BTreeMap<String, u32>,
    active: BTreeMap<u64, String>,
    cancelled: BTreeSet<u64>,
    next: u64,
}

impl RunTable {
    /// Counts a run and returns its number.
    pub(super) fn begin(&mut self, request_id: &str) -> u64 {
        *self.counts.entry(request_id.into()).or_default() += 1;
        self.next += 1;
        self.active.insert(self.next, request_id.into());
        self.next
    }

    /// Removes a finished run from the active runs; its count is kept.
    pub(super) fn end(&mut self, run: u64) {
        self.active.remove(&run);
        self.cancelled.remove(&run);
    }

    /// Cancels the active runs of a request; `false` when there is none.
    pub(super) fn cancel(&mut self, request_id: &str) -> bool {
        let active = self.active.iter();
        let runs = active
            .filter(|(_, id)| *id == request_id)
            .map(|(run, _)| *run);
        let before = self.cancelled.len();
        self.cancelled.extend(runs);
        self.cancelled.len() > before
    }

    /// Returns whether a run was cancelled.
    pub(super) fn is_cancelled(&self, run: u64) -> bool {
        self.cancelled.contains(&run)
    }

    /// Returns the number of runs by `X-Request-Id`.
    pub(super) fn counts(&self) -> &BTreeMap<String, u32> {
        &self.counts
    }
}
