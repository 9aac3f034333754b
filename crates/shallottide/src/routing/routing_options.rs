//! Settings of the router.

use std::time::Duration;

/// Settings of [`SlotRouter`](super::SlotRouter).
#[derive(Debug, Clone)]
pub struct RoutingOptions {
    /// Age from which a dispatcher's load summary is ignored.
    pub stale_after: Duration,
    /// How much more loaded than the least loaded slot a prefix's preferred slot may be and still
    /// be chosen, in percent of the limit.
    pub affinity_slack_percent: u32,
    /// Number of slots that one call compares by load; a different sample for each call.
    pub sample_size: usize,
    /// A slot is a straggler if its mean time to the first byte exceeds the median by this factor.
    pub straggler_factor: u32,
    /// First back-off of a slot after a failure; doubled with each further consecutive failure.
    pub first_backoff: Duration,
    /// Longest back-off of a slot after failures.
    pub max_backoff: Duration,
    /// Number of full slots that one call tries before it leaves the failure domain or is refused.
    pub max_full_tries: usize,
}

impl Default for RoutingOptions {
    fn default() -> Self {
        Self {
            stale_after: Duration::from_secs(8),
            affinity_slack_percent: 25,
            sample_size: 2,
            straggler_factor: 3,
            first_backoff: Duration::from_secs(1),
            max_backoff: Duration::from_secs(30),
            max_full_tries: 1,
        }
    }
}
