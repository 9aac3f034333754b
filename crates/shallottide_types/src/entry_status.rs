//! Status of an entry node, reported to operators.

use std::collections::BTreeMap;

use crate::data;
use crate::id::{DomainId, NodeId, StoreEra};

data! {
    /// Status of one entry node, served at `/status` of its metrics address.
    pub struct EntryStatus {
        /// The node that reports.
        pub node: NodeId,
        /// Its failure domain.
        pub domain: DomainId,
        /// Whether the node is ready, so that callers are sent to it.
        pub ready: bool,
        /// Version of the configuration in force, if there is one.
        pub config_version: Option<u64>,
        /// Era of the store that the node's view of the cluster reflects.
        #[serde(default)]
        pub era: StoreEra,
        /// The store's own index in that era that the view reflects.
        pub index: u64,
        /// Milliseconds since the node last received data from the store, directly or through
        /// another node.
        pub store_age_ms: Option<u64>,
        /// Whether the node's own last call to the store failed.
        pub store_lost: bool,
        /// Number of nodes that the node knows of, including itself.
        pub nodes: usize,
        /// Number of requests in flight.
        pub in_flight: usize,
        /// Number of upstreams that the node knows of.
        pub upstreams: usize,
        /// Number of upstreams that may receive requests, by service or `SERVICE/MODEL`.
        pub serving: BTreeMap<String, usize>,
        /// Failure domains that operators have taken out of service.
        pub evacuated: Vec<DomainId>,
        /// The controller of each failure domain.
        #[serde(rename = "stewards")]
        pub controllers: BTreeMap<DomainId, NodeId>,
        /// Number of engines by state, for each failure domain whose controller is this node.
        pub engines: BTreeMap<DomainId, BTreeMap<String, usize>>,
    }
}
