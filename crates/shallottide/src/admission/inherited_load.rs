//! Work that an earlier dispatcher left on a slot.

use std::time::{Duration, Instant};

/// How much of a slot's limit an earlier dispatcher's work may still take.
///
/// A takeover assumes all of it, until a report counts the work or the hold time has passed.
#[derive(Debug, Clone)]
pub(super) struct InheritedLoad {
    /// Places that may be taken; `u32::MAX` while nothing is known.
    places: u32,
    since: Instant,
    /// Fewest own requests in flight since the last report and since the one before.
    own_least: [u32; 2],
}

impl InheritedLoad {
    /// Assumes nothing: no earlier dispatcher sent work.
    pub(super) fn none(now: Instant) -> Self {
        Self {
            places: 0,
            since: now,
            own_least: [0; 2],
        }
    }

    /// Assumes that all places are taken.
    pub(super) fn unknown(now: Instant) -> Self {
        Self {
            places: u32::MAX,
            ..Self::none(now)
        }
    }

    pub(super) fn places(&self) -> u32 {
        self.places
    }

    /// Notes the own requests in flight, after each change.
    pub(super) fn note_own(&mut self, own: u32) {
        self.own_least[0] = self.own_least[0].min(own);
    }

    /// Takes a report of all requests on the upstream as of `at`. Own requests that were in
    /// flight all the time are not inherited.
    pub(super) fn reported(&mut self, total: u32, at: Instant, own: u32) {
        if self.places == 0 || at <= self.since {
            return;
        }
        let own_then = self.own_least[0].min(self.own_least[1]);
        self.places = self.places.min(total.saturating_sub(own_then));
        self.own_least = [own, self.own_least[0]];
    }

    /// Lets the assumption end with its time.
    pub(super) fn tick(&mut self, hold: Duration, now: Instant) {
        if now.saturating_duration_since(self.since) >= hold {
            self.places = 0;
        }
    }
}
