//! The permits of one slot and their holders.

use std::time::{Duration, Instant};

use super::AdmissionOptions;
use super::inherited_load::InheritedLoad;
use super::slot_limit::SlotLimit;
use super::slot_status::{SlotIncarnation, SlotStatus};
use super::team_share::TeamShare;

/// Longest time for which a slot is held, so that a damaged value does not exclude it for good.
const MAX_HOLD: Duration = Duration::from_mins(5);

/// One slot that this node dispatches to, or still has requests on.
#[derive(Debug, Clone)]
pub(super) struct SlotPermits {
    pub(super) limit: SlotLimit,
    pub(super) in_flight: u32,
    pub(super) inherited: InheritedLoad,
    pub(super) teams: TeamShare,
    pub(super) incarnation: SlotIncarnation,
    /// Whether the placement makes this node the dispatcher of the slot.
    pub(super) present: bool,
    /// Whether the slot was absent since it was last updated; it returns at the cold limit.
    pub(super) was_absent: bool,
    /// Time of the count in the last report applied.
    reported_at: Option<Instant>,
    /// Answers to requests dispatched before this time do not ramp the limit.
    pub(super) cold_since: Instant,
    /// Until when the upstream asked this node for no requests.
    held_until: Option<Instant>,
}

impl SlotPermits {
    pub(super) fn new(status: &SlotStatus, inherited: InheritedLoad, now: Instant) -> Self {
        Self {
            limit: SlotLimit::cold(status.bounds),
            in_flight: 0,
            inherited,
            teams: TeamShare::default(),
            incarnation: status.incarnation.clone(),
            present: true,
            was_absent: false,
            reported_at: None,
            cold_since: now,
            held_until: None,
        }
    }

    /// Gives no permits for a time.
    pub(super) fn hold(&mut self, wait: Duration, now: Instant) {
        let until = now + wait.min(MAX_HOLD);
        self.held_until = self.held_until.max(Some(until));
    }

    /// Returns for how long no permits are given.
    pub(super) fn held_for(&self, now: Instant) -> Option<Duration> {
        let left = self.held_until?.saturating_duration_since(now);
        (!left.is_zero()).then_some(left)
    }

    /// Marks the slot as removed or dispatched by another node; requests in flight here continue.
    pub(super) fn mark_absent(&mut self) {
        self.was_absent = true;
    }

    /// Restarts at the cold limit; requests still in flight here keep their permits.
    pub(super) fn restart_cold(
        &mut self,
        status: &SlotStatus,
        inherited: InheritedLoad,
        now: Instant,
    ) {
        self.was_absent = false;
        self.inherited = inherited;
        self.incarnation = status.incarnation.clone();
        self.limit.reset_to_cold(status.bounds);
        self.cold_since = now;
    }

    /// Returns the permits in use, including inherited load.
    pub(super) fn in_use(&self) -> u32 {
        self.in_flight.saturating_add(self.inherited.permits())
    }

    /// Resets the limit to the cold limit; answers to earlier requests don't ramp it.
    pub(super) fn reset_to_cold(&mut self, status: &SlotStatus, now: Instant) {
        self.limit.reset_to_cold(status.bounds);
        self.cold_since = now;
    }

    /// Applies the current status of the slot.
    pub(super) fn update(&mut self, status: &SlotStatus, options: &AdmissionOptions, now: Instant) {
        let has_restarted = status.incarnation.has_restarted_since(&self.incarnation);
        if has_restarted {
            self.held_until = None;
        }
        if has_restarted || status.reports_cold {
            self.reset_to_cold(status, now);
        }
        let all_known = status
            .incarnation
            .engine_incarnations
            .iter()
            .all(Option::is_some);
        if all_known || status.incarnation.formed != self.incarnation.formed {
            self.incarnation = status.incarnation.clone();
        }
        if let Some((total, at)) = status.reported
            && self.reported_at.is_none_or(|last| at > last)
        {
            self.reported_at = Some(at);
            let own = self.in_flight;
            self.inherited
                .apply_report(total, at, own, options.handover_delay);
        }
        let hold = if status.reports_load {
            options.takeover_hold
        } else {
            options.service_takeover_hold
        };
        self.inherited.expire(hold, now);
        self.teams.expire(options, now);
    }

    pub(super) fn acquire(&mut self) {
        self.in_flight += 1;
        self.inherited.record_own(self.in_flight);
    }

    pub(super) fn release(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
        self.inherited.record_own(self.in_flight);
    }
}
