//! A handle on a node that runs.

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

/// Most connections from peers; each node has one to each that it talks to.
const MAX_PEER_CONNECTIONS: usize = 1_024;

/// Where a node listens.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct NodeAddresses {
    /// For callers.
    pub callers: SocketAddr,
    /// For other entry VMs.
    pub peers: SocketAddr,
    /// For operators.
    pub operators: SocketAddr,
}

/// A node that runs on threads of its own.
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
    /// Whether the balancer may send callers here.
    pub(super) ready: Readiness,
    /// Set once the node's threads are to end.
    pub(super) ended: Arc<AtomicBool>,
    /// Calls in flight on this node.
    pub(super) calls: Arc<CallCounts>,
    /// Claims and outcomes under way on this node.
    pub(super) claims: Arc<ClaimCounts>,
    /// Lets callers in.
    pub(super) callers: ConnectionGate,
    /// Lets peers in.
    pub(super) peers: ConnectionGate,
    /// Counts what is exchanged with peers.
    pub(super) traffic: Arc<PeerTraffic>,
}

impl SharedState {
    /// Creates the state of a node that takes at most `callers` connections from callers.
    pub(super) fn new(callers: usize) -> Self {
        Self {
            ready: Readiness::default(),
            ended: Arc::default(),
            calls: Arc::default(),
            claims: Arc::default(),
            callers: ConnectionGate::new(callers),
            peers: ConnectionGate::new(MAX_PEER_CONNECTIONS),
            traffic: Arc::default(),
        }
    }
}

impl RunningNode {
    /// Returns where the node listens.
    #[must_use]
    pub fn addresses(&self) -> NodeAddresses {
        self.addresses
    }

    /// Tells whether the kernel still runs; it ends early only by a fault of its own.
    #[must_use]
    pub fn is_running(&self) -> bool {
        !self.kernel_thread.is_finished()
    }

    /// Stops the node gracefully. Blocks until calls in flight have ended, the deadline
    /// has passed or `hurry` is set.
    pub fn stop(self, hurry: &AtomicBool) -> StopReport {
        let report = StopSequence {
            kernel: &self.kernel,
            shared: &self.shared,
            settings: &self.stop,
            interrupt: hurry,
        }
        .run();
        self.end();
        report
    }

    /// Ends the node at once, as a crash would for its callers.
    pub fn kill(self) {
        self.end();
    }

    fn end(self) {
        self.shared.ready.mark_stopping();
        self.shared.callers.close();
        self.shared.peers.close();
        self.shared.ended.store(true, Ordering::Release);
        // Wakes the kernel so that it sees the flag.
        self.kernel.send(names::STATUS, Message::Tick);
        if self.kernel_thread.join().is_err() {
            tracing::error!("kernel thread panicked");
        }
    }
}
