//! The platform's stand-in in process, called by operation.

use std::sync::Arc;
use std::time::Duration;

use shallottide::message::{PlatformAnswer, PlatformOp};
use shallottide_types::clock::ManualClock;
use shallottide_types::platform::{Platform, PlatformError};
use standin::platform::{MemoryPlatform, PlatformOptions};

/// The platform's stand-in in process; its reads never wait.
pub(crate) struct FakePlatform {
    platform: MemoryPlatform,
}

impl FakePlatform {
    /// Creates an empty platform.
    #[must_use]
    pub(crate) fn new(clock: &ManualClock) -> Self {
        let clock = Arc::new(clock.clone());
        Self {
            platform: MemoryPlatform::new(clock, PlatformOptions::default()),
        }
    }

    /// Carries out one operation.
    ///
    /// # Errors
    /// Those of the platform.
    pub(crate) fn run(&self, op: PlatformOp) -> Result<PlatformAnswer, PlatformError> {
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
            other => unreachable!("not asked for by what is measured: {other:?}"),
        })
    }
}
