//! Health and load of a slot, as observed by this node's own calls.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use super::RoutingOptions;
use crate::admission::RequestOutcome;

/// A new answer counts one in this many in the moving average of the time to the first byte.
const MEAN_DIVISOR: u32 = 8;

/// Maximum number of starts and of ends kept, to count those since the last load summary.
const MAX_TIMES: usize = 1024;

/// Maximum number of doublings of the back-off of a failing slot.
const MAX_DOUBLINGS: u32 = 6;

/// Health and load of one slot, as observed by the calls of this node.
#[derive(Debug, Default)]
pub(super) struct SlotHealth {
    in_flight: u32,
    started: VecDeque<Instant>,
    ended: VecDeque<Instant>,
    consecutive_failures: u32,
    last_failure: Option<Instant>,
    mean_first_byte: Option<Duration>,
}

impl SlotHealth {
    pub(super) fn record_start(&mut self, now: Instant) {
        self.in_flight += 1;
        push_bounded(&mut self.started, now);
    }

    pub(super) fn record_finish(&mut self, outcome: &RequestOutcome, now: Instant) {
        self.in_flight = self.in_flight.saturating_sub(1);
        push_bounded(&mut self.ended, now);
        if !outcome.complete {
            self.consecutive_failures += 1;
            self.last_failure = Some(now);
            return;
        }
        self.consecutive_failures = 0;
        if let Some(first_byte) = outcome.first_byte {
            self.mean_first_byte = Some(match self.mean_first_byte {
                Some(mean) => (mean * (MEAN_DIVISOR - 1) + first_byte) / MEAN_DIVISOR,
                None => first_byte,
            });
        }
    }

    pub(super) fn in_flight(&self) -> u32 {
        self.in_flight
    }

    pub(super) fn mean_first_byte(&self) -> Option<Duration> {
        self.mean_first_byte
    }

    /// Extrapolates a count as of `at` by this node's own starts and ends since then.
    pub(super) fn extrapolate(&self, count: u32, at: Instant) -> u32 {
        let since = |times: &VecDeque<Instant>| times.iter().rev().take_while(|t| **t > at).count();
        let started = u32::try_from(since(&self.started)).unwrap_or(u32::MAX);
        let ended = u32::try_from(since(&self.ended)).unwrap_or(u32::MAX);
        count.saturating_add(started).saturating_sub(ended)
    }

    /// Returns whether the slot is in back-off after failures.
    pub(super) fn is_avoided(&self, options: &RoutingOptions, now: Instant) -> bool {
        let Some(last) = self.last_failure.filter(|_| self.consecutive_failures > 0) else {
            return false;
        };
        let doublings = (self.consecutive_failures - 1).min(MAX_DOUBLINGS);
        let backoff = options.first_backoff * (1 << doublings);
        now.saturating_duration_since(last) < backoff.min(options.max_backoff)
    }
}

fn push_bounded(times: &mut VecDeque<Instant>, now: Instant) {
    if times.len() == MAX_TIMES {
        times.pop_front();
    }
    times.push_back(now);
}
