//! Liveness of upstreams, from probes and store entries.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use shallottide_types::id::UpstreamId;

use super::{Action, Controller, ControllerOptions};
use crate::adapter::EngineReport;
use crate::upstream::Upstream;
use crate::view::ClusterView;

/// Unanswered probes in a row after which an upstream counts as unresponsive.
const MAX_FAILED_PROBES: u32 = 2;
/// Time without a new entry, beyond a heartbeat interval, after which a member is probed. A store
/// may omit entries in which only the heartbeat changed, so this is the usual case.
const LATE_MARGIN: Duration = Duration::from_millis(650);
/// Shortest time between two probes of one upstream.
const PROBE_INTERVAL: Duration = Duration::from_millis(350);
/// Time after which a member whose group is not suspected is probed again. Stalled streams cause a
/// suspicion much sooner; this finds lost members of groups without requests.
const ROUTINE_PROBE_INTERVAL: Duration = Duration::from_secs(3);
/// Time for which a report confirms an entry.
const CONFIRMATION_TIME: Duration = Duration::from_millis(1_500);
/// Time for which a suspicion causes probes.
const SUSPICION_TIME: Duration = Duration::from_secs(2);

#[derive(Debug, Clone, Default)]
struct Health {
    failed_probes: u32,
    failed_at: Option<Instant>,
    probed_at: Option<Instant>,
    is_probe_pending: bool,
    /// The last report, and when it arrived.
    report: Option<(Instant, Upstream)>,
    /// Number of orders that the upstream had accepted by then.
    order_count: Option<u64>,
}

/// Liveness of all upstreams of a domain.
#[derive(Debug, Default)]
pub(super) struct HealthTracker {
    upstreams: BTreeMap<UpstreamId, Health>,
    /// Last entry of each engine, kept while it has an entry or a formation lists it.
    last_entries: BTreeMap<UpstreamId, Upstream>,
    suspects: BTreeMap<UpstreamId, Instant>,
}

impl HealthTracker {
    pub(super) fn is_probing(&self) -> bool {
        self.upstreams
            .values()
            .any(|h| h.is_probe_pending || h.failed_probes > 0)
    }

    /// Stores newer entries, and drops upstreams that are in no formation and have no entry.
    pub(super) fn observe(&mut self, view: &ClusterView) {
        for (id, known) in &view.upstreams {
            if known.upstream.fabric.is_none() {
                continue;
            }
            if let Some(health) = self.upstreams.get_mut(id)
                && health.failed_at.is_some_and(|at| at < known.seen)
            {
                health.failed_probes = 0;
                health.failed_at = None;
            }
            if self.last_entries.get(id) != Some(&known.upstream) {
                self.last_entries.insert(id.clone(), known.upstream.clone());
            }
        }
        let formation_members: BTreeSet<_> = view
            .formations
            .values()
            .flat_map(BTreeMap::values)
            .collect();
        let is_kept =
            |id: &UpstreamId| view.upstreams.contains_key(id) || formation_members.contains(id);
        self.last_entries.retain(|id, _| is_kept(id));
        self.upstreams.retain(|id, _| is_kept(id));
    }

    pub(super) fn suspect(&mut self, head: &UpstreamId, now: Instant) {
        self.suspects.insert(head.clone(), now);
    }

    pub(super) fn record_probe_result(
        &mut self,
        to: &UpstreamId,
        report: Option<EngineReport>,
        now: Instant,
    ) {
        let health = self.upstreams.entry(to.clone()).or_default();
        health.is_probe_pending = false;
        if let Some(report) = report {
            health.failed_probes = 0;
            health.failed_at = None;
            health.report = Some((now, report.upstream));
            health.order_count = report.order_count;
        } else {
            health.failed_probes += 1;
            health.failed_at = Some(now);
            tracing::info!(upstream = %to, fails = health.failed_probes, "probe not answered");
        }
    }

    /// Records that a probe ended without showing anything of its upstream.
    pub(super) fn record_probe_abandoned(&mut self, to: &UpstreamId) {
        if let Some(health) = self.upstreams.get_mut(to) {
            health.is_probe_pending = false;
        }
    }

    /// Returns the newest known state of an upstream with an entry or a report.
    pub(super) fn latest<'a>(
        &'a self,
        id: &UpstreamId,
        view: &'a ClusterView,
    ) -> Option<&'a Upstream> {
        let report = self.upstreams.get(id).and_then(|h| h.report.as_ref());
        match (view.upstreams.get(id), report) {
            (Some(known), Some((at, _))) if *at < known.seen => Some(&known.upstream),
            (_, Some((_, report))) => Some(report),
            (Some(known), None) => Some(&known.upstream),
            (None, None) => None,
        }
    }

    /// Returns whether a recent report of the upstream confirms its known membership.
    ///
    /// An entry alone may be an old one that was written late.
    pub(super) fn is_confirmed(&self, id: &UpstreamId, view: &ClusterView, now: Instant) -> bool {
        let report = self.upstreams.get(id).and_then(|h| h.report.as_ref());
        let latest = self.latest(id, view);
        report.zip(latest).is_some_and(|((at, report), latest)| {
            now.saturating_duration_since(*at) < CONFIRMATION_TIME
                && report.membership == latest.membership
                && report.born == latest.born
        })
    }

    /// Returns the last report of an upstream if it arrived after a time.
    pub(super) fn report_since(&self, id: &UpstreamId, since: Instant) -> Option<&Upstream> {
        let (at, report) = self.upstreams.get(id)?.report.as_ref()?;
        (*at > since).then_some(report)
    }

    /// Returns the number of orders that an upstream had accepted by its last report.
    pub(super) fn order_count(&self, id: &UpstreamId) -> Option<u64> {
        self.upstreams.get(id)?.order_count
    }

    /// Returns the last entry of an upstream, which may have been removed since.
    pub(super) fn last_entry(&self, id: &UpstreamId) -> Option<&Upstream> {
        self.last_entries.get(id)
    }

    pub(super) fn start_times<'a>(
        &self,
        ids: impl Iterator<Item = &'a UpstreamId>,
        view: &ClusterView,
    ) -> BTreeMap<UpstreamId, u64> {
        ids.filter_map(|id| Some((id.clone(), self.latest(id, view)?.born)))
            .collect()
    }

    fn is_late(
        id: &UpstreamId,
        view: &ClusterView,
        options: &ControllerOptions,
        now: Instant,
    ) -> bool {
        view.upstreams.get(id).is_none_or(|known| {
            now.saturating_duration_since(known.seen) > options.heartbeat + LATE_MARGIN
        })
    }

    /// Returns whether an upstream counts as lost: it neither writes entries nor answers probes.
    pub(super) fn is_lost(
        &self,
        id: &UpstreamId,
        view: &ClusterView,
        options: &ControllerOptions,
        now: Instant,
    ) -> bool {
        self.upstreams
            .get(id)
            .is_some_and(|h| h.failed_probes >= MAX_FAILED_PROBES)
            && Self::is_late(id, view, options, now)
    }

    /// Returns whether an upstream does not answer probes, whatever its entry shows.
    pub(super) fn is_unresponsive(&self, id: &UpstreamId) -> bool {
        self.upstreams
            .get(id)
            .is_some_and(|h| h.failed_probes >= MAX_FAILED_PROBES)
    }

    fn probe_due(&mut self, id: &UpstreamId, now: Instant) -> Option<Upstream> {
        let to = self.last_entries.get(id)?.clone();
        let health = self.upstreams.entry(id.clone()).or_default();
        let is_due = health
            .probed_at
            .is_none_or(|at| now.saturating_duration_since(at) >= PROBE_INTERVAL);
        if health.is_probe_pending || !is_due {
            return None;
        }
        health.is_probe_pending = true;
        health.probed_at = Some(now);
        Some(to)
    }
}

impl Controller {
    /// Returns whether a report confirms what is known of an upstream; probes it if not.
    pub(super) fn confirm(&mut self, id: &UpstreamId, view: &ClusterView, now: Instant) -> bool {
        let is_confirmed = self.health.is_confirmed(id, view, now);
        if !is_confirmed {
            self.probe(id, now);
        }
        is_confirmed
    }

    /// Requests an upstream's report, unless a probe is pending or was sent recently.
    pub(super) fn probe(&mut self, id: &UpstreamId, now: Instant) {
        if let Some(to) = self.health.probe_due(id, now) {
            self.actions.push(Action::Probe(Box::new(to)));
        }
    }

    /// Probes members of serving groups whose entry is late or whose head is suspected.
    pub(super) fn probe_members(&mut self, view: &ClusterView, now: Instant) {
        self.health
            .suspects
            .retain(|_, at| now.saturating_duration_since(*at) < SUSPICION_TIME);
        let mut due = Vec::new();
        for (formation, group) in &self.serving {
            let members = view.formations.get(formation).unwrap_or(&group.members);
            let head = members.get(&0);
            let is_suspected = head.is_some_and(|id| self.health.suspects.contains_key(id));
            for id in members.values() {
                let is_stale = HealthTracker::is_late(id, view, &self.options, now)
                    && self.health.probe_age(id, now) > ROUTINE_PROBE_INTERVAL;
                let has_failed = self.health.has_failed_probe(id);
                if is_suspected || is_stale || has_failed {
                    due.push(id.clone());
                }
            }
        }
        for id in due {
            self.probe(&id, now);
        }
    }
}

impl HealthTracker {
    /// Returns the time since the last probe, or [`Duration::MAX`] if there was none.
    fn probe_age(&self, id: &UpstreamId, now: Instant) -> Duration {
        let probed_at = self.upstreams.get(id).and_then(|h| h.probed_at);
        probed_at.map_or(Duration::MAX, |at| now.saturating_duration_since(at))
    }

    /// Returns whether the last probe of an upstream was not answered.
    fn has_failed_probe(&self, id: &UpstreamId) -> bool {
        self.upstreams.get(id).is_some_and(|h| h.failed_probes > 0)
    }
}
