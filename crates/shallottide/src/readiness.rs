//! Whether the balancer may send callers to this node.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

/// A node's readiness; a cheap cloneable handle.
///
/// A node is ready once it knows the records, and never again once it stops. Both are kept
/// apart, so that learning the records late can't make a stopping node ready.
#[derive(Debug, Clone, Default)]
pub struct Readiness {
    records_loaded: Arc<AtomicBool>,
    stopping: Arc<AtomicBool>,
}

impl Readiness {
    /// Notes that the records are known.
    pub fn mark_records_loaded(&self) {
        self.records_loaded.store(true, Ordering::Release);
    }

    /// Notes that the node stops.
    pub fn mark_stopping(&self) {
        self.stopping.store(true, Ordering::Release);
    }

    /// Tells whether callers may come.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.records_loaded.load(Ordering::Acquire) && !self.stopping.load(Ordering::Acquire)
    }
}
