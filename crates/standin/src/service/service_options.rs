//! How a service stand-in is set up.

use std::time::Duration;

use compact_str::CompactString;

use super::{RunCounts, ServiceFaults};
use crate::http::ListenOptions;

/// How a service stand-in is set up.
#[derive(Debug, Clone)]
pub struct ServiceOptions {
    /// Where it listens.
    pub listen: ListenOptions,
    /// Its name in answers.
    pub name: CompactString,
    /// Calls that run at once; more are refused before they run.
    pub capacity: u32,
    /// Time that a call takes.
    pub service_time: Duration,
    /// Switches that are set from the start.
    pub faults: ServiceFaults,
    /// Where runs are counted; servers of one service can share it.
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
