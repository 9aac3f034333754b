//! Members that answer but never get ready.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use shallottide_types::engine::EngineState;
use shallottide_types::id::{FencingToken, Incarnation, VmId};

use super::GroupOptions;
use super::report_book::ReportBook;

/// How long a VM is left out after it failed to load in time, unless its engine restarts.
const LEAVE_OUT: Duration = Duration::from_mins(30);

/// Leaves out VMs that load the same assignment for longer than the limit.
#[derive(Debug)]
pub(super) struct SlowMembers {
    load_limit: Duration,
    /// Since when an engine loads the assignment of a group formed by this fence.
    loading: BTreeMap<VmId, (FencingToken, Instant)>,
    left_out: BTreeMap<VmId, (Incarnation, Instant)>,
}

impl SlowMembers {
    pub(super) fn new(options: &GroupOptions) -> Self {
        Self {
            load_limit: options.load_limit,
            loading: BTreeMap::new(),
            left_out: BTreeMap::new(),
        }
    }

    /// Takes in the latest reports and returns the VMs to leave out now.
    pub(super) fn update(&mut self, reports: &ReportBook, now: Instant) -> BTreeSet<VmId> {
        let mut loading = BTreeMap::new();
        for (vm, timed) in reports.reports() {
            let report = &timed.report;
            let held = report.assignment.as_ref();
            let held = held.filter(|_| report.state == EngineState::Loading);
            let Some(formed) = held.map(|held| held.formed) else {
                continue;
            };
            let known = self.loading.get(vm).filter(|(fence, _)| *fence == formed);
            let since = known.map_or(now, |(_, since)| *since);
            if now.saturating_duration_since(since) >= self.load_limit {
                let until = now + LEAVE_OUT;
                self.left_out
                    .insert(vm.clone(), (report.incarnation, until));
            }
            loading.insert(vm.clone(), (formed, since));
        }
        self.loading = loading;
        self.left_out.retain(|vm, (incarnation, until)| {
            let restarted = reports
                .report(vm)
                .is_none_or(|r| r.incarnation != *incarnation);
            now < *until && !restarted
        });
        self.left_out.keys().cloned().collect()
    }
}
