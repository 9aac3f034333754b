//! Planned calls.

use std::net::SocketAddr;
use std::time::Duration;

/// A planned call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallPlan {
    /// Position of the call in the run, from 0.
    pub number: u64,
    /// Planned arrival, from the start of the run.
    pub arrival: Duration,
    /// Entry VM that the call is sent to.
    pub target: SocketAddr,
    /// Kind of request, with its content.
    pub kind: CallKind,
}

/// Kind of request that a call makes, with its content.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallKind {
    /// A completion from a model.
    Completion {
        /// The prompt, different from the prompts of all other calls of the run.
        prompt: String,
    },
    /// A request to the plain service.
    Service {
        /// Idempotency key of the call.
        key: String,
        /// Entry VM through which the call is repeated, or `None` if it isn't.
        repeat_through: Option<SocketAddr>,
    },
}
