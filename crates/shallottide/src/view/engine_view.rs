//! Snapshot of the VMs of this failure domain and of their engines' reports.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use shallottide_types::engine::EngineReport;
use shallottide_types::id::VmId;
use shallottide_types::placement::Group;
use shallottide_types::platform::Vm;

/// VMs of this failure domain and the latest report of each engine.
#[derive(Debug, Clone, Default)]
pub struct EngineView {
    /// VMs as listed by the platform, whose list lags behind the real state.
    pub vms: BTreeMap<VmId, Vm>,
    /// Latest report of each engine, by VM.
    pub reports: BTreeMap<VmId, TimedReport>,
}

/// An engine report and when it was read from the engine.
#[derive(Debug, Clone)]
pub struct TimedReport {
    /// Report as the engine sent it.
    pub report: EngineReport,
    /// When this node read it, by its monotonic clock.
    pub read_at: Instant,
}

impl EngineView {
    /// Age above which a report no longer shows that a group is ready to serve.
    pub const MAX_REPORT_AGE: Duration = Duration::from_secs(3);

    /// Returns whether recent reports show that every member holds its assignment in this group and
    /// is ready.
    #[must_use]
    pub fn is_complete(&self, group: &Group, now: Instant) -> bool {
        let is_member_ready = |(rank, vm): (usize, &VmId)| {
            let Some(timed) = self.reports.get(vm) else {
                return false;
            };
            let is_fresh = now.saturating_duration_since(timed.read_at) <= Self::MAX_REPORT_AGE;
            let is_assigned = timed.report.assignment.as_ref().is_some_and(|assignment| {
                assignment.formed == group.formed
                    && assignment.model == group.model
                    && usize::from(assignment.rank) == rank
            });
            is_fresh && is_assigned && timed.report.state.is_ready()
        };
        !group.members.is_empty() && group.members.iter().enumerate().all(is_member_ready)
    }
}
