//! Trace span of one hop of a call; the trace id joins it to those of the other hops.

use std::fmt::Display;
use std::time::Instant;

use compact_str::{CompactString, format_compact};
use shallottide_types::call::TraceContext;
use shallottide_types::id::CallId;

use super::Metrics;

/// Trace span of one hop of a call; it ends and is logged when dropped.
#[derive(Debug)]
pub struct CallSpan {
    hop: &'static str,
    call: CallId,
    parent: TraceContext,
    trace: TraceContext,
    started: Instant,
    /// One word, used as a metric tag.
    outcome: CompactString,
    /// A sentence for the log.
    detail: String,
    metrics: Metrics,
}

impl CallSpan {
    /// Starts a span as a child of the span in `parent`.
    #[must_use]
    pub fn start(
        hop: &'static str,
        call: &CallId,
        parent: TraceContext,
        metrics: &Metrics,
    ) -> Self {
        let trace = TraceContext {
            trace_id: parent.trace_id,
            span_id: rand::random::<u64>().max(1),
        };
        Self {
            hop,
            call: call.clone(),
            parent,
            trace,
            started: Instant::now(),
            outcome: "dropped".into(),
            detail: String::new(),
            metrics: metrics.clone(),
        }
    }

    /// Returns the trace context to propagate to the next hop.
    #[must_use]
    pub fn trace(&self) -> TraceContext {
        self.trace
    }

    /// Sets the outcome of the hop: one word for metrics and a sentence for the log.
    pub fn set_outcome(&mut self, outcome: impl Display, detail: impl Into<String>) {
        self.outcome = format_compact!("{outcome}");
        self.detail = detail.into();
    }
}

impl Drop for CallSpan {
    fn drop(&mut self) {
        let duration = self.started.elapsed();
        self.metrics.record_call(self.hop, &self.outcome, duration);
        tracing::info!(
            hop = self.hop,
            call = %self.call,
            trace_id = format!("{:032x}", self.trace.trace_id),
            span_id = format!("{:016x}", self.trace.span_id),
            parent_span_id = format!("{:016x}", self.parent.span_id),
            duration_us = u64::try_from(duration.as_micros()).unwrap_or(u64::MAX),
            outcome = %self.outcome,
            detail = self.detail,
            "span"
        );
    }
}

/// Creates a trace context for a call whose caller sent none.
#[must_use]
pub fn new_trace() -> TraceContext {
    TraceContext {
        trace_id: rand::random::<u128>().max(1),
        span_id: 0,
    }
}
