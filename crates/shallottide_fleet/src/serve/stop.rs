//! The planned stop.

use std::rc::Rc;
use std::time::Duration;

use tokio::signal::unix::{SignalKind, signal};

use super::node::{Node, NodeError};

/// How far a node is with its stop.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Phase {
    /// It serves.
    Serving,
    /// It is not ready any more, serves what comes and asks callers to connect elsewhere.
    Leaving,
    /// It closes idle connections and ends what it has.
    Closing,
}

/// Time in which the balancer surely notices that a node is not ready.
const NOTICE: Duration = Duration::from_secs(3);
/// Part of the grace, from its end, that the exit itself may take.
const EXIT_MARGIN: Duration = Duration::from_millis(500);
/// Pause between two looks at what is left.
const POLL: Duration = Duration::from_millis(50);

/// How a node stopped.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StopReport {
    /// Calls that were cut off.
    pub unfinished_calls: usize,
}

/// Waits for a signal to stop and carries it out; re-reads nothing on SIGHUP but says so.
pub(super) async fn run(node: Rc<Node>) -> Result<StopReport, NodeError> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let mut reload = signal(SignalKind::hangup())?;
    loop {
        tokio::select! {
            _ = terminate.recv() => break,
            _ = interrupt.recv() => break,
            // All that changes at run time comes from the store.
            _ = reload.recv() => tracing::info!("reload: addresses and bounds hold until a restart"),
        }
    }
    tracing::info!(in_flight = node.state.borrow().in_flight, "stopping");
    node.phase.send_replace(Phase::Leaving);
    tokio::time::sleep(NOTICE).await;
    node.phase.send_replace(Phase::Closing);
    let mut time = node.options.stop_grace.saturating_sub(NOTICE + EXIT_MARGIN);
    while node.state.borrow().in_flight > 0 && !time.is_zero() {
        tokio::time::sleep(POLL).await;
        time = time.saturating_sub(POLL);
    }
    let unfinished_calls = node.state.borrow().in_flight;
    tracing::info!(left = unfinished_calls, "stopped");
    Ok(StopReport { unfinished_calls })
}
