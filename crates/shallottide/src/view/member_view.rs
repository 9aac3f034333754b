//! The entry VMs and the loads they report.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use shallottide_types::id::{DomainId, NodeId, StoreIndex};
use shallottide_types::peer::{LoadSummary, NodeInfo, Slot};

/// What is known of the entry VMs.
#[derive(Debug, Clone, Default)]
pub struct MemberView {
    /// All known nodes, this one included.
    pub nodes: BTreeMap<NodeId, NodeState>,
    /// The latest load of each slot, as its dispatcher reported it.
    pub loads: BTreeMap<Slot, DispatcherLoad>,
}

/// What is known of one node.
#[derive(Debug, Clone)]
pub struct NodeState {
    /// Where it is.
    pub info: NodeInfo,
    /// When it was last alive, by this node's clock.
    pub last_seen: Instant,
    /// Whether it counts as alive.
    pub alive: bool,
    /// Highest store index it is known to have applied.
    pub config_index: StoreIndex,
}

/// One slot's load as its dispatcher reported it.
#[derive(Debug, Clone)]
pub struct DispatcherLoad {
    /// The dispatcher that reported it.
    pub node: NodeId,
    /// The load.
    pub load: LoadSummary,
    /// When it was reported, by this node's clock.
    pub received_at: Instant,
}

impl MemberView {
    /// Silence after which a dead node no longer counts in [`Self::is_isolated`].
    const FORGET_SILENT: Duration = Duration::from_mins(5);

    /// Returns the nodes of a failure domain that are alive and not stopping, in id order.
    pub fn alive_in<'a>(&'a self, domain: &'a DomainId) -> impl Iterator<Item = &'a NodeInfo> {
        self.nodes
            .values()
            .filter(move |node| node.alive && !node.info.stopping && node.info.domain == *domain)
            .map(|node| &node.info)
    }

    /// Tells whether a node hears less than half of its failure domain, itself included.
    /// Such a node may have been replaced without knowing. Nodes that said that they stop, or
    /// that have been silent for long, don't count.
    #[must_use]
    pub fn is_isolated(&self, me: &NodeInfo, now: Instant) -> bool {
        let counts = |node: &&NodeState| {
            let silence = now.saturating_duration_since(node.last_seen);
            node.info.domain == me.domain
                && node.info.node != me.node
                && !node.info.stopping
                && (node.alive || silence < Self::FORGET_SILENT)
        };
        let others = self.nodes.values().filter(counts);
        let (alive, silent): (Vec<_>, Vec<_>) = others.partition(|node| node.alive);
        silent.len() > alive.len() + 1
    }

    /// Returns where a node is, when it is alive.
    #[must_use]
    pub fn alive_node(&self, node: &NodeId) -> Option<&NodeInfo> {
        let state = self.nodes.get(node).filter(|state| state.alive)?;
        Some(&state.info)
    }
}
