//! Bounds how many weight loads begin.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// Loads that this node ordered within the last window.
#[derive(Debug, Clone)]
pub struct LoadRateLimiter {
    window: Duration,
    begun: VecDeque<Instant>,
    /// Loads ordered without an answer: they may begin at any time.
    unresolved: usize,
    /// Until when a predecessor's loads are taken to fill the window.
    held_until: Option<Instant>,
}

impl LoadRateLimiter {
    /// Creates a pace over a sliding window.
    #[must_use]
    pub fn new(window: Duration) -> Self {
        Self {
            window,
            begun: VecDeque::new(),
            unresolved: 0,
            held_until: None,
        }
    }

    /// Starts with a window that a predecessor may have used up.
    #[must_use]
    pub fn after_predecessor(mut self, now: Instant) -> Self {
        self.held_until = Some(now + self.window);
        self
    }

    /// Tells whether one more load may begin within `per_window` loads.
    pub fn allows(&mut self, per_window: usize, now: Instant) -> bool {
        while self
            .begun
            .front()
            .is_some_and(|&at| now.saturating_duration_since(at) > self.window)
        {
            self.begun.pop_front();
        }
        self.held_until.is_none_or(|until| now >= until)
            && self.begun.len() + self.unresolved < per_window.max(1)
    }

    /// Notes an order that begins a load.
    pub fn begun(&mut self, now: Instant) {
        self.begun.push_back(now);
    }

    /// Notes that an order's outcome is not known.
    pub fn unresolved(&mut self) {
        self.unresolved += 1;
    }

    /// Notes that an order without an answer can no longer begin a load, or has begun it.
    pub fn resolved(&mut self, now: Instant) {
        if self.unresolved > 0 {
            self.unresolved -= 1;
            self.begun.push_back(now);
        }
    }
}
