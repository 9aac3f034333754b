//! Waiting as an interface, so that tests don't wait.

use std::thread;
use std::time::Duration;

/// Waits between two tries.
pub trait Pause: Send + Sync {
    /// Returns after `duration`.
    fn pause(&self, duration: Duration);
}

/// Puts the thread to sleep.
#[derive(Debug, Clone, Copy, Default)]
pub struct SystemPause;

impl Pause for SystemPause {
    fn pause(&self, duration: Duration) {
        thread::sleep(duration);
    }
}
