//! How a platform stand-in is set up.

use std::time::Duration;

use super::PlatformFaults;

/// How a platform stand-in is set up.
#[derive(Debug, Clone, Default)]
pub struct PlatformOptions {
    /// How long a change of the VM list stays unseen.
    pub vm_lag: Duration,
    /// Switches that are set from the start.
    pub faults: PlatformFaults,
}
