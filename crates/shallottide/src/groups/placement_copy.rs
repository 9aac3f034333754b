//! The placement in force at this node and how it reaches the others.

use std::collections::BTreeSet;

use shallottide_types::id::{FencingToken, NodeId};
use shallottide_types::peer::NodeInfo;
use shallottide_types::placement::Placement;

use super::rendezvous;

/// Peers to which one node relays a new placement.
const FAN_OUT: usize = 3;

/// The placement with the highest fence seen, from whichever path it came.
#[derive(Debug, Default)]
pub(super) struct PlacementCopy {
    current: Option<Placement>,
    /// Nodes that were alive when last asked; others are news.
    greeted: BTreeSet<NodeId>,
    rotation: usize,
}

impl PlacementCopy {
    pub(super) fn get(&self) -> Option<&Placement> {
        self.current.as_ref()
    }

    pub(super) fn fence(&self) -> FencingToken {
        self.current
            .as_ref()
            .map_or(FencingToken(0), |p| p.fencing_token)
    }

    /// Takes a placement if it is newer; tells whether it did.
    pub(super) fn adopt(&mut self, placement: &Placement) -> bool {
        let newer = placement.fencing_token > self.fence();
        if newer {
            self.current = Some(placement.clone());
        }
        newer
    }

    /// Returns the peers to which this node passes its placement on, once each fence.
    /// All nodes that see the same nodes alive share one tree for each fence; the node that
    /// has it from the platform is the `origin` and sends it to the top of the tree as well.
    pub(super) fn children(&self, me: &NodeId, origin: bool, nodes: &[NodeInfo]) -> Vec<NodeInfo> {
        let mut order: Vec<&NodeInfo> = nodes.iter().collect();
        rendezvous::sort(self.fence().0, &mut order, |info| info.node.as_str());
        let top = if origin { FAN_OUT } else { 0 };
        let position = order.iter().position(|info| info.node == *me);
        let own = position.map_or(0..0, |position| {
            let first = FAN_OUT * (position + 1);
            first..first + FAN_OUT
        });
        let chosen = |(index, info): &(usize, &NodeInfo)| {
            (*index < top || own.contains(index)) && info.node != *me
        };
        let peers = order.into_iter().enumerate().filter(chosen);
        peers.map(|(_, info)| info.clone()).collect()
    }

    /// Returns nodes that came alive since the last call.
    pub(super) fn newcomers(&mut self, me: &NodeId, nodes: &[NodeInfo]) -> Vec<NodeInfo> {
        let alive: BTreeSet<NodeId> = nodes.iter().map(|info| info.node.clone()).collect();
        let is_new = |info: &&NodeInfo| info.node != *me && !self.greeted.contains(&info.node);
        let newcomers = nodes.iter().filter(is_new).cloned().collect();
        self.greeted = alive;
        newcomers
    }

    /// Returns one peer, another with each call.
    pub(super) fn next_peer(&mut self, me: &NodeId, nodes: &[NodeInfo]) -> Option<NodeInfo> {
        let peers: Vec<&NodeInfo> = nodes.iter().filter(|info| info.node != *me).collect();
        self.rotation = self.rotation.wrapping_add(1);
        let index = self.rotation.checked_rem(peers.len())?;
        peers.get(index).copied().cloned()
    }
}
