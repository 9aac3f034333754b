//! Settings of the groups service.

use std::time::Duration;

/// Settings of [`GroupService`](super::GroupService).
#[derive(Debug, Clone)]
pub struct GroupOptions {
    /// Lifetime of the controller lease after its last renewal.
    pub lease_ttl: Duration,
    /// Time before the lease expires at which its holder stops acting as the controller.
    pub lease_margin: Duration,
    /// Interval between renewals, and between attempts to acquire the lease.
    pub lease_renew_interval: Duration,
    /// Interval between reads of the VM list by a controller candidate.
    pub vm_list_interval: Duration,
    /// Interval between polls of one engine.
    pub poll_interval: Duration,
    /// Interval between planning runs of the controller.
    pub plan_interval: Duration,
    /// Longest time that the platform holds a placement watch open without a change.
    pub watch_wait: Duration,
    /// Interval at which unchanged reports, VM lists and the placement are sent to peers again.
    pub resend_interval: Duration,
    /// Time without an answer from an engine after which it counts as lost.
    pub lost_after: Duration,
    /// Longest time from sending an order until it can still take effect at the engine.
    pub max_order_delay: Duration,
    /// Longest time that an order waits for the requests of a complete group to finish.
    pub drain_timeout: Duration,
    /// Longest time that a group may take to load; a slower group no longer delays others.
    pub load_timeout: Duration,
    /// Number of groups in the failure domain that may load weights at the same time.
    pub max_loading_groups: usize,
    /// How long a node that considers less than half of its failure domain alive gives up the
    /// controller role; after that, it treats the other nodes as dead and may act again.
    pub isolation_grace: Duration,
    /// Largest difference in slots between two dispatchers before one slot is moved.
    pub max_imbalance: usize,
}

impl Default for GroupOptions {
    fn default() -> Self {
        Self {
            lease_ttl: Duration::from_secs(10),
            lease_margin: Duration::from_secs(2),
            lease_renew_interval: Duration::from_secs(3),
            vm_list_interval: Duration::from_secs(2),
            poll_interval: Duration::from_secs(1),
            plan_interval: Duration::from_millis(500),
            watch_wait: Duration::from_secs(30),
            resend_interval: Duration::from_secs(10),
            lost_after: Duration::from_secs(6),
            max_order_delay: Duration::from_secs(10),
            drain_timeout: Duration::from_mins(2),
            load_timeout: Duration::from_mins(5),
            max_loading_groups: 4,
            isolation_grace: Duration::from_mins(1),
            max_imbalance: 2,
        }
    }
}
