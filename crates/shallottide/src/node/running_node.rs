//! Handle on a running node.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::JoinHandle;

use super::stop_sequence::{StopReport, StopSequence};
use crate::calls::CallCounts;
use crate::claims::ClaimCounts;
use crate::connection_gate::ConnectionGate;
use crate::kernel::{KernelHandle, names};
use crate::message::Message;
use crate::peers::PeerTraffic;
use crate::readiness::Readiness;
use crate::settings::StopSettings;

/// Largest number of connections from peers; a node opens one to each peer it communicates with.
const MAX_PEER_CONNECTIONS: usize = 1_024;

/// Addresses on which a node listens.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct NodeAddresses {
    /// For connections from callers.
    pub callers: SocketAddr,
    /// For connections from other entry VMs.
    pub peers: SocketAddr,
    /// For connections from operators.
    pub operators: SocketAddr,
}

/// A node running on its own threads.
pub struct RunningNode {
    pub(super) addresses: NodeAddresses,
    pub(super) kernel: KernelHandle,
    pub(super) kernel_thread: JoinHandle<()>,
    pub(super) shared: SharedState,
    pub(super) stop: StopSettings,
}

/// State shared between a node's threads.
#[derive(Clone)]
pub(super) struct SharedState {
    /// Whether the load balancer may route callers to this node.
    pub(super) ready: Readiness,
    /// Set when the kernel thread should exit.
    pub(super) exit_requested: Arc<AtomicBool>,
    /// Counters of calls in flight on this node.
    pub(super) calls: Arc<CallCounts>,
    /// Counters of claims and outcomes that this node has not finished recording.
    pub(super) claims: Arc<ClaimCounts>,
    /// Limits and closes callers' connections.
    pub(super) callers: ConnectionGate,
    /// Limits and closes peers' connections.
    pub(super) peers: ConnectionGate,
    /// Counters of traffic with peers.
    pub(super) traffic: Arc<PeerTraffic>,
}

impl SharedState {
    /// Creates the state of a node that accepts at most `max_callers` connections from callers.
    pub(super) fn new(max_callers: usize) -> Self {
        Self {
            ready: Readiness::default(),
            exit_requested: Arc::default(),
            calls: Arc::default(),
            claims: Arc::default(),
            callers: ConnectionGate::new(max_callers),
            peers: ConnectionGate::new(MAX_PEER_CONNECTIONS),
            traffic: Arc::default(),
        }
    }
}

impl RunningNode {
    /// Returns the addresses on which the node listens.
    #[must_use]
    pub fn addresses(&self) -> NodeAddresses {
        self.addresses
    }

    /// Returns whether the kernel thread is running; before a stop it ends only by a panic.
    #[must_use]
    pub fn is_running(&self) -> bool {
        !self.kernel_thread.is_finished()
    }

    /// Stops the node gracefully. Blocks until calls in flight have ended, the deadline
    /// has passed or `interrupt` is set.
    pub fn stop(self, interrupt: &AtomicBool) -> StopReport {
        let report = StopSequence {
            kernel: &self.kernel,
            shared: &self.shared,
            settings: &self.stop,
            interrupt,
        }
        .run();
        self.shut_down();
        report
    }

    /// Stops the node at once; to its callers this looks like a crash.
    pub fn kill(self) {
        self.shut_down();
    }

    fn shut_down(self) {
        self.shared.ready.mark_stopping();
        self.shared.callers.close();
        self.shared.peers.close();
        self.shared.exit_requested.store(true, Ordering::Release);
        // Wakes the kernel so that it checks the flag.
        self.kernel.send(names::STATUS, Message::Tick);
        if self.kernel_thread.join().is_err() {
            tracing::error!("kernel thread panicked");
        }
    }
}
