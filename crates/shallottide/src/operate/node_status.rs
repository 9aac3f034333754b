//! What an entry node's operators' port says.

use serde_json::Value;
use shallottide_types::data;
use shallottide_types::id::{DomainId, NodeId, RegionId, StoreIndex};

data! {
    /// An entry node's status; fields that this program doesn't use are left out.
    pub struct NodeStatus {
        /// The node.
        pub node: NodeId,
        /// Its failure domain.
        pub failure_domain: DomainId,
        /// Its region.
        #[serde(default)]
        pub region: Option<RegionId>,
        /// Store index of the configuration in force on it.
        pub config_index: StoreIndex,
        /// Entry nodes that it hears from.
        #[serde(default)]
        pub nodes: Vec<PeerStatus>,
        /// Upstreams of its failure domain: a list, a table or a count.
        #[serde(default)]
        pub upstreams: Value,
        /// Groups of its failure domain: a list, a table or a count.
        #[serde(default)]
        pub groups: Value,
        /// Requests in flight on it.
        #[serde(default)]
        pub in_flight: u64,
        /// Calls that it has answered: a table of counts by kind or one count.
        #[serde(default)]
        pub calls: Value,
        /// Stored records that it can't use; their last good form stays in force on it.
        #[serde(default)]
        pub invalid: Vec<InvalidRecord>,
    }

    /// A stored record that a node can't use.
    pub struct InvalidRecord {
        /// Its platform key.
        pub key: String,
        /// What is wrong, with the remedy.
        pub reason: String,
    }

    /// Another entry node as heard by the node.
    pub struct PeerStatus {
        /// The other node.
        pub node: NodeId,
        /// Its failure domain.
        pub failure_domain: DomainId,
        /// Whether it was heard lately.
        pub alive: bool,
        /// Store index of the configuration in force on it.
        pub config_index: StoreIndex,
    }
}

/// Counts the entries of a list or table; a number counts for itself.
pub(super) fn count(value: &Value) -> Option<u64> {
    match value {
        Value::Array(values) => Some(values.len() as u64),
        Value::Object(values) => Some(values.len() as u64),
        value => value.as_u64(),
    }
}

/// Sums the counts of a table; a number counts for itself.
pub(super) fn sum(value: &Value) -> Option<u64> {
    match value {
        Value::Object(values) => Some(values.values().filter_map(sum).sum()),
        value => value.as_u64(),
    }
}
