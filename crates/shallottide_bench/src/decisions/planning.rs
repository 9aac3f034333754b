//! Planning a failure domain's placement.

use std::collections::{BTreeMap, BTreeSet};

use shallottide::groups::{PlacementPlanner, PlanInput};
use shallottide_types::id::{GroupId, ModelId, NodeId, UpstreamId, VmId};
use shallottide_types::placement::Placement;
use shallottide_types::platform::Vm;
use shallottide_types::record::ModelRecord;

use super::SERVERS;
use crate::Stopwatch;
use crate::world::{VMS_PER_GROUP, World, WorldSize, model, node, upstream};

/// Nodes that may dispatch.
const NODES: u32 = 84;

pub(super) fn print() {
    for (what, lost, anew) in [
        ("plan without a change, by servers", 0, false),
        ("plan after a lost VM, by servers", 1, false),
        ("plan from nothing, by servers", 0, true),
    ] {
        let mut watch = Stopwatch::default();
        for servers in SERVERS {
            let mut domain = Domain::new(servers, lost);
            if anew {
                domain.placement = Placement::empty(domain.placement.domain);
            }
            watch.time(what, servers, || domain.plan());
        }
        watch.finish(what);
    }
}

struct Domain {
    placement: Placement,
    models: BTreeMap<ModelId, ModelRecord>,
    vms: BTreeMap<VmId, Vm>,
    answering: BTreeSet<VmId>,
    lost: BTreeSet<VmId>,
    complete: BTreeSet<GroupId>,
    nodes: Vec<NodeId>,
    upstreams: BTreeSet<UpstreamId>,
}

impl Domain {
    fn new(servers: u32, lost: usize) -> Self {
        let upstreams = servers / VMS_PER_GROUP;
        let world = World::new(WorldSize {
            nodes: NODES,
            servers,
            upstreams,
        });
        let vms = world.vms();
        let lost: BTreeSet<VmId> = vms.keys().take(lost).cloned().collect();
        let answering = vms.keys().filter(|vm| !lost.contains(*vm));
        let model = model(servers / VMS_PER_GROUP);
        let placement = world.placement();
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
