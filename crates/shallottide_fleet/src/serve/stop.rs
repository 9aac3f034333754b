//! Graceful shutdown.

use std::rc::Rc;
use std::time::Duration;

use tokio::signal::unix::{SignalKind, signal};

use super::node::{Node, NodeError};

/// Phase of a node's shutdown.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Phase {
    /// Serves normally.
    Serving,
    /// Reports itself not ready, still serves, and closes connections after their next response.
    Draining,
    /// Accepts nothing new, closes idle connections and finishes the calls in flight.
    Closing,
}

/// Time within which the load balancer notices that a node is not ready.
const READINESS_NOTICE_TIME: Duration = Duration::from_secs(3);
/// Time reserved at the end of the grace period for the exit of the process.
const EXIT_MARGIN: Duration = Duration::from_millis(500);
/// Interval at which the number of calls in flight is checked.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// How a node stopped.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StopReport {
    /// Calls that were still running when the grace period ended, and were cut off.
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
    tokio::time::sleep(READINESS_NOTICE_TIME).await;
    node.phase.send_replace(Phase::Closing);
    let end = node.now()
        + node
            .options
            .stop_grace
            .saturating_sub(READINESS_NOTICE_TIME + EXIT_MARGIN);
    // Closing connections stay open until their callers have been sent all of the last response.
    while has_work(&node) && node.now() < end {
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    let unfinished_calls = node.state.borrow().in_flight;
    let connections = node.state.borrow().used_connections;
    tracing::info!(left = unfinished_calls, connections, "stopped");
    Ok(StopReport { unfinished_calls })
}

fn has_work(node: &Node) -> bool {
    let state = node.state.borrow();
    state.in_flight > 0 || state.used_connections > 0
}
