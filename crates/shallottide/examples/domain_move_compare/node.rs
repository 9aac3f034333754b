//! A simulated entry node, with the engines of the groups that it dispatches to.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use shallottide::admission::{Admission, AdmissionOptions, SlotAdmission};
use shallottide::kernel::Context;
use shallottide::routing::{Route, RouteQuery, Router, RoutingOptions, SlotRouter};
use shallottide::view::{ConfigView, EngineView, PlacementView, TimedReport};
use shallottide_types::call::CallHead;
use shallottide_types::clock::ManualClock;
use shallottide_types::engine::{Assignment, EngineReport};
use shallottide_types::id::{DomainId, FencingToken, Incarnation, VmId};
use shallottide_types::peer::{NodeInfo, Slot};
use shallottide_types::placement::{Group, Placement};
use shallottide_types::platform::Vm;
use shallottide_types::record::{DomainRecord, DomainState, ModelRecord, Record};

use super::engine::{Engine, Running};
use super::no_ramp::NoRamp;
use super::{
    ANSWERS_TO_WARM, COLD_LIMIT, DOMAINS, FIRST_TOKEN_MS, FULL_LIMIT, GROUPS, domain, id, slot,
};

pub(super) struct Node {
    pub(super) info: NodeInfo,
    pub(super) cx: Context,
    pub(super) router: SlotRouter,
    pub(super) admission: Box<dyn Admission>,
    pub(super) engines: Vec<Engine>,
    pub(super) config: ConfigView,
    pub(super) reports: BTreeMap<VmId, TimedReport>,
}

pub(super) fn vm(node: usize, number: usize) -> Vm {
    let port = u16::try_from(10_000 + node * 100 + number).expect("small");
    Vm {
        id: id(&format!("vm-{node}-{number}")),
        address: ([127, 0, 0, 1], port).into(),
        domain: domain(node),
        fabric: id("rack"),
        accelerators: 8,
        fences_orders: true,
        leaving: false,
    }
}

impl Node {
    pub(super) fn new(index: usize, clock: &ManualClock, other_domains: bool, ramps: bool) -> Self {
        let info = NodeInfo {
            node: id(&format!("entry-{index}")),
            incarnation: Incarnation(1),
            domain: domain(index),
            address: ([127, 0, 0, 1], 7_000 + u16::try_from(index).expect("small")).into(),
            stopping: false,
        };
        let config = records(other_domains);
        let cx = Context::new(Arc::new(clock.clone()), info.clone());
        let mut placement = Placement::empty(info.domain.clone());
        let empty = [(info.domain.clone(), placement.clone())].into();
        cx.publish_placement(PlacementView { domains: empty });
        let mut admission: Box<dyn Admission> = if ramps {
            Box::new(SlotAdmission::new(AdmissionOptions::default()))
        } else {
            Box::new(NoRamp(BTreeMap::new()))
        };
        admission.tick(&cx);
        place_groups(&mut placement, index, &info);
        let domains = [(info.domain.clone(), placement)].into();
        cx.publish_placement(PlacementView { domains });
        let engine = || Engine {
            answers: ANSWERS_TO_WARM,
            ..Engine::default()
        };
        Self {
            info,
            cx,
            router: SlotRouter::new(RoutingOptions::default()),
            admission,
            engines: std::iter::repeat_with(engine).take(GROUPS).collect(),
            config,
            reports: BTreeMap::new(),
        }
    }

    /// Publishes the engines' reports, as a node does each second.
    pub(super) fn publish_reports(&mut self, index: usize, now_ms: u64) {
        let mut vms = BTreeMap::new();
        for (number, engine) in self.engines.iter().enumerate() {
            let vm = vm(index, number);
            let report = EngineReport {
                vm: vm.id.clone(),
                incarnation: Incarnation(1),
                fencing_token: FencingToken(1),
                assignment: Some(Assignment {
                    group: id(&format!("g{number}")),
                    model: id("tide"),
                    formed: FencingToken(1),
                    rank: 0,
                    members: vec![vm.address],
                }),
                state: engine.state(now_ms),
                running: u32::try_from(engine.running.len()).expect("few"),
                queued: 0,
                lag_ms: 0,
            };
            let read_at = self.cx.now();
            let timed = TimedReport { report, read_at };
            self.reports.insert(vm.id.clone(), timed);
            vms.insert(vm.id.clone(), vm);
        }
        let reports = self.reports.clone();
        self.cx.publish_engines(EngineView { vms, reports });
        self.cx.publish_config(self.config.clone());
        self.admission.tick(&self.cx);
    }

    pub(super) fn set_domain(&mut self, state: DomainState) {
        self.config.insert(Record::Domain(DomainRecord {
            id: domain(0),
            region: id("se-south"),
            state,
        }));
        self.cx.publish_config(self.config.clone());
    }

    /// Starts a call on a local group if admission allows; returns whether it started.
    pub(super) fn try_start(&mut self, route: &Route, call: &Arrival<'_>) -> bool {
        let Route::Local { slot: chosen, .. } = route else {
            return false;
        };
        if self
            .admission
            .acquire(chosen, &id("depot"), &self.cx)
            .is_err()
        {
            return false;
        }
        self.router.record_start(route, &self.cx);
        let index = (0..GROUPS).position(|n| slot(n) == *chosen).expect("known");
        let first_ms = call.now_ms + FIRST_TOKEN_MS;
        self.engines[index].running.push(Running {
            route: route.clone(),
            arrived_ms: call.arrived_ms,
            first_ms,
            ends_ms: first_ms + call.tokens_ms,
        });
        true
    }
}

/// A call that arrived at a node.
pub(super) struct Arrival<'a> {
    pub(super) head: &'a CallHead,
    /// Arrival at the first node.
    pub(super) arrived_ms: u64,
    /// Arrival at this node.
    pub(super) now_ms: u64,
    /// Time from the first token to the end of the answer.
    pub(super) tokens_ms: u64,
    pub(super) own_domain_only: bool,
}

/// How one node handled a call.
pub(super) enum Served {
    /// The node started the call on a local group.
    Here,
    /// The call should go to another domain.
    Elsewhere(DomainId),
    /// No group can take the call.
    Refused,
}

impl Node {
    /// Routes a call, and skips groups that are full.
    pub(super) fn serve(
        &mut self,
        call: &Arrival<'_>,
        tried_domains: &BTreeSet<DomainId>,
    ) -> Served {
        let mut tried = BTreeSet::new();
        loop {
            let query = RouteQuery {
                head: call.head,
                forwarded_slot: None,
                tried: &tried,
                tried_domains,
                own_domain_only: call.own_domain_only,
            };
            match self.router.route(&query, &self.cx) {
                Ok(Route::Domain { node }) => return Served::Elsewhere(node.domain),
                Ok(route) => {
                    if self.try_start(&route, call) {
                        return Served::Here;
                    }
                    tried.extend(route_slot(&route));
                }
                Err(_) => return Served::Refused,
            }
        }
    }
}

pub(super) fn route_slot(route: &Route) -> Option<Slot> {
    match route {
        Route::Local { slot, .. } | Route::Peer { slot, .. } => Some(slot.clone()),
        Route::Domain { .. } => None,
    }
}

fn records(other_domains: bool) -> ConfigView {
    let mut config = ConfigView::default();
    let counts = (0..DOMAINS).map(|d| (domain(d), u32::try_from(GROUPS).expect("small")));
    config.insert(Record::Model(ModelRecord {
        id: id("tide"),
        vms_per_group: 1,
        groups: counts.collect(),
        cold_limit: COLD_LIMIT,
        full_limit: FULL_LIMIT,
        priority: 0,
        resumable: true,
        other_domains,
        split: None,
    }));
    config
}

fn place_groups(placement: &mut Placement, node: usize, dispatcher: &NodeInfo) {
    placement.fencing_token = FencingToken(1);
    for number in 0..GROUPS {
        let group = Group {
            model: id("tide"),
            members: vec![vm(node, number).id],
            formed: FencingToken(1),
            dispatcher: dispatcher.node.clone(),
        };
        placement.groups.insert(id(&format!("g{number}")), group);
    }
}
