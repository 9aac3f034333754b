//! Chooses the next group to form.

use std::collections::BTreeMap;

use shallottide_types::id::{FabricId, ModelId, UpstreamId};

/// Factor by which every other model's supply ratio must exceed the lowest one before a swap.
const SWAP_RATIO: f64 = 1.5;
/// Factor by which a model's supply ratio must be lower to form a group that loads weights while
/// another model could start without a load.
const COLD_PENALTY: f64 = 1.8;

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
    fn supply_ratio(&self, extra: f64) -> f64 {
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

/// Chooses the next group to form of free upstreams, for the model with the lowest supply ratio.
///
/// Unless `may_load` is set, no member needs a weight load.
#[must_use]
pub fn choose_group(
    standings: &[Standing],
    free: &[Candidate],
    may_load: bool,
) -> Option<PlannedGroup> {
    let mut options: Vec<(f64, Warmth, PlannedGroup)> = Vec::new();
    for standing in standings {
        if let Some((warmth, group)) = best_members(standing, free)
            && (may_load || warmth != Warmth::Cold)
        {
            options.push((standing.supply_ratio(0.0), warmth, group));
        }
    }
    let penalized = |ratio: f64, warmth: Warmth| match warmth {
        Warmth::Cold => ratio * COLD_PENALTY,
        Warmth::Loaded | Warmth::Staged => ratio,
    };
    options
        .into_iter()
        .min_by(|a, b| penalized(a.0, a.1).total_cmp(&penalized(b.0, b.1)))
        .map(|(_, _, group)| group)
}

/// Cost of a choice of members, the lower the better: cold members, staged members, then
/// `usize::MAX` less the upstreams left over in the fabric domain.
type JoinCost = (usize, usize, usize);

/// Returns the warmest members for one group of a model, and the warmth of the coldest member.
fn best_members(standing: &Standing, free: &[Candidate]) -> Option<(Warmth, PlannedGroup)> {
    let mut by_fabric: BTreeMap<&FabricId, Vec<&Candidate>> = BTreeMap::new();
    for candidate in free {
        by_fabric
            .entry(&candidate.fabric)
            .or_default()
            .push(candidate);
    }
    let mut best: Option<(JoinCost, Warmth, Vec<&Candidate>)> = None;
    for candidates in by_fabric.values_mut() {
        if candidates.len() < standing.size {
            continue;
        }
        let spare = candidates.len() - standing.size;
        candidates.sort_by_key(|c| {
            (
                c.warmth(&standing.model),
                count_other_models(c, &standing.model),
            )
        });
        let members = &candidates[..standing.size];
        let count_with = |warmth| {
            members
                .iter()
                .filter(|c| c.warmth(&standing.model) == warmth)
                .count()
        };
        let cost = (
            count_with(Warmth::Cold),
            count_with(Warmth::Staged),
            usize::MAX - spare,
        );
        if best.as_ref().is_none_or(|(old, ..)| cost < *old) {
            let coldest = members.iter().map(|c| c.warmth(&standing.model)).max();
            best = Some((cost, coldest.unwrap_or(Warmth::Cold), members.to_vec()));
        }
    }
    let (_, warmth, members) = best?;
    let group = PlannedGroup {
        model: standing.model.clone(),
        members: members.iter().map(|c| c.upstream.clone()).collect(),
    };
    Some((warmth, group))
}

/// Counts the other models whose weights an upstream holds; upstreams with the fewest are used
/// first.
fn count_other_models(candidate: &Candidate, model: &ModelId) -> usize {
    let staged = candidate.staged.iter().filter(|m| *m != model).count();
    staged + usize::from(candidate.loaded.as_ref().is_some_and(|m| m != model))
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

/// Chooses groups to end for the model with the lowest supply ratio, in a fabric domain where free
/// upstreams do not suffice for a group of it.
#[must_use]
pub fn choose_swap<T: Clone>(
    standings: &[Standing],
    free: &[Candidate],
    serving: &[ServingGroup<T>],
) -> Option<Swap<T>> {
    let undersupplied = standings
        .iter()
        .min_by(|a, b| a.supply_ratio(0.0).total_cmp(&b.supply_ratio(0.0)))?;
    let is_warm = |c: &&Candidate| c.warmth(&undersupplied.model) != Warmth::Cold;
    let mut fabrics: BTreeMap<&FabricId, usize> = BTreeMap::new();
    for group in serving {
        fabrics.entry(&group.fabric).or_default();
    }
    for candidate in free.iter().filter(is_warm) {
        *fabrics.entry(&candidate.fabric).or_default() += 1;
    }
    let mut best: Option<(usize, Swap<T>)> = None;
    for (fabric, free_here) in fabrics {
        if free_here >= undersupplied.size {
            // Free upstreams suffice: a group is formed of them first.
            return None;
        }
        let mut ended = Vec::new();
        let mut available = free_here;
        let mut after_swap = standings.to_vec();
        for group in serving
            .iter()
            .filter(|g| g.fabric == *fabric && g.model != undersupplied.model)
        {
            if available >= undersupplied.size {
                break;
            }
            let warm = group.members.iter().filter(is_warm).count();
            if warm == 0 {
                continue;
            }
            if let Some(standing) = after_swap.iter_mut().find(|s| s.model == group.model) {
                standing.has = standing.has.saturating_sub(group.members.len());
            }
            available += warm;
            ended.push(group.key.clone());
        }
        if available < undersupplied.size || ended.is_empty() {
            continue;
        }
        let lowest_ratio = |standings: &[Standing]| {
            let others = standings.iter().filter(|s| s.model != undersupplied.model);
            others
                .map(|s| s.supply_ratio(0.0))
                .fold(f64::INFINITY, f64::min)
        };
        let is_gain_enough =
            lowest_ratio(standings) >= undersupplied.supply_ratio(0.0) * SWAP_RATIO;
        let stays_lowest =
            lowest_ratio(&after_swap) >= undersupplied.supply_ratio(to_f64(undersupplied.size));
        let surplus = available - undersupplied.size;
        let is_better =
            is_gain_enough && stays_lowest && best.as_ref().is_none_or(|(old, _)| surplus < *old);
        if is_better {
            let swap = Swap {
                fabric: fabric.clone(),
                model: undersupplied.model.clone(),
                ends: ended,
            };
            best = Some((surplus, swap));
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
        rest.sort_by_key(|c| (c.warmth(&next.model), count_other_models(c, &next.model)));
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

fn to_f64(count: usize) -> f64 {
    f64::from(u32::try_from(count).unwrap_or(u32::MAX))
}
