//! The VMs of this failure domain and what their engines report.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use shallottide_types::engine::EngineReport;
use shallottide_types::id::VmId;
use shallottide_types::placement::Group;
use shallottide_types::platform::Vm;

/// VMs and the latest report of each.
#[derive(Debug, Clone, Default)]
pub struct EngineView {
    /// The platform's VM list; it lags.
    pub vms: BTreeMap<VmId, Vm>,
    /// The latest report of each engine.
    pub reports: BTreeMap<VmId, TimedReport>,
}

/// An engine report and when it was read from the engine.
#[derive(Debug, Clone)]
pub struct TimedReport {
    /// The report.
    pub report: EngineReport,
    /// When it was read, by this node's clock.
    pub read_at: Instant,
}

impl EngineView {
    /// Oldest report by which a group may serve.
    pub const MAX_REPORT_AGE: Duration = Duration::from_secs(3);

    /// Tells whether every member holds this group's assignment and is ready, by fresh reports.
    #[must_use]
    pub fn is_complete(&self, group: &Group, now: Instant) -> bool {
        let ready = |(rank, vm): (usize, &VmId)| {
            let Some(timed) = self.reports.get(vm) else {
                return false;
            };
            let fresh = now.saturating_duration_since(timed.read_at) <= Self::MAX_REPORT_AGE;
            let holds = timed.report.assignment.as_ref().is_some_and(|held| {
                held.formed == group.formed
                    && held.model == group.model
                    && usize::from(held.rank) == rank
            });
            fresh && holds && timed.report.state.is_ready()
        };
        !group.members.is_empty() && group.members.iter().enumerate().all(ready)
    }
}
