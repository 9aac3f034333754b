//! How one call ended.

use std::time::Duration;

use shallottide_types::refusal::{Ran, RefusalKind};

/// How one call ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Outcome {
    /// The whole answer to this call came.
    Whole {
        /// The body of a service's answer; empty for a completion.
        body: String,
    },
    /// The call was refused.
    Refused {
        /// The reason.
        kind: RefusalKind,
        /// Whether it ran, as the refusal says.
        ran: Ran,
        /// Whether the refusal came as an event after part of the answer.
        in_stream: bool,
    },
    /// A refusal that can't be read.
    Malformed {
        /// HTTP status.
        status: u16,
    },
    /// The answer ended before its end, without a word.
    Cut(String),
    /// The answer isn't the one to this call.
    Wrong(String),
    /// Nothing came: no connection, no answer or a timeout.
    NoAnswer(String),
}

impl Outcome {
    /// Tells whether the caller was told that the call has not run.
    #[must_use]
    pub fn says_not_run(&self) -> bool {
        matches!(self, Self::Refused { ran: Ran::No, .. })
    }
}

/// When the parts of an answer came, from the planned arrival of the call.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Timing {
    /// First token.
    pub first_token: Option<Duration>,
    /// Time between each two tokens.
    pub between_tokens: Vec<Duration>,
    /// End of the answer.
    pub whole: Duration,
}
