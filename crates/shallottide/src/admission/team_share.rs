//! Shares of one slot's places between teams.

use std::collections::BTreeMap;
use std::time::Instant;

use shallottide_types::id::TeamId;

use super::AdmissionOptions;

/// Places that teams hold of one slot, and when they last wanted one.
#[derive(Debug, Clone, Default)]
pub(super) struct TeamShare {
    teams: BTreeMap<TeamId, Wish>,
}

#[derive(Debug, Clone)]
struct Wish {
    held: u32,
    wanted_at: Instant,
    priority: u8,
}

impl TeamShare {
    /// Notes that a team wants a place.
    pub(super) fn wanted(&mut self, team: &TeamId, priority: u8, now: Instant) {
        let wish = self.teams.entry(team.clone()).or_insert(Wish {
            held: 0,
            wanted_at: now,
            priority,
        });
        wish.wanted_at = now;
        wish.priority = priority;
    }

    pub(super) fn took(&mut self, team: &TeamId) {
        if let Some(wish) = self.teams.get_mut(team) {
            wish.held += 1;
        }
    }

    pub(super) fn gave_back(&mut self, team: &TeamId) {
        if let Some(wish) = self.teams.get_mut(team) {
            wish.held = wish.held.saturating_sub(1);
        }
    }

    pub(super) fn expire(&mut self, options: &AdmissionOptions, now: Instant) {
        let window = options.demand_window;
        let recent = |wish: &Wish| now.saturating_duration_since(wish.wanted_at) < window;
        self.teams.retain(|_, wish| wish.held > 0 || recent(wish));
    }

    /// Tells whether a team may take one of `left` places of a limit. The last places are for
    /// teams below an equal share, and before all for those of higher priority.
    pub(super) fn may_take(
        &self,
        team: &TeamId,
        left: u32,
        limit: u32,
        options: &AdmissionOptions,
        now: Instant,
    ) -> bool {
        let reserve = limit / options.reserve_divisor;
        let Some(own) = self.teams.get(team) else {
            return left > reserve;
        };
        let window = options.demand_window;
        let recent = |wish: &Wish| now.saturating_duration_since(wish.wanted_at) < window;
        let others = self
            .teams
            .iter()
            .filter(|(id, wish)| *id != team && recent(wish));
        let rivals: Vec<&Wish> = others.map(|(_, wish)| wish).collect();
        if rivals.is_empty() {
            return left > 0;
        }
        let teams = u32::try_from(rivals.len() + 1).unwrap_or(u32::MAX);
        let share = (limit / teams).max(1);
        let above_share = own.held >= share;
        let outranked = rivals.iter().any(|rival| rival.priority > own.priority);
        let kept = match (above_share, outranked) {
            (false, false) => 0,
            (true, false) | (false, true) => reserve,
            (true, true) => 2 * reserve,
        };
        left > kept
    }
}
