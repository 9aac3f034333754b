//! Which orders the controller sends to which engines, and when.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use shallottide_types::engine::{Assignment, EngineReport, Order, OrderAction};
use shallottide_types::id::{FencingToken, GroupId, ModelId, VmId};
use shallottide_types::placement::{Group, Placement};
use shallottide_types::platform::Vm;
use shallottide_types::record::ModelRecord;

use super::GroupOptions;
use super::member_index::{Member, MemberIndex};
use super::report_book::ReportBook;
use crate::message::{EngineOrder, EngineOrderResult, OrderError};

mod load_queue;

use load_queue::LoadQueue;

/// Shortest time between two orders to one engine.
const RESEND: Duration = Duration::from_secs(3);

/// What orders are decided from.
pub(super) struct OrderInput<'a> {
    pub(super) placement: &'a Placement,
    pub(super) members: MemberIndex<'a>,
    pub(super) models: &'a BTreeMap<ModelId, ModelRecord>,
    pub(super) vms: &'a BTreeMap<VmId, Vm>,
    pub(super) reports: &'a ReportBook,
    /// Since when this node is the controller.
    pub(super) held_since: Instant,
    /// Until when it may send.
    pub(super) held_until: Instant,
    pub(super) now: Instant,
}

impl OrderInput<'_> {
    /// Returns a VM's place in the placement, when the addresses of all members are known.
    fn wanted(&self, vm: &VmId) -> Option<Assignment> {
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

    /// Tells whether a member's engine has the assignment and is ready.
    fn is_ready(&self, vm: &VmId) -> bool {
        let report = self.reports.report(vm);
        report.is_some_and(|report| report.state.is_ready() && self.holds(vm, report))
    }

    /// Tells whether an engine holds its VM's place in the placement.
    fn holds(&self, vm: &VmId, report: &EngineReport) -> bool {
        match (&report.assignment, self.members.get(vm)) {
            (None, None) => true,
            (Some(held), Some(member)) => {
                held.formed == member.group.formed && Some(held) == self.wanted(vm).as_ref()
            }
            _ => false,
        }
    }

    fn is_complete(&self, group: &Group) -> bool {
        group.members.iter().all(|vm| self.is_ready(vm))
    }
}

/// Orders sent and what became of them.
#[derive(Debug)]
pub(super) struct OrderBook {
    order_horizon: Duration,
    drain_limit: Duration,
    sent: BTreeMap<VmId, Sent>,
    /// Since when an engine's order waits for its work to end.
    draining: BTreeMap<VmId, Instant>,
    queue: LoadQueue,
}

#[derive(Debug)]
struct Sent {
    at: Instant,
    /// Whether the engine said yes or no; without an answer the order may still arrive.
    answered: bool,
}

impl OrderBook {
    pub(super) fn new(options: &GroupOptions) -> Self {
        Self {
            order_horizon: options.order_horizon,
            drain_limit: options.drain_limit,
            sent: BTreeMap::new(),
            draining: BTreeMap::new(),
            queue: LoadQueue::new(options),
        }
    }

    /// Takes the result of an order; returns the later fence that the engine has seen.
    pub(super) fn ordered(&mut self, ordered: &EngineOrderResult) -> Option<FencingToken> {
        let unanswered = matches!(ordered.result, Err(OrderError::NoAnswer(_)));
        if let Some(sent) = self.sent.get_mut(&ordered.vm) {
            sent.answered = !unanswered;
        }
        match ordered.result {
            Err(OrderError::Stale { seen }) => Some(seen),
            _ => None,
        }
    }

    /// Returns the orders to send now, for engines that hold something else than placed.
    pub(super) fn due(&mut self, input: &OrderInput<'_>) -> Vec<EngineOrder> {
        let lost = input.reports.lost(input.now);
        let allowed = self.queue.allowed(input, &lost);
        let mut orders = Vec::new();
        for (id, vm) in input.vms {
            if let Some(action) = self.action(input, vm, &allowed, &lost) {
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

    fn action(
        &mut self,
        input: &OrderInput<'_>,
        vm: &Vm,
        allowed: &BTreeSet<GroupId>,
        lost: &BTreeSet<VmId>,
    ) -> Option<OrderAction> {
        let timed = input.reports.reports().get(&vm.id)?;
        if input.holds(&vm.id, &timed.report) {
            self.draining.remove(&vm.id);
            return None;
        }
        let wanted = input.wanted(&vm.id);
        if wanted.is_none() && input.members.get(&vm.id).is_some() {
            // A member's address is unknown; the engine keeps what it has.
            return None;
        }
        let may_load = wanted.as_ref().is_none_or(|a| allowed.contains(&a.group));
        if !may_load || !self.may_send(input, vm, timed.read_at) {
            return None;
        }
        if self.must_drain(input, &timed.report, lost) {
            return None;
        }
        self.draining.remove(&vm.id);
        Some(wanted.map_or(OrderAction::Release, OrderAction::Join))
    }

    /// Tells whether earlier orders leave room for another.
    fn may_send(&self, input: &OrderInput<'_>, vm: &Vm, read_at: Instant) -> bool {
        let since = |at: Instant| input.now.saturating_duration_since(at);
        // An engine that ignores fences would obey the last holder's late order after ours.
        if !vm.fences_orders && since(input.held_since) < self.order_horizon {
            return false;
        }
        let Some(sent) = self.sent.get(&vm.id) else {
            return true;
        };
        if !vm.fences_orders && !sent.answered && since(sent.at) < self.order_horizon {
            return false;
        }
        read_at > sent.at && since(sent.at) >= RESEND
    }

    /// Tells whether an engine still works for a whole group that the order would break up.
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
        let since = *self.draining.entry(report.vm.clone()).or_insert(input.now);
        let waited = input.now.saturating_duration_since(since);
        waited < self.drain_limit && works(input, held, since, lost)
    }
}

/// Tells whether the group of an assignment is whole and has work.
fn works(input: &OrderInput<'_>, held: &Assignment, since: Instant, lost: &BTreeSet<VmId>) -> bool {
    let by_address = |address| input.vms.values().find(|vm| vm.address == address);
    let mut members = held.members.iter().map(|&address| by_address(address));
    let whole = members.all(|vm| {
        let vm = vm.filter(|vm| !lost.contains(&vm.id));
        let report = vm.and_then(|vm| input.reports.report(&vm.id));
        let other = report.and_then(|report| report.assignment.as_ref());
        other.is_some_and(|other| other.formed == held.formed && other.group == held.group)
    });
    if !whole {
        return false;
    }
    let first = held
        .members
        .first()
        .and_then(|&address| by_address(address));
    let timed = first.and_then(|vm| input.reports.reports().get(&vm.id));
    timed.is_some_and(|timed| {
        let lag = Duration::from_millis(timed.report.lag_ms);
        let known = timed.read_at >= since + NO_NEW_WORK + lag;
        !known || timed.report.running + timed.report.queued > 0
    })
}

/// Time after which no dispatcher sends work to a group that left the placement.
const NO_NEW_WORK: Duration = Duration::from_secs(3);

/// Forms the key under which loads are timed: a group and the write that formed it.
fn load_key(id: &GroupId, group: &Group) -> (GroupId, FencingToken) {
    (id.clone(), group.formed)
}
