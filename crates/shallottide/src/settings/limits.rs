//! Limits on callers' connections and requests.

use std::time::Duration;

use serde::Deserialize;
use shallottide_types::duration_text;
use shallottide_types::quantity::ByteSize;

/// Limits on callers' connections and requests.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// Largest number of open connections from callers; further ones are closed on accept.
    pub connections: usize,
    /// Largest size of a request's line and headers together. At least 8 KiB.
    pub header_size: ByteSize,
    /// Largest size of a request's body.
    pub body_size: ByteSize,
    /// Longest wait for a request's line and headers, including the idle time between requests.
    #[serde(with = "duration_text")]
    pub header_timeout: Duration,
    /// Longest wait for a request's whole body.
    #[serde(with = "duration_text")]
    pub body_timeout: Duration,
    /// Longest time for which a caller may read nothing of its answer.
    #[serde(with = "duration_text")]
    pub write_timeout: Duration,
    /// Time-out of a call whose caller sets none in `X-Timeout`.
    #[serde(with = "duration_text")]
    pub call_timeout: Duration,
    /// Largest number of calls in flight on this node; further ones are refused.
    pub calls: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            connections: 4_096,
            header_size: ByteSize(16 << 10),
            body_size: ByteSize(8 << 20),
            header_timeout: Duration::from_secs(10),
            body_timeout: Duration::from_secs(30),
            write_timeout: Duration::from_secs(30),
            call_timeout: Duration::from_mins(2),
            calls: 2_048,
        }
    }
}
