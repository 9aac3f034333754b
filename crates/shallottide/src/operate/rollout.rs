//! How far a change has been rolled out.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};
use shallottide_types::data;
use shallottide_types::id::{DomainId, NodeId, StoreIndex};

use super::node_status::NodeStatus;

data! {
    /// Rollout of a change, by failure domain.
    pub struct Rollout {
        /// Store index of the change.
        pub index: StoreIndex,
        /// Every failure domain that has a record or a node.
        pub domains: BTreeMap<DomainId, DomainRollout>,
    }

    /// Rollout of a change in one failure domain.
    #[derive(Default)]
    pub struct DomainRollout {
        /// Live nodes on which the change is in force.
        pub in_force: BTreeSet<NodeId>,
        /// Live nodes that haven't received the change yet.
        pub behind: BTreeSet<NodeId>,
        /// Live nodes that received the change and can't use the record.
        pub refusing: BTreeSet<NodeId>,
        /// Nodes that did not answer and that no node reports as alive.
        pub silent: BTreeSet<NodeId>,
    }
}

/// Progress of a change in a failure domain.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RolloutState {
    /// The change is in force on every live node.
    InForce,
    /// A live node hasn't received the change.
    NotYet,
    /// Every live node received the change, and one can't use the record.
    Refused,
    /// No live node is known.
    Unreachable,
}

/// What the statuses say about one node.
#[derive(Debug, Clone, Copy)]
struct NodeObservation {
    /// Store index of the configuration in force on the node.
    index: StoreIndex,
    alive: bool,
    /// Whether the node itself answered, instead of being reported by a peer.
    direct: bool,
    /// Whether the node reports a record of the change as invalid.
    refuses: bool,
}

impl Rollout {
    /// Computes the rollout of a change of the records under `keys` from the nodes' statuses.
    ///
    /// A node's own status takes precedence over what its peers report about it.
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
        for ((domain, node), observation) in observe_nodes(keys, statuses) {
            let domain = rollout.domains.entry(domain).or_default();
            domain.nodes_for(observation, index).insert(node);
        }
        rollout
    }

    /// Returns whether the change is in force in every failure domain.
    #[must_use]
    pub fn is_complete(&self) -> bool {
        let mut states = self.domains.values().map(DomainRollout::state);
        states.all(|state| state == RolloutState::InForce)
    }
}

impl DomainRollout {
    /// Returns the set that a node with this observation belongs to.
    fn nodes_for(
        &mut self,
        observation: NodeObservation,
        index: StoreIndex,
    ) -> &mut BTreeSet<NodeId> {
        if !observation.alive {
            &mut self.silent
        } else if observation.index < index {
            &mut self.behind
        } else if observation.refuses {
            &mut self.refusing
        } else {
            &mut self.in_force
        }
    }

    /// Returns the progress of the change.
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

fn observe_nodes(
    keys: &[String],
    statuses: &[NodeStatus],
) -> BTreeMap<(DomainId, NodeId), NodeObservation> {
    let mut nodes: BTreeMap<_, NodeObservation> = BTreeMap::new();
    for status in statuses {
        let key = (status.failure_domain.clone(), status.node.clone());
        let observation = NodeObservation {
            index: status.config_index,
            alive: true,
            direct: true,
            refuses: status
                .invalid
                .iter()
                .any(|record| keys.contains(&record.key)),
        };
        nodes.insert(key, observation);
    }
    for peer in statuses.iter().flat_map(|status| &status.nodes) {
        let reported = NodeObservation {
            index: peer.config_index,
            alive: peer.alive,
            direct: false,
            refuses: false,
        };
        let key = (peer.failure_domain.clone(), peer.node.clone());
        let observation = nodes.entry(key).or_insert(reported);
        if !observation.direct {
            observation.index = observation.index.max(reported.index);
            observation.alive |= reported.alive;
        }
    }
    nodes
}
