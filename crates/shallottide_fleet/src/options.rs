//! What an entry node is started with.

use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use shallottide_types::id::{DomainId, NodeId, RegionId};

use crate::retry_budget::RepeatBound;

/// Addresses, bounds and names of one node.
#[derive(Debug, Clone)]
pub struct NodeOptions {
    /// This node.
    pub node: NodeId,
    /// Its failure domain.
    pub domain: DomainId,
    /// All failure domains, with their regions.
    pub domains: BTreeMap<DomainId, RegionId>,
    /// Address of its VM.
    pub ip: IpAddr,
    /// Where callers connect.
    pub callers: SocketAddr,
    /// Where the balancer asks for readiness.
    pub readiness: SocketAddr,
    /// Where other nodes ask for the view.
    pub peers: SocketAddr,
    /// UDP port for load reports between nodes; the same on all nodes.
    pub loads_port: u16,
    /// Peers to ask before any is known from the store.
    pub seeds: Vec<SocketAddr>,
    /// Where metrics are served; nowhere if not set.
    pub metrics: Option<SocketAddr>,
    /// Whether the whole deployment starts for the first time.
    pub first_start: bool,
    /// Time between two heartbeats of an upstream.
    pub heartbeat: Duration,
    /// Bound on repeats per service.
    pub repeats: RepeatBound,
    /// Time between SIGTERM and SIGKILL.
    pub stop_grace: Duration,
    /// Time after which an engine that lost a member counts as broken.
    pub stall: Duration,
    /// Window over which weight loads are bounded.
    pub load_window: Duration,
    /// Reads per second that the store allows all nodes together.
    pub store_reads: u32,
    /// Shortest lease that the store grants.
    pub min_lease: Duration,
}
