//! Requests on a slot that this node did not send.

use std::time::{Duration, Instant};

/// Number of permits of a slot that the requests of another dispatcher may occupy.
///
/// After a takeover, all permits count as occupied until reports show the actual load or the
/// hold time has passed. Later reports of more requests than this node sent reveal a dispatcher
/// that has not received the new placement yet; its requests occupy permits as well.
#[derive(Debug, Clone)]
pub(super) struct InheritedLoad {
    /// Permits that may be occupied; `u32::MAX` while the load is unknown.
    permits: u32,
    since: Instant,
    /// Whether the previous dispatcher's requests have ended, by a report or by the hold time.
    settled: bool,
    /// Range of own requests in flight since the last report, and in the interval before it.
    own: [InFlightRange; 2],
}

#[derive(Debug, Clone, Copy, Default)]
struct InFlightRange {
    min: u32,
    max: u32,
}

impl InheritedLoad {
    /// Creates an empty load: no previous dispatcher sent requests.
    pub(super) fn none(now: Instant) -> Self {
        Self {
            permits: 0,
            since: now,
            settled: true,
            own: [InFlightRange::default(); 2],
        }
    }

    /// Creates an unknown load: all permits count as occupied.
    pub(super) fn unknown(now: Instant) -> Self {
        Self {
            permits: u32::MAX,
            settled: false,
            ..Self::none(now)
        }
    }

    pub(super) fn permits(&self) -> u32 {
        self.permits
    }

    /// Records the own requests in flight; called after each change.
    pub(super) fn record_own(&mut self, own: u32) {
        let range = &mut self.own[0];
        range.min = range.min.min(own);
        range.max = range.max.max(own);
    }

    /// Applies a report of all requests on the upstream as of `at`; own requests are subtracted.
    ///
    /// A report from before `handover_delay` has passed is ignored, because the previous
    /// dispatcher may still have been sending requests.
    pub(super) fn apply_report(
        &mut self,
        total: u32,
        at: Instant,
        own: u32,
        handover_delay: Duration,
    ) {
        if !self.settled && at <= self.since + handover_delay {
            return;
        }
        let [current, previous] = self.own;
        if self.settled {
            self.permits = total.saturating_sub(current.max.max(previous.max));
        } else {
            let others = total.saturating_sub(current.min.min(previous.min));
            self.permits = self.permits.min(others);
            self.settled = self.permits == 0;
        }
        let range = InFlightRange { min: own, max: own };
        self.own = [range, current];
    }

    /// Clears the inherited load once `hold` has passed without a report that settles it.
    pub(super) fn expire(&mut self, hold: Duration, now: Instant) {
        if !self.settled && now.saturating_duration_since(self.since) >= hold {
            self.permits = 0;
            self.settled = true;
        }
    }
}
