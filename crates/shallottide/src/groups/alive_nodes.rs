//! The nodes of this failure domain that are alive.

use shallottide_types::id::{DomainId, NodeId};
use shallottide_types::peer::NodeInfo;

use super::rendezvous;
use crate::kernel::Context;

/// Nodes of a failure domain that try to become its controller.
const CANDIDATES: usize = 2;

/// The alive nodes as seen at one moment, this one included.
pub(super) struct AliveNodes {
    /// All of them. Stopping ones have to learn that they were replaced.
    pub(super) listeners: Vec<NodeInfo>,
    /// Those that are not stopping.
    pub(super) infos: Vec<NodeInfo>,
    /// The ids of those that are not stopping.
    pub(super) ids: Vec<NodeId>,
}

impl AliveNodes {
    pub(super) fn of(cx: &Context) -> Self {
        let me = cx.me();
        let members = cx.members();
        let others = members.nodes.values().filter(|state| {
            state.alive && state.info.domain == me.domain && state.info.node != me.node
        });
        let mut listeners: Vec<NodeInfo> = others.map(|state| state.info.clone()).collect();
        listeners.push(me);
        listeners.sort_by(|a, b| a.node.cmp(&b.node));
        let serving = listeners.iter().filter(|info| !info.stopping);
        let infos: Vec<NodeInfo> = serving.cloned().collect();
        let ids = infos.iter().map(|info| info.node.clone()).collect();
        Self {
            listeners,
            infos,
            ids,
        }
    }

    pub(super) fn info(&self, node: &NodeId) -> Option<&NodeInfo> {
        self.infos.iter().find(|info| info.node == *node)
    }

    /// Returns the nodes that try to become the controller; their number is fixed, so that
    /// platform calls don't grow with the nodes.
    pub(super) fn candidates(&self, domain: &DomainId) -> Vec<NodeId> {
        let mut order = self.ids.clone();
        let key = rendezvous::hash(domain.as_str());
        rendezvous::sort(key, &mut order, NodeId::as_str);
        order.truncate(CANDIDATES);
        order
    }
}
