//! Fair sharing of one slot's permits between teams.

use std::collections::BTreeMap;
use std::time::Instant;

use shallottide_types::id::TeamId;

use super::AdmissionOptions;

/// Permits of one slot held by each team, and when each team last requested one.
#[derive(Debug, Clone, Default)]
pub(super) struct TeamShare {
    teams: BTreeMap<TeamId, TeamDemand>,
}

#[derive(Debug, Clone)]
struct TeamDemand {
    held: u32,
    requested_at: Instant,
    priority: u8,
}

impl TeamShare {
    /// Records that a team requests a permit.
    pub(super) fn record_request(&mut self, team: &TeamId, priority: u8, now: Instant) {
        let demand = self.teams.entry(team.clone()).or_insert(TeamDemand {
            held: 0,
            requested_at: now,
            priority,
        });
        demand.requested_at = now;
        demand.priority = priority;
    }

    pub(super) fn record_acquire(&mut self, team: &TeamId) {
        if let Some(demand) = self.teams.get_mut(team) {
            demand.held += 1;
        }
    }

    pub(super) fn record_release(&mut self, team: &TeamId) {
        if let Some(demand) = self.teams.get_mut(team) {
            demand.held = demand.held.saturating_sub(1);
        }
    }

    pub(super) fn expire(&mut self, options: &AdmissionOptions, now: Instant) {
        let window = options.demand_window;
        let recent =
            |demand: &TeamDemand| now.saturating_duration_since(demand.requested_at) < window;
        self.teams
            .retain(|_, demand| demand.held > 0 || recent(demand));
    }

    /// Returns whether a team may acquire one of the `free` permits of a limit.
    ///
    /// The last permits are reserved for teams below an equal share, and first of all for teams
    /// of higher priority.
    pub(super) fn may_acquire(
        &self,
        team: &TeamId,
        free: u32,
        limit: u32,
        options: &AdmissionOptions,
        now: Instant,
    ) -> bool {
        let reserve = limit / options.reserve_divisor;
        let Some(own) = self.teams.get(team) else {
            return free > reserve;
        };
        let window = options.demand_window;
        let recent =
            |demand: &TeamDemand| now.saturating_duration_since(demand.requested_at) < window;
        let others = self
            .teams
            .iter()
            .filter(|(id, demand)| *id != team && recent(demand));
        let competing: Vec<&TeamDemand> = others.map(|(_, demand)| demand).collect();
        if competing.is_empty() {
            return free > 0;
        }
        let teams = u32::try_from(competing.len() + 1).unwrap_or(u32::MAX);
        let share = (limit / teams).max(1);
        let above_share = own.held >= share;
        let has_lower_priority = competing.iter().any(|other| other.priority > own.priority);
        let reserved = match (above_share, has_lower_priority) {
            (false, false) => 0,
            (true, false) | (false, true) => reserve,
            (true, true) => 2 * reserve,
        };
        free > reserved
    }
}
