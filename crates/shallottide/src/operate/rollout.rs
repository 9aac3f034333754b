//! Where a change is in force.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};
use shallottide_types::data;
use shallottide_types::id::{DomainId, NodeId, StoreIndex};

use super::node_status::NodeStatus;

data! {
    /// Where a change is in force, by failure domain.
    pub struct Rollout {
        /// Store index of the change.
        pub index: StoreIndex,
        /// Each failure domain that has a record or a node.
        pub domains: BTreeMap<DomainId, DomainRollout>,
    }

    /// Where a change is in force in one failure domain.
    #[derive(Default)]
    pub struct DomainRollout {
        /// Live nodes that have the change.
        pub in_force: BTreeSet<NodeId>,
        /// Live nodes that don't have it yet.
        pub behind: BTreeSet<NodeId>,
        /// Live nodes that have the change and can't use the record.
        pub refusing: BTreeSet<NodeId>,
        /// Nodes that nobody has heard lately.
        pub silent: BTreeSet<NodeId>,
    }
}

/// How far a change is in a failure domain.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RolloutState {
    /// Every live node has it.
    InForce,
    /// A live node doesn't have it.
    NotYet,
    /// A live node can't use the record.
    Refused,
    /// No live node is known.
    Unreachable,
}

/// What is known of one node.
#[derive(Debug, Clone, Copy)]
struct Seen {
    index: StoreIndex,
    alive: bool,
    /// Whether the node itself answered.
    direct: bool,
    /// Whether the node says that it can't use the record.
    refuses: bool,
}

impl Rollout {
    /// Judges a change of the records under `keys` by what the nodes say.
    ///
    /// A node's own answer goes before what others heard from it.
    #[must_use]
    pub fn of(
        index: StoreIndex,
        keys: &[String],
        domains: impl IntoIterator<Item = DomainId>,
        statuses: &[NodeStatus],
    ) -> Self {
        let mut rollout = Self {
            index,
            domains: domains
                .into_iter()
                .map(|id| (id, DomainRollout::default()))
                .collect(),
        };
        for ((domain, node), seen) in seen_nodes(keys, statuses) {
            let domain = rollout.domains.entry(domain).or_default();
            domain.nodes_like(seen, index).insert(node);
        }
        rollout
    }

    /// Tells whether the change is in force in every failure domain.
    #[must_use]
    pub fn is_complete(&self) -> bool {
        let mut states = self.domains.values().map(DomainRollout::state);
        states.all(|state| state == RolloutState::InForce)
    }
}

impl DomainRollout {
    /// Returns the nodes that a node with this state belongs to.
    fn nodes_like(&mut self, seen: Seen, index: StoreIndex) -> &mut BTreeSet<NodeId> {
        if !seen.alive {
            &mut self.silent
        } else if seen.index < index {
            &mut self.behind
        } else if seen.refuses {
            &mut self.refusing
        } else {
            &mut self.in_force
        }
    }

    /// Returns how far the change is.
    #[must_use]
    pub fn state(&self) -> RolloutState {
        if !self.behind.is_empty() {
            RolloutState::NotYet
        } else if !self.refusing.is_empty() {
            RolloutState::Refused
        } else if self.in_force.is_empty() {
            RolloutState::Unreachable
        } else {
            RolloutState::InForce
        }
    }
}

fn seen_nodes(keys: &[String], statuses: &[NodeStatus]) -> BTreeMap<(DomainId, NodeId), Seen> {
    let mut nodes: BTreeMap<_, Seen> = BTreeMap::new();
    for status in statuses {
        let key = (status.failure_domain.clone(), status.node.clone());
        let seen = Seen {
            index: status.config_index,
            alive: true,
            direct: true,
            refuses: status
                .invalid
                .iter()
                .any(|record| keys.contains(&record.key)),
        };
        nodes.insert(key, seen);
    }
    for peer in statuses.iter().flat_map(|status| &status.nodes) {
        let heard = Seen {
            index: peer.config_index,
            alive: peer.alive,
            direct: false,
            refuses: false,
        };
        let key = (peer.failure_domain.clone(), peer.node.clone());
        let seen = nodes.entry(key).or_insert(heard);
        if !seen.direct {
            seen.index = seen.index.max(heard.index);
            seen.alive |= heard.alive;
        }
    }
    nodes
}
