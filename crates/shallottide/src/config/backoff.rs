//! Delays between retries.

use std::time::Duration;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

/// Exponential back-off with seeded jitter.
#[derive(Debug)]
pub(crate) struct Backoff {
    initial_delay: Duration,
    max_delay: Duration,
    failures: u32,
    rng: StdRng,
}

impl Backoff {
    /// Creates a back-off with a failure count of zero.
    pub(crate) fn new(initial_delay: Duration, max_delay: Duration, seed: u64) -> Self {
        Self {
            initial_delay,
            max_delay,
            failures: 0,
            rng: StdRng::seed_from_u64(seed),
        }
    }

    /// Resets the delay to its initial value after a success.
    pub(crate) fn reset(&mut self) {
        self.failures = 0;
    }

    /// Counts a failure and returns the delay before the next retry, drawn from the upper half of an
    /// interval that doubles with each failure up to the maximum.
    pub(crate) fn next_delay(&mut self) -> Duration {
        let doubled = self
            .initial_delay
            .saturating_mul(1 << self.failures.min(16));
        self.failures = self.failures.saturating_add(1);
        let delay = doubled.min(self.max_delay);
        delay.mul_f64(self.rng.random_range(0.5..=1.0))
    }
}
