//! Growing waits between tries, with jitter.

use std::time::Duration;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

/// Exponential backoff with jitter from a seed.
#[derive(Debug)]
pub(crate) struct Backoff {
    first: Duration,
    max: Duration,
    failures: u32,
    rng: StdRng,
}

impl Backoff {
    /// Creates a backoff without failures.
    pub(crate) fn new(first: Duration, max: Duration, seed: u64) -> Self {
        Self {
            first,
            max,
            failures: 0,
            rng: StdRng::seed_from_u64(seed),
        }
    }

    /// Forgets earlier failures.
    pub(crate) fn reset(&mut self) {
        self.failures = 0;
    }

    /// Counts a failure and returns how long to wait: half to all of the doubled wait.
    pub(crate) fn next_wait(&mut self) -> Duration {
        let doubled = self.first.saturating_mul(1 << self.failures.min(16));
        self.failures = self.failures.saturating_add(1);
        let wait = doubled.min(self.max);
        wait.mul_f64(self.rng.random_range(0.5..=1.0))
    }
}
