//! Limits and timeouts of the claims service.

use std::sync::Arc;
use std::time::Duration;

use super::job::Task;
use super::{ClaimCounts, TicketOptions};

/// Limits and timeouts of the claims service.
#[derive(Debug, Clone)]
pub struct ClaimOptions {
    /// How long the outcome of an ended claim is kept, unless its partition fills up earlier.
    pub retention: Duration,
    /// How long a key is refused as expired after its claim was dropped. Clock skew between
    /// entry VMs must be small compared to this.
    pub old_window: Duration,
    /// Maximum size in bytes of a partition's recent claims.
    pub max_recent_bytes: usize,
    /// Maximum number of expired keys kept per partition; when reached, new claims are refused.
    pub max_old_keys: usize,
    /// Minimum time between two rounds of platform calls for one partition.
    pub round_interval: Duration,
    /// How long an outcome is delayed so that it can share a write with a claim.
    pub outcome_delay: Duration,
    /// Timeout for a claim's answer from a partition's preferred writer.
    pub relay_timeout: Duration,
    /// How long a writer that did not answer in time is not chosen again.
    pub suspect_time: Duration,
    /// Timeout of one platform call.
    pub op_timeout: Duration,
    /// Total time for which a claim is attempted.
    pub claim_timeout: Duration,
    /// Total time for which recording an outcome is attempted.
    pub outcome_timeout: Duration,
    /// Time added to a call's remaining time before its claim counts as abandoned.
    pub expiry_margin: Duration,
    /// Maximum number of jobs queued in one partition; further claims are refused.
    pub max_waiting: usize,
    /// Limits of tickets.
    pub tickets: TicketOptions,
    /// Counters shared with the node's shutdown logic.
    pub counts: Arc<ClaimCounts>,
}

impl Default for ClaimOptions {
    fn default() -> Self {
        Self {
            retention: Duration::from_mins(10),
            old_window: Duration::from_hours(24),
            max_recent_bytes: 256 << 10,
            max_old_keys: 64 << 10,
            round_interval: Duration::from_millis(200),
            outcome_delay: Duration::from_millis(500),
            relay_timeout: Duration::from_millis(700),
            suspect_time: Duration::from_secs(5),
            op_timeout: Duration::from_secs(1),
            claim_timeout: Duration::from_secs(3),
            outcome_timeout: Duration::from_mins(10),
            expiry_margin: Duration::from_secs(5),
            max_waiting: 4_096,
            tickets: TicketOptions::default(),
            counts: Arc::default(),
        }
    }
}

impl ClaimOptions {
    /// Returns the timeout for a preferred writer's answer to a task.
    ///
    /// Longer for outcomes, since the writer delays them by `outcome_delay`.
    pub(super) fn writer_timeout(&self, task: &Task) -> Duration {
        match task {
            Task::Claim(_) => self.relay_timeout,
            Task::End(_) => self.relay_timeout + self.outcome_delay * 2,
        }
    }
}
