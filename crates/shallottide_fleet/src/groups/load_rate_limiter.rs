//! Rate limit on weight loads.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// Sliding-window rate limiter for the weight loads that this node orders.
#[derive(Debug, Clone)]
pub struct LoadRateLimiter {
    window: Duration,
    starts: VecDeque<Instant>,
    /// Load orders without an answer; each may still start a load.
    unresolved: usize,
    /// Until when the window counts as full because of a previous controller's loads.
    blocked_until: Option<Instant>,
}

impl LoadRateLimiter {
    /// Creates a limiter with a sliding window.
    #[must_use]
    pub fn new(window: Duration) -> Self {
        Self {
            window,
            starts: VecDeque::new(),
            unresolved: 0,
            blocked_until: None,
        }
    }

    /// Allows no load for one window, as a previous controller may have used it up.
    #[must_use]
    pub fn assuming_full_window(mut self, now: Instant) -> Self {
        self.blocked_until = Some(now + self.window);
        self
    }

    /// Returns whether another load may start under a limit of `per_window` loads per window.
    pub fn allows(&mut self, per_window: usize, now: Instant) -> bool {
        while self
            .starts
            .front()
            .is_some_and(|&at| now.saturating_duration_since(at) > self.window)
        {
            self.starts.pop_front();
        }
        self.blocked_until.is_none_or(|until| now >= until)
            && self.starts.len() + self.unresolved < per_window.max(1)
    }

    /// Records an order that starts a load.
    pub fn record_start(&mut self, now: Instant) {
        self.starts.push_back(now);
    }

    /// Records a load order whose outcome is unknown.
    pub fn record_unresolved(&mut self) {
        self.unresolved += 1;
    }

    /// Records that an order with unknown outcome has started its load, or can no longer do so.
    pub fn record_resolved(&mut self, now: Instant) {
        if self.unresolved > 0 {
            self.unresolved -= 1;
            self.starts.push_back(now);
        }
    }
}
