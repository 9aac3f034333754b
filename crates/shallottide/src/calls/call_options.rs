//! Limits and timeouts of the calls service.

use std::sync::Arc;
use std::time::Duration;

use super::CallCounts;

/// Limits and timeouts of the calls service.
#[derive(Debug, Clone)]
pub struct CallOptions {
    /// Maximum number of calls in flight on this node; more are refused.
    pub max_in_flight: usize,
    /// Maximum number of attempts of one call, including the first.
    pub max_attempts: u32,
    /// Maximum number of routes that one call tries without being able to send an attempt.
    pub max_local_tries: u32,
    /// Retries added to the node's retry budget by each first attempt.
    pub retry_ratio: f64,
    /// Capacity of the node's retry budget.
    pub retry_burst: f64,
    /// Capacity of the retry budget of each slot, which is also refilled by `retry_ratio`.
    pub slot_retry_burst: f64,
    /// Upper limit of a call's remaining time.
    pub max_time: Duration,
    /// Timeout for the next event of a stream, including the first.
    pub stream_idle_timeout: Duration,
    /// Timeout for the next part of an answer that is not a stream.
    pub answer_idle_timeout: Duration,
    /// Time added to the idle timeout for each hop of a forwarded call, so that the node nearest to
    /// the upstream times out and reports first.
    pub hop_margin: Duration,
    /// Maximum size in bytes of an answer that is buffered until it is complete, so that an
    /// interrupted one can be retried.
    pub buffer_bytes: usize,
    /// Maximum size in bytes of a body recorded with the outcome of a claimed call.
    pub kept_body_bytes: usize,
    /// Retry delay reported to refused callers.
    pub retry_after: Duration,
    /// Counters of calls in flight, shared with the node's shutdown logic.
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
