//! What a caller is told when a call gets no answer.

use std::fmt;
use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Whether the call ran on an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Ran {
    /// No byte of the call left for an upstream, or the upstream refused it before running it.
    No,
    /// It may have run.
    Unknown,
    /// It ran.
    Yes,
}

impl fmt::Display for Ran {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::No => "no",
            Self::Unknown => "unknown",
            Self::Yes => "yes",
        })
    }
}

/// The reason for a refusal.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RefusalKind {
    /// The request is malformed.
    BadRequest,
    /// The request is larger than allowed.
    TooLarge,
    /// The bearer key is missing or unknown.
    Unauthorized,
    /// No such model, service or path.
    NotFound,
    /// The call may not be repeated and came without a key.
    KeyRequired,
    /// The key was used before for another body.
    KeyReused,
    /// The key is older than claims are kept for.
    KeyExpired,
    /// The same call is running now.
    Running,
    /// The call was sent once and its outcome was lost.
    OutcomeUnknown,
    /// The team is at its limit.
    TeamLimit,
    /// Every upstream that may serve the call is full.
    Overloaded,
    /// No upstream that may serve the call is ready.
    NoUpstream,
    /// The claim can't be written because the platform can't be reached.
    PlatformDown,
    /// This node is stopping.
    Stopping,
    /// The deadline passed.
    DeadlineExceeded,
    /// The upstream failed or its answer was cut.
    UpstreamFailed,
    /// The caller went away.
    Cancelled,
    /// A fault inside shallottide.
    Internal,
    /// The entry VM that minted the ticket can't be reached.
    MinterUnreachable,
}

impl RefusalKind {
    /// Returns the HTTP status that fits this kind.
    #[must_use]
    pub fn status(self) -> u16 {
        match self {
            Self::BadRequest | Self::KeyRequired => 400,
            Self::Unauthorized => 401,
            Self::NotFound => 404,
            Self::Running | Self::OutcomeUnknown => 409,
            Self::KeyExpired => 410,
            Self::TooLarge => 413,
            Self::KeyReused => 422,
            Self::TeamLimit => 429,
            Self::Cancelled => 499,
            Self::Internal => 500,
            Self::UpstreamFailed => 502,
            Self::Overloaded
            | Self::NoUpstream
            | Self::PlatformDown
            | Self::MinterUnreachable
            | Self::Stopping => 503,
            Self::DeadlineExceeded => 504,
        }
    }
}

impl fmt::Display for RefusalKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.serialize(f)
    }
}

/// A truthful refusal: why, whether the call ran, and when to retry.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
#[error("{kind}: {message} (ran: {ran})")]
pub struct Refusal {
    /// The reason.
    pub kind: RefusalKind,
    /// A sentence for the caller that names the remedy.
    pub message: String,
    /// Whether the call ran. `Ran::No` is only ever said when it is certain.
    pub ran: Ran,
    /// When a retry makes sense.
    pub retry_after: Option<Duration>,
}

impl Refusal {
    /// Creates a refusal without a retry time.
    #[must_use]
    pub fn new(kind: RefusalKind, ran: Ran, message: impl Into<String>) -> Self {
        Self {
            kind,
            message: message.into(),
            ran,
            retry_after: None,
        }
    }

    /// Sets when a retry makes sense.
    #[must_use]
    pub fn retry_after(mut self, wait: Duration) -> Self {
        self.retry_after = Some(wait);
        self
    }

    /// Returns the JSON body `{"error":{"kind","message","ran"}}`.
    #[must_use]
    pub fn to_json(&self) -> String {
        let Self {
            kind, message, ran, ..
        } = self;
        serde_json::json!({"error": {"kind": kind, "message": message, "ran": ran}}).to_string()
    }
}
