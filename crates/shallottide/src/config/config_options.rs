//! Settings of the config service.

use std::time::Duration;

/// Settings of the config service.
#[derive(Debug, Clone)]
pub struct ConfigOptions {
    /// Longest wait of one watch at the platform.
    pub watch_wait: Duration,
    /// How much longer than its wait a platform call may take before it counts as failed.
    pub call_timeout_margin: Duration,
    /// Shortest time between the beginnings of two watches.
    pub watch_interval: Duration,
    /// Time between the reads of the deputy, which doesn't watch.
    pub backup_read_interval: Duration,
    /// First wait after a failed platform call; doubled with each further failure.
    pub first_backoff: Duration,
    /// Longest wait after failed platform calls.
    pub max_backoff: Duration,
    /// How long a starting node waits for peers before it reads the platform itself.
    pub peer_sync_timeout: Duration,
    /// How long a node is behind its peers before it asks one of them.
    pub pull_delay: Duration,
    /// How long most nodes leave it to others to ask another failure domain.
    pub cross_domain_pull_delay: Duration,
    /// Time between two questions to peers.
    pub pull_interval: Duration,
    /// Longest change in bytes that is pushed to peers; they ask for longer ones.
    pub max_push_bytes: usize,
    /// Seed of the random choices.
    pub seed: u64,
}

impl Default for ConfigOptions {
    fn default() -> Self {
        Self {
            watch_wait: Duration::from_secs(5),
            call_timeout_margin: Duration::from_secs(3),
            watch_interval: Duration::from_millis(250),
            backup_read_interval: Duration::from_secs(5),
            first_backoff: Duration::from_millis(200),
            max_backoff: Duration::from_secs(5),
            peer_sync_timeout: Duration::from_secs(1),
            pull_delay: Duration::from_millis(400),
            cross_domain_pull_delay: Duration::from_millis(2_500),
            pull_interval: Duration::from_secs(1),
            max_push_bytes: 64 << 10,
            seed: 0,
        }
    }
}
