//! Load figures that are reported late.

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

/// Remembers load figures as long as the lag needs them.
#[derive(Debug, Default)]
pub(super) struct LoadHistory {
    samples: VecDeque<(Instant, Load)>,
}

impl LoadHistory {
    /// Notes a change.
    pub(super) fn note(&mut self, now: Instant, load: Load, lag: Duration) {
        self.samples.push_back((now, load));
        let old = |at: Instant| now.saturating_duration_since(at) >= lag;
        // The second sample, once old enough, hides the first.
        while self.samples.get(1).is_some_and(|(at, _)| old(*at)) {
            self.samples.pop_front();
        }
    }

    /// Returns the figures as of `lag` ago.
    pub(super) fn as_of(&self, now: Instant, lag: Duration) -> Load {
        let old = |at: Instant| now.saturating_duration_since(at) >= lag;
        let seen = self.samples.iter().rev().find(|(at, _)| old(*at));
        seen.map(|(_, load)| *load).unwrap_or_default()
    }
}
