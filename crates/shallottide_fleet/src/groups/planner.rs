//! Chooses the next group to form.

use std::collections::BTreeMap;

use shallottide_types::id::{FabricId, ModelId, UpstreamId};

/// How much better off the other models must be than the neediest one before a swap.
const SWAP_GAIN: f64 = 1.5;
/// How much needier a model must be to load weights while another could start at once.
const COLD_BIAS: f64 = 1.8;

/// How fast an upstream can join a group of a model.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Warmth {
    /// It served the model last.
    Loaded,
    /// Its VM holds the weights.
    Staged,
    /// The weights have to be loaded.
    Cold,
}

/// An upstream that can be put into a group.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Candidate {
    /// The upstream.
    pub upstream: UpstreamId,
    /// Its fabric domain.
    pub fabric: FabricId,
    /// The model that it has loaded.
    pub loaded: Option<ModelId>,
    /// Models on its VM.
    pub staged: Vec<ModelId>,
}

impl Candidate {
    /// Tells whether it holds the weights of any model.
    #[must_use]
    pub fn is_warm(&self) -> bool {
        self.loaded.is_some() || !self.staged.is_empty()
    }

    /// Tells how fast it can join a group of a model.
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

/// How one model stands.
#[derive(Debug, Clone, PartialEq)]
pub struct Standing {
    /// The model.
    pub model: ModelId,
    /// Upstreams in one group.
    pub size: usize,
    /// The part of the work that callers ask of it; never negative.
    pub weight: f64,
    /// Upstreams in groups that serve it or are being formed.
    pub has: usize,
}

impl Standing {
    fn ratio(&self, more: f64) -> f64 {
        (count(self.has) + more) / self.weight.max(0.001)
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

/// Chooses a group for free upstreams, for the model with the fewest upstreams for its work.
///
/// Unless `may_load`, only upstreams that need no weight load are put into it.
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
            options.push((standing.ratio(0.0), warmth, group));
        }
    }
    let bias = |ratio: f64, warmth: Warmth| match warmth {
        Warmth::Cold => ratio * COLD_BIAS,
        Warmth::Loaded | Warmth::Staged => ratio,
    };
    options
        .into_iter()
        .min_by(|a, b| bias(a.0, a.1).total_cmp(&bias(b.0, b.1)))
        .map(|(_, _, group)| group)
}

/// Cold members, staged members, and the fewest left over, in falling importance.
type JoinCost = (usize, usize, usize);

/// Returns the warmest members for one group of a model, and the coldest of them.
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
        candidates.sort_by_key(|c| (c.warmth(&standing.model), other_models(c, &standing.model)));
        let members = &candidates[..standing.size];
        let number = |warmth| {
            members
                .iter()
                .filter(|c| c.warmth(&standing.model) == warmth)
                .count()
        };
        let cost = (
            number(Warmth::Cold),
            number(Warmth::Staged),
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

/// Ranks upstreams without any weights before those that are warm for another model.
fn other_models(candidate: &Candidate, model: &ModelId) -> usize {
    let staged = candidate.staged.iter().filter(|m| *m != model).count();
    staged + usize::from(candidate.loaded.as_ref().is_some_and(|m| m != model))
}

/// A group that serves, as a swap sees it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServingGroup<T> {
    /// What names the group.
    pub key: T,
    /// Its model.
    pub model: ModelId,
    /// Its fabric domain.
    pub fabric: FabricId,
    /// Its upstreams.
    pub members: Vec<Candidate>,
}

/// Groups that end so that another model gets one.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Swap<T> {
    /// Where.
    pub fabric: FabricId,
    /// The model that gets a group.
    pub model: ModelId,
    /// The groups that end.
    pub ends: Vec<T>,
}

/// Chooses groups to end so that the neediest model gets one, where free upstreams do not suffice.
#[must_use]
pub fn choose_swap<T: Clone>(
    standings: &[Standing],
    free: &[Candidate],
    serving: &[ServingGroup<T>],
) -> Option<Swap<T>> {
    let needy = standings
        .iter()
        .min_by(|a, b| a.ratio(0.0).total_cmp(&b.ratio(0.0)))?;
    let is_warm = |c: &&Candidate| c.warmth(&needy.model) != Warmth::Cold;
    let mut fabrics: BTreeMap<&FabricId, usize> = BTreeMap::new();
    for group in serving {
        fabrics.entry(&group.fabric).or_default();
    }
    for candidate in free.iter().filter(is_warm) {
        *fabrics.entry(&candidate.fabric).or_default() += 1;
    }
    let mut best: Option<(usize, Swap<T>)> = None;
    for (fabric, free_here) in fabrics {
        if free_here >= needy.size {
            // Free upstreams suffice: forming comes first.
            return None;
        }
        let mut taken = Vec::new();
        let mut found = free_here;
        let mut after = standings.to_vec();
        for group in serving
            .iter()
            .filter(|g| g.fabric == *fabric && g.model != needy.model)
        {
            if found >= needy.size {
                break;
            }
            let warm = group.members.iter().filter(is_warm).count();
            if warm == 0 {
                continue;
            }
            if let Some(standing) = after.iter_mut().find(|s| s.model == group.model) {
                standing.has = standing.has.saturating_sub(group.members.len());
            }
            found += warm;
            taken.push(group.key.clone());
        }
        if found < needy.size || taken.is_empty() {
            continue;
        }
        let least = |standings: &[Standing]| {
            let others = standings.iter().filter(|s| s.model != needy.model);
            others.map(|s| s.ratio(0.0)).fold(f64::INFINITY, f64::min)
        };
        let is_needier = least(standings) >= needy.ratio(0.0) * SWAP_GAIN;
        let stays_so = least(&after) >= needy.ratio(count(needy.size));
        let wasted = found - needy.size;
        let is_better =
            is_needier && stays_so && best.as_ref().is_none_or(|(old, _)| wasted < *old);
        if is_better {
            let swap = Swap {
                fabric: fabric.clone(),
                model: needy.model.clone(),
                ends: taken,
            };
            best = Some((wasted, swap));
        }
    }
    best.map(|(_, swap)| swap)
}

/// Loads that complete a group.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlannedLoads {
    /// The model.
    pub model: ModelId,
    /// Upstreams in the group.
    pub size: usize,
    /// The upstreams that lack the weights.
    pub onto: Vec<UpstreamId>,
}

impl PlannedLoads {
    /// Returns the loads for each upstream that serves afterwards: the fewer the better.
    #[must_use]
    pub fn cost(&self) -> f64 {
        count(self.onto.len()) / count(self.size.max(1))
    }
}

/// Chooses weights to load onto free upstreams of one fabric domain that form no group as they are.
///
/// The groups with the fewest loads come first. Upstreams without any weights are loaded before
/// those that hold the weights of another model. `free` shows weights that are on their way as
/// staged. Nothing is chosen for upstreams that can form a group, or that are too few for one.
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
            let is_able = |c: &&&Candidate| c.warmth(&standing.model) != Warmth::Cold;
            let able = rest.iter().filter(is_able).count();
            standing.size.saturating_sub(able)
        };
        let fitting = standings.iter().filter(|s| s.size <= rest.len());
        let next = fitting.min_by(|a, b| {
            let by_loads = missing(a).cmp(&missing(b));
            by_loads.then(a.ratio(0.0).total_cmp(&b.ratio(0.0)))
        });
        let Some(next) = next else {
            return loads;
        };
        rest.sort_by_key(|c| (c.warmth(&next.model), other_models(c, &next.model)));
        let members = rest.drain(..next.size);
        let cold = members.filter(|c| c.warmth(&next.model) == Warmth::Cold);
        let onto: Vec<_> = cold.map(|c| c.upstream.clone()).collect();
        if !onto.is_empty() {
            loads.push(PlannedLoads {
                model: next.model.clone(),
                size: next.size,
                onto,
            });
        }
    }
}

/// Chooses the model to stage on a free upstream: the one that completes a group soonest.
///
/// `warm` holds the free upstreams that can join a group at once, or that stage a model now.
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
        by_missing.then(a.ratio(0.0).total_cmp(&b.ratio(0.0)))
    });
    best.map(|standing| &standing.model)
}

fn count(number: usize) -> f64 {
    f64::from(u32::try_from(number).unwrap_or(u32::MAX))
}
