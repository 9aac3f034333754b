//! The steps of a graceful stop.

use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use super::running_node::SharedState;
use crate::kernel::{KernelHandle, names};
use crate::message::Message;
use crate::settings::StopSettings;

/// Interval at which the number of calls in flight is checked.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Result of a stop.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StopReport {
    /// Number of calls, claims and outcomes that were unfinished at the end; 0 after a graceful
    /// stop.
    pub unfinished: usize,
    /// Whether a second signal ended the wait early.
    pub interrupted: bool,
}

/// Stops a node gracefully.
pub(super) struct StopSequence<'a> {
    pub(super) kernel: &'a KernelHandle,
    pub(super) shared: &'a SharedState,
    pub(super) settings: &'a StopSettings,
    pub(super) interrupt: &'a AtomicBool,
}

impl StopSequence<'_> {
    /// Turns readiness off, gives the load balancer time to notice, closes the callers' listener,
    /// waits for calls in flight, and closes the peers' connections last.
    pub(super) fn run(&self) -> StopReport {
        tracing::info!(notice = ?self.settings.notice, "stopping");
        self.shared.ready.mark_stopping();
        for name in [names::MEMBERS, names::GROUPS, names::CLAIMS, names::CONFIG] {
            self.kernel.send(name, Message::Stop);
        }
        self.wait_until(Instant::now() + self.settings.notice, || false);
        self.shared.callers.close();
        self.kernel.send(names::CALLS, Message::Stop);
        let deadline = Instant::now() + self.settings.deadline;
        // The kernel counts a call as ended before its last bytes are written to the connection, so
        // open connections are awaited too.
        self.wait_until(deadline, || {
            self.in_flight() + self.shared.callers.open_connections() == 0
        });
        self.shared.peers.close();
        self.wait_until(deadline, || self.shared.peers.open_connections() == 0);
        let report = StopReport {
            unfinished: self.in_flight(),
            interrupted: self.interrupt.load(Ordering::Acquire),
        };
        tracing::info!(
            left = report.unfinished,
            hurried = report.interrupted,
            "stopped"
        );
        report
    }

    fn in_flight(&self) -> usize {
        // Pending claims count as well: an outcome that is not recorded is lost with the node.
        self.shared.calls.in_flight() + self.shared.claims.pending()
    }

    fn wait_until(&self, deadline: Instant, done: impl Fn() -> bool) {
        while Instant::now() < deadline && !self.interrupt.load(Ordering::Acquire) && !done() {
            std::thread::sleep(POLL_INTERVAL);
        }
    }
}
