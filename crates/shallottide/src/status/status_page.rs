//! What the status says.

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
    /// One node's status.
    pub struct StatusPage {
        /// The node that answers.
        pub node: NodeId,
        /// Its failure domain.
        pub failure_domain: DomainId,
        /// Its region, when the failure domain's record is known.
        pub region: Option<RegionId>,
        /// Every configuration change up to this index is in force here.
        pub config_index: StoreIndex,
        /// Whether it is stopping.
        pub stopping: bool,
        /// The nodes it knows: all of its failure domain, and of others those it talks about.
        pub nodes: Vec<NodeStatus>,
        /// Upstreams of its failure domain.
        pub upstreams: Vec<UpstreamStatus>,
        /// Groups of its failure domain.
        pub groups: Vec<GroupStatus>,
        /// Loads of all slots of its failure domain, as heard.
        pub loads: Vec<LoadStatus>,
        /// Requests in flight that this node dispatched.
        pub in_flight: u64,
        /// Number of teams.
        pub teams: usize,
        /// Number of records in force.
        pub records: RecordCounts,
        /// Stored records that can't be used.
        pub invalid: Vec<InvalidRecord>,
        /// What was exchanged with peers since the node's start.
        #[serde(default)]
        pub peer_traffic: PeerTotals,
    }

    /// One entry VM.
    pub struct NodeStatus {
        /// The node.
        pub node: NodeId,
        /// Its failure domain.
        pub failure_domain: DomainId,
        /// Whether it counts as alive.
        pub alive: bool,
        /// Whether it is stopping.
        pub stopping: bool,
        /// Highest index it is known to have in force.
        pub config_index: StoreIndex,
    }

    /// One server of a plain service.
    pub struct UpstreamStatus {
        /// The upstream.
        pub upstream: UpstreamId,
        /// The service it belongs to.
        pub service: ServiceId,
        /// Where it listens.
        pub address: SocketAddr,
        /// Whether it takes new work.
        pub state: UpstreamState,
        /// Whether it is of the old system or the new one.
        pub generation: Generation,
        /// The node that sends requests to it.
        pub dispatcher: Option<NodeId>,
    }

    /// One group of VMs.
    pub struct GroupStatus {
        /// The group.
        pub group: GroupId,
        /// The model it serves.
        pub model: ModelId,
        /// Its VMs by rank.
        pub members: Vec<VmId>,
        /// The node that sends requests to it.
        pub dispatcher: NodeId,
        /// Whether all members are ready, by fresh reports.
        pub complete: bool,
    }

    /// Load of one slot.
    pub struct LoadStatus {
        /// The group or upstream.
        pub slot: String,
        /// The node that reported it.
        pub dispatcher: NodeId,
        /// Requests in flight.
        pub in_flight: u32,
        /// The limit.
        pub limit: u32,
    }

    /// Number of records by kind.
    #[derive(Default)]
    pub struct RecordCounts {
        /// Models.
        pub model: usize,
        /// Servers of plain services.
        pub upstream: usize,
        /// Plain services.
        pub service: usize,
        /// Failure domains.
        pub domain: usize,
        /// Teams.
        pub team: usize,
    }

    /// A stored record that can't be used; its last good form stays in force.
    pub struct InvalidRecord {
        /// Its platform key.
        pub key: String,
        /// What is wrong, with the remedy.
        pub reason: String,
    }
}

impl StatusPage {
    /// Collects the status from the published views and the counts of peer traffic.
    #[must_use]
    pub fn from_context(cx: &Context, peer_traffic: PeerTotals) -> Self {
        let me = cx.me();
        let config = cx.config();
        let loads = loads(cx);
        let own_loads = loads.iter().filter(|load| load.dispatcher == me.node);
        let in_flight = own_loads.map(|load| u64::from(load.in_flight)).sum();
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

    /// Returns the status as JSON.
    ///
    /// # Panics
    /// Never: the status is plain data.
    #[must_use]
    pub fn to_json(&self) -> String {
        serde_json::to_string(self).expect("the status is plain data")
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
    let own = cx.me().domain;
    let members = cx.members();
    let shown = members
        .nodes
        .values()
        .filter(|node| node.alive || node.info.domain == own);
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
    let own = cx.me().domain;
    let config = cx.config();
    let placement = cx.placement();
    let dispatcher = |upstream: &UpstreamId| {
        let slot = Slot::Service(upstream.clone());
        placement.dispatcher(&own, &slot).cloned()
    };
    config
        .upstreams
        .values()
        .filter(|record| record.failure_domain == own)
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
    let own = placement.domains.get(&cx.me().domain);
    own.iter()
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
    let loads = members.loads.iter().map(|(slot, heard)| LoadStatus {
        slot: slot_name(slot),
        dispatcher: heard.node.clone(),
        in_flight: heard.load.in_flight,
        limit: heard.load.limit,
    });
    loads.collect()
}

fn slot_name(slot: &Slot) -> String {
    match slot {
        Slot::Group(group) => group.to_string(),
        Slot::Service(upstream) => upstream.to_string(),
    }
}
