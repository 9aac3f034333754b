//! Settings of the groups service.

use std::time::Duration;

/// Settings of [`GroupService`](super::GroupService).
#[derive(Debug, Clone)]
pub struct GroupOptions {
    /// Lifetime of the controller lease after its last renewal.
    pub lease_ttl: Duration,
    /// How long before its end the holder stops to rely on the lease.
    pub lease_margin: Duration,
    /// Time between renewals, and between tries to acquire.
    pub lease_renew_every: Duration,
    /// Time between reads of the VM list by a controller candidate.
    pub vm_list_every: Duration,
    /// Time between polls of one engine.
    pub poll_every: Duration,
    /// Time between plans of the controller.
    pub plan_every: Duration,
    /// Longest wait of the placement watch at the platform.
    pub watch_wait: Duration,
    /// Time between repeated messages to peers: unchanged reports, VMs, a placement.
    pub repeat_every: Duration,
    /// Time without an answer after which an engine counts as lost.
    pub lost_after: Duration,
    /// Longest time from sending an order to its effect at the engine.
    pub order_horizon: Duration,
    /// Longest time that an order waits for the work of a whole group to end.
    pub drain_limit: Duration,
    /// Longest time that a group takes to load; a slower one no longer delays others.
    pub load_timeout: Duration,
    /// Groups that may load weights at once in the failure domain.
    pub max_loading_groups: usize,
    /// How long a node that hears less than half of its failure domain leaves control to
    /// others, before it takes the silent nodes for dead.
    pub isolation_hold: Duration,
    /// Slots by which one dispatcher may exceed another before one slot is moved.
    pub max_imbalance: usize,
}

impl Default for GroupOptions {
    fn default() -> Self {
        Self {
            lease_ttl: Duration::from_secs(10),
            lease_margin: Duration::from_secs(2),
            lease_renew_every: Duration::from_secs(3),
            vm_list_every: Duration::from_secs(2),
            poll_every: Duration::from_secs(1),
            plan_every: Duration::from_millis(500),
            watch_wait: Duration::from_secs(30),
            repeat_every: Duration::from_secs(10),
            lost_after: Duration::from_secs(6),
            order_horizon: Duration::from_secs(10),
            drain_limit: Duration::from_mins(2),
            load_timeout: Duration::from_mins(5),
            max_loading_groups: 4,
            isolation_hold: Duration::from_mins(1),
            max_imbalance: 2,
        }
    }
}
