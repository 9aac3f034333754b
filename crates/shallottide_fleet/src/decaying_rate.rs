//! Rates over an exponential window.

use std::time::{Duration, Instant};

/// An amount per second, in which earlier amounts count less by `exp(-age / window)`.
#[derive(Debug, Clone, Copy)]
pub struct DecayingRate {
    window: Duration,
    /// Sum of the amounts, decayed up to `at`; never negative.
    sum: f64,
    at: Option<Instant>,
}

impl DecayingRate {
    /// Creates a rate of 0.
    ///
    /// # Panics
    /// Panics if the window is zero.
    #[must_use]
    pub fn new(window: Duration) -> Self {
        assert!(!window.is_zero(), "the window is zero");
        Self {
            window,
            sum: 0.0,
            at: None,
        }
    }

    /// Adds an amount; a negative or undefined one is ignored.
    pub fn add(&mut self, amount: f64, now: Instant) {
        self.sum = self.sum(now);
        self.at = self.at.max(Some(now));
        if amount.is_finite() {
            self.sum += amount.max(0.0);
        }
    }

    /// Returns the decayed sum of the amounts.
    #[must_use]
    pub fn sum(&self, now: Instant) -> f64 {
        let age = self.at.map(|at| now.saturating_duration_since(at));
        age.map_or(0.0, |age| {
            self.sum * (-age.div_duration_f64(self.window)).exp()
        })
    }

    /// Returns the amount per second.
    #[must_use]
    pub fn per_second(&self, now: Instant) -> f64 {
        self.sum(now) / self.window.as_secs_f64()
    }
}
