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
    /// Whether the deployment has more nodes than one node's reports reach directly, so that demand is
    /// forecast and planned for as described in `docs/design/supply.md`. Smaller ones are planned as
    /// before.
    pub large_deployment: bool,
}

impl Default for ControllerOptions {
    fn default() -> Self {
        Self {
            domain: "domain".parse().expect("a valid id"),
            stall: Duration::from_secs(5),
            heartbeat: Duration::from_millis(1_200),
            load_window: Duration::from_secs(5),
            large_deployment: false,
        }
    }
}
