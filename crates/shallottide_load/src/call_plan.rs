//! One planned call.

use std::net::SocketAddr;
use std::time::Duration;

/// One planned call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallPlan {
    /// Counts the calls from 0.
    pub number: u64,
    /// When it arrives, from the start of the run.
    pub arrival: Duration,
    /// The entry VM that it goes to.
    pub target: SocketAddr,
    /// What it asks.
    pub kind: CallKind,
}

/// What a call asks.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallKind {
    /// A completion.
    Completion {
        /// The prompt, unlike that of any other call of the run.
        prompt: String,
    },
    /// A call of the plain service.
    Service {
        /// Its idempotency key.
        key: String,
        /// The entry VM through which it is made again.
        repeat_through: Option<SocketAddr>,
    },
}
