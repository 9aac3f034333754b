//! The newest placement known to this node, and the choice of peers to relay it to.

use std::collections::BTreeSet;

use shallottide_types::id::{FencingToken, NodeId};
use shallottide_types::peer::NodeInfo;
use shallottide_types::placement::Placement;

use super::rendezvous;

/// Number of peers to which one node relays a new placement.
const RELAY_FANOUT: usize = 3;

/// The placement with the highest fencing token received, from the platform or from a peer.
#[derive(Debug, Default)]
pub(super) struct PlacementCopy {
    current: Option<Placement>,
    /// Nodes that were alive at the last call of [`Self::newly_alive`].
    known_nodes: BTreeSet<NodeId>,
    next_index: usize,
}

impl PlacementCopy {
    pub(super) fn get(&self) -> Option<&Placement> {
        self.current.as_ref()
    }

    pub(super) fn fencing_token(&self) -> FencingToken {
        self.current
            .as_ref()
            .map_or(FencingToken(0), |p| p.fencing_token)
    }

    /// Stores a placement if it is newer; returns whether it was.
    pub(super) fn replace_if_newer(&mut self, placement: &Placement) -> bool {
        let newer = placement.fencing_token > self.fencing_token();
        if newer {
            self.current = Some(placement.clone());
        }
        newer
    }

    /// Returns the peers to which this node relays its placement; called once per fencing token.
    ///
    /// All nodes that consider the same nodes alive compute the same relay tree for a fencing
    /// token.
    /// A node that received the placement from the platform (`is_origin`) also sends it to the
    /// roots of the tree.
    pub(super) fn relay_targets(
        &self,
        me: &NodeId,
        is_origin: bool,
        nodes: &[NodeInfo],
    ) -> Vec<NodeInfo> {
        let mut order: Vec<&NodeInfo> = nodes.iter().collect();
        rendezvous::sort(self.fencing_token().0, &mut order, |info| {
            info.node.as_str()
        });
        let top_len = if is_origin { RELAY_FANOUT } else { 0 };
        let position = order.iter().position(|info| info.node == *me);
        let own = position.map_or(0..0, |position| {
            let first = RELAY_FANOUT * (position + 1);
            first..first + RELAY_FANOUT
        });
        let is_target = |(index, info): &(usize, &NodeInfo)| {
            (*index < top_len || own.contains(index)) && info.node != *me
        };
        let peers = order.into_iter().enumerate().filter(is_target);
        peers.map(|(_, info)| info.clone()).collect()
    }

    /// Returns the nodes that became alive since the last call.
    pub(super) fn newly_alive(&mut self, me: &NodeId, nodes: &[NodeInfo]) -> Vec<NodeInfo> {
        let alive: BTreeSet<NodeId> = nodes.iter().map(|info| info.node.clone()).collect();
        let is_new = |info: &&NodeInfo| info.node != *me && !self.known_nodes.contains(&info.node);
        let newly_alive = nodes.iter().filter(is_new).cloned().collect();
        self.known_nodes = alive;
        newly_alive
    }

    /// Returns the next peer in round-robin order.
    pub(super) fn next_peer(&mut self, me: &NodeId, nodes: &[NodeInfo]) -> Option<NodeInfo> {
        let peers: Vec<&NodeInfo> = nodes.iter().filter(|info| info.node != *me).collect();
        self.next_index = self.next_index.wrapping_add(1);
        let index = self.next_index.checked_rem(peers.len())?;
        peers.get(index).copied().cloned()
    }
}
