//! Members that answer but never become ready.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use shallottide_types::engine::EngineState;
use shallottide_types::id::{FencingToken, Incarnation, VmId};

use super::GroupOptions;
use super::report_tracker::ReportTracker;

/// How long a VM is excluded after it failed to load in time, unless its engine restarts.
const EXCLUSION_TIME: Duration = Duration::from_mins(30);

/// Excludes VMs that load the same assignment for longer than `load_timeout`.
#[derive(Debug)]
pub(super) struct SlowMembers {
    load_timeout: Duration,
    /// The assignment that each engine is loading, by the token that formed its group, and the time
    /// since which it has been loading.
    loading: BTreeMap<VmId, (FencingToken, Instant)>,
    excluded: BTreeMap<VmId, (Incarnation, Instant)>,
}

impl SlowMembers {
    pub(super) fn new(options: &GroupOptions) -> Self {
        Self {
            load_timeout: options.load_timeout,
            loading: BTreeMap::new(),
            excluded: BTreeMap::new(),
        }
    }

    /// Applies the latest reports and returns the VMs that are now excluded.
    pub(super) fn update(&mut self, reports: &ReportTracker, now: Instant) -> BTreeSet<VmId> {
        let mut loading = BTreeMap::new();
        for (vm, timed) in reports.reports() {
            let report = &timed.report;
            let held = report.assignment.as_ref();
            let held = held.filter(|_| report.state == EngineState::Loading);
            let Some(formed) = held.map(|held| held.formed) else {
                continue;
            };
            let known = self.loading.get(vm).filter(|(token, _)| *token == formed);
            let since = known.map_or(now, |(_, since)| *since);
            if now.saturating_duration_since(since) >= self.load_timeout {
                let until = now + EXCLUSION_TIME;
                self.excluded
                    .insert(vm.clone(), (report.incarnation, until));
            }
            loading.insert(vm.clone(), (formed, since));
        }
        self.loading = loading;
        self.excluded.retain(|vm, (incarnation, until)| {
            let restarted = reports
                .report(vm)
                .is_none_or(|r| r.incarnation != *incarnation);
            now < *until && !restarted
        });
        self.excluded.keys().cloned().collect()
    }
}
