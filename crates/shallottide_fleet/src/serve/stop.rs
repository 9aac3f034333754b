//! Graceful shutdown.

use std::rc::Rc;
use std::time::{Duration, Instant};

use tokio::signal::unix::{SignalKind, signal};

use super::node::{Node, NodeError};

/// Phase of a node's shutdown.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Phase {
    /// Serves normally.
    Serving,
    /// Reports itself not ready, still serves, and closes connections after their next response.
    Draining,
    /// Accepts nothing new, closes idle connections and finishes the calls in flight. Those that no
    /// upstream has got are passed on only if their deadlines are before the time in the variant.
    Closing(Instant),
}

impl Phase {
    pub(super) fn is_closing(&self) -> bool {
        matches!(self, Self::Closing(_))
    }
}

/// Time within which the load balancer notices that a node is not ready.
const READINESS_NOTICE_TIME: Duration = Duration::from_secs(3);
/// Time reserved at the end of the grace period for the exit of the process.
const EXIT_MARGIN: Duration = Duration::from_millis(500);
/// Time reserved before that for refusals of calls that are still running to reach their callers.
const REFUSAL_MARGIN: Duration = Duration::from_millis(300);
/// Interval at which the number of calls in flight is checked.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// How a node stopped.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StopReport {
    /// Calls whose responses were not complete when the grace period ended, and were cut off.
    pub unfinished_calls: usize,
}

/// Waits for SIGTERM or SIGINT, then shuts the node down; SIGHUP only logs that nothing is reloaded.
pub(super) async fn run(node: Rc<Node>) -> Result<StopReport, NodeError> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let mut reload = signal(SignalKind::hangup())?;
    loop {
        tokio::select! {
            _ = terminate.recv() => break,
            _ = interrupt.recv() => break,
            // Whatever may change at run time comes from the store.
            _ = reload.recv() => tracing::info!("SIGHUP ignored: addresses and bounds change only at a restart"),
        }
    }
    tracing::info!(in_flight = node.state.borrow().in_flight, "stopping");
    node.phase.send_replace(Phase::Draining);
    let end = node.now() + node.options.stop_grace.saturating_sub(EXIT_MARGIN);
    // Leaves time for the calls in flight if the grace period is short.
    tokio::time::sleep(READINESS_NOTICE_TIME.min(node.options.stop_grace / 2)).await;
    let last_answer = end.checked_sub(REFUSAL_MARGIN).unwrap_or(end);
    node.phase.send_replace(Phase::Closing(last_answer));
    // Closing connections stay open until their callers have been sent all of the last response.
    while has_work(&node) && node.now() < end {
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    let unfinished_calls = node.state.borrow().in_flight;
    let connections = node.state.borrow().used_connections;
    tracing::info!(left = unfinished_calls, connections, "stopped");
    Ok(StopReport { unfinished_calls })
}

impl Node {
    /// Waits until this node closes; returns the time by which its calls must be answered.
    pub(super) async fn wait_until_closing(&self) -> Instant {
        let mut phase = self.phase.subscribe();
        loop {
            if let Phase::Closing(last_answer) = *phase.borrow_and_update() {
                return last_answer;
            }
            if phase.changed().await.is_err() {
                // Without a sender, the node never closes.
                std::future::pending::<()>().await;
            }
        }
    }

    /// Waits until this node closes before a call with a deadline is certain to be answered.
    pub(super) async fn wait_until_closing_before(&self, deadline: Instant) {
        if self.wait_until_closing().await >= deadline {
            std::future::pending::<()>().await;
        }
    }

    /// Waits until this node closes and its calls must be answered.
    pub(super) async fn wait_until_last_answer(&self) {
        let last_answer = self.wait_until_closing().await;
        tokio::time::sleep_until(tokio::time::Instant::from_std(last_answer)).await;
    }

    /// Returns whether this node closes before a call with a deadline is certain to be answered.
    pub(super) fn closes_before(&self, deadline: Instant) -> bool {
        matches!(*self.phase.borrow(), Phase::Closing(last_answer) if last_answer < deadline)
    }
}

fn has_work(node: &Node) -> bool {
    let state = node.state.borrow();
    state.in_flight > 0 || state.used_connections > 0
}
