//! The clock as an interface, so that tests move time themselves.

use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Gives the time to every decision.
pub trait Clock: Send + Sync {
    /// Monotonic time; the only time that leases and timeouts are judged by.
    fn now(&self) -> Instant;

    /// Time since 1970, for logs and record stamps.
    fn unix_time(&self) -> Duration;
}

/// The VM's own clock.
#[derive(Debug, Clone, Copy, Default)]
pub struct SystemClock;

impl Clock for SystemClock {
    fn now(&self) -> Instant {
        Instant::now()
    }

    fn unix_time(&self) -> Duration {
        SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default()
    }
}

/// A clock that only moves when told to; clones share the time.
#[derive(Debug, Clone)]
pub struct ManualClock {
    start: Instant,
    elapsed: Arc<Mutex<Duration>>,
}

impl Default for ManualClock {
    fn default() -> Self {
        Self {
            start: Instant::now(),
            elapsed: Arc::default(),
        }
    }
}

impl ManualClock {
    /// Moves the time forward.
    ///
    /// # Panics
    /// If another thread panicked while holding the clock.
    pub fn advance(&self, by: Duration) {
        *self.elapsed.lock().expect("clock lock") += by;
    }

    fn elapsed(&self) -> Duration {
        *self.elapsed.lock().expect("clock lock")
    }
}

impl Clock for ManualClock {
    fn now(&self) -> Instant {
        self.start + self.elapsed()
    }

    fn unix_time(&self) -> Duration {
        const START: Duration = Duration::from_secs(1_000_000_000);
        START + self.elapsed()
    }
}
