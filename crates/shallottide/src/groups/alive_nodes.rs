//! The nodes of this failure domain that are alive.

use shallottide_types::id::{DomainId, NodeId};
use shallottide_types::peer::NodeInfo;

use super::rendezvous;
use crate::kernel::Context;

/// Number of nodes in a failure domain that compete for the controller lease.
const CONTROLLER_CANDIDATES: usize = 2;

/// Snapshot of the alive nodes in this failure domain, including this node.
pub(super) struct AliveNodes {
    /// All alive nodes. Includes stopping nodes, which must receive the placement that replaces
    /// them.
    pub(super) all: Vec<NodeInfo>,
    /// Nodes that are not stopping.
    pub(super) active: Vec<NodeInfo>,
    /// Ids of the nodes that are not stopping.
    pub(super) active_ids: Vec<NodeId>,
}

impl AliveNodes {
    pub(super) fn from_context(cx: &Context) -> Self {
        let me = cx.me();
        let members = cx.members();
        let others = members.nodes.values().filter(|state| {
            state.alive && state.info.domain == me.domain && state.info.node != me.node
        });
        let mut all: Vec<NodeInfo> = others.map(|state| state.info.clone()).collect();
        all.push(me);
        all.sort_by(|a, b| a.node.cmp(&b.node));
        let active = all.iter().filter(|info| !info.stopping);
        let active: Vec<NodeInfo> = active.cloned().collect();
        let active_ids = active.iter().map(|info| info.node.clone()).collect();
        Self {
            all,
            active,
            active_ids,
        }
    }

    pub(super) fn active_info(&self, node: &NodeId) -> Option<&NodeInfo> {
        self.active.iter().find(|info| info.node == *node)
    }

    /// Returns the nodes that compete for the controller lease.
    ///
    /// Their number is fixed so that platform calls don't grow with the number of nodes.
    pub(super) fn controller_candidates(&self, domain: &DomainId) -> Vec<NodeId> {
        let mut order = self.active_ids.clone();
        let key = rendezvous::hash(domain.as_str());
        rendezvous::sort(key, &mut order, NodeId::as_str);
        order.truncate(CONTROLLER_CANDIDATES);
        order
    }
}
