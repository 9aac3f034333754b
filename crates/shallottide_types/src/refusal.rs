//! The error that a caller receives when a call gets no response from an upstream.

use std::fmt;
use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Whether an upstream ran the call.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Ran {
    /// No byte of the call was sent to an upstream, or the upstream refused it before running it.
    No,
    /// The call may have run.
    Unknown,
    /// The call ran.
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

/// The reason for refusing a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RefusalKind {
    /// The request is malformed.
    BadRequest,
    /// The request is larger than allowed.
    TooLarge,
    /// The bearer key is missing or unknown.
    Unauthorized,
    /// The model, service or path does not exist.
    NotFound,
    /// The call may not be repeated, so it needs an idempotency key, and it has none.
    KeyRequired,
    /// The idempotency key was used before with a different request.
    KeyReused,
    /// The idempotency key is older than the retention period of claims.
    KeyExpired,
    /// A call with the same idempotency key is running now.
    Running,
    /// The call was sent to an upstream once and its outcome was lost.
    OutcomeUnknown,
    /// The team has reached its limit of requests per second, requests in flight or tickets.
    TeamLimit,
    /// Every upstream that may serve the call is full.
    Overloaded,
    /// No upstream that may serve the call is ready.
    NoUpstream,
    /// The claim of the idempotency key can't be written because the platform can't be reached.
    PlatformDown,
    /// This node is stopping.
    Stopping,
    /// The caller's deadline passed.
    DeadlineExceeded,
    /// The upstream failed or its response was cut short.
    UpstreamFailed,
    /// The caller disconnected.
    Cancelled,
    /// An internal error of shallottide.
    Internal,
    /// A part of the prompt is quarantined, as upstreams end when they run requests with it.
    Quarantined,
    /// The entry VM that minted the ticket can't be reached.
    MinterUnreachable,
}

impl RefusalKind {
    /// Returns the HTTP status code for this kind.
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
            | Self::Quarantined
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

/// Why a call was refused, whether it ran, and when to retry.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
#[error("{kind}: {message} (ran: {ran})")]
pub struct Refusal {
    /// The reason.
    pub kind: RefusalKind,
    /// Message for the caller that names the remedy.
    pub message: String,
    /// Whether the call ran. `Ran::No` is used only when it is certain.
    pub ran: Ran,
    /// Time to wait before a retry can succeed; `None` when no such time is known.
    pub retry_after: Option<Duration>,
}

impl Refusal {
    /// Creates a refusal without `retry_after`.
    #[must_use]
    pub fn new(kind: RefusalKind, ran: Ran, message: impl Into<String>) -> Self {
        Self {
            kind,
            message: message.into(),
            ran,
            retry_after: None,
        }
    }

    /// Sets the time to wait before a retry can succeed.
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
