//! Counters of calls in flight, readable from any thread.

use std::sync::atomic::{AtomicUsize, Ordering};

/// Counters of calls in flight on this node.
#[derive(Debug, Default)]
pub struct CallCounts {
    from_callers: AtomicUsize,
    from_peers: AtomicUsize,
    forwarded: AtomicUsize,
}

impl CallCounts {
    /// Number of calls from callers and peers.
    #[must_use]
    pub fn in_flight(&self) -> usize {
        self.from_callers() + self.from_peers()
    }

    /// Number of calls that callers sent to this node.
    #[must_use]
    pub fn from_callers(&self) -> usize {
        self.from_callers.load(Ordering::Relaxed)
    }

    /// Number of calls that peers forwarded to this node.
    #[must_use]
    pub fn from_peers(&self) -> usize {
        self.from_peers.load(Ordering::Relaxed)
    }

    /// Number of calls that this node forwarded to another node.
    #[must_use]
    pub fn forwarded(&self) -> usize {
        self.forwarded.load(Ordering::Relaxed)
    }

    pub(super) fn set(&self, from_callers: usize, from_peers: usize) {
        self.from_callers.store(from_callers, Ordering::Relaxed);
        self.from_peers.store(from_peers, Ordering::Relaxed);
    }

    pub(super) fn forward_started(&self) {
        self.forwarded.fetch_add(1, Ordering::Relaxed);
    }

    pub(super) fn forward_ended(&self) {
        self.forwarded.fetch_sub(1, Ordering::Relaxed);
    }
}
