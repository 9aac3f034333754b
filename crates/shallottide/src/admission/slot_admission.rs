//! Admission with exact request counts for the slots that this node dispatches to.

use std::collections::BTreeMap;
use std::time::Duration;

use shallottide_types::id::{NodeId, TeamId};
use shallottide_types::peer::{LoadSummary, Slot};
use shallottide_types::refusal::{Ran, Refusal, RefusalKind};

use super::inherited_load::InheritedLoad;
use super::slot_permits::SlotPermits;
use super::slot_status::{self, SlotStatus};
use super::{Admission, AdmissionOptions, RequestOutcome};
use crate::kernel::Context;

mod team_limits;

use team_limits::TeamLimits;

/// Suggested retry delay after a refusal because a slot is full.
const RETRY_FULL: Duration = Duration::from_millis(500);

/// Counts every request on the slots that this node dispatches to.
///
/// A slot has one dispatcher at a time, so the count is exact. A slot taken over from another node
/// is assumed to be cold and still loaded.
#[derive(Debug)]
pub struct SlotAdmission {
    options: AdmissionOptions,
    slots: BTreeMap<Slot, SlotPermits>,
    /// The dispatchers in the last placement seen; `None` before the first placement.
    dispatchers: Option<BTreeMap<Slot, NodeId>>,
    teams: TeamLimits,
}

impl SlotAdmission {
    /// Creates the admission control of a node that dispatches to no slot yet.
    #[must_use]
    pub fn new(options: AdmissionOptions) -> Self {
        Self {
            options,
            slots: BTreeMap::new(),
            dispatchers: None,
            teams: TeamLimits::default(),
        }
    }

    /// Applies the current placement, records and reports; called before every decision.
    fn update(&mut self, cx: &Context) {
        let now = cx.now();
        let dispatchers = dispatchers(cx);
        for permits in self.slots.values_mut() {
            permits.present = false;
        }
        let me = cx.me().node;
        for slot in dispatchers.iter().filter(|(_, node)| **node == me) {
            if let Some(status) = slot_status::read(slot.0, cx) {
                self.update_slot(slot.0, &status, cx);
            }
        }
        let is_held = |permits: &SlotPermits| permits.held_for(now).is_some();
        self.slots
            .retain(|_, p| p.present || p.in_flight > 0 || is_held(p));
        for permits in self.slots.values_mut().filter(|permits| !permits.present) {
            permits.mark_absent();
        }
        if cx.placement().domains.contains_key(&cx.me().domain) {
            self.dispatchers = Some(dispatchers);
        }
        self.teams.expire(now);
    }

    fn update_slot(&mut self, slot: &Slot, status: &SlotStatus, cx: &Context) {
        let now = cx.now();
        let inherited = if self.may_be_loaded(slot, cx) {
            InheritedLoad::unknown(now)
        } else {
            InheritedLoad::none(now)
        };
        let permits = self
            .slots
            .entry(slot.clone())
            .or_insert_with(|| SlotPermits::new(status, inherited.clone(), now));
        if permits.was_absent {
            permits.restart_cold(status, inherited, now);
        }
        permits.present = true;
        permits.update(status, &self.options, now);
        if slot_status::check_ready(slot, cx).is_err() {
            // Caches go cold while the slot receives no requests, so its limit must ramp again.
            permits.reset_to_cold(status, now);
        }
    }

    /// Returns whether requests of another dispatcher, or of an earlier incarnation of this node,
    /// may still be running on a slot.
    fn may_be_loaded(&self, slot: &Slot, cx: &Context) -> bool {
        let me = cx.me();
        // Before the first placement nothing is known: an earlier incarnation of this node may
        // have sent requests.
        let known = self.dispatchers.as_ref();
        known.is_none_or(|known| known.get(slot).is_some_and(|node| *node != me.node))
    }

    fn check_permit(&mut self, slot: &Slot, team: &TeamId, cx: &Context) -> Result<(), Refusal> {
        let now = cx.now();
        let Some(status) = slot_status::read(slot, cx) else {
            return Err(slot_status::not_ready(
                "another node dispatches to this upstream: retry",
            ));
        };
        slot_status::check_ready(slot, cx)?;
        let config = cx.config();
        let record = config.teams.get(team);
        let priority = record.map_or(0, |record| record.priority);
        let Some(permits) = self.slots.get_mut(slot) else {
            return Err(slot_status::not_ready(
                "this upstream was just placed: retry",
            ));
        };
        permits.teams.record_request(team, priority, now);
        if let Some(left) = permits.held_for(now) {
            let message = "the upstream asked for no requests: retry later or elsewhere";
            return Err(Refusal::new(RefusalKind::Overloaded, Ran::No, message).retry_after(left));
        }
        if let Some(record) = record {
            self.teams.check(record, now)?;
        }
        let limit = limit_of(permits, &status, cx);
        let free = limit.saturating_sub(permits.in_use());
        if free > 0
            && permits
                .teams
                .may_acquire(team, free, limit, &self.options, now)
        {
            return Ok(());
        }
        let message = "the upstream is full: retry later or elsewhere";
        Err(Refusal::new(RefusalKind::Overloaded, Ran::No, message).retry_after(RETRY_FULL))
    }
}

impl Admission for SlotAdmission {
    fn acquire(&mut self, slot: &Slot, team: &TeamId, cx: &Context) -> Result<(), Refusal> {
        self.update(cx);
        self.check_permit(slot, team, cx)?;
        if let Some(permits) = self.slots.get_mut(slot) {
            permits.acquire();
            permits.teams.record_acquire(team);
        }
        self.teams.record_acquire(team, cx.now());
        Ok(())
    }

    fn release(&mut self, slot: &Slot, team: &TeamId, outcome: &RequestOutcome, cx: &Context) {
        self.teams.record_release(team);
        let status = slot_status::read(slot, cx);
        let Some(permits) = self.slots.get_mut(slot) else {
            return;
        };
        permits.release();
        permits.teams.record_release(team);
        if let Some(status) = status {
            let may_ramp = !status.reports_cold && outcome.started >= permits.cold_since;
            permits
                .limit
                .record_outcome(outcome, status.bounds, may_ramp, &self.options);
        }
    }

    fn hold(&mut self, slot: &Slot, wait: Duration, cx: &Context) {
        let now = cx.now();
        if let Some(permits) = self.slots.get_mut(slot) {
            if permits.held_for(now).is_none() {
                tracing::info!(?slot, ?wait, "upstream asked for no requests for a time");
            }
            permits.hold(wait, now);
        }
    }

    fn tick(&mut self, cx: &Context) {
        self.update(cx);
    }

    fn loads(&self, cx: &Context) -> Vec<LoadSummary> {
        let present = self.slots.iter().filter(|(_, permits)| permits.present);
        let summary = |(slot, permits): (&Slot, &SlotPermits)| {
            let status = slot_status::read(slot, cx)?;
            let is_held = permits.held_for(cx.now()).is_some();
            let ready = slot_status::check_ready(slot, cx).is_ok() && !is_held;
            let limit = limit_of(permits, &status, cx);
            Some(LoadSummary {
                slot: slot.clone(),
                in_flight: permits.in_use().min(limit.max(permits.in_flight)),
                limit: if ready { limit } else { 0 },
            })
        };
        present.filter_map(summary).collect()
    }
}

/// Returns the current limit.
///
/// A node that considers less than half of its failure domain alive may have been replaced as
/// dispatcher without receiving the new placement, so it uses at most the cold limit.
fn limit_of(permits: &SlotPermits, status: &SlotStatus, cx: &Context) -> u32 {
    let limit = permits.limit.get(status.bounds);
    if cx.members().is_isolated(&cx.me(), cx.now()) {
        limit.min(status.bounds.cold)
    } else {
        limit
    }
}

fn dispatchers(cx: &Context) -> BTreeMap<Slot, NodeId> {
    let placement = cx.placement();
    let Some(placement) = placement.domains.get(&cx.me().domain) else {
        return BTreeMap::new();
    };
    let groups = placement.groups.iter();
    let groups = groups.map(|(id, group)| (Slot::Group(id.clone()), group.dispatcher.clone()));
    let services = placement.services.iter();
    let services = services.map(|(id, node)| (Slot::Service(id.clone()), node.clone()));
    groups.chain(services).collect()
}
