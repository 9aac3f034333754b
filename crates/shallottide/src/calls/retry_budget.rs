//! The node's retry budget, which prevents retry storms.

/// Grants retries as a share of first attempts.
#[derive(Debug)]
pub(super) struct RetryBudget {
    /// Invariant: between 0 and `burst`.
    tokens: f64,
    ratio: f64,
    burst: f64,
}

impl RetryBudget {
    pub(super) fn new(ratio: f64, burst: f64) -> Self {
        Self {
            tokens: burst,
            ratio,
            burst,
        }
    }

    /// Counts a first attempt.
    pub(super) fn first_attempt(&mut self) {
        self.tokens = (self.tokens + self.ratio).min(self.burst);
    }

    /// Takes one retry; `false` when none is left.
    pub(super) fn take(&mut self) -> bool {
        let enough = self.tokens >= 1.0;
        if enough {
            self.tokens -= 1.0;
        }
        enough
    }
}
