//! Settings of the router.

use std::time::Duration;

/// Settings of [`SlotRouter`](super::SlotRouter).
#[derive(Debug, Clone)]
pub struct RoutingOptions {
    /// Age from which a dispatcher's summary no longer counts.
    pub stale_after: Duration,
    /// Places beyond the least loaded slot's share of its limit, in percent of the limit, that
    /// a prefix's preferred slot may be ahead and still be chosen.
    pub affinity_slack_percent: u32,
    /// Slots that one call compares by load; drawn anew for each call.
    pub choices: usize,
    /// A slot is a straggler when its usual first byte takes this many times the median.
    pub straggler_factor: u32,
    /// How long a slot is avoided after a failure; doubled with each further one in a row.
    pub avoid_after_failure: Duration,
    /// Longest time that a slot is avoided.
    pub avoid_at_most: Duration,
    /// Full slots that one call tries before it leaves the failure domain or is refused.
    pub full_tries: usize,
}

impl Default for RoutingOptions {
    fn default() -> Self {
        Self {
            stale_after: Duration::from_secs(8),
            affinity_slack_percent: 25,
            choices: 2,
            straggler_factor: 3,
            avoid_after_failure: Duration::from_secs(1),
            avoid_at_most: Duration::from_secs(30),
            full_tries: 1,
        }
    }
}
