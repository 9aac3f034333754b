//! Work of the node that holds the controller lease.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use shallottide_types::id::{DomainId, FencingToken, NodeId, StoreIndex, UpstreamId};
use shallottide_types::placement::Placement;
use shallottide_types::platform::PlatformError;

use super::controller_lease::ControllerLease;
use super::member_index::MemberIndex;
use super::order_tracker::{OrderInput, OrderTracker};
use super::placement_store::PlacementStore;
use super::report_tracker::ReportTracker;
use super::slow_members::SlowMembers;
use super::vm_directory::VmDirectory;
use super::{GroupOptions, PlacementPlanner, PlanInput};
use crate::message::{EngineOrder, EngineOrderResult, PlatformAnswer, PlatformOp};
use crate::view::ConfigView;

/// Interval at which the stored placement is read again when no other condition requires it.
const REREAD_INTERVAL: Duration = Duration::from_secs(15);

/// Consecutive VM list reads that may fail before planning stops.
const MAX_MISSED_VM_LISTS: u32 = 5;

/// Plans and writes the placement and sends orders to engines while this node holds the lease.
pub(super) struct Controller {
    options: GroupOptions,
    domain: DomainId,
    lease: ControllerLease,
    store: PlacementStore,
    orders: OrderTracker,
    slow_members: SlowMembers,
    /// Highest fencing token that an engine is known to have seen.
    min_fencing_token: FencingToken,
    /// Fencing token of the local placement at the last repeated read of the stored placement.
    reread_for: FencingToken,
    next_plan: Option<Instant>,
    next_read: Option<Instant>,
}

/// Inputs of one controller step.
pub(super) struct ControlInput<'a> {
    pub(super) nodes: &'a [NodeId],
    pub(super) config: &'a ConfigView,
    pub(super) directory: &'a VmDirectory,
    pub(super) reports: &'a ReportTracker,
    /// The placement with the highest fencing token known to this node.
    pub(super) local_placement: Option<&'a Placement>,
    pub(super) now: Instant,
}

impl Controller {
    pub(super) fn new(domain: &DomainId, me: &NodeId, options: &GroupOptions) -> Self {
        Self {
            options: options.clone(),
            domain: domain.clone(),
            lease: ControllerLease::new(domain, me, options),
            store: PlacementStore::new(domain.clone()),
            orders: OrderTracker::new(options),
            slow_members: SlowMembers::new(options),
            min_fencing_token: FencingToken(0),
            reread_for: FencingToken(0),
            next_plan: None,
            next_read: None,
        }
    }

    pub(super) fn lease(&mut self) -> &mut ControllerLease {
        &mut self.lease
    }

    pub(super) fn holds_lease(&self, now: Instant) -> bool {
        self.lease.held_until(now).is_some()
    }

    /// Handles the answer to a read or swap.
    ///
    /// Returns the placement if the platform confirmed that it is stored.
    pub(super) fn handle_store_answer(
        &mut self,
        result: Result<PlatformAnswer, PlatformError>,
    ) -> Option<Placement> {
        self.store.handle_answer(result)
    }

    /// Handles the result of an order.
    ///
    /// An engine that has seen a higher fencing token proves that the known placement is stale.
    pub(super) fn handle_order_result(&mut self, ordered: &EngineOrderResult) {
        if let Some(seen) = self.orders.record_result(ordered) {
            self.store.invalidate();
            self.min_fencing_token = self.min_fencing_token.max(seen);
        }
    }

    /// Runs one step; returns the platform call and the orders to send.
    pub(super) fn step(
        &mut self,
        input: &ControlInput<'_>,
    ) -> (Option<PlatformOp>, Vec<EngineOrder>) {
        if !self.holds_lease(input.now) {
            self.store.invalidate();
            return (None, Vec::new());
        }
        self.reread_if_stale(input);
        if self.next_read.is_none_or(|at| input.now >= at)
            && let Some(op) = self.store.read_op()
        {
            self.next_read = Some(input.now + self.options.plan_interval);
            return (Some(op), Vec::new());
        }
        let due = self.next_plan.is_none_or(|at| input.now >= at);
        if !due || self.store.known().is_none() {
            return (None, Vec::new());
        }
        self.next_plan = Some(input.now + self.options.plan_interval);
        match self
            .next_placement(input)
            .and_then(|next| self.store.swap_op(next))
        {
            Some(op) => (Some(op), Vec::new()),
            None => (None, self.due_orders(input)),
        }
    }

    /// Reads the stored placement again, once for each newer local placement and every
    /// [`REREAD_INTERVAL`].
    fn reread_if_stale(&mut self, input: &ControlInput<'_>) {
        let local_token = input
            .local_placement
            .map_or(FencingToken(0), |placement| placement.fencing_token);
        let known = self.store.known().map(|placement| placement.fencing_token);
        let outdated =
            known.is_some_and(|token| token < local_token) && self.reread_for < local_token;
        let read_due = self
            .next_read
            .is_some_and(|at| input.now >= at + REREAD_INTERVAL);
        if outdated || read_due {
            self.reread_for = local_token;
            self.store.invalidate();
        }
    }

    /// Returns the placement to write next.
    ///
    /// After the platform is restored from a backup, nodes and engines may know higher fencing
    /// tokens than the platform holds. The latest known placement is then written again with a
    /// token above all of them. If the read was stale, the swap fails.
    fn next_placement(&mut self, input: &ControlInput<'_>) -> Option<Placement> {
        let known = self.store.known()?;
        let latest = input
            .local_placement
            .filter(|latest| latest.fencing_token > known.fencing_token);
        let latest = latest.unwrap_or(known);
        let highest = latest.fencing_token.max(self.min_fencing_token);
        if known.fencing_token >= highest {
            return self.plan(input);
        }
        Some(Placement {
            fencing_token: highest.next(),
            ..latest.clone()
        })
    }

    /// Plans the next placement, unless records or VMs are unknown: such a plan would break up
    /// every group.
    fn plan(&mut self, input: &ControlInput<'_>) -> Option<Placement> {
        let read_at = input.directory.read_at()?;
        let age = input.now.saturating_duration_since(read_at);
        let vms_known = age < self.options.vm_list_interval * MAX_MISSED_VM_LISTS;
        if input.config.index == StoreIndex(0) || !vms_known {
            return None;
        }
        let records = input.config.upstreams.values();
        let own = records.filter(|record| record.failure_domain == self.domain);
        let upstreams: BTreeSet<UpstreamId> = own.map(|record| record.id.clone()).collect();
        let mut lost = self.slow_members.update(input.reports, input.now);
        lost.extend(input.reports.lost(input.now));
        let mut answering = input.reports.answering(input.now);
        answering.retain(|vm| !lost.contains(vm));
        let previous = self.store.known()?;
        let complete = input.reports.complete_groups(previous);
        PlacementPlanner::plan(&PlanInput {
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

    fn due_orders(&mut self, input: &ControlInput<'_>) -> Vec<EngineOrder> {
        let held_until = self.lease.held_until(input.now);
        let held = self.lease.held_since().zip(held_until);
        let (Some((held_since, held_until)), Some(placement)) = (held, self.store.known()) else {
            return Vec::new();
        };
        self.orders.take_due(&OrderInput {
            placement,
            members: MemberIndex::new(Some(placement)),
            models: &input.config.models,
            vms: input.directory.vms(),
            reports: input.reports,
            held_since,
            held_until,
            now: input.now,
        })
    }
}
