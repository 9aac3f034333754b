//! Allocates the free upstreams of a failure domain to groups, by the requested work of each model.
//!
//! Answers the load in which callers ask for several models at once while upstreams keep failing:
//! each model's supply follows its demand, few upstreams are left over, and no group is formed that
//! gives up weights which a scarcer model needs.

use std::collections::BTreeMap;

use shallottide_types::id::{FabricId, ModelId};

use super::formation_planner::{Candidate, PlannedGroup, Standing, Warmth};

/// How fast the value of supply levels off: with as many upstreams as its share of the work asks
/// for, a model has the fraction `1 - exp(-SATURATION)` of the value of unlimited supply.
const SATURATION: f64 = 1.5;
/// Value of an upstream's warmth for a model, as a fraction of the value of the upstream serving it.
const WARMTH_VALUE: f64 = 0.35;
/// Passes of the search over all pairs of fabric domains; it usually settles in two.
const MAX_PASSES: usize = 6;

/// Value of each model's supply, in upstreams that serve requested work.
#[derive(Debug, Clone)]
pub(super) struct SupplyValue<'a> {
    standings: &'a [Standing],
    /// Upstreams that each model's share of the work asks for.
    demand: Vec<f64>,
}

impl<'a> SupplyValue<'a> {
    /// Shares `upstreams` out by the models' weights.
    pub(super) fn new(standings: &'a [Standing], upstreams: usize) -> Self {
        let total: f64 = standings.iter().map(|s| s.weight).sum();
        let share = |s: &Standing| s.weight / total.max(f64::MIN_POSITIVE) * to_f64(upstreams);
        Self {
            standings,
            demand: standings.iter().map(|s| share(s).max(0.001)).collect(),
        }
    }

    /// Returns the value of a model's present supply with `change` more upstreams.
    fn value(&self, model: usize, change: f64) -> f64 {
        let supply = (to_f64(self.standings[model].has) + change).max(0.0);
        let demand = self.demand[model];
        demand * -(-SATURATION * supply / demand).exp_m1()
    }

    /// Returns the value that `change` more upstreams add.
    pub(super) fn gain(&self, model: usize, change: f64) -> f64 {
        self.value(model, change) - self.value(model, 0.0)
    }

    /// Returns the value of the weights that members give up by joining groups of `model`.
    pub(super) fn warmth_lost(&self, model: &ModelId, members: &[&Candidate]) -> f64 {
        let lost_by = |candidate: &&Candidate| {
            let lost = candidate.loaded.as_ref();
            let lost = lost.filter(|lost| *lost != model && !candidate.staged.contains(lost));
            lost.map_or(0.0, |lost| self.marginal(lost))
        };
        WARMTH_VALUE * members.iter().map(lost_by).sum::<f64>()
    }

    /// Returns the value of one more upstream for a model.
    fn marginal(&self, model: &ModelId) -> f64 {
        let index = self.standings.iter().position(|s| s.model == *model);
        index.map_or(0.0, |index| self.gain(index, 1.0))
    }
}

/// Numbers of groups of each model that the free upstreams of one fabric domain can form.
#[derive(Debug, Clone)]
struct Packing<'a> {
    /// Groups by index of the model.
    counts: Vec<usize>,
    groups: Vec<(usize, Vec<&'a Candidate>)>,
    /// Value of the weights that members give up.
    warmth_lost: f64,
}

/// Chooses all groups to form of free upstreams; the most valuable ones come first.
///
/// Unless `may_load` is set, no member needs a weight load, and the weights that members give up
/// count.
#[must_use]
pub fn choose_groups(
    standings: &[Standing],
    free: &[Candidate],
    may_load: bool,
) -> Vec<PlannedGroup> {
    let supplied: usize = standings.iter().map(|s| s.has).sum();
    let value = SupplyValue::new(standings, supplied + free.len());
    let options: Vec<_> = by_fabric(free)
        .values()
        .map(|candidates| packings(candidates, &value, may_load))
        .collect();
    let chosen = best_packings(&options, &value);
    let mut groups: Vec<_> = options
        .iter()
        .zip(&chosen)
        .flat_map(|(packings, &index)| &packings[index].groups)
        .collect();
    groups.sort_by(|a, b| {
        let gain = |model: usize| value.gain(model, to_f64(standings[model].size));
        gain(b.0).total_cmp(&gain(a.0))
    });
    groups
        .into_iter()
        .map(|(model, members)| PlannedGroup {
            model: standings[*model].model.clone(),
            members: members.iter().map(|c| c.upstream.clone()).collect(),
        })
        .collect()
}

/// Returns the value that the best packing of one fabric domain's upstreams adds, among those with a
/// group of `model`; `None` if there is none.
///
/// `removed` are the upstreams, by index of the model, whose groups end for it.
pub(super) fn best_packing_of(
    candidates: &[&Candidate],
    value: &SupplyValue<'_>,
    removed: &[f64],
    model: usize,
) -> Option<f64> {
    let mut options = packings(candidates, value, false);
    options.retain(|packing| packing.counts[model] > 0);
    let best = options.iter().map(|packing| {
        let supply = |m: usize, s: &Standing| to_f64(packing.counts[m] * s.size) - removed[m];
        let gains = value.standings.iter().enumerate();
        gains.map(|(m, s)| value.gain(m, supply(m, s))).sum::<f64>() - packing.warmth_lost
    });
    best.max_by(f64::total_cmp)
}

fn by_fabric(free: &[Candidate]) -> BTreeMap<&FabricId, Vec<&Candidate>> {
    let mut by_fabric: BTreeMap<_, Vec<_>> = BTreeMap::new();
    for candidate in free {
        by_fabric
            .entry(&candidate.fabric)
            .or_default()
            .push(candidate);
    }
    by_fabric
}

/// Lists the packings of one fabric domain, the empty one among them.
fn packings<'a>(
    candidates: &[&'a Candidate],
    value: &SupplyValue<'_>,
    may_load: bool,
) -> Vec<Packing<'a>> {
    let mut all = Vec::new();
    let mut counts = vec![0; value.standings.len()];
    list_counts(value.standings, candidates.len(), 0, &mut counts, &mut all);
    let feasible = all.into_iter().filter_map(|counts| {
        let groups = assign_members(candidates, value.standings, &counts, may_load)?;
        let lost = |(model, members): &(usize, Vec<&Candidate>)| {
            value.warmth_lost(&value.standings[*model].model, members)
        };
        let warmth_lost = if may_load {
            0.0
        } else {
            groups.iter().map(lost).sum()
        };
        Some(Packing {
            counts,
            groups,
            warmth_lost,
        })
    });
    feasible.collect()
}

fn list_counts(
    standings: &[Standing],
    left: usize,
    model: usize,
    counts: &mut Vec<usize>,
    all: &mut Vec<Vec<usize>>,
) {
    let Some(standing) = standings.get(model) else {
        all.push(counts.clone());
        return;
    };
    let size = standing.size.max(1);
    for count in 0..=left / size {
        counts[model] = count;
        list_counts(standings, left - count * size, model + 1, counts, all);
    }
    counts[model] = 0;
}

/// Chooses the members of each group, or `None` if there are too few with the weights.
fn assign_members<'a>(
    candidates: &[&'a Candidate],
    standings: &[Standing],
    counts: &[usize],
    may_load: bool,
) -> Option<Vec<(usize, Vec<&'a Candidate>)>> {
    let mut left = candidates.to_vec();
    let mut groups = Vec::new();
    // Models that the fewest upstreams can serve choose first.
    let mut order: Vec<_> = (0..standings.len()).filter(|&m| counts[m] > 0).collect();
    order.sort_by_key(|&m| {
        let is_warm = |c: &&&Candidate| c.warmth(&standings[m].model) != Warmth::Cold;
        let warm = candidates.iter().filter(is_warm).count();
        warm.saturating_sub(counts[m] * standings[m].size)
    });
    for model in order {
        let standing = &standings[model];
        left.sort_by_key(|c| {
            let warmth = c.warmth(&standing.model);
            (warmth, c.count_other_models(&standing.model))
        });
        for _ in 0..counts[model] {
            if left.len() < standing.size {
                return None;
            }
            let members: Vec<_> = left.drain(..standing.size).collect();
            let is_cold = |c: &&Candidate| c.warmth(&standing.model) == Warmth::Cold;
            if !may_load && members.iter().any(is_cold) {
                return None;
            }
            groups.push((model, members));
        }
    }
    Some(groups)
}

/// Chooses one packing for each fabric domain; changes two domains at a time while that helps.
fn best_packings(options: &[Vec<Packing<'_>>], value: &SupplyValue<'_>) -> Vec<usize> {
    let total = |chosen: &[usize]| {
        let packings = || {
            options
                .iter()
                .zip(chosen)
                .map(|(list, &index)| &list[index])
        };
        let supply = |m: usize| {
            let groups: usize = packings().map(|packing| packing.counts[m]).sum();
            to_f64(groups * value.standings[m].size)
        };
        let gains = (0..value.standings.len()).map(|m| value.gain(m, supply(m)));
        gains.sum::<f64>() - packings().map(|packing| packing.warmth_lost).sum::<f64>()
    };
    // The empty packing is listed first.
    let mut chosen = vec![0; options.len()];
    let mut best = total(&chosen);
    for _ in 0..MAX_PASSES {
        let before = best;
        for first in 0..options.len() {
            for second in first..options.len() {
                let old = (chosen[first], chosen[second]);
                let mut best_pair = old;
                for a in 0..options[first].len() {
                    for b in 0..options[second].len() {
                        if first == second && a != b {
                            continue;
                        }
                        (chosen[first], chosen[second]) = (a, b);
                        let sum = total(&chosen);
                        if sum > best + f64::EPSILON {
                            best = sum;
                            best_pair = (a, b);
                        }
                    }
                }
                (chosen[first], chosen[second]) = best_pair;
            }
        }
        if best <= before {
            break;
        }
    }
    chosen
}

pub(super) fn to_f64(count: usize) -> f64 {
    f64::from(u32::try_from(count).unwrap_or(u32::MAX))
}
