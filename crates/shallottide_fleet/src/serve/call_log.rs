//! The log line and the counts at the end of a call.

use std::rc::Rc;
use std::time::{Duration, Instant};

use compact_str::CompactString;
use shallottide_types::id::UpstreamId;

use super::node::Node;

/// One call; ends, and is logged, when dropped.
pub(super) struct CallLog {
    node: Rc<Node>,
    pub(super) id: CompactString,
    pub(super) route: CompactString,
    started: Instant,
    pub(super) attempts: u32,
    pub(super) upstream: Option<UpstreamId>,
    /// When the first event went to the caller, and the last.
    events: Option<(Instant, Instant)>,
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
            started: node.now(),
            attempts: 0,
            upstream: None,
            events: None,
            longest_gap: Duration::ZERO,
            outcome: "caller_left",
            status: 0,
        }
    }

    /// Notes that events of a stream go to the caller.
    pub(super) fn events_passed(&mut self) {
        let now = self.node.now();
        let (first, last) = self.events.unwrap_or((now, now));
        self.longest_gap = self.longest_gap.max(now.saturating_duration_since(last));
        self.events = Some((first, now));
    }

    /// Sets how the call ends; a call without that ends because its caller left.
    pub(super) fn ends(&mut self, outcome: &'static str, status: u16) {
        self.outcome = outcome;
        self.status = status;
    }
}

impl Drop for CallLog {
    fn drop(&mut self) {
        let took = self.node.now().saturating_duration_since(self.started);
        self.node.metrics.count("calls", self.outcome);
        self.node.metrics.time("call", took);
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
                millis(first.saturating_duration_since(self.started))
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
