//! The steps of a planned stop.

use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use super::running_node::SharedState;
use crate::kernel::{KernelHandle, names};
use crate::message::Message;
use crate::settings::StopSettings;

/// Pause between looks at the calls in flight.
const POLL: Duration = Duration::from_millis(20);

/// How a stop went.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StopReport {
    /// Calls, claims and outcomes that were still under way at the end; 0 after a graceful stop.
    pub unfinished: usize,
    /// Whether the wait was cut short by a second signal.
    pub interrupted: bool,
}

/// Leads a node through its stop.
pub(super) struct StopSequence<'a> {
    pub(super) kernel: &'a KernelHandle,
    pub(super) shared: &'a SharedState,
    pub(super) settings: &'a StopSettings,
    pub(super) interrupt: &'a AtomicBool,
}

impl StopSequence<'_> {
    /// Turns readiness off, gives the balancer time to notice, closes the callers' listener,
    /// waits for calls in flight, and lets peers go last.
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
        // A call has ended for the kernel before its last bytes have left the connection.
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
        // An outcome that is not recorded is lost with the node.
        self.shared.calls.in_flight() + self.shared.claims.pending()
    }

    fn wait_until(&self, deadline: Instant, done: impl Fn() -> bool) {
        while Instant::now() < deadline && !self.interrupt.load(Ordering::Acquire) && !done() {
            std::thread::sleep(POLL);
        }
    }
}
