//! Settings of the members service.

use std::net::SocketAddr;
use std::time::Duration;

/// Settings of the members service.
#[derive(Debug, Clone)]
pub struct MemberOptions {
    /// Peer addresses to contact when no other alive node of the failure domain is known, as in an
    /// outage of the platform.
    pub seeds: Vec<SocketAddr>,
    /// Interval between two heartbeat rounds.
    pub heartbeat_interval: Duration,
    /// Number of alive nodes of the own failure domain that receive a heartbeat in each round.
    pub fanout: usize,
    /// Number of missed heartbeats after which a node counts as dead, in a domain where every node
    /// sends to all others.
    pub missed_heartbeats: u32,
    /// Maximum number of compact updates in one heartbeat.
    pub max_compact_updates: usize,
    /// Maximum number of loads in one compact update.
    pub max_loads_per_update: usize,
    /// Maximum number of own loads in one heartbeat; more are sent in successive batches.
    pub max_own_loads: usize,
    /// Maximum number of node updates in one heartbeat.
    pub max_node_updates: usize,
    /// Maximum number of node updates sent to a node that was not alive before.
    pub max_rejoin_updates: usize,
    /// Age beyond which a slot's load is ignored.
    pub max_load_age: Duration,
    /// Time from the first tick until every node reads the list of nodes again, to find nodes that
    /// started at the same time.
    pub second_list_delay: Duration,
    /// Interval between reads of the list of nodes by the one node that does so for its failure
    /// domain.
    pub list_interval: Duration,
    /// How long a node of the own failure domain must be dead before its entry is removed from the
    /// platform.
    pub remove_after: Duration,
    /// First back-off after a failed platform call; doubled with each further failure.
    pub first_backoff: Duration,
    /// Longest back-off after failed platform calls.
    pub max_backoff: Duration,
    /// Seed of the random choices.
    pub seed: u64,
}

impl Default for MemberOptions {
    fn default() -> Self {
        Self {
            seeds: Vec::new(),
            heartbeat_interval: Duration::from_secs(1),
            fanout: 2,
            missed_heartbeats: 3,
            max_compact_updates: 32,
            max_loads_per_update: 8,
            max_own_loads: 32,
            max_node_updates: 1,
            max_rejoin_updates: 24,
            max_load_age: Duration::from_secs(10),
            second_list_delay: Duration::from_secs(5),
            list_interval: Duration::from_mins(1),
            remove_after: Duration::from_mins(30),
            first_backoff: Duration::from_millis(500),
            max_backoff: Duration::from_secs(30),
            seed: 0,
        }
    }
}
