//! The limit of one slot: starts at the cold limit and doubles as requests complete.

use std::time::Duration;

use super::{AdmissionOptions, RequestOutcome};

/// A new answer counts one in this many in the moving average of the time to the first byte.
const MEAN_DIVISOR: u32 = 8;

/// A limit that ramps from a slot's cold limit to its full limit.
#[derive(Debug, Clone)]
pub(super) struct SlotLimit {
    /// Invariant: lies between the record's cold and full limit as of the last call.
    current: u32,
    /// Complete, timely answers since the limit last changed.
    timely_answers: u32,
    consecutive_failures: u32,
    consecutive_late: u32,
    mean_first_byte: Option<Duration>,
}

/// Limits of a slot according to its record.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Bounds {
    pub(super) cold: u32,
    pub(super) full: u32,
}

impl SlotLimit {
    pub(super) fn cold(bounds: Bounds) -> Self {
        Self {
            current: bounds.cold,
            timely_answers: 0,
            consecutive_failures: 0,
            consecutive_late: 0,
            mean_first_byte: None,
        }
    }

    /// Returns the current limit.
    pub(super) fn get(&self, bounds: Bounds) -> u32 {
        self.current
            .clamp(bounds.cold.min(bounds.full), bounds.full)
    }

    /// Resets the limit to the cold limit.
    pub(super) fn reset_to_cold(&mut self, bounds: Bounds) {
        *self = Self {
            mean_first_byte: self.mean_first_byte,
            ..Self::cold(bounds)
        };
    }

    /// Adapts the limit to the outcome of one request.
    ///
    /// `may_ramp` is false while reports show that the upstream is cold.
    pub(super) fn record_outcome(
        &mut self,
        outcome: &RequestOutcome,
        bounds: Bounds,
        may_ramp: bool,
        options: &AdmissionOptions,
    ) {
        if !outcome.complete {
            self.record_failure(bounds, options);
            return;
        }
        self.consecutive_failures = 0;
        if self.is_late(outcome.first_byte, options) {
            self.consecutive_late += 1;
            if self.consecutive_late >= options.late_to_cold {
                self.reset_to_cold(bounds);
            }
            return;
        }
        self.consecutive_late = 0;
        self.update_mean(outcome.first_byte);
        if may_ramp {
            self.ramp(bounds, options);
        }
    }

    fn record_failure(&mut self, bounds: Bounds, options: &AdmissionOptions) {
        self.consecutive_failures += 1;
        if self.consecutive_failures >= options.failures_to_cold {
            self.reset_to_cold(bounds);
        }
    }

    fn is_late(&self, first_byte: Option<Duration>, options: &AdmissionOptions) -> bool {
        let (Some(first_byte), Some(mean)) = (first_byte, self.mean_first_byte) else {
            return false;
        };
        first_byte > options.late_threshold && first_byte > mean * options.late_factor
    }

    fn update_mean(&mut self, first_byte: Option<Duration>) {
        let Some(first_byte) = first_byte else {
            return;
        };
        self.mean_first_byte = Some(match self.mean_first_byte {
            Some(mean) => (mean * (MEAN_DIVISOR - 1) + first_byte) / MEAN_DIVISOR,
            None => first_byte,
        });
    }

    fn ramp(&mut self, bounds: Bounds, options: &AdmissionOptions) {
        self.timely_answers += 1;
        let current = self.get(bounds);
        if self.timely_answers >= current.max(options.min_ramp_answers) {
            self.timely_answers = 0;
            self.current = current.saturating_mul(2).min(bounds.full);
        }
    }
}
