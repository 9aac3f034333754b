//! The status that an entry node returns on its operators' port.

use serde_json::Value;
use shallottide_types::data;
use shallottide_types::id::{DomainId, NodeId, RegionId, StoreIndex};

data! {
    /// An entry node's status. Unused fields are ignored.
    pub struct NodeStatus {
        /// The node.
        pub node: NodeId,
        /// Its failure domain.
        pub failure_domain: DomainId,
        /// Its region; absent if the node reports none.
        #[serde(default)]
        pub region: Option<RegionId>,
        /// Store index of the configuration in force on the node.
        pub config_index: StoreIndex,
        /// Entry nodes that the node receives heartbeats from.
        #[serde(default)]
        pub nodes: Vec<PeerStatus>,
        /// Upstreams of its failure domain: a list, a table or a count.
        #[serde(default)]
        pub upstreams: Value,
        /// Groups of its failure domain: a list, a table or a count.
        #[serde(default)]
        pub groups: Value,
        /// Requests in flight on the node.
        #[serde(default)]
        pub in_flight: u64,
        /// Calls that the node answered: a table of counts by kind, or one count.
        #[serde(default)]
        pub calls: Value,
        /// Stored records that the node can't use; their last valid version stays in force on it.
        #[serde(default)]
        pub invalid: Vec<InvalidRecord>,
    }

    /// A stored record that a node can't use.
    pub struct InvalidRecord {
        /// Its platform key.
        pub key: String,
        /// What is wrong with the record, and how to correct it.
        pub reason: String,
    }

    /// Another entry node, as the reporting node sees it.
    pub struct PeerStatus {
        /// The other node.
        pub node: NodeId,
        /// Its failure domain.
        pub failure_domain: DomainId,
        /// Whether the reporting node considers it alive.
        pub alive: bool,
        /// Store index of the configuration in force on the other node.
        pub config_index: StoreIndex,
    }
}

/// Returns the number of entries of a list or table, or the value itself if it is a number.
pub(super) fn count(value: &Value) -> Option<u64> {
    match value {
        Value::Array(values) => Some(values.len() as u64),
        Value::Object(values) => Some(values.len() as u64),
        value => value.as_u64(),
    }
}

/// Returns the sum of a table's counts, or the value itself if it is a number.
pub(super) fn sum(value: &Value) -> Option<u64> {
    match value {
        Value::Object(values) => Some(values.values().filter_map(sum).sum()),
        value => value.as_u64(),
    }
}
