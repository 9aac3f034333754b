//! Limits the requests to a cold upstream over all nodes, without communication between them.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use shallottide_types::id::{NodeId, UpstreamId};
use shallottide_types::rendezvous::hash;

use crate::send_window::{SendWindow, node_share};

/// Window over which requests are counted.
const WINDOW: Duration = Duration::from_millis(1_200);

/// Sliding-window rate limiter for this node's requests to cold upstreams.
#[derive(Debug, Clone, Default)]
pub struct ColdGate {
    sent: BTreeMap<UpstreamId, SendWindow>,
}

impl ColdGate {
    /// Returns how many requests this node may send to a cold upstream within the window.
    ///
    /// `nodes` are all nodes that may send, including this one.
    #[must_use]
    pub fn share<'a>(
        upstream: &UpstreamId,
        own: &NodeId,
        nodes: impl Iterator<Item = &'a NodeId>,
        per_second: u32,
    ) -> usize {
        node_share(hash(upstream.as_str()), own, nodes, per_second)
    }

    /// Returns whether another request may be sent now.
    #[must_use]
    pub fn allows(&self, upstream: &UpstreamId, share: usize, now: Instant) -> bool {
        let sent = self.sent.get(upstream);
        sent.map_or(0, |sent| sent.count(now, WINDOW)) < share
    }

    /// Records a request that was sent.
    pub fn sent(&mut self, upstream: &UpstreamId, now: Instant) {
        let sent = self.sent.entry(upstream.clone()).or_default();
        sent.record(now, WINDOW);
    }

    /// Drops upstreams that are no longer known.
    pub fn retain(&mut self, known: impl Fn(&UpstreamId) -> bool) {
        self.sent.retain(|id, _| known(id));
    }
}
