//! Settings of the config service.

use std::time::Duration;

/// Settings of the config service.
#[derive(Debug, Clone)]
pub struct ConfigOptions {
    /// Longest wait of one blocking read at the platform.
    pub watch_wait: Duration,
    /// Time beyond its wait after which a platform read counts as failed.
    pub call_timeout_margin: Duration,
    /// Shortest time between the starts of two reads.
    pub watch_interval: Duration,
    /// Time between reads of the backup reader, which polls instead of watching.
    pub backup_read_interval: Duration,
    /// Time after which operators must have written again what a restored platform has lost; its
    /// records count from then on.
    pub rewrite_time: Duration,
    /// Back-off after the first failed platform read; doubled with each further failure.
    pub first_backoff: Duration,
    /// Longest back-off after failed platform reads.
    pub max_backoff: Duration,
    /// Time for which a starting node waits for records from peers before it reads the platform.
    pub peer_sync_timeout: Duration,
    /// Time for which a node is behind its peers before it requests the missing records from one of
    /// them.
    pub pull_delay: Duration,
    /// Time for which a node other than a relay is behind before it requests records from another
    /// failure domain; the relays of its own domain do so after `pull_delay`.
    pub cross_domain_pull_delay: Duration,
    /// Shortest time between two requests to peers.
    pub pull_interval: Duration,
    /// Largest change in bytes that is pushed to peers; they request larger ones themselves.
    pub max_push_bytes: usize,
    /// Seed of back-off jitter and of the choice of peers.
    pub seed: u64,
}

impl Default for ConfigOptions {
    fn default() -> Self {
        Self {
            watch_wait: Duration::from_secs(5),
            call_timeout_margin: Duration::from_secs(3),
            watch_interval: Duration::from_millis(250),
            backup_read_interval: Duration::from_secs(5),
            rewrite_time: Duration::from_millis(2_100),
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
