//! How record changes travel between nodes.

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

/// Ratio of two neighbouring distances on the ring to which changes are pushed.
const PUSH_RATIO: usize = 3;

/// Nodes of a failure domain that ask other domains without leaving it to others first.
const RELAYS: usize = 2;

/// Purpose by which [`RELAYS`] are ranked.
const RELAY_PURPOSE: &str = "record-relay";

/// Pushes changes to peers and asks peers for changes missed.
#[derive(Debug)]
pub(super) struct RecordReplicator {
    pull_delay: Duration,
    cross_domain_pull_delay: Duration,
    pull_interval: Duration,
    max_push_bytes: usize,
    rng: StdRng,
    behind_since: Option<Instant>,
    next_ask: Option<Instant>,
}

impl RecordReplicator {
    /// Creates a spread that has asked nobody.
    pub(super) fn new(options: &ConfigOptions) -> Self {
        Self {
            pull_delay: options.pull_delay,
            cross_domain_pull_delay: options.cross_domain_pull_delay,
            pull_interval: options.pull_interval,
            max_push_bytes: options.max_push_bytes,
            rng: StdRng::seed_from_u64(options.seed),
            behind_since: None,
            next_ask: None,
        }
    }

    /// Pushes a change to peers of this failure domain at growing distances on the ring, so
    /// that it reaches all in few steps although each node sends to few.
    pub(super) fn push(&self, delta: &RecordsSince, cx: &Context, out: &mut Outbox) {
        let size: usize = delta.records.iter().map(copy_bytes).sum();
        let whole = delta.since == StoreIndex(0);
        if whole || size > self.max_push_bytes {
            return;
        }
        let me = cx.me();
        let members = cx.members();
        let ring = ring::ring_after(&me.node, members.alive_in(&me.domain));
        let mut distance = 1;
        while let Some(peer) = ring.get(distance - 1) {
            send(peer, PeerMsg::RecordsSince(delta.clone()), out);
            distance *= PUSH_RATIO;
        }
    }

    /// Asks a peer when peers have been ahead for a while, or when nothing is known here.
    pub(super) fn catch_up(&mut self, have: Option<StoreIndex>, cx: &Context, out: &mut Outbox) {
        let now = cx.now();
        let me = cx.me();
        let members = cx.members();
        let mut ahead: Vec<&NodeState> = members
            .nodes
            .values()
            .filter(|node| node.alive && node.info.node != me.node)
            .filter(|node| have.is_none_or(|have| node.config_index > have))
            .collect();
        if ahead.is_empty() {
            self.behind_since = None;
            return;
        }
        let behind = now.duration_since(*self.behind_since.get_or_insert(now));
        if behind < self.wait_abroad(&me, cx) {
            ahead.retain(|node| node.info.domain == me.domain);
        }
        let due = have.is_none() || behind >= self.pull_delay;
        let paced = self.next_ask.is_none_or(|at| now >= at);
        if ahead.is_empty() || !due || !paced {
            return;
        }
        let chosen = ahead[self.rng.random_range(0..ahead.len())];
        let have = have.unwrap_or_default();
        send(&chosen.info, PeerMsg::RecordsRequest { have }, out);
        self.next_ask = Some(now + self.pull_interval);
    }

    /// Returns how long this node leaves it to others to ask another failure domain.
    fn wait_abroad(&self, me: &NodeInfo, cx: &Context) -> Duration {
        let members = cx.members();
        let nodes = members.alive_in(&me.domain).map(|info| &info.node);
        if ring::first_ranked(RELAY_PURPOSE, nodes, RELAYS).contains(&&me.node) {
            self.pull_delay
        } else {
            self.cross_domain_pull_delay
        }
    }
}

fn copy_bytes(copy: &RecordCopy) -> usize {
    copy.key.len() + copy.value.as_ref().map_or(0, Vec::len)
}

/// Sends a control message to a node.
pub(super) fn send(to: &NodeInfo, msg: PeerMsg, out: &mut Outbox) {
    let address = to.address;
    out.send(names::PEERS, PeerSend { address, msg });
}
