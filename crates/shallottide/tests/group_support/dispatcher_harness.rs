//! One node with views set by the test, and an admission and a router that read them.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::{Duration, Instant};

use shallottide::admission::{Admission, AdmissionOptions, RequestOutcome, SlotAdmission};
use shallottide::kernel::Context;
use shallottide::routing::{Route, RouteQuery, Router, RoutingOptions, SlotRouter};
use shallottide::view::{
    ConfigView, DispatcherLoad, EngineView, MemberView, NodeState, PlacementView, TimedReport,
};
use shallottide_types::call::CallHead;
use shallottide_types::clock::{Clock, ManualClock};
use shallottide_types::engine::{Assignment, EngineReport, EngineState};
use shallottide_types::id::{FencingToken, Incarnation, StoreIndex, TeamId};
use shallottide_types::peer::{LoadSummary, NodeInfo, Slot};
use shallottide_types::placement::{Group, Placement};
use shallottide_types::record::{DomainState, Record};
use shallottide_types::refusal::Refusal;

use super::{DOMAIN, domain, domain_record, id, model, node_info, upstream, vm};

pub(crate) const ME: &str = "entry-0";
pub(crate) const PEER: &str = "entry-1";

/// A node with two groups `g0`, `g1` of two VMs for model `tide` and two servers `u0`, `u1` of
/// service `depot`. The node dispatches to all of them unless the test moves them to the peer.
pub(crate) struct DispatcherHarness {
    pub(crate) clock: ManualClock,
    pub(crate) cx: Context,
    pub(crate) config: ConfigView,
    pub(crate) placement: Placement,
    pub(crate) engines: EngineView,
    pub(crate) members: MemberView,
    pub(crate) admission: SlotAdmission,
    pub(crate) router: SlotRouter,
}

pub(crate) fn group(name: &str) -> Slot {
    Slot::Group(id(name))
}

pub(crate) fn server(name: &str) -> Slot {
    Slot::Service(id(name))
}

impl DispatcherHarness {
    pub(crate) fn new() -> Self {
        let clock = ManualClock::default();
        let cx = Context::new(Arc::new(clock.clone()), node_info(ME, DOMAIN, 7_000));
        let mut config = ConfigView::default();
        config.insert(Record::Model(model("tide", 2, 2, 0)));
        for name in ["u0", "u1"] {
            config.insert(Record::Upstream(upstream(name, "depot")));
        }
        config.insert(Record::Domain(domain_record(DOMAIN, DomainState::Serving)));
        let mut harness = Self {
            clock,
            cx,
            config,
            placement: Placement::empty(domain()),
            engines: EngineView::default(),
            members: MemberView::default(),
            admission: SlotAdmission::new(AdmissionOptions::default()),
            router: SlotRouter::new(RoutingOptions::default()),
        };
        harness.add_nodes();
        // Publish a placement without slots first, so that the slots count as new.
        harness.publish();
        harness.place();
        harness.report_all(EngineState::Warm);
        harness.publish();
        harness
    }

    fn add_nodes(&mut self) {
        let other = node_info("entry-9", "vmo", 7_009);
        for info in [
            node_info(ME, DOMAIN, 7_000),
            node_info(PEER, DOMAIN, 7_001),
            other,
        ] {
            self.add_node(info);
        }
    }

    pub(crate) fn add_node(&mut self, info: NodeInfo) {
        let state = NodeState {
            info: info.clone(),
            last_seen: self.clock.now(),
            alive: true,
            config_index: StoreIndex(1),
        };
        self.members.nodes.insert(info.node, state);
    }

    fn place(&mut self) {
        self.placement.fencing_token = FencingToken(1);
        for number in 0..2 {
            let members: Vec<_> = [2 * number, 2 * number + 1].map(|n| vm(n, "a")).to_vec();
            let group = Group {
                model: id("tide"),
                members: members.iter().map(|vm| vm.id.clone()).collect(),
                formed: FencingToken(1),
                dispatcher: id(ME),
            };
            self.placement
                .groups
                .insert(id(&format!("g{number}")), group);
            self.placement
                .services
                .insert(id(&format!("u{number}")), id(ME));
            self.engines
                .vms
                .extend(members.into_iter().map(|vm| (vm.id.clone(), vm)));
        }
    }

    pub(crate) fn now(&self) -> Instant {
        self.clock.now()
    }

    /// Sets a current report of every engine, with its assignment and the given state.
    pub(crate) fn report_all(&mut self, state: EngineState) {
        for (group_id, group) in &self.placement.groups {
            for (rank, vm) in group.members.iter().enumerate() {
                let known = self.engines.reports.get(vm);
                let incarnation = known.map_or(Incarnation(1), |t| t.report.incarnation);
                let report = EngineReport {
                    vm: vm.clone(),
                    incarnation,
                    fencing_token: group.formed,
                    assignment: Some(Assignment {
                        group: group_id.clone(),
                        model: group.model.clone(),
                        formed: group.formed,
                        rank: u8::try_from(rank).expect("few members"),
                        members: group
                            .members
                            .iter()
                            .map(|vm| self.engines.vms[vm].address)
                            .collect(),
                    }),
                    state,
                    running: known.map_or(0, |t| t.report.running),
                    queued: 0,
                    lag_ms: 0,
                };
                let read_at = self.clock.now();
                let timed = TimedReport { report, read_at };
                self.engines.reports.insert(vm.clone(), timed);
            }
        }
    }

    /// Changes the report of one VM and publishes it.
    pub(crate) fn change_report(&mut self, number: u16, change: impl FnOnce(&mut EngineReport)) {
        let timed = self
            .engines
            .reports
            .get_mut(&vm(number, "a").id)
            .expect("reported");
        change(&mut timed.report);
        self.publish();
    }

    pub(crate) fn publish(&mut self) {
        self.cx.publish_config(self.config.clone());
        let domains = BTreeMap::from([(domain(), self.placement.clone())]);
        self.cx.publish_placement(PlacementView { domains });
        self.cx.publish_engines(self.engines.clone());
        self.cx.publish_members(self.members.clone());
        self.admission.tick(&self.cx);
    }

    /// Advances the clock; the engine reports stay current.
    pub(crate) fn wait(&mut self, time: Duration) {
        self.clock.advance(time);
        for timed in self.engines.reports.values_mut() {
            timed.read_at = self.clock.now();
        }
        self.publish();
    }

    pub(crate) fn acquire(&mut self, slot: &Slot, team: &str) -> Result<(), Refusal> {
        self.admission.acquire(slot, &id::<TeamId>(team), &self.cx)
    }

    /// Acquires permits until one is refused; returns their number.
    pub(crate) fn fill(&mut self, slot: &Slot) -> u32 {
        let mut count = 0;
        while self.acquire(slot, "depot").is_ok() {
            count += 1;
        }
        count
    }

    pub(crate) fn release(&mut self, slot: &Slot, team: &str, complete: bool, first_ms: u64) {
        let finished = RequestOutcome {
            complete,
            started: self.now(),
            first_byte: complete.then(|| Duration::from_millis(first_ms)),
        };
        self.admission
            .release(slot, &id::<TeamId>(team), &finished, &self.cx);
    }

    /// Completes requests until the slot is at its full limit.
    pub(crate) fn warm_up(&mut self, slot: &Slot) {
        for _ in 0..200 {
            self.acquire(slot, "depot").expect("one place is free");
            self.release(slot, "depot", true, 20);
        }
    }

    /// Restarts the node: admission and router lose their state.
    pub(crate) fn restart(&mut self) {
        self.admission = SlotAdmission::new(AdmissionOptions::default());
        self.router = SlotRouter::new(RoutingOptions::default());
        self.publish();
    }

    pub(crate) fn set_load(&mut self, slot: &Slot, node: &str, in_flight: u32, limit: u32) {
        let load = DispatcherLoad {
            node: id(node),
            load: LoadSummary {
                slot: slot.clone(),
                in_flight,
                limit,
            },
            received_at: self.now(),
        };
        self.members.loads.insert(slot.clone(), load);
        self.publish();
    }

    pub(crate) fn route(&mut self, head: &CallHead) -> Result<Route, Refusal> {
        self.route_after(head, &BTreeSet::new(), false)
    }

    pub(crate) fn route_after(
        &mut self,
        head: &CallHead,
        tried: &BTreeSet<Slot>,
        own_domain_only: bool,
    ) -> Result<Route, Refusal> {
        let query = RouteQuery {
            head,
            forwarded_slot: None,
            tried,
            tried_domains: &BTreeSet::new(),
            own_domain_only,
        };
        self.router.route(&query, &self.cx)
    }

    /// Makes the peer the dispatcher of all groups and servers.
    pub(crate) fn move_to_peer(&mut self) {
        self.placement.fencing_token = self.placement.fencing_token.next();
        for group in self.placement.groups.values_mut() {
            group.dispatcher = id(PEER);
        }
        for node in self.placement.services.values_mut() {
            *node = id(PEER);
        }
        self.publish();
    }

    /// Makes this node the dispatcher of all groups and servers.
    pub(crate) fn move_here(&mut self) {
        self.placement.fencing_token = self.placement.fencing_token.next();
        for group in self.placement.groups.values_mut() {
            group.dispatcher = id(ME);
        }
        for node in self.placement.services.values_mut() {
            *node = id(ME);
        }
        self.publish();
    }
}
