//! Failure domain of any size, as the views of one of its nodes.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::str::FromStr;
use std::sync::Arc;
use std::time::Duration;

use shallottide::admission::{Admission, AdmissionOptions, SlotAdmission};
use shallottide::kernel::Context;
use shallottide::view::{
    ConfigView, DispatcherLoad, EngineView, MemberView, NodeState, PlacementView, TimedReport,
};
use shallottide_types::call::{CallHead, Target, TraceContext};
use shallottide_types::clock::{Clock, ManualClock};
use shallottide_types::engine::{Assignment, EngineReport, EngineState};
use shallottide_types::id::{DomainId, FencingToken, Incarnation, NodeId, StoreIndex, VmId};
use shallottide_types::peer::{LoadSummary, NodeInfo, Slot};
use shallottide_types::placement::{Group, Placement};
use shallottide_types::platform::Vm;
use shallottide_types::record::{
    Generation, ModelRecord, Record, ServiceRecord, TeamRecord, UpstreamRecord, UpstreamState,
};

/// Number of VMs of one group.
pub(crate) const VMS_PER_GROUP: u32 = 4;

/// Number of VMs of one fabric domain.
const VMS_PER_FABRIC: u32 = 16;

/// Parses an id.
///
/// # Panics
/// If it isn't valid.
#[must_use]
pub(crate) fn id<T: FromStr<Err: std::fmt::Debug>>(text: &str) -> T {
    text.parse().expect("a valid id")
}

/// Returns the failure domain that is measured.
#[must_use]
pub(crate) fn domain() -> DomainId {
    id("jkpg")
}

/// Returns the node with this number. Node 0 is the measured one.
#[must_use]
pub(crate) fn node(number: u32) -> NodeInfo {
    NodeInfo {
        node: id(&format!("entry-{number:03}")),
        incarnation: Incarnation(1),
        domain: domain(),
        address: address(7_000, number),
        stopping: false,
    }
}

fn address(base: u16, number: u32) -> SocketAddr {
    let port = base + u16::try_from(number).expect("the number is small");
    ([127, 0, 0, 1], port).into()
}

/// Returns the VM with this number.
#[must_use]
pub(crate) fn vm(number: u32) -> Vm {
    Vm {
        id: id(&format!("vm-{number:04}")),
        address: address(10_000, number),
        domain: domain(),
        fabric: id(&format!("rack-{:02}", number / VMS_PER_FABRIC)),
        accelerators: 8,
        fences_orders: true,
        leaving: false,
    }
}

/// Returns the record of a model with this number of groups.
#[must_use]
pub(crate) fn model(groups: u32) -> ModelRecord {
    ModelRecord {
        id: id("tide"),
        vms_per_group: u8::try_from(VMS_PER_GROUP).expect("the number is small"),
        groups: BTreeMap::from([(domain(), groups)]),
        cold_limit: 8,
        full_limit: 64,
        priority: 0,
        resumable: true,
        other_domains: true,
        split: None,
    }
}

/// Returns the record of an upstream of the plain service.
#[must_use]
pub(crate) fn upstream(number: u32) -> UpstreamRecord {
    UpstreamRecord {
        id: id(&format!("depot-{number:04}")),
        address: address(20_000, number),
        failure_domain: domain(),
        service: id("depot"),
        cold_limit: 8,
        full_limit: 64,
        state: UpstreamState::Serving,
        generation: Generation::New,
    }
}

/// Returns the record of a team whose limits no measurement reaches.
#[must_use]
pub(crate) fn team(number: u32) -> TeamRecord {
    TeamRecord {
        id: id(&format!("team-{number:04}")),
        key_hashes: Vec::new(),
        rate: id("1000000/s"),
        max_in_flight: 1_000_000,
        priority: 0,
    }
}

/// Returns a call for the model or the plain service.
#[must_use]
pub(crate) fn call(number: u64, target: Target) -> CallHead {
    CallHead {
        id: id(&format!("call-{number}")),
        team: id("team-0000"),
        target,
        method: "POST".into(),
        path: "/v1/completions".into(),
        content_type: None,
        key: None,
        stream: true,
        prefix: Some(number % 100),
        time_left: Duration::from_secs(30),
        trace: TraceContext::default(),
    }
}

/// Size of a failure domain.
#[derive(Debug, Clone, Copy)]
pub(crate) struct DomainSize {
    /// Number of entry nodes.
    pub(crate) nodes: u32,
    /// Number of VMs with an engine, all in groups of [`VMS_PER_GROUP`].
    pub(crate) servers: u32,
    /// Number of upstreams of the plain service.
    pub(crate) upstreams: u32,
}

/// Failure domain as node 0 knows it, with all groups complete and warm, all nodes alive and no calls
/// in flight at node 0.
pub(crate) struct DomainFixture {
    /// Clock of `cx`.
    pub(crate) clock: ManualClock,
    /// Context of node 0 with all views published.
    pub(crate) cx: Context,
    size: DomainSize,
}

impl DomainFixture {
    /// Builds a failure domain and publishes node 0's views.
    #[must_use]
    pub(crate) fn new(size: DomainSize) -> Self {
        let clock = ManualClock::default();
        let cx = Context::new(Arc::new(clock.clone()), node(0));
        let fixture = Self { clock, cx, size };
        fixture.cx.publish_config(fixture.config());
        fixture.publish(fixture.placement());
        fixture.cx.publish_engines(fixture.fleet());
        fixture.cx.publish_members(fixture.members());
        fixture
    }

    fn publish(&self, placement: Placement) {
        let domains = BTreeMap::from([(domain(), placement)]);
        self.cx.publish_placement(PlacementView { domains });
    }

    /// Returns an admission that has seen an empty placement before the slots, so that it does not allow
    /// for calls that an earlier dispatcher of a slot admitted.
    pub(crate) fn admission(&self) -> SlotAdmission {
        let mut admission = SlotAdmission::new(AdmissionOptions::default());
        self.publish(Placement::empty(domain()));
        admission.tick(&self.cx);
        self.publish(self.placement());
        admission.tick(&self.cx);
        admission
    }

    fn group_count(&self) -> u32 {
        self.size.servers / VMS_PER_GROUP
    }

    fn config(&self) -> ConfigView {
        let mut config = ConfigView {
            index: StoreIndex(1),
            ..ConfigView::default()
        };
        config.insert(Record::Model(model(self.group_count())));
        config.insert(Record::Team(team(0)));
        config.insert(Record::Service(ServiceRecord {
            id: id("depot"),
            repeatable: Vec::new(),
            other_domains: true,
            split: None,
        }));
        for number in 0..self.size.upstreams {
            config.insert(Record::Upstream(upstream(number)));
        }
        config
    }

    /// Returns the dispatcher of the slot with this number.
    fn dispatcher(&self, number: u32) -> NodeId {
        node(number % self.size.nodes).node
    }

    /// Returns the placement, which assigns slots to the nodes in turn.
    #[must_use]
    pub(crate) fn placement(&self) -> Placement {
        let mut placement = Placement::empty(domain());
        placement.fencing_token = FencingToken(1);
        for number in 0..self.group_count() {
            let members = (0..VMS_PER_GROUP).map(|rank| vm(number * VMS_PER_GROUP + rank).id);
            let group = Group {
                model: id("tide"),
                members: members.collect(),
                formed: FencingToken(1),
                dispatcher: self.dispatcher(number),
            };
            let group_id = id(&format!("tide-{number:03}"));
            placement.groups.insert(group_id, group);
        }
        for number in 0..self.size.upstreams {
            let dispatcher = self.dispatcher(number);
            placement.services.insert(upstream(number).id, dispatcher);
        }
        placement
    }

    /// Returns the VMs by id.
    #[must_use]
    pub(crate) fn vms(&self) -> BTreeMap<VmId, Vm> {
        let vms = (0..self.size.servers).map(vm);
        vms.map(|vm| (vm.id.clone(), vm)).collect()
    }

    fn fleet(&self) -> EngineView {
        let read_at = self.clock.now();
        let mut reports = BTreeMap::new();
        for (group_id, group) in self.placement().groups {
            for (rank, vm) in group.members.iter().enumerate() {
                let assignment = Assignment {
                    group: group_id.clone(),
                    model: group.model.clone(),
                    formed: group.formed,
                    rank: u8::try_from(rank).expect("the number is small"),
                    members: Vec::new(),
                };
                let report = EngineReport {
                    vm: vm.clone(),
                    incarnation: Incarnation(1),
                    fencing_token: FencingToken(1),
                    assignment: Some(assignment),
                    state: EngineState::Warm,
                    running: 0,
                    queued: 0,
                    lag_ms: 0,
                };
                reports.insert(vm.clone(), TimedReport { report, read_at });
            }
        }
        EngineView {
            vms: self.vms(),
            reports,
        }
    }

    fn members(&self) -> MemberView {
        let heard_at = self.clock.now();
        let state = |number| {
            let state = NodeState {
                info: node(number),
                last_seen: heard_at,
                alive: true,
                config_index: StoreIndex(1),
            };
            (node(number).node, state)
        };
        let placement = self.placement();
        let groups = placement.groups.iter();
        let groups = groups.map(|(id, group)| (Slot::Group(id.clone()), &group.dispatcher));
        let services = placement.services.iter();
        let services = services.map(|(id, node)| (Slot::Service(id.clone()), node));
        let load = |(slot, node): (Slot, &NodeId)| {
            let load = LoadSummary {
                slot: slot.clone(),
                in_flight: 8,
                limit: 64,
            };
            let load = DispatcherLoad {
                node: node.clone(),
                load,
                received_at: heard_at,
            };
            (slot, load)
        };
        MemberView {
            nodes: (0..self.size.nodes).map(state).collect(),
            loads: groups.chain(services).map(load).collect(),
        }
    }

    /// Returns a slot that node 0 is the dispatcher of.
    #[must_use]
    pub(crate) fn own_slot() -> Slot {
        Slot::Group(id("tide-000"))
    }
}
