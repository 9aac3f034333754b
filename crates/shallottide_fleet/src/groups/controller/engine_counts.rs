//! Counts of a failure domain's engines by activity, for metrics and logs.

use std::collections::BTreeMap;
use std::time::Instant;

use shallottide_types::id::UpstreamId;

use super::Controller;
use crate::upstream::Upstream;
use crate::view::ClusterView;

/// Number of engines by activity.
pub type EngineCounts = BTreeMap<&'static str, usize>;

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
        for (id, known) in engines {
            let activity = self.activity(id, &known.upstream, view, now);
            *counts.entry(activity).or_default() += 1;
        }
        counts
    }

    fn activity(
        &self,
        id: &UpstreamId,
        upstream: &Upstream,
        view: &ClusterView,
        now: Instant,
    ) -> &'static str {
        let formation = upstream.membership.as_ref().map(|m| &m.formation);
        if self.health.is_lost(id, view, &self.options, now) {
            "lost"
        } else if upstream.draining {
            "leaving"
        } else if self
            .forming
            .values()
            .any(|group| group.members.contains(id))
        {
            "joining"
        } else if formation.is_some_and(|f| self.serving.contains_key(f)) {
            "serving"
        } else if formation.is_some_and(|f| self.retiring.contains_key(f)) {
            "ending"
        } else if upstream.staged.is_empty() {
            "without_weights"
        } else {
            "free"
        }
    }
}
