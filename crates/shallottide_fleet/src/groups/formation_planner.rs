//! Chooses groups to end for another model, and the weights to load.

use std::collections::BTreeSet;

use shallottide_types::id::{FabricId, ModelId, UpstreamId};

use super::allocation::{SupplyValue, best_packing_of, to_f64};

/// Factor by which the value of a swap must exceed that of the groups it ends; requests are cut and
/// no member serves while it lasts.
const MIN_SWAP_GAIN: f64 = 2.0;

/// How fast an upstream can join a group of a model.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Warmth {
    /// The upstream served the model last and still has it loaded.
    Loaded,
    /// The weights are on its VM.
    Staged,
    /// The weights have to be loaded first.
    Cold,
}

/// An upstream that can become a member of a group.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Candidate {
    /// The upstream.
    pub upstream: UpstreamId,
    /// Its fabric domain.
    pub fabric: FabricId,
    /// The model that it has loaded.
    pub loaded: Option<ModelId>,
    /// Models whose weights are on its VM.
    pub staged: Vec<ModelId>,
}

impl Candidate {
    /// Returns whether it holds the weights of any model.
    #[must_use]
    pub fn is_warm(&self) -> bool {
        self.loaded.is_some() || !self.staged.is_empty()
    }

    /// Counts the other models whose weights it holds; upstreams with the fewest are used first.
    pub(super) fn count_other_models(&self, model: &ModelId) -> usize {
        let staged = self.staged.iter().filter(|m| *m != model).count();
        staged + usize::from(self.loaded.as_ref().is_some_and(|m| m != model))
    }

    /// Returns how fast it can join a group of the model.
    #[must_use]
    pub fn warmth(&self, model: &ModelId) -> Warmth {
        if self.loaded.as_ref() == Some(model) {
            Warmth::Loaded
        } else if self.staged.contains(model) {
            Warmth::Staged
        } else {
            Warmth::Cold
        }
    }
}

/// Supply and demand of one model.
#[derive(Debug, Clone, PartialEq)]
pub struct Standing {
    /// The model.
    pub model: ModelId,
    /// Upstreams per group.
    pub size: usize,
    /// The model's share of the requested work; never negative.
    pub weight: f64,
    /// Upstreams in groups of the model that serve or are being formed.
    pub has: usize,
}

impl Standing {
    /// Returns the upstreams per unit of requested work, with `extra` more upstreams.
    pub(super) fn supply_ratio(&self, extra: f64) -> f64 {
        (to_f64(self.has) + extra) / self.weight.max(0.001)
    }
}

/// A group to form.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlannedGroup {
    /// The model.
    pub model: ModelId,
    /// Its members, the head first.
    pub members: Vec<UpstreamId>,
}

/// A serving group that a swap may end.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServingGroup<T> {
    /// The caller's key of the group.
    pub key: T,
    /// Its model.
    pub model: ModelId,
    /// Its fabric domain.
    pub fabric: FabricId,
    /// Its upstreams.
    pub members: Vec<Candidate>,
}

/// Groups to end so that another model gets one.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Swap<T> {
    /// Fabric domain of the groups.
    pub fabric: FabricId,
    /// The model that gets a group.
    pub model: ModelId,
    /// Keys of the groups to end.
    pub ends: Vec<T>,
}

/// Chooses groups to end in a fabric domain so that a model with less supply gets one.
///
/// The value that the change adds must exceed `MIN_SWAP_GAIN` times what the ended groups and the
/// weights that their members give up are worth.
#[must_use]
pub fn choose_swap<T: Clone>(
    standings: &[Standing],
    free: &[Candidate],
    serving: &[ServingGroup<T>],
) -> Option<Swap<T>> {
    choose_swap_worth(MIN_SWAP_GAIN, standings, free, serving)
}

/// Chooses a swap whose value exceeds `min_gain` times that of the groups it ends.
pub(super) fn choose_swap_worth<T: Clone>(
    min_gain: f64,
    standings: &[Standing],
    free: &[Candidate],
    serving: &[ServingGroup<T>],
) -> Option<Swap<T>> {
    let supplied: usize = standings.iter().map(|s| s.has).sum();
    let value = SupplyValue::new(standings, supplied + free.len());
    let (scarce, _) = standings
        .iter()
        .enumerate()
        .min_by(|a, b| a.1.supply_ratio(0.0).total_cmp(&b.1.supply_ratio(0.0)))?;
    let scarce_model = &standings[scarce].model;
    let is_warm = |c: &&Candidate| c.warmth(scarce_model) != Warmth::Cold;
    let fabrics: BTreeSet<_> = serving.iter().map(|group| &group.fabric).collect();
    let mut best: Option<(f64, Swap<T>)> = None;
    for fabric in fabrics {
        let in_fabric: Vec<_> = free.iter().filter(|c| c.fabric == *fabric).collect();
        let mut warm = in_fabric.iter().copied().filter(|c| is_warm(c)).count();
        if warm >= standings[scarce].size {
            // Free upstreams suffice: a group is formed of them first.
            return None;
        }
        let mut pool = in_fabric;
        let mut ends = Vec::new();
        let mut removed = vec![0.0; standings.len()];
        let others = serving
            .iter()
            .filter(|g| g.fabric == *fabric && g.model != *scarce_model);
        for group in others {
            let warm_members = group.members.iter().filter(is_warm).count();
            if warm >= standings[scarce].size || warm_members == 0 {
                continue;
            }
            let Some(index) = standings.iter().position(|s| s.model == group.model) else {
                continue;
            };
            removed[index] += to_f64(group.members.len());
            warm += warm_members;
            pool.extend(&group.members);
            ends.push(group.key.clone());
        }
        if warm < standings[scarce].size || ends.is_empty() {
            continue;
        }
        let Some(net) = best_packing_of(&pool, &value, &removed, scarce) else {
            continue;
        };
        let losses = removed.iter().enumerate();
        let lost: f64 = losses.map(|(m, count)| -value.gain(m, -count)).sum();
        let is_enough = net >= (min_gain - 1.0) * lost;
        if is_enough && best.as_ref().is_none_or(|(old, _)| net > *old) {
            let swap = Swap {
                fabric: fabric.clone(),
                model: scarce_model.clone(),
                ends,
            };
            best = Some((net, swap));
        }
    }
    best.map(|(_, swap)| swap)
}

/// Weight loads that complete a group.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlannedLoads {
    /// The model.
    pub model: ModelId,
    /// Upstreams per group.
    pub size: usize,
    /// Members that lack the weights.
    pub targets: Vec<UpstreamId>,
}

impl PlannedLoads {
    /// Returns the loads per upstream of the completed group; lower is better.
    #[must_use]
    pub fn cost(&self) -> f64 {
        to_f64(self.targets.len()) / to_f64(self.size.max(1))
    }
}

/// Chooses weight loads for free upstreams of one fabric domain that can't form a group yet.
///
/// Groups that need the fewest loads come first. Upstreams without any weights are loaded before
/// those that hold the weights of another model. `free` must list weights that are being loaded as
/// staged. Upstreams that can already form a group, or are too few for one, get no loads.
#[must_use]
pub fn choose_loads(
    standings: &[Standing],
    fabric: &FabricId,
    free: &[Candidate],
) -> Vec<PlannedLoads> {
    let mut rest: Vec<_> = free.iter().filter(|c| c.fabric == *fabric).collect();
    let mut loads = Vec::new();
    loop {
        let missing = |standing: &&Standing| {
            let is_warm = |c: &&&Candidate| c.warmth(&standing.model) != Warmth::Cold;
            let warm = rest.iter().filter(is_warm).count();
            standing.size.saturating_sub(warm)
        };
        let possible = standings.iter().filter(|s| s.size <= rest.len());
        let next = possible.min_by(|a, b| {
            let by_loads = missing(a).cmp(&missing(b));
            by_loads.then(a.supply_ratio(0.0).total_cmp(&b.supply_ratio(0.0)))
        });
        let Some(next) = next else {
            return loads;
        };
        rest.sort_by_key(|c| (c.warmth(&next.model), c.count_other_models(&next.model)));
        let members = rest.drain(..next.size);
        let cold = members.filter(|c| c.warmth(&next.model) == Warmth::Cold);
        let targets: Vec<_> = cold.map(|c| c.upstream.clone()).collect();
        if !targets.is_empty() {
            loads.push(PlannedLoads {
                model: next.model.clone(),
                size: next.size,
                targets,
            });
        }
    }
}

/// Chooses the model to stage on a free upstream: the one that lacks the fewest upstreams for a
/// group.
///
/// `warm` lists the free upstreams that can join a group without a load or are staging a model.
#[must_use]
pub fn choose_stage<'a>(
    standings: &'a [Standing],
    fabric: &FabricId,
    warm: &[Candidate],
) -> Option<&'a ModelId> {
    let missing = |standing: &Standing| {
        let is_warm =
            |c: &&Candidate| c.fabric == *fabric && c.warmth(&standing.model) != Warmth::Cold;
        let here = warm.iter().filter(is_warm).count();
        standing.size - here % standing.size
    };
    let best = standings.iter().min_by(|a, b| {
        let by_missing = missing(a).cmp(&missing(b));
        by_missing.then(a.supply_ratio(0.0).total_cmp(&b.supply_ratio(0.0)))
    });
    best.map(|standing| &standing.model)
}
