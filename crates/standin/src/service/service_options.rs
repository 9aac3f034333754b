//! Options of a service stand-in.

use std::time::Duration;

use compact_str::CompactString;

use super::{RunCounts, ServiceFaults};
use crate::http::ListenOptions;

/// Options of a service stand-in.
#[derive(Debug, Clone)]
pub struct ServiceOptions {
    /// Listening address and connection limit.
    pub listen: ListenOptions,
    /// Service name in responses.
    pub name: CompactString,
    /// Maximum number of concurrent calls; further ones are refused before they run.
    pub capacity: u32,
    /// Duration of each call.
    pub service_time: Duration,
    /// Initial fault switches.
    pub faults: ServiceFaults,
    /// Run counts; the servers of one service can share them.
    pub runs: RunCounts,
}

impl Default for ServiceOptions {
    fn default() -> Self {
        Self {
            listen: ListenOptions::default(),
            name: "service-1".into(),
            capacity: 64,
            service_time: Duration::from_millis(5),
            faults: ServiceFaults::default(),
            runs: RunCounts::default(),
        }
    }
}
