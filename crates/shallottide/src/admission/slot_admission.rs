//! Exact limits of the slots that this node dispatches to.

use std::collections::BTreeMap;
use std::time::Duration;

use shallottide_types::id::{NodeId, TeamId};
use shallottide_types::peer::{LoadSummary, Slot};
use shallottide_types::refusal::{Ran, Refusal, RefusalKind};

use super::evidence::{self, Evidence};
use super::inherited_load::InheritedLoad;
use super::slot_places::SlotPlaces;
use super::{Admission, AdmissionOptions, RequestOutcome};
use crate::kernel::Context;

mod team_limits;

use team_limits::TeamLimits;

/// When a caller may try again after a refusal because a slot is full.
const RETRY_FULL: Duration = Duration::from_millis(500);

/// Counts every request of the slots that this node dispatches to.
///
/// A slot has one dispatcher at a time, so its count is exact. A slot whose dispatcher was
/// another node before is assumed cold and still loaded.
#[derive(Debug)]
pub struct SlotAdmission {
    options: AdmissionOptions,
    slots: BTreeMap<Slot, SlotPlaces>,
    /// The dispatchers in the placement seen last; `None` before the first.
    dispatchers: Option<BTreeMap<Slot, NodeId>>,
    teams: TeamLimits,
}

impl SlotAdmission {
    /// Creates an admission without slots.
    #[must_use]
    pub fn new(options: AdmissionOptions) -> Self {
        Self {
            options,
            slots: BTreeMap::new(),
            dispatchers: None,
            teams: TeamLimits::default(),
        }
    }

    /// Takes in placement, records and reports; every decision starts with it.
    fn observe(&mut self, cx: &Context) {
        let now = cx.now();
        let dispatchers = dispatchers(cx);
        for places in self.slots.values_mut() {
            places.present = false;
        }
        let me = cx.me().node;
        for slot in dispatchers.iter().filter(|(_, node)| **node == me) {
            if let Some(evidence) = evidence::read(slot.0, cx) {
                self.observe_slot(slot.0, &evidence, cx);
            }
        }
        self.slots.retain(|_, p| p.present || p.in_flight > 0);
        for places in self.slots.values_mut().filter(|places| !places.present) {
            places.leave();
        }
        if cx.placement().domains.contains_key(&cx.me().domain) {
            self.dispatchers = Some(dispatchers);
        }
        self.teams.tick(now);
    }

    fn observe_slot(&mut self, slot: &Slot, evidence: &Evidence, cx: &Context) {
        let now = cx.now();
        let inherited = if self.may_be_loaded(slot, cx) {
            InheritedLoad::unknown(now)
        } else {
            InheritedLoad::none(now)
        };
        let places = self
            .slots
            .entry(slot.clone())
            .or_insert_with(|| SlotPlaces::new(evidence, inherited.clone(), now));
        if places.was_absent {
            places.return_cold(evidence, inherited, now);
        }
        places.present = true;
        places.observe(evidence, &self.options, now);
        if evidence::check_ready(slot, cx).is_err() {
            // Caches empty while it stands still; on its return it ramps again.
            places.fall_back(evidence, now);
        }
    }

    /// Tells whether another dispatcher, or an earlier start of this one, may have sent work
    /// that still runs.
    fn may_be_loaded(&self, slot: &Slot, cx: &Context) -> bool {
        let me = cx.me();
        // Before the first placement nothing is known: an earlier start of this node may have
        // dispatched.
        let known = self.dispatchers.as_ref();
        known.is_none_or(|known| known.get(slot).is_some_and(|node| *node != me.node))
    }

    fn check_place(&mut self, slot: &Slot, team: &TeamId, cx: &Context) -> Result<(), Refusal> {
        let now = cx.now();
        let Some(evidence) = evidence::read(slot, cx) else {
            return Err(evidence::not_ready(
                "another node dispatches to this upstream: retry",
            ));
        };
        evidence::check_ready(slot, cx)?;
        let config = cx.config();
        let record = config.teams.get(team);
        let priority = record.map_or(0, |record| record.priority);
        let Some(places) = self.slots.get_mut(slot) else {
            return Err(evidence::not_ready("this upstream was just placed: retry"));
        };
        places.teams.wanted(team, priority, now);
        if let Some(record) = record {
            self.teams.check(record, now)?;
        }
        let limit = limit_of(places, &evidence, cx);
        let left = limit.saturating_sub(places.taken());
        if left > 0 && places.teams.may_take(team, left, limit, &self.options, now) {
            return Ok(());
        }
        let message = "the upstream is full: retry later or elsewhere";
        Err(Refusal::new(RefusalKind::Overloaded, Ran::No, message).retry_after(RETRY_FULL))
    }
}

impl Admission for SlotAdmission {
    fn acquire(&mut self, slot: &Slot, team: &TeamId, cx: &Context) -> Result<(), Refusal> {
        self.observe(cx);
        self.check_place(slot, team, cx)?;
        if let Some(places) = self.slots.get_mut(slot) {
            places.take();
            places.teams.took(team);
        }
        self.teams.took(team, cx.now());
        Ok(())
    }

    fn release(&mut self, slot: &Slot, team: &TeamId, finished: &RequestOutcome, cx: &Context) {
        self.teams.gave_back(team);
        let evidence = evidence::read(slot, cx);
        let Some(places) = self.slots.get_mut(slot) else {
            return;
        };
        places.give_back();
        places.teams.gave_back(team);
        if let Some(evidence) = evidence {
            let ramps = !evidence.reports_cold && finished.started >= places.cold_since;
            places
                .limit
                .finished(finished, evidence.bounds, ramps, &self.options);
        }
    }

    fn tick(&mut self, cx: &Context) {
        self.observe(cx);
    }

    fn loads(&self, cx: &Context) -> Vec<LoadSummary> {
        let present = self.slots.iter().filter(|(_, places)| places.present);
        let summary = |(slot, places): (&Slot, &SlotPlaces)| {
            let evidence = evidence::read(slot, cx)?;
            let ready = evidence::check_ready(slot, cx).is_ok();
            let limit = limit_of(places, &evidence, cx);
            Some(LoadSummary {
                slot: slot.clone(),
                in_flight: places.taken().min(limit.max(places.in_flight)),
                limit: if ready { limit } else { 0 },
            })
        };
        present.filter_map(summary).collect()
    }
}

/// Returns the limit in force. A node that most nodes of its failure domain can't hear may
/// have been replaced without knowing: it counts on no more than the cold limit.
fn limit_of(places: &SlotPlaces, evidence: &Evidence, cx: &Context) -> u32 {
    let limit = places.limit.get(evidence.bounds);
    if cx.members().is_isolated(&cx.me(), cx.now()) {
        limit.min(evidence.bounds.cold)
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
