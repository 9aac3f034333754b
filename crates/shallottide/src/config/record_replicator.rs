//! Dissemination of record changes between nodes.

use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use shallottide_types::id::StoreIndex;
use shallottide_types::peer::{NodeInfo, PeerMsg, RecordCopy, RecordsSince};

use super::ConfigOptions;
use crate::kernel::{Context, Outbox, names};
use crate::members::ring;
use crate::message::PeerSend;
use crate::view::NodeState;

/// Ratio between successive ring distances to which changes are pushed.
const PUSH_DISTANCE_RATIO: usize = 3;

/// Number of nodes of a failure domain that request records from other domains first.
const RELAY_COUNT: usize = 2;

/// Purpose under which nodes are ranked as relays.
/// All nodes must use the same text, as the ranking hashes it.
const RELAY_PURPOSE: &str = "record-relay";

/// Pushes changes to peers and pulls missed changes from them.
#[derive(Debug)]
pub(super) struct RecordReplicator {
    pull_delay: Duration,
    cross_domain_pull_delay: Duration,
    pull_interval: Duration,
    max_push_bytes: usize,
    rng: StdRng,
    /// Since when some peer has been ahead of this node.
    behind_since: Option<Instant>,
    /// Earliest time of the next request to a peer.
    next_pull: Option<Instant>,
}

impl RecordReplicator {
    /// Creates a replicator that may request records at once.
    pub(super) fn new(options: &ConfigOptions) -> Self {
        Self {
            pull_delay: options.pull_delay,
            cross_domain_pull_delay: options.cross_domain_pull_delay,
            pull_interval: options.pull_interval,
            max_push_bytes: options.max_push_bytes,
            rng: StdRng::seed_from_u64(options.seed),
            behind_since: None,
            next_pull: None,
        }
    }

    /// Pushes a change to peers of this failure domain at exponentially growing distances on the
    /// ring, so that it reaches all nodes in few hops while each node sends few messages.
    pub(super) fn push(&self, delta: &RecordsSince, cx: &Context, out: &mut Outbox) {
        let size: usize = delta.records.iter().map(copy_bytes).sum();
        let is_snapshot = delta.since == StoreIndex(0);
        if is_snapshot || size > self.max_push_bytes {
            return;
        }
        let me = cx.me();
        let members = cx.members();
        let ring = ring::ring_after(&me.node, members.alive_in(&me.domain));
        let mut distance = 1;
        while let Some(peer) = ring.get(distance - 1) {
            send(peer, PeerMsg::RecordsSince(delta.clone()), out);
            distance *= PUSH_DISTANCE_RATIO;
        }
    }

    /// Requests missing records from a peer if peers have been ahead for some time, or at once if
    /// this node has no records yet (`applied_index` is `None`).
    pub(super) fn pull_if_behind(
        &mut self,
        applied_index: Option<StoreIndex>,
        cx: &Context,
        out: &mut Outbox,
    ) {
        let now = cx.now();
        let me = cx.me();
        let members = cx.members();
        let mut ahead: Vec<&NodeState> = members
            .nodes
            .values()
            .filter(|node| node.alive && node.info.node != me.node)
            .filter(|node| applied_index.is_none_or(|index| node.config_index > index))
            .collect();
        if ahead.is_empty() {
            self.behind_since = None;
            return;
        }
        let behind_for = now.duration_since(*self.behind_since.get_or_insert(now));
        if behind_for < self.cross_domain_delay(&me, cx) {
            ahead.retain(|node| node.info.domain == me.domain);
        }
        let is_due = applied_index.is_none() || behind_for >= self.pull_delay;
        let interval_passed = self.next_pull.is_none_or(|at| now >= at);
        if ahead.is_empty() || !is_due || !interval_passed {
            return;
        }
        let peer = ahead[self.rng.random_range(0..ahead.len())];
        let have = applied_index.unwrap_or_default();
        send(&peer.info, PeerMsg::RecordsRequest { have }, out);
        self.next_pull = Some(now + self.pull_interval);
    }

    /// Returns for how long this node must be behind before it requests records from another
    /// failure domain.
    fn cross_domain_delay(&self, me: &NodeInfo, cx: &Context) -> Duration {
        let members = cx.members();
        let nodes = members.alive_in(&me.domain).map(|info| &info.node);
        if ring::first_ranked(RELAY_PURPOSE, nodes, RELAY_COUNT).contains(&&me.node) {
            self.pull_delay
        } else {
            self.cross_domain_pull_delay
        }
    }
}

fn copy_bytes(copy: &RecordCopy) -> usize {
    copy.key.len() + copy.value.as_ref().map_or(0, Vec::len)
}

/// Queues a control message for a node.
pub(super) fn send(to: &NodeInfo, msg: PeerMsg, out: &mut Outbox) {
    let address = to.address;
    out.send(names::PEERS, PeerSend { address, msg });
}
