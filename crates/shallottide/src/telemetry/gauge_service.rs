//! Service that sends the node's gauges once a second.

use std::sync::Arc;
use std::time::{Duration, Instant};

use super::Metrics;
use crate::calls::CallCounts;
use crate::claims::ClaimCounts;
use crate::kernel::{Context, Name, Outbox, Service, names};
use crate::message::Message;

/// Time between two reports of the gauges.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// Sends gauges of calls, claims, configuration records and live nodes.
pub struct GaugeService {
    metrics: Metrics,
    calls: Arc<CallCounts>,
    claims: Arc<ClaimCounts>,
    next_report: Option<Instant>,
}

impl GaugeService {
    /// Creates a service that reads the given counters of calls and claims.
    #[must_use]
    pub fn new(metrics: Metrics, calls: Arc<CallCounts>, claims: Arc<ClaimCounts>) -> Self {
        Self {
            metrics,
            calls,
            claims,
            next_report: None,
        }
    }

    fn send(&self, cx: &Context) {
        let members = cx.members();
        let alive = members.nodes.values().filter(|node| node.alive).count();
        let count = |value: usize| u64::try_from(value).unwrap_or(u64::MAX);
        self.metrics
            .set_gauge("calls.in_flight", count(self.calls.in_flight()));
        self.metrics
            .set_gauge("calls.forwarded", count(self.calls.forwarded()));
        self.metrics
            .set_gauge("claims.pending", count(self.claims.pending()));
        self.metrics.set_gauge("nodes.alive", count(alive));
        self.metrics.set_gauge("config.index", cx.config().index.0);
    }
}

impl Service for GaugeService {
    fn name(&self) -> Name {
        names::GAUGES
    }

    fn handle(&mut self, message: Message, cx: &Context, _: &mut Outbox) {
        let now = cx.now();
        if !matches!(message, Message::Tick) || self.next_report.is_some_and(|at| now < at) {
            return;
        }
        self.next_report = Some(now + REPORT_INTERVAL);
        self.send(cx);
    }
}
