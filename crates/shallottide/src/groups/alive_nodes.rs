//! The nodes of this failure domain that are alive and not stopping.

use shallottide_types::id::{DomainId, NodeId};
use shallottide_types::peer::NodeInfo;

use super::rendezvous;
use crate::kernel::Context;

/// Nodes of a failure domain that try to become its controller.
const CANDIDATES: usize = 2;

/// The alive nodes as seen at one moment, this one included unless it is stopping.
pub(super) struct AliveNodes {
    pub(super) infos: Vec<NodeInfo>,
    pub(super) ids: Vec<NodeId>,
}

impl AliveNodes {
    pub(super) fn of(cx: &Context) -> Self {
        let me = cx.me();
        let members = cx.members();
        let mut infos: Vec<NodeInfo> = members.alive_in(&me.domain).cloned().collect();
        infos.retain(|info| info.node != me.node);
        if !me.stopping {
            infos.push(me);
        }
        infos.sort_by(|a, b| a.node.cmp(&b.node));
        let ids = infos.iter().map(|info| info.node.clone()).collect();
        Self { infos, ids }
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
