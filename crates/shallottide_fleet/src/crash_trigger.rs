//! What may be at fault when upstreams end.

use std::fmt;
use std::num::ParseIntError;
use std::str::FromStr;

use serde::{Deserialize, Serialize};
use shallottide_types::id::ServiceId;

use crate::prompt_part::PromptPart;
use crate::request_digest::RequestDigest;

/// Prefix of a request's digest, which tells it from a prompt part.
const REQUEST_PREFIX: &str = "request-";

/// What ends the upstreams that run requests with it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum CrashTrigger {
    /// A part of prompts, which requests share.
    Part(PromptPart),
    /// A single request, which comes again.
    Request(RequestDigest),
}

impl CrashTrigger {
    /// Returns whether it is a single request.
    #[must_use]
    pub fn is_request(&self) -> bool {
        matches!(self, Self::Request(_))
    }
}

impl fmt::Display for CrashTrigger {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Part(part) => part.fmt(f),
            Self::Request(digest) => write!(f, "{REQUEST_PREFIX}{digest}"),
        }
    }
}

impl FromStr for CrashTrigger {
    type Err = ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text.strip_prefix(REQUEST_PREFIX) {
            Some(digest) => digest.parse().map(Self::Request),
            None => text.parse().map(Self::Part),
        }
    }
}

/// A trigger at one service.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct TriggerKey {
    /// The service whose upstreams it ends.
    pub service: ServiceId,
    /// The trigger.
    pub trigger: CrashTrigger,
}
