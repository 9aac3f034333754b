//! What this node's own calls tell of a slot.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use super::RoutingOptions;
use crate::admission::RequestOutcome;

/// Weight of a new answer in the usual time to the first byte: one in this many.
const USUAL_WEIGHT: u32 = 8;

/// Starts and ends that are remembered, to count those since the last summary.
const MAX_REMEMBERED: usize = 1024;

/// Highest number of doublings of the time that a failing slot is avoided.
const MAX_DOUBLINGS: u32 = 6;

/// Calls of this node on one slot.
#[derive(Debug, Default)]
pub(super) struct SlotHealth {
    in_flight: u32,
    started: VecDeque<Instant>,
    ended: VecDeque<Instant>,
    failed_in_row: u32,
    last_failure: Option<Instant>,
    usual_first_byte: Option<Duration>,
}

impl SlotHealth {
    pub(super) fn started(&mut self, now: Instant) {
        self.in_flight += 1;
        remember(&mut self.started, now);
    }

    pub(super) fn finished(&mut self, finished: &RequestOutcome, now: Instant) {
        self.in_flight = self.in_flight.saturating_sub(1);
        remember(&mut self.ended, now);
        if !finished.complete {
            self.failed_in_row += 1;
            self.last_failure = Some(now);
            return;
        }
        self.failed_in_row = 0;
        if let Some(first_byte) = finished.first_byte {
            self.usual_first_byte = Some(match self.usual_first_byte {
                Some(usual) => (usual * (USUAL_WEIGHT - 1) + first_byte) / USUAL_WEIGHT,
                None => first_byte,
            });
        }
    }

    pub(super) fn in_flight(&self) -> u32 {
        self.in_flight
    }

    pub(super) fn usual_first_byte(&self) -> Option<Duration> {
        self.usual_first_byte
    }

    /// Returns a count as of `at`, moved on by this node's own starts and ends since.
    pub(super) fn moved_on(&self, count: u32, at: Instant) -> u32 {
        let since = |times: &VecDeque<Instant>| times.iter().rev().take_while(|t| **t > at).count();
        let started = u32::try_from(since(&self.started)).unwrap_or(u32::MAX);
        let ended = u32::try_from(since(&self.ended)).unwrap_or(u32::MAX);
        count.saturating_add(started).saturating_sub(ended)
    }

    /// Tells whether recent failures speak against the slot.
    pub(super) fn is_avoided(&self, options: &RoutingOptions, now: Instant) -> bool {
        let Some(last) = self.last_failure.filter(|_| self.failed_in_row > 0) else {
            return false;
        };
        let doublings = (self.failed_in_row - 1).min(MAX_DOUBLINGS);
        let wait = options.avoid_after_failure * (1 << doublings);
        now.saturating_duration_since(last) < wait.min(options.avoid_at_most)
    }
}

fn remember(times: &mut VecDeque<Instant>, now: Instant) {
    if times.len() == MAX_REMEMBERED {
        times.pop_front();
    }
    times.push_back(now);
}
