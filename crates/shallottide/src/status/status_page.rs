//! Contents of the status page.

use std::net::SocketAddr;

use shallottide_types::data;
use shallottide_types::id::{
    DomainId, GroupId, ModelId, NodeId, RegionId, ServiceId, StoreIndex, UpstreamId, VmId,
};
use shallottide_types::peer::Slot;
use shallottide_types::record::{Generation, UpstreamState};

use crate::kernel::Context;
use crate::peers::PeerTotals;
use crate::view::ConfigView;

data! {
    /// Status of one node.
    pub struct StatusPage {
        /// Node that this status describes.
        pub node: NodeId,
        /// Failure domain of the node.
        pub failure_domain: DomainId,
        /// Region of the failure domain; `None` while the domain's record is unknown.
        pub region: Option<RegionId>,
        /// Store index up to which every configuration change is in force on this node.
        pub config_index: StoreIndex,
        /// Whether the node is stopping.
        pub stopping: bool,
        /// Known nodes: all of its own failure domain and the live ones of other domains.
        pub nodes: Vec<NodeStatus>,
        /// Servers of plain services in its failure domain.
        pub upstreams: Vec<UpstreamStatus>,
        /// Groups in its failure domain.
        pub groups: Vec<GroupStatus>,
        /// Latest reported load of each slot in its failure domain.
        pub loads: Vec<LoadStatus>,
        /// Number of requests in flight that this node dispatched.
        pub in_flight: u64,
        /// Number of teams.
        pub teams: usize,
        /// Number of records in force by kind.
        pub records: RecordCounts,
        /// Stored records that are invalid.
        pub invalid: Vec<InvalidRecord>,
        /// Traffic exchanged with peers since the node's start.
        #[serde(default)]
        pub peer_traffic: PeerTotals,
    }

    /// Status of one entry VM, as known to the node that answers.
    pub struct NodeStatus {
        /// Id of the node.
        pub node: NodeId,
        /// Failure domain of the node.
        pub failure_domain: DomainId,
        /// Whether failure detection considers the node alive.
        pub alive: bool,
        /// Whether the node is stopping.
        pub stopping: bool,
        /// Highest store index that the node is known to have applied.
        pub config_index: StoreIndex,
    }

    /// Status of one server of a plain service.
    pub struct UpstreamStatus {
        /// Id of the upstream.
        pub upstream: UpstreamId,
        /// Service that the upstream belongs to.
        pub service: ServiceId,
        /// Address on which the upstream listens.
        pub address: SocketAddr,
        /// Whether the upstream takes new requests.
        pub state: UpstreamState,
        /// Whether the upstream belongs to the old system or the new one.
        pub generation: Generation,
        /// Node that sends requests to the upstream; `None` while none is assigned.
        pub dispatcher: Option<NodeId>,
    }

    /// Status of one group of VMs.
    pub struct GroupStatus {
        /// Id of the group.
        pub group: GroupId,
        /// Model that the group serves.
        pub model: ModelId,
        /// VMs of the group, ordered by rank.
        pub members: Vec<VmId>,
        /// Node that sends requests to the group.
        pub dispatcher: NodeId,
        /// Whether recent reports show all members ready.
        pub complete: bool,
    }

    /// Load of one slot.
    pub struct LoadStatus {
        /// Id of the group or upstream.
        pub slot: String,
        /// Node that reported the load.
        pub dispatcher: NodeId,
        /// Number of requests in flight.
        pub in_flight: u32,
        /// Largest number of requests in flight that the dispatcher allows.
        pub limit: u32,
    }

    /// Number of records by kind.
    #[derive(Default)]
    pub struct RecordCounts {
        /// Number of models.
        pub model: usize,
        /// Number of servers of plain services.
        pub upstream: usize,
        /// Number of plain services.
        pub service: usize,
        /// Number of failure domains.
        pub domain: usize,
        /// Number of teams.
        pub team: usize,
    }

    /// A stored record that is invalid; its last valid version stays in force.
    pub struct InvalidRecord {
        /// Key of the record in the store.
        pub key: String,
        /// What is wrong and how to correct it.
        pub reason: String,
    }
}

impl StatusPage {
    /// Builds the status from the published views and the counters of peer traffic.
    #[must_use]
    pub fn from_context(cx: &Context, peer_traffic: PeerTotals) -> Self {
        let me = cx.me();
        let config = cx.config();
        let loads = loads(cx);
        let local_loads = loads.iter().filter(|load| load.dispatcher == me.node);
        let in_flight = local_loads.map(|load| u64::from(load.in_flight)).sum();
        let domain = config.domains.get(&me.domain);
        let invalid = config.invalid.iter().map(|(key, reason)| InvalidRecord {
            key: key.clone(),
            reason: reason.clone(),
        });
        Self {
            region: domain.map(|record| record.region.clone()),
            config_index: config.index,
            stopping: me.stopping,
            nodes: nodes(cx),
            upstreams: upstreams(cx),
            groups: groups(cx),
            loads,
            in_flight,
            teams: config.teams.len(),
            records: RecordCounts::from_config(&config),
            invalid: invalid.collect(),
            peer_traffic,
            node: me.node,
            failure_domain: me.domain,
        }
    }

    /// Serializes the status as JSON.
    ///
    /// # Panics
    /// Never: the status holds only types that can be serialized.
    #[must_use]
    pub fn to_json(&self) -> String {
        serde_json::to_string(self).expect("the status can be serialized")
    }
}

impl RecordCounts {
    fn from_config(config: &ConfigView) -> Self {
        Self {
            model: config.models.len(),
            upstream: config.upstreams.len(),
            service: config.services.len(),
            domain: config.domains.len(),
            team: config.teams.len(),
        }
    }
}

fn nodes(cx: &Context) -> Vec<NodeStatus> {
    let own_domain = cx.me().domain;
    let members = cx.members();
    let shown = members
        .nodes
        .values()
        .filter(|node| node.alive || node.info.domain == own_domain);
    shown
        .map(|node| NodeStatus {
            node: node.info.node.clone(),
            failure_domain: node.info.domain.clone(),
            alive: node.alive,
            stopping: node.info.stopping,
            config_index: node.config_index,
        })
        .collect()
}

fn upstreams(cx: &Context) -> Vec<UpstreamStatus> {
    let own_domain = cx.me().domain;
    let config = cx.config();
    let placement = cx.placement();
    let dispatcher = |upstream: &UpstreamId| {
        let slot = Slot::Service(upstream.clone());
        placement.dispatcher(&own_domain, &slot).cloned()
    };
    config
        .upstreams
        .values()
        .filter(|record| record.failure_domain == own_domain)
        .map(|record| UpstreamStatus {
            upstream: record.id.clone(),
            service: record.service.clone(),
            address: record.address,
            state: record.state,
            generation: record.generation,
            dispatcher: dispatcher(&record.id),
        })
        .collect()
}

fn groups(cx: &Context) -> Vec<GroupStatus> {
    let placement = cx.placement();
    let engines = cx.engines();
    let own_placement = placement.domains.get(&cx.me().domain);
    own_placement
        .iter()
        .flat_map(|placement| &placement.groups)
        .map(|(id, group)| GroupStatus {
            group: id.clone(),
            model: group.model.clone(),
            members: group.members.clone(),
            dispatcher: group.dispatcher.clone(),
            complete: engines.is_complete(group, cx.now()),
        })
        .collect()
}

fn loads(cx: &Context) -> Vec<LoadStatus> {
    let members = cx.members();
    let loads = members.loads.iter().map(|(slot, reported)| LoadStatus {
        slot: slot_name(slot),
        dispatcher: reported.node.clone(),
        in_flight: reported.load.in_flight,
        limit: reported.load.limit,
    });
    loads.collect()
}

fn slot_name(slot: &Slot) -> String {
    match slot {
        Slot::Group(group) => group.to_string(),
        Slot::Service(upstream) => upstream.to_string(),
    }
}
