//! Weights that are loaded onto VMs ahead of their use.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use shallottide_types::id::{FabricId, ModelId, ServiceId, UpstreamId};

use super::{Asked, Controller, LoadBounds, candidate};
use crate::border::OrderOutcome;
use crate::catalog::EngineFacts;
use crate::groups::planner::{Candidate, Standing, Warmth, choose_loads, choose_stage};
use crate::groups::{LoadRateLimiter, Order};
use crate::view::ClusterView;

/// Time after which staging that shows no effect is ordered again.
const GIVE_UP: Duration = Duration::from_secs(45);
/// Time for which free upstreams have to be left over before their weights are replaced; swaps and
/// the ends of other groups often use them sooner.
const LEFT_OVER: Duration = Duration::from_secs(2);
/// Time after which a refused order to stage is sent again.
const RETRY_REFUSED: Duration = Duration::from_secs(2);

#[derive(Debug)]
struct Staging {
    model: ModelId,
    asked: Asked,
}

/// Staging that goes on.
#[derive(Debug, Default)]
pub(super) struct Stages {
    going: BTreeMap<UpstreamId, Staging>,
    /// Since when the free upstreams of a fabric domain can't form a group as they are.
    left_over: BTreeMap<FabricId, Instant>,
}

impl Stages {
    /// Tells whether weights are being loaded onto an upstream's VM; joins from there have to wait.
    pub(super) fn is_going(&self, id: &UpstreamId) -> bool {
        self.going.contains_key(id)
    }

    pub(super) fn record_order_outcome(
        &mut self,
        number: u64,
        outcome: OrderOutcome,
        pace: &mut LoadRateLimiter,
    ) {
        for staging in self.going.values_mut().filter(|s| s.asked.number == number) {
            staging.asked.outcome = Some(outcome);
            if outcome == OrderOutcome::Unknown {
                pace.unresolved();
            }
        }
    }
}

impl Controller {
    /// Stages weights on free upstreams without any, then a second model on those that serve.
    pub(super) fn stage(
        &mut self,
        view: &ClusterView,
        service: &ServiceId,
        engine: &EngineFacts,
        (work, bounds): (Option<&BTreeMap<ModelId, Duration>>, LoadBounds),
        now: Instant,
    ) {
        self.end_stages(view, now);
        let standings = self.standings(view, service, engine, work);
        let free = self.free(view, service, now);
        if bounds.at_once != usize::MAX {
            self.load_left_over(&standings, &free, view, bounds, now);
        }
        let (mut warm, cold): (Vec<_>, Vec<_>) = free.into_iter().partition(Candidate::is_warm);
        for going in cold
            .iter()
            .filter(|c| self.stages.going.contains_key(&c.upstream))
        {
            let staged = self
                .stages
                .going
                .get(&going.upstream)
                .map(|s| s.model.clone());
            warm.push(Candidate {
                staged: staged.into_iter().collect(),
                ..going.clone()
            });
        }
        // The first groups of a deployment load their weights as they join.
        let is_forming = bounds.at_once == usize::MAX && !self.builds.is_empty();
        for candidate in cold {
            if self.stages.going.contains_key(&candidate.upstream) || is_forming {
                continue;
            }
            let Some(model) = choose_stage(&standings, &candidate.fabric, &warm) else {
                continue;
            };
            let model = model.clone();
            if !self.begin_stage(&candidate.upstream, &model, view, bounds, now) {
                return;
            }
            warm.push(Candidate {
                staged: vec![model],
                ..candidate
            });
        }
        if !is_forming {
            self.stage_second(view, service, engine, (&standings, bounds), now);
        }
    }

    /// Loads weights onto free upstreams that hold those of models they can't form a group of.
    fn load_left_over(
        &mut self,
        standings: &[Standing],
        free: &[Candidate],
        view: &ClusterView,
        bounds: LoadBounds,
        now: Instant,
    ) {
        let with_going: Vec<_> = free
            .iter()
            .map(|candidate| {
                let mut candidate = candidate.clone();
                let going = self.stages.going.get(&candidate.upstream);
                candidate.staged.extend(going.map(|s| s.model.clone()));
                candidate
            })
            .collect();
        let fabrics: BTreeSet<_> = free.iter().map(|c| c.fabric.clone()).collect();
        self.stages.left_over.retain(|f, _| fabrics.contains(f));
        let mut planned = Vec::new();
        for fabric in fabrics {
            let loads = choose_loads(standings, &fabric, &with_going);
            if loads.is_empty() {
                self.stages.left_over.remove(&fabric);
                continue;
            }
            let since = *self.stages.left_over.entry(fabric).or_insert(now);
            let is_patient = now.saturating_duration_since(since) < LEFT_OVER;
            planned.extend(loads.into_iter().map(|loads| (loads, is_patient)));
        }
        planned.sort_by(|a, b| a.0.cost().total_cmp(&b.0.cost()));
        for (loads, is_patient) in planned {
            for id in &loads.onto {
                let is_cold = free.iter().any(|c| c.upstream == *id && !c.is_warm());
                let waits = !is_cold && is_patient;
                if waits || self.stages.is_going(id) {
                    continue;
                }
                if !self.begin_stage(id, &loads.model, view, bounds, now) {
                    return;
                }
            }
        }
    }

    /// Stages a model on upstreams that serve another, so that they can change over fast.
    fn stage_second(
        &mut self,
        view: &ClusterView,
        service: &ServiceId,
        engine: &EngineFacts,
        (standings, bounds): (&[Standing], LoadBounds),
        now: Instant,
    ) {
        let groups = self
            .serving
            .values()
            .filter(|group| group.service == *service);
        let members: Vec<UpstreamId> = groups.flat_map(|g| g.members.values().cloned()).collect();
        let before_traffic = bounds.at_once == usize::MAX;
        for id in members {
            let fact = self.health.fact(&id, view);
            let Some(candidate) = fact.filter(|u| !u.draining).and_then(candidate) else {
                continue;
            };
            if self.stages.going.contains_key(&id) {
                continue;
            }
            let is_missing = |s: &&Standing| candidate.warmth(&s.model) == Warmth::Cold;
            let Some(standing) = standings.iter().find(is_missing) else {
                continue;
            };
            // Staging pushes out the oldest staged model, which may be the one that it serves.
            let is_full = candidate.staged.len() >= engine.staged_kept.max(1);
            let keeps_own = candidate.loaded.is_some();
            if is_full && !keeps_own {
                continue;
            }
            let model = standing.model.clone();
            // Leaves room for upstreams without any weights while callers are served.
            if !before_traffic && !self.stages.going.is_empty() {
                return;
            }
            if !self.begin_stage(&id, &model, view, bounds, now) {
                return;
            }
        }
    }

    /// Orders staging; returns whether the bounds on loads allowed it.
    fn begin_stage(
        &mut self,
        id: &UpstreamId,
        model: &ModelId,
        view: &ClusterView,
        bounds: LoadBounds,
        now: Instant,
    ) -> bool {
        let is_bounded = self.stages.going.len() >= bounds.at_once;
        if is_bounded || !self.pace.allows(bounds.per_window, now) {
            return false;
        }
        let Some(to) = self.health.fact(id, view).cloned() else {
            return true;
        };
        self.pace.begun(now);
        let asked = self.send(&to, Order::Stage(model.clone()), now);
        let staging = Staging {
            model: model.clone(),
            asked,
        };
        self.stages.going.insert(id.clone(), staging);
        true
    }

    /// Forgets staging that has ended, or that shows no effect for too long.
    fn end_stages(&mut self, view: &ClusterView, now: Instant) {
        let Self {
            stages,
            health,
            pace,
            ..
        } = self;
        stages.going.retain(|id, staging| {
            let fact = health.fact(id, view);
            let is_done = fact.is_none_or(|u| u.staged.contains(&staging.model));
            let age = now.saturating_duration_since(staging.asked.at);
            let is_refused = matches!(
                staging.asked.outcome,
                Some(OrderOutcome::Refused | OrderOutcome::Misdirected)
            );
            let keeps = !is_done && age < if is_refused { RETRY_REFUSED } else { GIVE_UP };
            if !keeps && staging.asked.outcome == Some(OrderOutcome::Unknown) {
                pace.resolved(now);
            }
            keeps
        });
    }
}
