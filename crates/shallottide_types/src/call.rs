//! A caller's request and the events of its response.

use std::time::Duration;

use bytes::Bytes;
use compact_str::CompactString;
use serde::{Deserialize, Serialize};

use crate::data;
use crate::id::{CallId, IdempotencyKey, ModelId, ServiceId, TeamId};
use crate::refusal::Refusal;

/// The model or service that a call addresses.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Target {
    /// A model, addressed through `/v1/completions` or `/v1/chat/completions`.
    Model(ModelId),
    /// A plain service, addressed through `/services/NAME/PATH`.
    Service(ServiceId),
}

/// The W3C trace context of one call.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TraceContext {
    /// Trace id; the same on all hops.
    pub trace_id: u128,
    /// Span id of the sending hop.
    pub span_id: u64,
}

impl std::fmt::Display for TraceContext {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "00-{:032x}-{:016x}-01", self.trace_id, self.span_id)
    }
}

impl std::str::FromStr for TraceContext {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let error = || format!("traceparent {text:?} is not of the form 00-TRACE-SPAN-FLAGS");
        let mut parts = text.split('-').skip(1);
        let mut hex = |len: usize| {
            let part = parts.next().filter(|p| p.len() == len).ok_or_else(error)?;
            u128::from_str_radix(part, 16).map_err(|_| error())
        };
        let trace_id = hex(32)?;
        let span_id = u64::try_from(hex(16)?).map_err(|_| error())?;
        if trace_id == 0 || span_id == 0 {
            return Err(error());
        }
        Ok(Self { trace_id, span_id })
    }
}

data! {
    /// A call without its body.
    pub struct CallHead {
        /// Unique over all entry VMs; echoed by the upstream in `X-Request-Id`.
        pub id: CallId,
        /// The team whose bearer key the caller presented. Set by the entry VM that received the
        /// call; the entry VM it is forwarded to trusts it.
        pub team: TeamId,
        /// The model or service that the call addresses.
        pub target: Target,
        /// HTTP method in upper case.
        pub method: CompactString,
        /// Path and query at the upstream; begins with `/`.
        pub path: CompactString,
        /// Content type of the request body.
        pub content_type: Option<CompactString>,
        /// Value of the caller's `Idempotency-Key` header.
        pub key: Option<IdempotencyKey>,
        /// Whether the caller requested server-sent events.
        pub stream: bool,
        /// Hash of the prompt's first block, for prefix-cache affinity.
        pub prefix: Option<u64>,
        /// Time left until the caller's deadline, measured when this hop was sent.
        pub time_left: Duration,
        /// Trace context with the span id of the sending hop.
        pub trace: TraceContext,
    }

    /// One event of a response. The order is `Head`, any number of `Data`, then `End` or
    /// `Fail`; a response may also consist of `Fail` alone.
    pub enum ReplyEvent {
        /// Status and content type.
        Head(ReplyHead),
        /// Part of the body; when streaming, one complete server-sent event.
        Data(Bytes),
        /// The response is complete.
        End,
        /// There is no response, or it ended before it was complete.
        Fail(Refusal),
    }

    /// Status and content type of a response.
    pub struct ReplyHead {
        /// HTTP status code.
        pub status: u16,
        /// Content type of the response body.
        pub content_type: CompactString,
    }
}
