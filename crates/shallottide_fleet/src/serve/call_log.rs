//! The log line and the counts at the end of a call.

use std::rc::Rc;
use std::time::Instant;

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
            outcome: "caller_left",
            status: 0,
        }
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
            took_ms = u64::try_from(took.as_millis()).unwrap_or(u64::MAX),
            config = state.routes_version,
            "call ended"
        );
    }
}
