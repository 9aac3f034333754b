//! Limits and timeouts of the calls service.

use std::sync::Arc;
use std::time::Duration;

use super::CallCounts;

/// Limits and timeouts of the calls service.
#[derive(Debug, Clone)]
pub struct CallOptions {
    /// Most calls in flight on this node; more are refused.
    pub max_in_flight: usize,
    /// Most attempts of one call over the network, the first included.
    pub max_attempts: u32,
    /// Most slots that one call asks this node's own admission for.
    pub max_local_tries: u32,
    /// Retries that the node's retry budget gains with each first attempt.
    pub retry_ratio: f64,
    /// Most retries that the node's retry budget holds.
    pub retry_burst: f64,
    /// Retries that the budget of one slot holds; it gains by `retry_ratio`, too.
    pub slot_retry_burst: f64,
    /// Longest time that a call may have left.
    pub max_time: Duration,
    /// Longest wait for the next event of a stream, the first included.
    pub stream_idle_timeout: Duration,
    /// Longest wait for the next part of an answer that is no stream.
    pub answer_idle_timeout: Duration,
    /// How much longer the sender of a forwarded call waits, so that the receiver reports first.
    pub hop_margin: Duration,
    /// Largest answer held back until it is whole, so that a cut one can be retried.
    pub buffer_bytes: usize,
    /// Largest body kept as the recorded outcome of a claimed call.
    pub kept_body_bytes: usize,
    /// When refused callers are told to retry.
    pub retry_after: Duration,
    /// Counts of calls in flight, shared with whoever decides about stopping.
    pub counts: Arc<CallCounts>,
}

impl Default for CallOptions {
    fn default() -> Self {
        Self {
            max_in_flight: 4_096,
            max_attempts: 4,
            max_local_tries: 16,
            retry_ratio: 0.1,
            retry_burst: 50.0,
            slot_retry_burst: 10.0,
            max_time: Duration::from_hours(1),
            stream_idle_timeout: Duration::from_secs(10),
            answer_idle_timeout: Duration::from_mins(1),
            hop_margin: Duration::from_millis(500),
            buffer_bytes: 64 << 10,
            kept_body_bytes: 1 << 10,
            retry_after: Duration::from_secs(1),
            counts: Arc::default(),
        }
    }
}
