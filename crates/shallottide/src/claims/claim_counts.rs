//! Counts of the claims service, readable from any thread.

use std::sync::atomic::{AtomicUsize, Ordering};

/// Counts of claims and outcomes under way on this node.
#[derive(Debug, Default)]
pub struct ClaimCounts {
    pending: AtomicUsize,
}

impl ClaimCounts {
    /// Returns this node's claims and outcomes that are not yet answered or recorded.
    ///
    /// A stopping node should wait until it is 0: an outcome that is not recorded is lost.
    #[must_use]
    pub fn pending(&self) -> usize {
        self.pending.load(Ordering::Relaxed)
    }

    pub(super) fn set_pending(&self, pending: usize) {
        self.pending.store(pending, Ordering::Relaxed);
    }
}
