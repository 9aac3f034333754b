//! Settings of a controller.

use std::time::Duration;

use shallottide_types::id::DomainId;

/// Deployment settings that a controller needs.
#[derive(Debug, Clone)]
pub struct ControllerOptions {
    /// Failure domain whose groups it manages.
    pub domain: DomainId,
    /// Time after which a head that lost a member becomes broken.
    pub stall: Duration,
    /// Interval between two heartbeats of an upstream.
    pub heartbeat: Duration,
    /// Sliding window of the limit on weight loads.
    pub load_window: Duration,
}

impl Default for ControllerOptions {
    fn default() -> Self {
        Self {
            domain: "domain".parse().expect("a valid id"),
            stall: Duration::from_secs(5),
            heartbeat: Duration::from_millis(1_200),
            load_window: Duration::from_secs(5),
        }
    }
}
