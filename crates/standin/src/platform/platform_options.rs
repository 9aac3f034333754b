//! Options of a platform stand-in.

use std::time::Duration;

use super::PlatformFaults;

/// Options of a platform stand-in.
#[derive(Debug, Clone, Default)]
pub struct PlatformOptions {
    /// Delay until readers see a change of the VM list.
    pub vm_lag: Duration,
    /// Initial fault switches.
    pub faults: PlatformFaults,
}
