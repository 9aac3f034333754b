//! Limits the number of calls per second.

use std::time::{Duration, Instant};

const WINDOW: Duration = Duration::from_secs(1);

/// A fixed-window rate limiter with windows of one second.
#[derive(Debug, Default)]
pub(super) struct RateLimiter {
    window_start: Option<Instant>,
    used: u32,
}

impl RateLimiter {
    /// Counts a call in the current window; `false` when the limit is exceeded.
    pub(super) fn try_acquire(&mut self, limit: Option<u32>, now: Instant) -> bool {
        let is_current = |start: Instant| now.saturating_duration_since(start) < WINDOW;
        if !self.window_start.is_some_and(is_current) {
            self.window_start = Some(now);
            self.used = 0;
        }
        self.used += 1;
        limit.is_none_or(|limit| self.used <= limit)
    }
}
