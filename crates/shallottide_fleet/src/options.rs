//! Options of an entry node.

use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use shallottide_types::id::{DomainId, NodeId, RegionId};

use crate::node_entry::NodeEntry;
use crate::retry_budget::RepeatBound;

/// Identity, addresses and limits of one node.
#[derive(Debug, Clone)]
pub struct NodeOptions {
    /// This node's id.
    pub node: NodeId,
    /// This node's failure domain.
    pub domain: DomainId,
    /// All failure domains, with their regions.
    pub domains: BTreeMap<DomainId, RegionId>,
    /// Address of this node's VM.
    pub ip: IpAddr,
    /// Address on which callers connect.
    pub callers: SocketAddr,
    /// Address on which the load balancer checks readiness.
    pub readiness: SocketAddr,
    /// Address on which other nodes request the view.
    pub peers: SocketAddr,
    /// UDP port for load reports between nodes; the same on all nodes.
    pub loads_port: u16,
    /// Peers to contact before any is known from the store.
    pub seeds: Vec<SocketAddr>,
    /// Address on which metrics are served; not served if not set.
    pub metrics: Option<SocketAddr>,
    /// Whether the whole deployment starts for the first time.
    pub first_start: bool,
    /// This VM's share of a processor, in thousandths of a core.
    pub capacity: u32,
    /// Memory that the process may use, in bytes.
    pub memory: usize,
    /// Time in which changes in the store must take effect.
    pub apply_bound: Duration,
    /// Interval between two heartbeats of an upstream.
    pub heartbeat: Duration,
    /// Time for which an upstream that leaves still serves, and after which it gets no requests.
    pub drain: Duration,
    /// Limit on repeated sends per service.
    pub repeats: RepeatBound,
    /// Time between SIGTERM and SIGKILL.
    pub stop_grace: Duration,
    /// Time after which an engine that lost a member counts as broken.
    pub stall: Duration,
    /// Sliding window of the limit on weight loads.
    pub load_window: Duration,
    /// Reads per second that the store allows, over all nodes.
    pub store_reads: u32,
    /// Shortest lease that the store grants.
    pub min_lease: Duration,
}

impl NodeOptions {
    /// Returns this node's entry in the store.
    #[must_use]
    pub fn entry(&self) -> NodeEntry {
        NodeEntry {
            peers: self.peers,
            domain: self.domain.clone(),
            capacity: self.capacity,
        }
    }
}
