//! Outcome and timing of one call.

use std::time::Duration;

use shallottide_types::refusal::{Ran, RefusalKind};

/// Outcome of one call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Outcome {
    /// The complete answer to this call was received.
    Whole {
        /// Body of a service's answer, to compare with the answer to a repeat; empty for a completion.
        body: String,
    },
    /// The call was refused with a well-formed error.
    Refused {
        /// Reason of the refusal.
        kind: RefusalKind,
        /// Whether the call ran, according to the refusal.
        ran: Ran,
        /// Whether the refusal came as an event of a stream.
        in_stream: bool,
    },
    /// The answer has an error status and a body that can't be parsed.
    Malformed {
        /// HTTP status.
        status: u16,
    },
    /// The answer broke off without an error event. Holds the reason.
    Cut(String),
    /// The answer doesn't belong to this call or has wrong content. Holds the reason.
    Wrong(String),
    /// No answer was received: no connection, no response or a timeout. Holds the reason.
    NoAnswer(String),
}

impl Outcome {
    /// Returns whether the answer states that the call did not run.
    #[must_use]
    pub fn says_not_run(&self) -> bool {
        matches!(self, Self::Refused { ran: Ran::No, .. })
    }
}

/// Times at which the parts of an answer were received, from the planned arrival of the call.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Timing {
    /// Time of the first token; `None` if there was none or the answer isn't streamed.
    pub first_token: Option<Duration>,
    /// Times between consecutive tokens.
    pub between_tokens: Vec<Duration>,
    /// Time at which the call ended.
    pub whole: Duration,
}
