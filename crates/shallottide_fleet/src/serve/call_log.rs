//! Log line and metrics of a finished call.

use std::rc::Rc;
use std::time::{Duration, Instant};

use compact_str::CompactString;
use shallottide_types::id::UpstreamId;

use super::node::Node;

/// Collects what is logged about one call; writes the log line and the metrics when dropped.
pub(super) struct CallLog {
    node: Rc<Node>,
    pub(super) id: CompactString,
    pub(super) route: CompactString,
    started_at: Instant,
    pub(super) attempts: u32,
    pub(super) upstream: Option<UpstreamId>,
    /// Times of the first and the last events that were sent to the caller.
    events: Option<(Instant, Instant)>,
    /// Longest pause between two events.
    longest_gap: Duration,
    outcome: &'static str,
    status: u16,
}

impl CallLog {
    pub(super) fn start(node: &Rc<Node>, id: CompactString) -> Self {
        node.state.borrow_mut().in_flight += 1;
        Self {
            node: node.clone(),
            id,
            route: CompactString::default(),
            started_at: node.now(),
            attempts: 0,
            upstream: None,
            events: None,
            longest_gap: Duration::ZERO,
            outcome: "caller_left",
            status: 0,
        }
    }

    /// Records that events of the stream are sent to the caller.
    pub(super) fn record_events(&mut self) {
        let now = self.node.now();
        let (first, last) = self.events.unwrap_or((now, now));
        self.longest_gap = self.longest_gap.max(now.saturating_duration_since(last));
        self.events = Some((first, now));
    }

    /// Sets the outcome to log; without it the call counts as abandoned by its caller.
    pub(super) fn set_outcome(&mut self, outcome: &'static str, status: u16) {
        self.outcome = outcome;
        self.status = status;
    }
}

impl Drop for CallLog {
    fn drop(&mut self) {
        let took = self.node.now().saturating_duration_since(self.started_at);
        self.node.metrics.count("calls", self.outcome);
        self.node.metrics.record_duration("call", took);
        let mut state = self.node.state.borrow_mut();
        state.in_flight = state.in_flight.saturating_sub(1);
        tracing::info!(
            call = %self.id,
            route = %self.route,
            outcome = self.outcome,
            status = self.status,
            attempts = self.attempts,
            upstream = self.upstream.as_ref().map(UpstreamId::as_str),
            took_ms = millis(took),
            first_event_ms = self.events.map(|(first, _)| {
                millis(first.saturating_duration_since(self.started_at))
            }),
            longest_gap_ms = self.events.map(|_| millis(self.longest_gap)),
            config = state.routes_version,
            "call ended"
        );
    }
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
