//! In-process platform stand-in that answers platform requests.

use std::sync::Arc;
use std::time::Duration;

use shallottide::message::{PlatformAnswer, PlatformOp};
use shallottide_types::clock::ManualClock;
use shallottide_types::platform::{Platform, PlatformError};
use standin::platform::{MemoryPlatform, PlatformOptions};

/// In-process platform stand-in. Lists return at once instead of waiting for a change.
pub(crate) struct FakePlatform {
    platform: MemoryPlatform,
}

impl FakePlatform {
    /// Creates an empty platform that reads the time from `clock`.
    #[must_use]
    pub(crate) fn new(clock: &ManualClock) -> Self {
        let clock = Arc::new(clock.clone());
        Self {
            platform: MemoryPlatform::new(clock, PlatformOptions::default()),
        }
    }

    /// Runs one operation and returns its result.
    ///
    /// # Errors
    /// [`PlatformError`] of the stand-in.
    pub(crate) fn run_op(&self, op: PlatformOp) -> Result<PlatformAnswer, PlatformError> {
        Ok(match op {
            PlatformOp::Get(key) => PlatformAnswer::Entry(self.platform.get(&key)?),
            PlatformOp::List { prefix, .. } => {
                PlatformAnswer::Listing(self.platform.list(&prefix, None, Duration::ZERO)?)
            }
            PlatformOp::Swap { key, value, expect } => {
                PlatformAnswer::Swap(self.platform.swap(&key, &value, expect)?)
            }
            PlatformOp::Remove { key, expect } => {
                PlatformAnswer::Swap(self.platform.remove(&key, expect)?)
            }
            other => unreachable!("the measured services do not send {other:?}"),
        })
    }
}
