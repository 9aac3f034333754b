//! What an entry node on a platform says of itself to operators.

use std::collections::BTreeMap;

use crate::data;
use crate::id::{DomainId, NodeId, StoreIndex};

data! {
    /// State of one entry node, at `/status` of its metrics address.
    pub struct EntryStatus {
        /// The node.
        pub node: NodeId,
        /// Its failure domain.
        pub domain: DomainId,
        /// Whether callers are sent to it.
        pub ready: bool,
        /// Version of the configuration in force.
        pub config_version: Option<u64>,
        /// The store's revision that its view shows.
        pub index: StoreIndex,
        /// Milliseconds since it heard from the store, itself or through another node.
        pub store_age_ms: Option<u64>,
        /// Whether its own last call to the store failed.
        pub store_lost: bool,
        /// Nodes that it knows of, itself included.
        pub nodes: usize,
        /// Requests in flight.
        pub in_flight: usize,
        /// Upstreams that it knows of.
        pub upstreams: usize,
        /// Upstreams that may get requests, by service or `SERVICE/MODEL`.
        pub serving: BTreeMap<String, usize>,
        /// Domains that operators have taken out.
        pub evacuated: Vec<DomainId>,
        /// The node that keeps the groups of each domain.
        #[serde(rename = "stewards")]
        pub controllers: BTreeMap<DomainId, NodeId>,
        /// What the engines of the domains do that this node is the steward of.
        pub engines: BTreeMap<DomainId, BTreeMap<String, usize>>,
    }
}
