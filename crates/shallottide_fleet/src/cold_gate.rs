//! Bounds what a cold upstream receives over all nodes, without asking any of them.

use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

use shallottide_types::id::{NodeId, UpstreamId};
use shallottide_types::rendezvous::{hash, weight};

/// Span over which sends are counted.
const SPAN: Duration = Duration::from_millis(1_200);

/// Sends of this node to cold upstreams.
#[derive(Debug, Clone, Default)]
pub struct ColdGate {
    sent: BTreeMap<UpstreamId, VecDeque<Instant>>,
}

impl ColdGate {
    /// Returns how many requests this node may send to a cold upstream within the span.
    ///
    /// `nodes` are all nodes that may send, this one too. When there are more nodes than requests
    /// allowed, the nodes that all agree on by hashing get one each.
    #[must_use]
    pub fn share<'a>(
        upstream: &UpstreamId,
        own: &NodeId,
        nodes: impl Iterator<Item = &'a NodeId>,
        per_second: u32,
    ) -> usize {
        let key = hash(upstream.as_str());
        let own_weight = weight(key, own.as_str());
        let (mut count, mut ahead) = (1_usize, 0_usize);
        for node in nodes.filter(|node| *node != own) {
            count += 1;
            if weight(key, node.as_str()) > own_weight {
                ahead += 1;
            }
        }
        let total = usize::try_from(per_second).unwrap_or(usize::MAX);
        let extra = usize::from(ahead < total % count);
        total / count + extra
    }

    /// Tells whether one more request may be sent now.
    #[must_use]
    pub fn allows(&self, upstream: &UpstreamId, share: usize, now: Instant) -> bool {
        let recent = self.sent.get(upstream).map_or(0, |times| {
            times
                .iter()
                .filter(|&&at| now.saturating_duration_since(at) < SPAN)
                .count()
        });
        recent < share
    }

    /// Notes a send.
    pub fn sent(&mut self, upstream: &UpstreamId, now: Instant) {
        let times = self.sent.entry(upstream.clone()).or_default();
        while times
            .front()
            .is_some_and(|&at| now.saturating_duration_since(at) >= SPAN)
        {
            times.pop_front();
        }
        times.push_back(now);
    }

    /// Forgets upstreams that are gone.
    pub fn retain(&mut self, known: impl Fn(&UpstreamId) -> bool) {
        self.sent.retain(|id, _| known(id));
    }
}
