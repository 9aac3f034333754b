//! Bounds that a steward keeps.

use std::time::Duration;

use shallottide_types::id::DomainId;

/// What a steward is told of its deployment.
#[derive(Debug, Clone)]
pub struct ControllerOptions {
    /// The failure domain whose groups it keeps.
    pub domain: DomainId,
    /// Time after which a head that lost a member is broken.
    pub stall: Duration,
    /// Time between two heartbeats of an upstream.
    pub heartbeat: Duration,
    /// Window over which weight loads are bounded.
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
