//! Decides which orders the controller sends to which engines, and when.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use shallottide_types::engine::{Assignment, EngineReport, Order, OrderAction};
use shallottide_types::id::{FencingToken, GroupId, ModelId, VmId};
use shallottide_types::placement::{Group, Placement};
use shallottide_types::platform::Vm;
use shallottide_types::record::ModelRecord;

use super::GroupOptions;
use super::member_index::{Member, MemberIndex};
use super::report_tracker::ReportTracker;
use crate::message::{EngineOrder, EngineOrderResult, OrderError};

mod load_queue;

use load_queue::LoadQueue;

/// Shortest time between two orders to one engine.
const MIN_ORDER_INTERVAL: Duration = Duration::from_secs(3);

/// Inputs for deciding which orders are due.
pub(super) struct OrderInput<'a> {
    pub(super) placement: &'a Placement,
    pub(super) members: MemberIndex<'a>,
    pub(super) models: &'a BTreeMap<ModelId, ModelRecord>,
    pub(super) vms: &'a BTreeMap<VmId, Vm>,
    pub(super) reports: &'a ReportTracker,
    /// Time since which this node has held the controller lease.
    pub(super) held_since: Instant,
    /// Time until which this node may send orders.
    pub(super) held_until: Instant,
    pub(super) now: Instant,
}

impl OrderInput<'_> {
    /// Returns the assignment that the placement gives a VM; `None` if the VM is in no group or
    /// the address of a member is unknown.
    fn target_assignment(&self, vm: &VmId) -> Option<Assignment> {
        let Member { id, group, rank } = self.members.get(vm)?;
        let addresses = group.members.iter().map(|member| self.vms.get(member));
        let members = addresses.map(|vm| vm.map(|vm| vm.address));
        Some(Assignment {
            group: id.clone(),
            model: group.model.clone(),
            formed: group.formed,
            rank: u8::try_from(rank).ok()?,
            members: members.collect::<Option<_>>()?,
        })
    }

    /// Returns whether a member's engine holds its assignment and is ready.
    fn is_ready(&self, vm: &VmId) -> bool {
        let report = self.reports.report(vm);
        report.is_some_and(|report| report.state.is_ready() && self.holds(vm, report))
    }

    /// Returns whether an engine holds exactly what the placement assigns to its VM.
    fn holds(&self, vm: &VmId, report: &EngineReport) -> bool {
        match (&report.assignment, self.members.get(vm)) {
            (None, None) => true,
            (Some(held), Some(member)) => {
                held.formed == member.group.formed
                    && Some(held) == self.target_assignment(vm).as_ref()
            }
            _ => false,
        }
    }

    fn is_complete(&self, group: &Group) -> bool {
        group.members.iter().all(|vm| self.is_ready(vm))
    }
}

/// Tracks the orders sent to engines and their results.
#[derive(Debug)]
pub(super) struct OrderTracker {
    max_order_delay: Duration,
    drain_timeout: Duration,
    sent: BTreeMap<VmId, Sent>,
    /// Time since which the order for an engine has waited for running requests to finish.
    draining_since: BTreeMap<VmId, Instant>,
    load_queue: LoadQueue,
}

#[derive(Debug)]
struct Sent {
    at: Instant,
    /// Whether the engine accepted or refused the order; an unanswered order may still arrive.
    answered: bool,
}

impl OrderTracker {
    pub(super) fn new(options: &GroupOptions) -> Self {
        Self {
            max_order_delay: options.max_order_delay,
            drain_timeout: options.drain_timeout,
            sent: BTreeMap::new(),
            draining_since: BTreeMap::new(),
            load_queue: LoadQueue::new(options),
        }
    }

    /// Records the result of an order.
    ///
    /// Returns the higher fencing token that the engine has seen, if it refused the order as stale.
    pub(super) fn record_result(&mut self, ordered: &EngineOrderResult) -> Option<FencingToken> {
        let unanswered = matches!(ordered.result, Err(OrderError::NoAnswer(_)));
        if let Some(sent) = self.sent.get_mut(&ordered.vm) {
            sent.answered = !unanswered;
        }
        match ordered.result {
            Err(OrderError::Stale { seen }) => Some(seen),
            _ => None,
        }
    }

    /// Returns the orders to send now, for engines whose assignment differs from the placement,
    /// and records them as sent.
    pub(super) fn take_due(&mut self, input: &OrderInput<'_>) -> Vec<EngineOrder> {
        let lost = input.reports.lost(input.now);
        let allowed = self.load_queue.allow(input, &lost);
        let mut orders = Vec::new();
        for (id, vm) in input.vms {
            if let Some(action) = self.next_action(input, vm, &allowed, &lost) {
                let answered = false;
                let at = input.now;
                self.sent.insert(id.clone(), Sent { at, answered });
                orders.push(EngineOrder {
                    vm: id.clone(),
                    address: vm.address,
                    order: Order {
                        fencing_token: input.placement.fencing_token,
                        action,
                    },
                    valid_until: input.held_until,
                });
            }
        }
        orders
    }

    fn next_action(
        &mut self,
        input: &OrderInput<'_>,
        vm: &Vm,
        allowed: &BTreeSet<GroupId>,
        lost: &BTreeSet<VmId>,
    ) -> Option<OrderAction> {
        let timed = input.reports.reports().get(&vm.id)?;
        if input.holds(&vm.id, &timed.report) {
            self.draining_since.remove(&vm.id);
            return None;
        }
        let target_assignment = input.target_assignment(&vm.id);
        if target_assignment.is_none() && input.members.get(&vm.id).is_some() {
            // A member's address is unknown: leave the engine's assignment unchanged.
            return None;
        }
        let may_load = target_assignment
            .as_ref()
            .is_none_or(|a| allowed.contains(&a.group));
        if !may_load || !self.may_send(input, vm, timed.read_at) {
            return None;
        }
        if self.must_drain(input, &timed.report, lost) {
            return None;
        }
        self.draining_since.remove(&vm.id);
        Some(target_assignment.map_or(OrderAction::Release, OrderAction::Join))
    }

    /// Returns whether another order may be sent to an engine now.
    fn may_send(&self, input: &OrderInput<'_>, vm: &Vm, read_at: Instant) -> bool {
        let since = |at: Instant| input.now.saturating_duration_since(at);
        // An engine that ignores fencing tokens would obey a delayed order of the previous
        // controller even after an order of this one.
        if !vm.fences_orders && since(input.held_since) < self.max_order_delay {
            return false;
        }
        let Some(sent) = self.sent.get(&vm.id) else {
            return true;
        };
        if !vm.fences_orders && !sent.answered && since(sent.at) < self.max_order_delay {
            return false;
        }
        read_at > sent.at && since(sent.at) >= MIN_ORDER_INTERVAL
    }

    /// Returns whether an order must wait because it would break up a complete group that still
    /// has requests.
    fn must_drain(
        &mut self,
        input: &OrderInput<'_>,
        report: &EngineReport,
        lost: &BTreeSet<VmId>,
    ) -> bool {
        let Some(held) = report
            .assignment
            .as_ref()
            .filter(|_| report.state.is_ready())
        else {
            return false;
        };
        let since = *self
            .draining_since
            .entry(report.vm.clone())
            .or_insert(input.now);
        let waited = input.now.saturating_duration_since(since);
        waited < self.drain_timeout && group_has_requests(input, held, since, lost)
    }
}

/// Returns whether all members hold the assignment's group and its rank-0 engine has requests.
fn group_has_requests(
    input: &OrderInput<'_>,
    held: &Assignment,
    since: Instant,
    lost: &BTreeSet<VmId>,
) -> bool {
    let vm_by_address = |address| input.vms.values().find(|vm| vm.address == address);
    let mut members = held.members.iter().map(|&address| vm_by_address(address));
    let complete = members.all(|vm| {
        let vm = vm.filter(|vm| !lost.contains(&vm.id));
        let report = vm.and_then(|vm| input.reports.report(&vm.id));
        let other = report.and_then(|report| report.assignment.as_ref());
        other.is_some_and(|other| other.formed == held.formed && other.group == held.group)
    });
    if !complete {
        return false;
    }
    let first = held
        .members
        .first()
        .and_then(|&address| vm_by_address(address));
    let timed = first.and_then(|vm| input.reports.reports().get(&vm.id));
    timed.is_some_and(|timed| {
        let lag = Duration::from_millis(timed.report.lag_ms);
        let known = timed.read_at >= since + DISPATCH_STOP_DELAY + lag;
        !known || timed.report.running + timed.report.queued > 0
    })
}

/// Time after which no dispatcher sends requests to a group that left the placement.
const DISPATCH_STOP_DELAY: Duration = Duration::from_secs(3);

/// Returns the key under which load times are tracked: a group and the write that formed it.
fn load_key(id: &GroupId, group: &Group) -> (GroupId, FencingToken) {
    (id.clone(), group.formed)
}
