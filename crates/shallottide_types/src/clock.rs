//! The clock as an interface, so that tests can control the time.

use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Source of the time for all decisions that depend on it.
pub trait Clock: Send + Sync {
    /// Returns the monotonic time. Leases and timeouts use only this time.
    fn now(&self) -> Instant;

    /// Returns the wall-clock time since the Unix epoch, for logs and record metadata.
    fn unix_time(&self) -> Duration;
}

/// The operating system's clock.
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

/// A clock that moves only through [`advance`](Self::advance); clones share the time.
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
    /// Moves the time forward by a duration.
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
