//! Loads of the slots that this node dispatches to.

use std::time::Instant;

use shallottide_types::peer::LoadSummary;

/// Loads of the slots that this node dispatches to, told a part at a time.
#[derive(Debug, Default)]
pub(super) struct OwnLoads {
    loads: Vec<LoadSummary>,
    heard_at: Option<Instant>,
    turn: usize,
}

impl OwnLoads {
    /// Replaces all loads.
    pub(super) fn replace(&mut self, loads: Vec<LoadSummary>, now: Instant) {
        self.loads = loads;
        self.heard_at = Some(now);
    }

    /// Lets the next part have its turn.
    pub(super) fn next_turn(&mut self, max: usize) {
        self.turn = self.turn.wrapping_add(max);
    }

    /// Returns the part whose turn it is, at most `max` loads.
    pub(super) fn part(&self, max: usize) -> Vec<LoadSummary> {
        let len = self.loads.len();
        let first = self.turn.checked_rem(len).unwrap_or(0);
        let turns = self.loads.iter().cycle().skip(first);
        turns.take(max.min(len)).cloned().collect()
    }

    /// Returns all loads with the time at which they were reported.
    pub(super) fn all(&self) -> impl Iterator<Item = (&LoadSummary, Instant)> {
        let heard_at = self.heard_at;
        self.loads
            .iter()
            .filter_map(move |load| Some((load, heard_at?)))
    }
}
