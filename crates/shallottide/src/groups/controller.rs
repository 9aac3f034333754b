//! What the holder of the controller lease does.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use shallottide_types::id::{DomainId, FencingToken, NodeId, StoreIndex, UpstreamId};
use shallottide_types::placement::Placement;
use shallottide_types::platform::PlatformError;

use super::controller_lease::ControllerLease;
use super::member_index::MemberIndex;
use super::order_book::{OrderBook, OrderInput};
use super::placement_store::PlacementStore;
use super::report_book::ReportBook;
use super::slow_members::SlowMembers;
use super::vm_directory::VmDirectory;
use super::{GroupOptions, PlanInput, Planner};
use crate::message::{EngineOrder, EngineOrderResult, PlatformAnswer, PlatformOp};
use crate::view::ConfigView;

/// Time between two reads of the stored placement when nothing else calls for one.
const READ_EVERY: Duration = Duration::from_secs(15);

/// Reads of the VM list that may fail in a row before planning stops.
const MISSED_VM_LISTS: u32 = 5;

/// Plans the placement, writes it and orders engines about, while it holds the lease.
pub(super) struct Controller {
    options: GroupOptions,
    domain: DomainId,
    lease: ControllerLease,
    store: PlacementStore,
    orders: OrderBook,
    slow: SlowMembers,
    /// Highest fence that an engine is known to have seen.
    fence_floor: FencingToken,
    /// The fence in force for which the stored placement was last read again.
    read_for: FencingToken,
    next_plan: Option<Instant>,
    next_read: Option<Instant>,
}

/// What the controller decides from.
pub(super) struct ControlInput<'a> {
    pub(super) nodes: &'a [NodeId],
    pub(super) config: &'a ConfigView,
    pub(super) directory: &'a VmDirectory,
    pub(super) reports: &'a ReportBook,
    /// The placement in force at this node.
    pub(super) in_force: Option<&'a Placement>,
    pub(super) now: Instant,
}

impl Controller {
    pub(super) fn new(domain: &DomainId, me: &NodeId, options: &GroupOptions) -> Self {
        Self {
            options: options.clone(),
            domain: domain.clone(),
            lease: ControllerLease::new(domain, me, options),
            store: PlacementStore::new(domain.clone()),
            orders: OrderBook::new(options),
            slow: SlowMembers::new(options),
            fence_floor: FencingToken(0),
            read_for: FencingToken(0),
            next_plan: None,
            next_read: None,
        }
    }

    pub(super) fn lease(&mut self) -> &mut ControllerLease {
        &mut self.lease
    }

    pub(super) fn is_held(&self, now: Instant) -> bool {
        self.lease.held_until(now).is_some()
    }

    /// Takes the answer to a read or swap; returns a placement that is certainly stored.
    pub(super) fn store_answered(
        &mut self,
        result: Result<PlatformAnswer, PlatformError>,
    ) -> Option<Placement> {
        self.store.answered(result)
    }

    /// Takes the result of an order. An engine that has seen a later fence proves that the
    /// placement here is old.
    pub(super) fn ordered(&mut self, ordered: &EngineOrderResult) {
        if let Some(seen) = self.orders.ordered(ordered) {
            self.store.forget();
            self.fence_floor = self.fence_floor.max(seen);
        }
    }

    /// Does the next step; returns a platform call and orders to send.
    pub(super) fn step(
        &mut self,
        input: &ControlInput<'_>,
    ) -> (Option<PlatformOp>, Vec<EngineOrder>) {
        if !self.is_held(input.now) {
            self.store.forget();
            return (None, Vec::new());
        }
        self.read_again_if_late(input);
        if self.next_read.is_none_or(|at| input.now >= at)
            && let Some(op) = self.store.read_op()
        {
            self.next_read = Some(input.now + self.options.plan_every);
            return (Some(op), Vec::new());
        }
        let due = self.next_plan.is_none_or(|at| input.now >= at);
        if !due || self.store.known().is_none() {
            return (None, Vec::new());
        }
        self.next_plan = Some(input.now + self.options.plan_every);
        match self
            .next_placement(input)
            .and_then(|next| self.store.swap_op(next))
        {
            Some(op) => (Some(op), Vec::new()),
            None => (None, self.order(input)),
        }
    }

    /// Reads the stored placement anew, once for each later one that is in force here, and
    /// from time to time.
    fn read_again_if_late(&mut self, input: &ControlInput<'_>) {
        let in_force = input
            .in_force
            .map_or(FencingToken(0), |placement| placement.fencing_token);
        let known = self.store.known().map(|placement| placement.fencing_token);
        let late = known.is_some_and(|fence| fence < in_force) && self.read_for < in_force;
        let old = self
            .next_read
            .is_some_and(|at| input.now >= at + READ_EVERY);
        if late || old {
            self.read_for = in_force;
            self.store.forget();
        }
    }

    /// Returns the placement to write next. Nodes and engines may know later fences than the
    /// platform holds, as after its restore from a backup; then the latest placement is
    /// written again with a fence above them all. If the read was stale, the swap fails.
    fn next_placement(&mut self, input: &ControlInput<'_>) -> Option<Placement> {
        let known = self.store.known()?;
        let latest = input
            .in_force
            .filter(|latest| latest.fencing_token > known.fencing_token);
        let latest = latest.unwrap_or(known);
        let highest = latest.fencing_token.max(self.fence_floor);
        if known.fencing_token >= highest {
            return self.plan(input);
        }
        Some(Placement {
            fencing_token: highest.next(),
            ..latest.clone()
        })
    }

    /// Plans, unless records or VMs are unknown: such a plan would break up every group.
    fn plan(&mut self, input: &ControlInput<'_>) -> Option<Placement> {
        let read_at = input.directory.read_at()?;
        let age = input.now.saturating_duration_since(read_at);
        let vms_known = age < self.options.vm_list_every * MISSED_VM_LISTS;
        if input.config.index == StoreIndex(0) || !vms_known {
            return None;
        }
        let records = input.config.upstreams.values();
        let own = records.filter(|record| record.failure_domain == self.domain);
        let upstreams: BTreeSet<UpstreamId> = own.map(|record| record.id.clone()).collect();
        let mut lost = self.slow.update(input.reports, input.now);
        lost.extend(input.reports.lost(input.now));
        let mut answering = input.reports.answering(input.now);
        answering.retain(|vm| !lost.contains(vm));
        let previous = self.store.known()?;
        let complete = input.reports.complete_groups(previous);
        Planner::plan(&PlanInput {
            previous,
            models: &input.config.models,
            upstreams: &upstreams,
            vms: input.directory.vms(),
            answering: &answering,
            complete: &complete,
            lost: &lost,
            nodes: input.nodes,
            max_imbalance: self.options.max_imbalance,
        })
    }

    fn order(&mut self, input: &ControlInput<'_>) -> Vec<EngineOrder> {
        let held_until = self.lease.held_until(input.now);
        let held = self.lease.held_since().zip(held_until);
        let (Some((held_since, held_until)), Some(placement)) = (held, self.store.known()) else {
            return Vec::new();
        };
        self.orders.due(&OrderInput {
            placement,
            members: MemberIndex::of(Some(placement)),
            models: &input.config.models,
            vms: input.directory.vms(),
            reports: input.reports,
            held_since,
            held_until,
            now: input.now,
        })
    }
}
