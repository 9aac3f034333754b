//! Counters of the claims service, readable from any thread.

use std::sync::atomic::{AtomicUsize, Ordering};

/// Counters of claims and outcomes in progress on this node.
#[derive(Debug, Default)]
pub struct ClaimCounts {
    pending: AtomicUsize,
}

impl ClaimCounts {
    /// Number of claims not yet answered, outcomes not yet recorded and running calls that use
    /// tickets of this node.
    ///
    /// A stopping node should wait until this is 0: an outcome that is not recorded is lost.
    #[must_use]
    pub fn pending(&self) -> usize {
        self.pending.load(Ordering::Relaxed)
    }

    pub(super) fn set_pending(&self, pending: usize) {
        self.pending.store(pending, Ordering::Relaxed);
    }
}
