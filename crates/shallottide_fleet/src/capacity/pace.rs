//! How slow one lifetime of an engine is, compared with the others of its kind.

use std::time::{Duration, Instant};

use super::gain;
use super::level::Level;

/// Time constant with which samples move a pace.
const FOLLOW_TIME: Duration = Duration::from_secs(3);
/// Bounds on the share that one sample gets.
const MIN_GAIN: f64 = 0.02;
const MAX_GAIN: f64 = 0.3;
/// Largest deviation, in log time, that a single sample counts with; about three times the usual
/// spread.
const MAX_STEP: f64 = 0.3;
/// Samples in a row beyond [`MAX_STEP`] to the same side from which deviations count in full: the
/// engine has changed. One such sample is in the tail that healthy engines have.
const CHANGE_RUN: i8 = 2;
/// Deviation down to which a change is still being followed; a larger one would be left to the much
/// slower averaging.
const SETTLED: f64 = 0.1;
/// Share that the smaller one of the last two deviations gets then. Of two samples that are both in
/// the tail, one is mostly not far in it.
const CHANGE_GAIN: f64 = 0.85;
/// Time without evidence for which a pace holds; longer than the time between two samples of an
/// engine, or the pace would be underestimated between them.
const HOLD_TIME: Duration = Duration::from_secs(2);
/// Time constant of the decay after it; 8% is left 5 s after the last sample.
const DECAY_TIME: Duration = Duration::from_millis(1_200);

/// How slow an engine is, and how old the evidence is.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Slowness {
    /// Time to the first event, divided by what is typical of the kind. 1 without evidence.
    pub factor: f64,
    /// Time since the last sample; `None` if there was none.
    pub age: Option<Duration>,
}

/// The pace of one lifetime.
#[derive(Debug, Clone)]
pub(super) struct Pace {
    /// Logarithm of the factor at the last sample.
    log_factor: f64,
    /// When the last sample came.
    at: Instant,
    /// Samples in a row beyond [`MAX_STEP`]; negative for those that were faster than expected.
    run: i8,
    /// Absolute deviation of the last sample.
    last_error: f64,
    /// Logarithm of the kind's level at the last sample.
    level: f64,
    /// Slots that the engine last stated to this node.
    pub(super) slots: Option<u32>,
}

impl Pace {
    /// Creates the pace of an engine that is typical of its kind.
    pub(super) fn new(now: Instant) -> Self {
        Self {
            log_factor: 0.0,
            at: now.checked_sub(FOLLOW_TIME).unwrap_or(now),
            run: 0,
            last_error: 0.0,
            level: 0.0,
            slots: None,
        }
    }

    /// Returns the time since the last sample.
    pub(super) fn age(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.at)
    }

    /// Returns the logarithm of the factor as the last sample showed it.
    pub(super) fn log_factor(&self, now: Instant) -> f64 {
        let decay = self.age(now).saturating_sub(HOLD_TIME);
        self.log_factor * (1.0 - gain(decay, DECAY_TIME))
    }

    /// Returns the logarithm of the factor by which the engine is slower than its kind at a level. What
    /// the level has since moved to the same side is no longer the engine's own.
    pub(super) fn log_factor_at(&self, level: f64, now: Instant) -> f64 {
        let factor = self.log_factor(now);
        let moved = (level - self.level) * factor.signum();
        factor.signum() * (factor.abs() - moved.max(0.0)).max(0.0)
    }

    /// Learns from a sample that deviates from the kind's curve by `log_ratio` in log time. While the
    /// level changes, a deviation is more likely the level's than this engine's own.
    pub(super) fn record(&mut self, log_ratio: f64, level: &Level, now: Instant) {
        let current = self.log_factor_at(level.value(), now);
        let error = log_ratio - level.value() - current;
        let threshold = if self.run.abs() >= CHANGE_RUN {
            SETTLED
        } else {
            MAX_STEP
        };
        let side = i8::from(error > threshold) - i8::from(error < -threshold);
        self.run = if side == 0 {
            0
        } else if side == self.run.signum() {
            (self.run + side).clamp(-CHANGE_RUN, CHANGE_RUN)
        } else {
            side
        };
        let step = if self.run.abs() >= CHANGE_RUN && !level.is_changing() {
            CHANGE_GAIN * error.signum() * error.abs().min(self.last_error)
        } else {
            gain(self.age(now), FOLLOW_TIME).clamp(MIN_GAIN, MAX_GAIN)
                * error.clamp(-MAX_STEP, MAX_STEP)
        };
        self.last_error = error.abs();
        self.level = level.value();
        self.log_factor = current + step;
        self.at = self.at.max(now);
    }
}
