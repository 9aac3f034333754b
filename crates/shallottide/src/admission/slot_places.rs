//! The places of one slot and who holds them.

use std::time::Instant;

use super::AdmissionOptions;
use super::evidence::{Evidence, Start};
use super::inherited_load::InheritedLoad;
use super::slot_limit::SlotLimit;
use super::team_share::TeamShare;

/// One slot that this node dispatches to, or still has requests on.
#[derive(Debug, Clone)]
pub(super) struct SlotPlaces {
    pub(super) limit: SlotLimit,
    pub(super) in_flight: u32,
    pub(super) inherited: InheritedLoad,
    pub(super) teams: TeamShare,
    pub(super) start: Start,
    /// False while the slot is not this node's to dispatch to.
    pub(super) present: bool,
    /// Whether it was absent since it was last observed; on its return it is cold.
    pub(super) was_absent: bool,
    /// The time of the last report that was taken in.
    reported_at: Option<Instant>,
    /// Answers to requests from before then are no evidence.
    pub(super) cold_since: Instant,
}

impl SlotPlaces {
    pub(super) fn new(evidence: &Evidence, inherited: InheritedLoad, now: Instant) -> Self {
        Self {
            limit: SlotLimit::cold(evidence.bounds),
            in_flight: 0,
            inherited,
            teams: TeamShare::default(),
            start: evidence.start.clone(),
            present: true,
            was_absent: false,
            reported_at: None,
            cold_since: now,
        }
    }

    /// Notes that the slot is another node's or gone; requests here run to their end.
    pub(super) fn leave(&mut self) {
        self.was_absent = true;
    }

    /// Starts again from the cold limit; requests still in flight here keep counting.
    pub(super) fn return_cold(
        &mut self,
        evidence: &Evidence,
        inherited: InheritedLoad,
        now: Instant,
    ) {
        self.was_absent = false;
        self.inherited = inherited;
        self.start = evidence.start.clone();
        self.limit.fall_back(evidence.bounds);
        self.cold_since = now;
    }

    /// Returns places taken, inherited ones included.
    pub(super) fn taken(&self) -> u32 {
        self.in_flight.saturating_add(self.inherited.places())
    }

    /// Goes back to the cold limit; answers to earlier requests don't ramp it.
    pub(super) fn fall_back(&mut self, evidence: &Evidence, now: Instant) {
        self.limit.fall_back(evidence.bounds);
        self.cold_since = now;
    }

    /// Takes in what reports say now.
    pub(super) fn observe(
        &mut self,
        evidence: &Evidence,
        options: &AdmissionOptions,
        now: Instant,
    ) {
        if evidence.start.differs(&self.start) || evidence.reports_cold {
            self.fall_back(evidence, now);
        }
        let learned = evidence.start.incarnations.iter().all(Option::is_some);
        if learned || evidence.start.formed != self.start.formed {
            self.start = evidence.start.clone();
        }
        if let Some((total, at)) = evidence.reported
            && self.reported_at.is_none_or(|last| at > last)
        {
            self.reported_at = Some(at);
            let own = self.in_flight;
            self.inherited.reported(total, at, own, options.handover);
        }
        let hold = if evidence.reports_load {
            options.takeover_hold
        } else {
            options.service_takeover_hold
        };
        self.inherited.tick(hold, now);
        self.teams.expire(options, now);
    }

    pub(super) fn take(&mut self) {
        self.in_flight += 1;
        self.inherited.note_own(self.in_flight);
    }

    pub(super) fn give_back(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
        self.inherited.note_own(self.in_flight);
    }
}
