//! Counters of a node's traffic with its peers.

use std::sync::atomic::{AtomicU64, Ordering};

use shallottide_types::data;

/// Counters of a node's traffic with its peers, shared between threads.
#[derive(Debug, Default)]
pub struct PeerTraffic {
    control_sent: AtomicU64,
    control_received: AtomicU64,
    control_bytes_sent: AtomicU64,
    calls_sent: AtomicU64,
    calls_received: AtomicU64,
    bytes_sent: AtomicU64,
    bytes_received: AtomicU64,
}

data! {
    /// A node's traffic with its peers since its start.
    #[derive(Default)]
    pub struct PeerTotals {
        /// Control messages sent.
        pub control_sent: u64,
        /// Control messages received.
        pub control_received: u64,
        /// Bytes of the control messages sent, without framing.
        pub control_bytes_sent: u64,
        /// Calls forwarded to peers.
        pub calls_sent: u64,
        /// Calls received from peers.
        pub calls_received: u64,
        /// Bytes sent over TCP: control messages, calls and answers, with their framing.
        pub bytes_sent: u64,
        /// Bytes received over TCP.
        pub bytes_received: u64,
    }
}

impl PeerTraffic {
    pub(super) fn record_control_sent(&self, bytes: usize) {
        add(&self.control_sent, 1);
        add(&self.control_bytes_sent, bytes as u64);
    }

    pub(super) fn record_control_received(&self) {
        add(&self.control_received, 1);
    }

    pub(super) fn record_call_sent(&self) {
        add(&self.calls_sent, 1);
    }

    pub(super) fn record_call_received(&self) {
        add(&self.calls_received, 1);
    }

    pub(super) fn record_bytes_sent(&self, bytes: usize) {
        add(&self.bytes_sent, bytes as u64);
    }

    pub(super) fn record_bytes_received(&self, bytes: usize) {
        add(&self.bytes_received, bytes as u64);
    }

    /// Returns the counts since the node's start.
    #[must_use]
    pub fn totals(&self) -> PeerTotals {
        PeerTotals {
            control_sent: get(&self.control_sent),
            control_received: get(&self.control_received),
            control_bytes_sent: get(&self.control_bytes_sent),
            calls_sent: get(&self.calls_sent),
            calls_received: get(&self.calls_received),
            bytes_sent: get(&self.bytes_sent),
            bytes_received: get(&self.bytes_received),
        }
    }
}

fn add(counter: &AtomicU64, by: u64) {
    counter.fetch_add(by, Ordering::Relaxed);
}

fn get(counter: &AtomicU64) -> u64 {
    counter.load(Ordering::Relaxed)
}
