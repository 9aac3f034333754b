//! Limits calls per second.

use std::time::{Duration, Instant};

const WINDOW: Duration = Duration::from_secs(1);

/// Counts calls in windows of one second.
#[derive(Debug, Default)]
pub(super) struct RateLimiter {
    window_start: Option<Instant>,
    used: u32,
}

impl RateLimiter {
    /// Takes a place in the current window; `false` when none is left.
    pub(super) fn take(&mut self, limit: Option<u32>, now: Instant) -> bool {
        let open = |start: Instant| now.saturating_duration_since(start) < WINDOW;
        if !self.window_start.is_some_and(open) {
            self.window_start = Some(now);
            self.used = 0;
        }
        self.used += 1;
        limit.is_none_or(|limit| self.used <= limit)
    }
}
