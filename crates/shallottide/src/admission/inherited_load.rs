//! Work on a slot that this node did not send.

use std::time::{Duration, Instant};

/// How much of a slot's limit another dispatcher's work may take.
///
/// A takeover assumes all of it, until reports count the work or the hold time has passed.
/// Later reports of more requests than this node sent show a dispatcher that doesn't know
/// yet that it was replaced; they take places as well.
#[derive(Debug, Clone)]
pub(super) struct InheritedLoad {
    /// Places that may be taken; `u32::MAX` while nothing is known.
    places: u32,
    since: Instant,
    /// Whether the earlier dispatcher's work has ended once.
    settled: bool,
    /// Fewest and most own requests in flight since the last report, and since the one before.
    own: [Span; 2],
}

#[derive(Debug, Clone, Copy, Default)]
struct Span {
    least: u32,
    most: u32,
}

impl InheritedLoad {
    /// Assumes nothing: no earlier dispatcher sent work.
    pub(super) fn none(now: Instant) -> Self {
        Self {
            places: 0,
            since: now,
            settled: true,
            own: [Span::default(); 2],
        }
    }

    /// Assumes that all places are taken.
    pub(super) fn unknown(now: Instant) -> Self {
        Self {
            places: u32::MAX,
            settled: false,
            ..Self::none(now)
        }
    }

    pub(super) fn places(&self) -> u32 {
        self.places
    }

    /// Notes the own requests in flight, after each change.
    pub(super) fn note_own(&mut self, own: u32) {
        let span = &mut self.own[0];
        span.least = span.least.min(own);
        span.most = span.most.max(own);
    }

    /// Takes a report of all requests on the upstream as of `at`; own ones don't count.
    /// Reports from before the earlier dispatcher has stopped for sure tell nothing.
    pub(super) fn reported(&mut self, total: u32, at: Instant, own: u32, handover: Duration) {
        if !self.settled && at <= self.since + handover {
            return;
        }
        let [now, before] = self.own;
        if self.settled {
            self.places = total.saturating_sub(now.most.max(before.most));
        } else {
            let others = total.saturating_sub(now.least.min(before.least));
            self.places = self.places.min(others);
            self.settled = self.places == 0;
        }
        let span = Span {
            least: own,
            most: own,
        };
        self.own = [span, now];
    }

    /// Lets the assumption end with its time.
    pub(super) fn tick(&mut self, hold: Duration, now: Instant) {
        if !self.settled && now.saturating_duration_since(self.since) >= hold {
            self.places = 0;
            self.settled = true;
        }
    }
}
