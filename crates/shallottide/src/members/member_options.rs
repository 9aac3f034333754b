//! Settings of the members service.

use std::net::SocketAddr;
use std::time::Duration;

/// Settings of the members service.
#[derive(Debug, Clone)]
pub struct MemberOptions {
    /// Peer addresses to try when the platform can't tell where the others are.
    pub seeds: Vec<SocketAddr>,
    /// Time between two heartbeats.
    pub period: Duration,
    /// Nodes of the failure domain that get a heartbeat in each period.
    pub fanout: usize,
    /// Heartbeats without which a node counts as dead, in a domain where all hear all.
    pub missed_beats: u32,
    /// Sightings in one heartbeat.
    pub max_sightings: usize,
    /// Loads in one sighting.
    pub max_sighting_loads: usize,
    /// Loads in one heartbeat; more take turns.
    pub max_own_loads: usize,
    /// Nodes introduced in one heartbeat.
    pub max_news: usize,
    /// Nodes introduced to a node that was not alive before.
    pub max_introductions: usize,
    /// Age at which a slot's load is dropped.
    pub max_load_age: Duration,
    /// Time from the start until the list of nodes is read again, for those that started at
    /// the same time.
    pub second_list_after: Duration,
    /// Time between two reads of the list of nodes by the node that does so for its domain.
    pub list_interval: Duration,
    /// How long a node of this domain is dead before it is removed from the platform.
    pub remove_after: Duration,
    /// First wait after a failed platform call; doubled with each further failure.
    pub first_backoff: Duration,
    /// Longest wait after failed platform calls.
    pub max_backoff: Duration,
    /// Seed of the random choices.
    pub seed: u64,
}

impl Default for MemberOptions {
    fn default() -> Self {
        Self {
            seeds: Vec::new(),
            period: Duration::from_secs(1),
            fanout: 2,
            missed_beats: 3,
            max_sightings: 32,
            max_sighting_loads: 8,
            max_own_loads: 32,
            max_news: 1,
            max_introductions: 24,
            max_load_age: Duration::from_secs(10),
            second_list_after: Duration::from_secs(5),
            list_interval: Duration::from_mins(1),
            remove_after: Duration::from_mins(30),
            first_backoff: Duration::from_millis(500),
            max_backoff: Duration::from_secs(30),
            seed: 0,
        }
    }
}
