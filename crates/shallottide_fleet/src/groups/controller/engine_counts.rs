//! Counts of a failure domain's engines by activity, for metrics and logs.

use std::collections::BTreeMap;
use std::time::Instant;

use shallottide_types::id::{FabricId, UpstreamId};

use super::Controller;
use super::plan::to_candidate;
use crate::catalog::EngineFacts;
use crate::groups::formation_planner::{Candidate, Warmth};
use crate::upstream::Upstream;
use crate::view::ClusterView;

/// Number of engines by activity.
///
/// Those that serve nothing are counted by cause: `lost`, `leaving`, `joining`, `ending`, `staging`,
/// `without_weights`, `reserved` for the model of a swap, `too_few_in_fabric` for any group,
/// `weights_differ` (enough for a group, but not with the weights of one model), `unconfirmed` (a
/// group waits for reports) and `free` for the others.
pub type EngineCounts = BTreeMap<&'static str, usize>;

/// What keeps the free engines of one fabric domain from forming a group.
#[derive(Debug, Clone, Copy)]
enum IdleCause {
    Reserved,
    TooFew,
    WeightsDiffer,
    Unconfirmed,
    Unknown,
}

impl IdleCause {
    fn name(self) -> &'static str {
        match self {
            Self::Reserved => "reserved",
            Self::TooFew => "too_few_in_fabric",
            Self::WeightsDiffer => "weights_differ",
            Self::Unconfirmed => "unconfirmed",
            Self::Unknown => "free",
        }
    }
}

impl Controller {
    /// Counts the engines of this controller's domain by activity.
    #[must_use]
    pub fn count_engines(&self, view: &ClusterView, now: Instant) -> EngineCounts {
        let mut counts = EngineCounts::new();
        let engines = view
            .upstreams
            .iter()
            .filter(|(_, known)| known.upstream.fabric.is_some())
            .filter(|(_, known)| known.upstream.domain == self.options.domain);
        let mut free: BTreeMap<_, Vec<Candidate>> = BTreeMap::new();
        for (id, known) in engines {
            if let Some(activity) = self.activity(id, &known.upstream, view, now) {
                *counts.entry(activity).or_default() += 1;
            } else if let Some(candidate) = to_candidate(&known.upstream) {
                let key = (&known.upstream.service, candidate.fabric.clone());
                free.entry(key).or_default().push(candidate);
            }
        }
        for ((service, fabric), free) in free {
            let engine = view.catalog.as_ref().and_then(|c| c.engine(service));
            let cause = self.idle_cause(engine, &fabric, &free, view, now);
            *counts.entry(cause.name()).or_default() += free.len();
        }
        counts
    }

    /// Returns what an engine does, or `None` if it holds weights and is in no group.
    fn activity(
        &self,
        id: &UpstreamId,
        upstream: &Upstream,
        view: &ClusterView,
        now: Instant,
    ) -> Option<&'static str> {
        let formation = upstream.membership.as_ref().map(|m| &m.formation);
        let forming = &mut self.forming.values();
        let activity = if self.health.is_lost(id, view, &self.options, now) {
            "lost"
        } else if upstream.draining {
            "leaving"
        } else if forming.any(|group| group.members.contains(id)) {
            "joining"
        } else if formation.is_some_and(|f| self.serving.contains_key(f)) {
            "serving"
        } else if formation.is_some_and(|f| self.retiring.contains_key(f)) {
            "ending"
        } else if self.staging.is_staging(id) {
            "staging"
        } else if upstream.staged.is_empty() {
            "without_weights"
        } else {
            return None;
        };
        Some(activity)
    }

    fn idle_cause(
        &self,
        engine: Option<&EngineFacts>,
        fabric: &FabricId,
        free: &[Candidate],
        view: &ClusterView,
        now: Instant,
    ) -> IdleCause {
        let models = || engine.iter().flat_map(|engine| &engine.models);
        let reservation = self.reservation.as_ref();
        if reservation.is_some_and(|reservation| reservation.holds(fabric, now)) {
            return IdleCause::Reserved;
        }
        if models().all(|facts| free.len() < facts.size) {
            return IdleCause::TooFew;
        }
        let can_form = |facts: &crate::catalog::ModelFacts| {
            let warm = free.iter();
            let warm = warm.filter(|c| c.warmth(&facts.model) != Warmth::Cold);
            warm.count() >= facts.size
        };
        if !models().any(can_form) {
            return IdleCause::WeightsDiffer;
        }
        let is_confirmed = |c: &Candidate| self.health.is_confirmed(&c.upstream, view, now);
        if free.iter().all(is_confirmed) {
            IdleCause::Unknown
        } else {
            IdleCause::Unconfirmed
        }
    }
}
