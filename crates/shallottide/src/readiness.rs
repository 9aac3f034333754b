//! Readiness of the node, as reported to the load balancer.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

/// Readiness of a node; cheap to clone.
///
/// A node is ready from when its configuration records are loaded until it begins to stop. The two
/// conditions are stored separately, so that records loaded late can't make a stopping node ready.
#[derive(Debug, Clone, Default)]
pub struct Readiness {
    records_loaded: Arc<AtomicBool>,
    stopping: Arc<AtomicBool>,
}

impl Readiness {
    /// Records that the configuration records are loaded.
    pub fn mark_records_loaded(&self) {
        self.records_loaded.store(true, Ordering::Release);
    }

    /// Records that the node is stopping; it does not become ready again.
    pub fn mark_stopping(&self) {
        self.stopping.store(true, Ordering::Release);
    }

    /// Returns whether the load balancer may route callers to this node.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.records_loaded.load(Ordering::Acquire) && !self.stopping.load(Ordering::Acquire)
    }
}
