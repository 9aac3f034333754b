//! Counts requests in a sliding window, and divides a number of requests between nodes.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use shallottide_types::id::NodeId;
use shallottide_types::rendezvous::weight;

/// Times of recent requests.
#[derive(Debug, Clone, Default)]
pub struct SendWindow {
    times: VecDeque<Instant>,
}

impl SendWindow {
    /// Records a request, and drops those outside of the window.
    pub fn record(&mut self, now: Instant, window: Duration) {
        while self
            .times
            .front()
            .is_some_and(|&at| now.saturating_duration_since(at) >= window)
        {
            self.times.pop_front();
        }
        self.times.push_back(now);
    }

    /// Returns the number of requests in the window before now.
    #[must_use]
    pub fn count(&self, now: Instant, window: Duration) -> usize {
        let recent = |at: &&Instant| now.saturating_duration_since(**at) < window;
        self.times.iter().filter(recent).count()
    }
}

/// Returns how many of `total` requests this node may send.
///
/// `nodes` are all nodes that may send, including this one. With more nodes than requests, the
/// nodes that rank first for `key` by rendezvous hashing, which all nodes agree on, get one each.
#[must_use]
pub fn node_share<'a>(
    key: u64,
    own: &NodeId,
    nodes: impl Iterator<Item = &'a NodeId>,
    total: u32,
) -> usize {
    let own_weight = weight(key, own.as_str());
    let (mut count, mut rank) = (1_usize, 0_usize);
    for node in nodes.filter(|node| *node != own) {
        count += 1;
        if weight(key, node.as_str()) > own_weight {
            rank += 1;
        }
    }
    let total = usize::try_from(total).unwrap_or(usize::MAX);
    let extra = usize::from(rank < total % count);
    total / count + extra
}
