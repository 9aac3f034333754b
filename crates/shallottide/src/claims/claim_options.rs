//! Limits and timeouts of the claims service.

use std::sync::Arc;
use std::time::Duration;

use super::job::Task;
use super::{ClaimCounts, TicketOptions};

/// Limits and timeouts of the claims service.
#[derive(Debug, Clone)]
pub struct ClaimOptions {
    /// How long an ended claim keeps its outcome, unless its partition fills up earlier.
    pub retention: Duration,
    /// How long a key is refused as expired after its claim was dropped. The clocks of the
    /// entry VMs must agree to a small part of this.
    pub old_window: Duration,
    /// Most bytes of a partition's recent claims.
    pub max_recent_bytes: usize,
    /// Most expired keys remembered in a partition; when full, new claims are refused.
    pub max_old_keys: usize,
    /// Shortest time between two rounds of platform calls for one partition.
    pub round_interval: Duration,
    /// How long an outcome waits for a claim to share its write with.
    pub outcome_delay: Duration,
    /// Longest wait for a claim's answer by a partition's preferred writer.
    pub relay_timeout: Duration,
    /// How long a writer that gave no answer is passed over.
    pub suspect_time: Duration,
    /// Longest wait for one platform call.
    pub op_timeout: Duration,
    /// Longest time that a claim is tried for.
    pub claim_timeout: Duration,
    /// How long the recording of an outcome is tried for.
    pub outcome_timeout: Duration,
    /// Added to a call's time left before its claim counts as abandoned.
    pub expiry_margin: Duration,
    /// Most claims and outcomes waiting in one partition.
    pub max_waiting: usize,
    /// Limits of tickets.
    pub tickets: TicketOptions,
    /// Counts shared with whoever decides about stopping.
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
    /// Returns the longest wait for a preferred writer's answer to a task. Outcomes wait there
    /// for claims.
    pub(super) fn patience(&self, task: &Task) -> Duration {
        match task {
            Task::Claim(_) => self.relay_timeout,
            Task::End(_) => self.relay_timeout + self.outcome_delay * 2,
        }
    }
}
