//! Waiting as a trait, so that tests can advance a clock instead.

use std::thread;
use std::time::Duration;

/// Waits between two attempts.
pub trait Pause: Send + Sync {
    /// Returns after `duration`.
    fn pause(&self, duration: Duration);
}

/// Pauses by blocking the thread.
#[derive(Debug, Clone, Copy, Default)]
pub struct SystemPause;

impl Pause for SystemPause {
    fn pause(&self, duration: Duration) {
        thread::sleep(duration);
    }
}
