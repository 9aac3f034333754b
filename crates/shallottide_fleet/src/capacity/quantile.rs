//! Estimate of one quantile of a stream of values, without keeping the values.

/// Values after which the step has its least size.
const WARM_UP: f64 = 100.0;

/// A quantile, found by steps up and down in proportion to its probability. A value's distance from
/// the estimate does not matter, so a heavy tail does not move it.
#[derive(Debug, Clone)]
pub(super) struct Quantile {
    probability: f64,
    value: f64,
    /// Values seen, up to [`WARM_UP`].
    seen: f64,
}

impl Quantile {
    /// Creates an estimate that starts at `value`.
    pub(super) fn new(probability: f64, value: f64) -> Self {
        Self {
            probability,
            value,
            seen: 0.0,
        }
    }

    pub(super) fn value(&self) -> f64 {
        self.value
    }

    /// Moves the estimate; `scale` is the typical spread of the values.
    pub(super) fn record(&mut self, value: f64, scale: f64) {
        self.seen = (self.seen + 1.0).min(WARM_UP);
        let is_below = f64::from(u8::from(value < self.value));
        self.value += scale * 3.0 / (3.0 + self.seen) * (self.probability - is_below);
    }
}
