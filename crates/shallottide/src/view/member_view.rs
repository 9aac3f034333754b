//! Snapshot of the entry VMs and the loads they report.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use shallottide_types::id::{DomainId, NodeId, StoreIndex};
use shallottide_types::peer::{LoadSummary, NodeInfo, Slot};

/// Cluster membership and loads, as known to this node.
#[derive(Debug, Clone, Default)]
pub struct MemberView {
    /// All known nodes, this one included.
    pub nodes: BTreeMap<NodeId, NodeState>,
    /// Latest load of each slot, as reported by its dispatcher.
    pub loads: BTreeMap<Slot, DispatcherLoad>,
}

/// State of one entry VM, as known to this node.
#[derive(Debug, Clone)]
pub struct NodeState {
    /// Identity, failure domain and address.
    pub info: NodeInfo,
    /// Latest time at which the node is known to have been alive, by this node's monotonic clock.
    pub last_seen: Instant,
    /// Whether failure detection considers the node alive.
    pub alive: bool,
    /// Highest store index that the node is known to have applied.
    pub config_index: StoreIndex,
}

/// One slot's load as its dispatcher reported it.
#[derive(Debug, Clone)]
pub struct DispatcherLoad {
    /// Dispatcher that reported the load.
    pub node: NodeId,
    /// Reported load.
    pub load: LoadSummary,
    /// When the dispatcher reported the load, by this node's monotonic clock.
    pub received_at: Instant,
}

impl MemberView {
    /// Silence after which a dead node is no longer counted by [`Self::is_isolated`].
    const MAX_COUNTED_SILENCE: Duration = Duration::from_mins(5);

    /// Returns the nodes of a failure domain that are alive and not stopping, in id order.
    pub fn alive_in<'a>(&'a self, domain: &'a DomainId) -> impl Iterator<Item = &'a NodeInfo> {
        self.nodes
            .values()
            .filter(move |node| node.alive && !node.info.stopping && node.info.domain == *domain)
            .map(|node| &node.info)
    }

    /// Returns whether this node considers less than half of its failure domain alive, itself
    /// included.
    ///
    /// Other nodes may have replaced an isolated node without its knowledge. Nodes that announced
    /// their stop and nodes that have been silent for a long time are not counted.
    #[must_use]
    pub fn is_isolated(&self, me: &NodeInfo, now: Instant) -> bool {
        let is_counted = |node: &&NodeState| {
            let silence = now.saturating_duration_since(node.last_seen);
            node.info.domain == me.domain
                && node.info.node != me.node
                && !node.info.stopping
                && (node.alive || silence < Self::MAX_COUNTED_SILENCE)
        };
        let others = self.nodes.values().filter(is_counted);
        let (alive, dead): (Vec<_>, Vec<_>) = others.partition(|node| node.alive);
        dead.len() > alive.len() + 1
    }

    /// Returns identity and address of a node, or `None` if it is unknown or not alive.
    #[must_use]
    pub fn alive_node(&self, node: &NodeId) -> Option<&NodeInfo> {
        let state = self.nodes.get(node).filter(|state| state.alive)?;
        Some(&state.info)
    }
}
