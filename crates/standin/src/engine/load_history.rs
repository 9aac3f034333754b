//! Load figures that are reported with a lag.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// Requests running and queued at one moment.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(super) struct Load {
    /// Requests running.
    pub(super) running: u32,
    /// Requests queued.
    pub(super) queued: u32,
}

/// Load samples, kept for as long as the lag requires.
#[derive(Debug, Default)]
pub(super) struct LoadHistory {
    samples: VecDeque<(Instant, Load)>,
}

impl LoadHistory {
    /// Records a change of the load.
    pub(super) fn record(&mut self, now: Instant, load: Load, lag: Duration) {
        self.samples.push_back((now, load));
        let is_visible = |at: Instant| now.saturating_duration_since(at) >= lag;
        // Once the second sample is old enough to be reported, the first is obsolete.
        while self.samples.get(1).is_some_and(|(at, _)| is_visible(*at)) {
            self.samples.pop_front();
        }
    }

    /// Returns the figures as of `lag` ago.
    pub(super) fn as_of(&self, now: Instant, lag: Duration) -> Load {
        let is_visible = |at: Instant| now.saturating_duration_since(at) >= lag;
        let seen = self.samples.iter().rev().find(|(at, _)| is_visible(*at));
        seen.map(|(_, load)| *load).unwrap_or_default()
    }
}
