//! The limit of one slot: cold at first, doubled on evidence of finished work.

use std::time::Duration;

use super::{AdmissionOptions, RequestOutcome};

/// Weight of a new answer in the usual time to the first byte: one in this many.
const USUAL_WEIGHT: u32 = 8;

/// A limit that ramps between a slot's cold and full limit.
#[derive(Debug, Clone)]
pub(super) struct SlotLimit {
    /// Invariant: between the record's cold and full limit as of the last call.
    current: u32,
    /// Whole answers in time since the limit last changed.
    whole: u32,
    failed_in_row: u32,
    late_in_row: u32,
    usual_first_byte: Option<Duration>,
}

/// What a slot bears by its record.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Bounds {
    pub(super) cold: u32,
    pub(super) full: u32,
}

impl SlotLimit {
    pub(super) fn cold(bounds: Bounds) -> Self {
        Self {
            current: bounds.cold,
            whole: 0,
            failed_in_row: 0,
            late_in_row: 0,
            usual_first_byte: None,
        }
    }

    /// Returns the limit in force.
    pub(super) fn get(&self, bounds: Bounds) -> u32 {
        self.current
            .clamp(bounds.cold.min(bounds.full), bounds.full)
    }

    /// Falls back to the cold limit at once.
    pub(super) fn fall_back(&mut self, bounds: Bounds) {
        *self = Self {
            usual_first_byte: self.usual_first_byte,
            ..Self::cold(bounds)
        };
    }

    /// Learns from one answer. `ramps` is false while reports say that the upstream is cold.
    pub(super) fn finished(
        &mut self,
        finished: &RequestOutcome,
        bounds: Bounds,
        ramps: bool,
        options: &AdmissionOptions,
    ) {
        if !finished.complete {
            self.failed(bounds, options);
            return;
        }
        self.failed_in_row = 0;
        if self.is_late(finished.first_byte, options) {
            self.late_in_row += 1;
            if self.late_in_row >= options.late_to_cold {
                self.fall_back(bounds);
            }
            return;
        }
        self.late_in_row = 0;
        self.learn_usual(finished.first_byte);
        if ramps {
            self.ramp(bounds, options);
        }
    }

    fn failed(&mut self, bounds: Bounds, options: &AdmissionOptions) {
        self.failed_in_row += 1;
        if self.failed_in_row >= options.failures_to_cold {
            self.fall_back(bounds);
        }
    }

    fn is_late(&self, first_byte: Option<Duration>, options: &AdmissionOptions) -> bool {
        let (Some(first_byte), Some(usual)) = (first_byte, self.usual_first_byte) else {
            return false;
        };
        first_byte > options.never_late && first_byte > usual * options.late_factor
    }

    fn learn_usual(&mut self, first_byte: Option<Duration>) {
        let Some(first_byte) = first_byte else {
            return;
        };
        self.usual_first_byte = Some(match self.usual_first_byte {
            Some(usual) => (usual * (USUAL_WEIGHT - 1) + first_byte) / USUAL_WEIGHT,
            None => first_byte,
        });
    }

    fn ramp(&mut self, bounds: Bounds, options: &AdmissionOptions) {
        self.whole += 1;
        let current = self.get(bounds);
        if self.whole >= current.max(options.ramp_answers) {
            self.whole = 0;
            self.current = current.saturating_mul(2).min(bounds.full);
        }
    }
}
