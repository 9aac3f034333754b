//! Staging: weights are loaded onto VMs before they are needed.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use shallottide_types::id::{FabricId, ModelId, ServiceId, UpstreamId};

use super::{Controller, LoadLimits, SentOrder, to_candidate};
use crate::adapter::OrderOutcome;
use crate::catalog::EngineFacts;
use crate::groups::formation_planner::{Candidate, Standing, Warmth, choose_loads, choose_stage};
use crate::groups::scarcity::{choose_scarce_stage, choose_valuable_loads, scarcest_first};
use crate::groups::{LoadRateLimiter, Order};
use crate::view::ClusterView;

/// Time after which staging without a visible effect is ordered again.
const STAGING_TIMEOUT: Duration = Duration::from_secs(45);
/// Time for which free upstreams must stay left over before their weights are replaced; swaps and
/// ending groups often use them sooner.
const LEFT_OVER_TIME: Duration = Duration::from_secs(2);
/// Concurrent loads of a large deployment that are left to upstreams without any weights.
const RESERVED_LOADS: usize = 2;
/// Time after which a refused staging order is resent.
const RETRY_REFUSED: Duration = Duration::from_secs(2);

#[derive(Debug)]
struct Staging {
    model: ModelId,
    sent: SentOrder,
}

/// Staging in progress, by upstream.
#[derive(Debug, Default)]
pub(super) struct StagingTracker {
    in_progress: BTreeMap<UpstreamId, Staging>,
    /// Since when the free upstreams of a fabric domain can't form a group as they are.
    left_over_since: BTreeMap<FabricId, Instant>,
}

impl StagingTracker {
    /// Returns whether weights are being loaded onto an upstream's VM; joins of the upstream must
    /// wait.
    pub(super) fn is_staging(&self, id: &UpstreamId) -> bool {
        self.in_progress.contains_key(id)
    }

    pub(super) fn record_order_outcome(
        &mut self,
        number: u64,
        outcome: OrderOutcome,
        load_limiter: &mut LoadRateLimiter,
    ) {
        for staging in self
            .in_progress
            .values_mut()
            .filter(|s| s.sent.number == number)
        {
            staging.sent.outcome = Some(outcome);
            if outcome == OrderOutcome::Unknown {
                load_limiter.record_unresolved();
            }
        }
    }
}

impl Controller {
    /// Stages weights on free upstreams without any, then a second model on serving upstreams.
    pub(super) fn stage(
        &mut self,
        view: &ClusterView,
        service: &ServiceId,
        engine: &EngineFacts,
        (work, limits): (Option<&BTreeMap<ModelId, Duration>>, LoadLimits),
        now: Instant,
    ) {
        self.remove_ended_staging(view, now);
        let standings = self.standings(view, service, engine, work);
        let free = self.free_candidates(view, service, now);
        if limits.at_once != usize::MAX {
            self.load_left_over(&standings, &free, view, limits, now);
        }
        let (mut warm, cold): (Vec<_>, Vec<_>) = free.into_iter().partition(Candidate::is_warm);
        for candidate in cold
            .iter()
            .filter(|c| self.staging.in_progress.contains_key(&c.upstream))
        {
            let model = self
                .staging
                .in_progress
                .get(&candidate.upstream)
                .map(|s| s.model.clone());
            warm.push(Candidate {
                staged: model.into_iter().collect(),
                ..candidate.clone()
            });
        }
        // The first groups of a deployment load their weights as they join.
        let is_first_forming = limits.at_once == usize::MAX && !self.forming.is_empty();
        for candidate in cold {
            if self.staging.in_progress.contains_key(&candidate.upstream) || is_first_forming {
                continue;
            }
            let choose = if self.options.large_deployment {
                choose_scarce_stage
            } else {
                choose_stage
            };
            let Some(model) = choose(&standings, &candidate.fabric, &warm) else {
                continue;
            };
            let model = model.clone();
            if !self.begin_stage(&candidate.upstream, &model, view, limits, now) {
                return;
            }
            warm.push(Candidate {
                staged: vec![model],
                ..candidate
            });
        }
        if !is_first_forming {
            self.stage_second(view, service, engine, (&standings, limits), now);
        }
    }

    /// Stages other weights on free upstreams that can't form a group with the weights they hold.
    fn load_left_over(
        &mut self,
        standings: &[Standing],
        free: &[Candidate],
        view: &ClusterView,
        limits: LoadLimits,
        now: Instant,
    ) {
        let with_staging: Vec<_> = free
            .iter()
            .map(|candidate| {
                let mut candidate = candidate.clone();
                let staging = self.staging.in_progress.get(&candidate.upstream);
                candidate.staged.extend(staging.map(|s| s.model.clone()));
                candidate
            })
            .collect();
        let fabrics: BTreeSet<_> = free.iter().map(|c| c.fabric.clone()).collect();
        self.staging
            .left_over_since
            .retain(|f, _| fabrics.contains(f));
        let mut planned = Vec::new();
        for fabric in fabrics {
            let choose = if self.options.large_deployment {
                choose_valuable_loads
            } else {
                choose_loads
            };
            let loads = choose(standings, &fabric, &with_staging);
            if loads.is_empty() {
                self.staging.left_over_since.remove(&fabric);
                continue;
            }
            let since = *self.staging.left_over_since.entry(fabric).or_insert(now);
            let is_too_early = now.saturating_duration_since(since) < LEFT_OVER_TIME;
            planned.extend(loads.into_iter().map(|loads| (loads, is_too_early)));
        }
        planned.sort_by(|a, b| a.0.cost().total_cmp(&b.0.cost()));
        for (loads, is_too_early) in planned {
            for id in &loads.targets {
                let is_cold = free.iter().any(|c| c.upstream == *id && !c.is_warm());
                let is_deferred = !is_cold && is_too_early;
                if is_deferred || self.staging.is_staging(id) {
                    continue;
                }
                if !self.begin_stage(id, &loads.model, view, limits, now) {
                    return;
                }
            }
        }
    }

    /// Stages a second model on serving upstreams, so that a swap to it is fast.
    fn stage_second(
        &mut self,
        view: &ClusterView,
        service: &ServiceId,
        engine: &EngineFacts,
        (standings, limits): (&[Standing], LoadLimits),
        now: Instant,
    ) {
        let groups = self
            .serving
            .values()
            .filter(|group| group.service == *service);
        let members: Vec<UpstreamId> = groups.flat_map(|g| g.members.values().cloned()).collect();
        let before_traffic = limits.at_once == usize::MAX;
        let is_large = self.options.large_deployment;
        // Engines that replace lost ones are being staged all the time in a large deployment, so
        // waiting for a moment without staging would leave serving upstreams without a second model.
        let most_beside = if is_large {
            limits.at_once.saturating_sub(RESERVED_LOADS)
        } else {
            1
        };
        let standings = if is_large {
            scarcest_first(standings)
        } else {
            standings.iter().collect()
        };
        for id in members {
            let latest = self.health.latest(&id, view);
            let Some(candidate) = latest.filter(|u| !u.draining).and_then(to_candidate) else {
                continue;
            };
            if self.staging.in_progress.contains_key(&id) {
                continue;
            }
            let is_missing = |s: &&&Standing| candidate.warmth(&s.model) == Warmth::Cold;
            let Some(standing) = standings.iter().find(is_missing) else {
                continue;
            };
            // Staging evicts the oldest staged model, which may be the one being served.
            let is_full = candidate.staged.len() >= engine.staged_kept.max(1);
            let has_loaded_model = candidate.loaded.is_some();
            if is_full && !has_loaded_model {
                continue;
            }
            let model = standing.model.clone();
            // Under traffic, leaves load capacity for upstreams without any weights.
            if !before_traffic && self.staging.in_progress.len() >= most_beside {
                return;
            }
            if !self.begin_stage(&id, &model, view, limits, now) {
                return;
            }
        }
    }

    /// Orders staging; returns whether the limits on loads allow more.
    fn begin_stage(
        &mut self,
        id: &UpstreamId,
        model: &ModelId,
        view: &ClusterView,
        limits: LoadLimits,
        now: Instant,
    ) -> bool {
        let is_at_limit = self.staging.in_progress.len() >= limits.at_once;
        if is_at_limit || !self.load_limiter.allows(limits.per_window, now) {
            return false;
        }
        let Some(to) = self.health.latest(id, view).cloned() else {
            return true;
        };
        self.load_limiter.record_start(now);
        let sent = self.send(&to, Order::Stage(model.clone()), now);
        let staging = Staging {
            model: model.clone(),
            sent,
        };
        self.staging.in_progress.insert(id.clone(), staging);
        true
    }

    /// Removes staging that has completed, was refused or has timed out.
    fn remove_ended_staging(&mut self, view: &ClusterView, now: Instant) {
        let Self {
            staging: tracker,
            health,
            load_limiter,
            ..
        } = self;
        tracker.in_progress.retain(|id, staging| {
            let latest = health.latest(id, view);
            let is_done = latest.is_none_or(|u| u.staged.contains(&staging.model));
            let age = now.saturating_duration_since(staging.sent.at);
            let is_refused = matches!(
                staging.sent.outcome,
                Some(OrderOutcome::Refused | OrderOutcome::Misdirected)
            );
            let is_kept = !is_done
                && age
                    < if is_refused {
                        RETRY_REFUSED
                    } else {
                        STAGING_TIMEOUT
                    };
            if !is_kept && staging.sent.outcome == Some(OrderOutcome::Unknown) {
                load_limiter.record_resolved(now);
            }
            is_kept
        });
    }
}
