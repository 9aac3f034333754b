//! What probes and entries say of upstreams' lives.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use shallottide_types::id::UpstreamId;

use super::{Action, Controller, ControllerOptions};
use crate::upstream::Upstream;
use crate::view::ClusterView;

/// Probes without an answer after which an upstream is lost.
const FAILS: u32 = 2;
/// Time without a new entry, beyond a heartbeat, after which a member is asked itself. A store need
/// not show entries that changed in nothing but their heartbeat, so this is the usual case.
const LATE_SLACK: Duration = Duration::from_millis(650);
/// Pause between two probes of one upstream.
const PROBE_PAUSE: Duration = Duration::from_millis(350);
/// Time for which a report confirms what an entry says.
const CONFIRMED: Duration = Duration::from_millis(1_500);
/// Time for which a suspicion keeps probes going.
const SUSPICION: Duration = Duration::from_secs(2);

#[derive(Debug, Clone, Default)]
struct Health {
    fails: u32,
    failed_at: Option<Instant>,
    probed_at: Option<Instant>,
    is_probed: bool,
    /// The last report, and when it came.
    report: Option<(Instant, Upstream)>,
}

/// Lives of all upstreams of a domain.
#[derive(Debug, Default)]
pub(super) struct HealthBook {
    upstreams: BTreeMap<UpstreamId, Health>,
    /// Upstreams that had an entry while they were in a group.
    remembered: BTreeMap<UpstreamId, Upstream>,
    suspects: BTreeMap<UpstreamId, Instant>,
}

impl HealthBook {
    pub(super) fn is_probing(&self) -> bool {
        self.upstreams.values().any(|h| h.is_probed || h.fails > 0)
    }

    /// Takes in newer entries.
    pub(super) fn note(&mut self, view: &ClusterView) {
        for (id, known) in &view.upstreams {
            if known.upstream.fabric.is_none() {
                continue;
            }
            if let Some(health) = self.upstreams.get_mut(id)
                && health.failed_at.is_some_and(|at| at < known.seen)
            {
                health.fails = 0;
                health.failed_at = None;
            }
            if self.remembered.get(id) != Some(&known.upstream) {
                self.remembered.insert(id.clone(), known.upstream.clone());
            }
        }
        let in_use: BTreeSet<_> = view
            .formations
            .values()
            .flat_map(BTreeMap::values)
            .collect();
        let is_kept = |id: &UpstreamId| view.upstreams.contains_key(id) || in_use.contains(id);
        self.remembered.retain(|id, _| is_kept(id));
        self.upstreams.retain(|id, _| is_kept(id));
    }

    pub(super) fn suspect(&mut self, head: &UpstreamId, now: Instant) {
        self.suspects.insert(head.clone(), now);
    }

    pub(super) fn record_probe_result(
        &mut self,
        to: &UpstreamId,
        report: Option<Upstream>,
        now: Instant,
    ) {
        let health = self.upstreams.entry(to.clone()).or_default();
        health.is_probed = false;
        if let Some(report) = report {
            health.fails = 0;
            health.failed_at = None;
            health.report = Some((now, report));
        } else {
            health.fails += 1;
            health.failed_at = Some(now);
            tracing::info!(upstream = %to, fails = health.fails, "probe without answer");
        }
    }

    /// Returns the newest that is known of an upstream with an entry or a report.
    pub(super) fn fact<'a>(
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

    /// Tells whether an upstream has itself confirmed lately what is known of its group.
    ///
    /// An entry alone may be an old one that was written late.
    pub(super) fn is_confirmed(&self, id: &UpstreamId, view: &ClusterView, now: Instant) -> bool {
        let report = self.upstreams.get(id).and_then(|h| h.report.as_ref());
        let fact = self.fact(id, view);
        report.zip(fact).is_some_and(|((at, report), fact)| {
            now.saturating_duration_since(*at) < CONFIRMED
                && report.membership == fact.membership
                && report.born == fact.born
        })
    }

    /// Returns what is known of an upstream, whether it still has an entry or not.
    pub(super) fn remembered(&self, id: &UpstreamId) -> Option<&Upstream> {
        self.remembered.get(id)
    }

    pub(super) fn births<'a>(
        &self,
        ids: impl Iterator<Item = &'a UpstreamId>,
        view: &ClusterView,
    ) -> BTreeMap<UpstreamId, u64> {
        ids.filter_map(|id| Some((id.clone(), self.fact(id, view)?.born)))
            .collect()
    }

    fn is_late(
        id: &UpstreamId,
        view: &ClusterView,
        options: &ControllerOptions,
        now: Instant,
    ) -> bool {
        view.upstreams.get(id).is_none_or(|known| {
            now.saturating_duration_since(known.seen) > options.heartbeat + LATE_SLACK
        })
    }

    /// Tells whether an upstream is dead: it neither writes entries nor answers.
    pub(super) fn is_lost(
        &self,
        id: &UpstreamId,
        view: &ClusterView,
        options: &ControllerOptions,
        now: Instant,
    ) -> bool {
        self.upstreams.get(id).is_some_and(|h| h.fails >= FAILS)
            && Self::is_late(id, view, options, now)
    }

    /// Tells whether an upstream does not answer, whatever its entry says.
    pub(super) fn is_silent(&self, id: &UpstreamId) -> bool {
        self.upstreams.get(id).is_some_and(|h| h.fails >= FAILS)
    }

    fn probe_due(&mut self, id: &UpstreamId, now: Instant) -> Option<Upstream> {
        let to = self.remembered.get(id)?.clone();
        let health = self.upstreams.entry(id.clone()).or_default();
        let is_due = health
            .probed_at
            .is_none_or(|at| now.saturating_duration_since(at) >= PROBE_PAUSE);
        if health.is_probed || !is_due {
            return None;
        }
        health.is_probed = true;
        health.probed_at = Some(now);
        Some(to)
    }
}

impl Controller {
    /// Tells whether an upstream has confirmed what is known of it; asks it if not.
    pub(super) fn confirm(&mut self, id: &UpstreamId, view: &ClusterView, now: Instant) -> bool {
        let is_confirmed = self.health.is_confirmed(id, view, now);
        if !is_confirmed {
            self.probe(id, now);
        }
        is_confirmed
    }

    /// Asks an upstream for its report, at most once per pause.
    pub(super) fn probe(&mut self, id: &UpstreamId, now: Instant) {
        if let Some(to) = self.health.probe_due(id, now) {
            self.actions.push(Action::Probe(Box::new(to)));
        }
    }

    /// Probes members of serving groups that are late, or whose head stalls.
    pub(super) fn probe_members(&mut self, view: &ClusterView, now: Instant) {
        self.health
            .suspects
            .retain(|_, at| now.saturating_duration_since(*at) < SUSPICION);
        let mut due = Vec::new();
        for (formation, group) in &self.serving {
            let members = view.formations.get(formation).unwrap_or(&group.members);
            let head = members.get(&0);
            let suspected = head.is_some_and(|id| self.health.suspects.contains_key(id));
            for id in members.values() {
                let is_quiet = HealthBook::is_late(id, view, &self.options, now)
                    && self.health.report_age(id, now) > PROBE_PAUSE * 2;
                if suspected || is_quiet {
                    due.push(id.clone());
                }
            }
        }
        for id in due {
            self.probe(&id, now);
        }
    }
}

impl HealthBook {
    /// Returns the age of the last report, or a long time when there is none.
    fn report_age(&self, id: &UpstreamId, now: Instant) -> Duration {
        let report = self.upstreams.get(id).and_then(|h| h.report.as_ref());
        report.map_or(Duration::MAX, |(at, _)| now.saturating_duration_since(*at))
    }
}
