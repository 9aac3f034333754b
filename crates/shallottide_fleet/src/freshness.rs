//! Until when an answer can still be on time.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use compact_str::CompactString;

/// Differences in stated time below which a request counts as its caller's first.
const FIRST_SLACK: Duration = Duration::from_millis(60);
/// Part of the answers that begin sooner than the tracked time.
const QUICK_PART: f64 = 0.3;
/// Step by which the tracked time moves with each answer.
const QUICK_STEP: Duration = Duration::from_millis(8);
/// Tracked time before any answer.
const QUICK_START: Duration = Duration::from_millis(60);

/// Tells first requests from those of callers that come back, by the time that they state.
#[derive(Debug, Clone, Default)]
pub struct Freshness {
    /// Longest stated time by route; a caller that comes back states less.
    longest: BTreeMap<CompactString, Duration>,
    /// How fast answers begin that begin fast, by what serves them.
    quick: BTreeMap<CompactString, Duration>,
}

impl Freshness {
    /// Returns how long a caller has waited before this request.
    pub fn waited(&mut self, route: &CompactString, time_left: Duration) -> Duration {
        let longest = self.longest.entry(route.clone()).or_default();
        *longest = (*longest).max(time_left);
        let waited = *longest - time_left;
        if waited <= FIRST_SLACK {
            Duration::ZERO
        } else {
            waited
        }
    }

    /// Notes how long an answer took to begin.
    pub fn began(&mut self, what: &CompactString, took: Duration) {
        let quick = self.quick.entry(what.clone()).or_insert(QUICK_START);
        *quick = if took < *quick {
            quick.saturating_sub(QUICK_STEP.mul_f64(1.0 - QUICK_PART))
        } else {
            *quick + QUICK_STEP.mul_f64(QUICK_PART)
        };
    }

    /// Returns until when a request must be sent to be answered on time.
    #[must_use]
    pub fn fresh_until(
        &self,
        what: &str,
        arrived: Instant,
        waited: Duration,
        target: Duration,
    ) -> Instant {
        let quick = self.quick.get(what).copied().unwrap_or(QUICK_START);
        arrived + target.saturating_sub(waited + quick)
    }
}
