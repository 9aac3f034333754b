//! Time to plan the placement of a failure domain.

use std::collections::{BTreeMap, BTreeSet};

use shallottide::groups::{PlacementPlanner, PlanInput};
use shallottide_types::id::{GroupId, ModelId, NodeId, UpstreamId, VmId};
use shallottide_types::placement::Placement;
use shallottide_types::platform::Vm;
use shallottide_types::record::ModelRecord;

use super::SERVERS;
use crate::TimingTable;
use crate::domain_fixture::{DomainFixture, DomainSize, VMS_PER_GROUP, model, node, upstream};

/// Number of nodes that can be dispatchers.
const NODES: u32 = 84;

pub(super) fn print() {
    for (label, lost_vms, from_empty) in [
        ("plan without a change, by servers", 0, false),
        ("plan after a lost VM, by servers", 1, false),
        ("plan from nothing, by servers", 0, true),
    ] {
        let mut table = TimingTable::default();
        for servers in SERVERS {
            let mut domain = PlannedDomain::new(servers, lost_vms);
            if from_empty {
                domain.placement = Placement::empty(domain.placement.domain);
            }
            table.measure(label, servers, || domain.plan());
        }
        table.print_slope(label);
    }
}

/// Input of the planner.
struct PlannedDomain {
    placement: Placement,
    models: BTreeMap<ModelId, ModelRecord>,
    vms: BTreeMap<VmId, Vm>,
    answering: BTreeSet<VmId>,
    lost: BTreeSet<VmId>,
    complete: BTreeSet<GroupId>,
    nodes: Vec<NodeId>,
    upstreams: BTreeSet<UpstreamId>,
}

impl PlannedDomain {
    fn new(servers: u32, lost_vms: usize) -> Self {
        let upstreams = servers / VMS_PER_GROUP;
        let fixture = DomainFixture::new(DomainSize {
            nodes: NODES,
            servers,
            upstreams,
        });
        let vms = fixture.vms();
        let lost: BTreeSet<VmId> = vms.keys().take(lost_vms).cloned().collect();
        let answering = vms.keys().filter(|vm| !lost.contains(*vm));
        let model = model(servers / VMS_PER_GROUP);
        let placement = fixture.placement();
        Self {
            complete: placement.groups.keys().cloned().collect(),
            placement,
            models: BTreeMap::from([(model.id.clone(), model)]),
            answering: answering.cloned().collect(),
            nodes: (0..NODES).map(|number| node(number).node).collect(),
            upstreams: (0..upstreams).map(|number| upstream(number).id).collect(),
            vms,
            lost,
        }
    }

    fn plan(&self) -> Option<Placement> {
        PlacementPlanner::plan(&PlanInput {
            previous: &self.placement,
            models: &self.models,
            upstreams: &self.upstreams,
            vms: &self.vms,
            answering: &self.answering,
            lost: &self.lost,
            complete: &self.complete,
            nodes: &self.nodes,
            max_imbalance: 2,
        })
    }
}
