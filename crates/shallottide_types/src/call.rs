//! One caller's request and the events of its answer.

use std::time::Duration;

use bytes::Bytes;
use compact_str::CompactString;
use serde::{Deserialize, Serialize};

use crate::data;
use crate::id::{CallId, IdempotencyKey, ModelId, ServiceId, TeamId};
use crate::refusal::Refusal;

/// What a call wants to reach.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Target {
    /// A model, by `/v1/completions` or `/v1/chat/completions`.
    Model(ModelId),
    /// A plain service, by `/services/NAME/PATH`.
    Service(ServiceId),
}

/// The W3C trace of one call.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TraceContext {
    /// TraceContext id, the same on all hops.
    pub trace_id: u128,
    /// The span of the hop that sent this.
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
    /// Everything about a call but its body.
    pub struct CallHead {
        /// Unique over all entry VMs; echoed by the upstream in `X-Request-Id`.
        pub id: CallId,
        /// The team whose key was presented. Set by the first entry VM, trusted by the next.
        pub team: TeamId,
        /// What the call wants to reach.
        pub target: Target,
        /// HTTP method, in capitals.
        pub method: CompactString,
        /// Path at the upstream, beginning with `/`, with its query.
        pub path: CompactString,
        /// Content type of the body.
        pub content_type: Option<CompactString>,
        /// The caller's `Idempotency-Key`.
        pub key: Option<IdempotencyKey>,
        /// Whether the caller asked for server-sent events.
        pub stream: bool,
        /// Hash of the prompt's first block, for prefix-cache affinity.
        pub prefix: Option<u64>,
        /// Time left until the caller's deadline, as of sending this hop.
        pub time_left: Duration,
        /// TraceContext of the hop that sent this.
        pub trace: TraceContext,
    }

    /// One event of an answer, in order: `Head`, any number of `Data`, then `End` or `Fail`.
    /// `Fail` may also come alone.
    pub enum ReplyEvent {
        /// Status and headers.
        Head(ReplyHead),
        /// Part of the body; in a stream one whole server-sent event.
        Data(Bytes),
        /// The answer is complete.
        End,
        /// There is no (whole) answer.
        Fail(Refusal),
    }

    /// Status and content type of an answer.
    pub struct ReplyHead {
        /// HTTP status.
        pub status: u16,
        /// Content type.
        pub content_type: CompactString,
    }
}
