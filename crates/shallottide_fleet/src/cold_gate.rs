//! Limits the requests to a cold upstream over all nodes, without communication between them.

use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

use shallottide_types::id::{NodeId, UpstreamId};
use shallottide_types::rendezvous::{hash, weight};

/// Window over which requests are counted.
const WINDOW: Duration = Duration::from_millis(1_200);

/// Sliding-window rate limiter for this node's requests to cold upstreams.
#[derive(Debug, Clone, Default)]
pub struct ColdGate {
    sent: BTreeMap<UpstreamId, VecDeque<Instant>>,
}

impl ColdGate {
    /// Returns how many requests this node may send to a cold upstream within the window.
    ///
    /// `nodes` are all nodes that may send, including this one. With more nodes than allowed
    /// requests, the nodes that rank first by rendezvous hashing, which all nodes agree on, get one
    /// each.
    #[must_use]
    pub fn share<'a>(
        upstream: &UpstreamId,
        own: &NodeId,
        nodes: impl Iterator<Item = &'a NodeId>,
        per_second: u32,
    ) -> usize {
        let key = hash(upstream.as_str());
        let own_weight = weight(key, own.as_str());
        let (mut count, mut rank) = (1_usize, 0_usize);
        for node in nodes.filter(|node| *node != own) {
            count += 1;
            if weight(key, node.as_str()) > own_weight {
                rank += 1;
            }
        }
        let total = usize::try_from(per_second).unwrap_or(usize::MAX);
        let extra = usize::from(rank < total % count);
        total / count + extra
    }

    /// Returns whether another request may be sent now.
    #[must_use]
    pub fn allows(&self, upstream: &UpstreamId, share: usize, now: Instant) -> bool {
        let recent = self.sent.get(upstream).map_or(0, |times| {
            times
                .iter()
                .filter(|&&at| now.saturating_duration_since(at) < WINDOW)
                .count()
        });
        recent < share
    }

    /// Records a request that was sent.
    pub fn sent(&mut self, upstream: &UpstreamId, now: Instant) {
        let times = self.sent.entry(upstream.clone()).or_default();
        while times
            .front()
            .is_some_and(|&at| now.saturating_duration_since(at) >= WINDOW)
        {
            times.pop_front();
        }
        times.push_back(now);
    }

    /// Drops upstreams that are no longer known.
    pub fn retain(&mut self, known: impl Fn(&UpstreamId) -> bool) {
        self.sent.retain(|id, _| known(id));
    }
}
