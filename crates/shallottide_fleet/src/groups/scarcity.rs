//! Choice of the weights to load where a model of large groups competes with one of small groups.
//!
//! Choosing the group that lacks the fewest upstreams always favors small groups: their weights
//! replace those of the large model on every free upstream, until no large group can form any more.

use shallottide_types::id::{FabricId, ModelId, UpstreamId};

use super::allocation::{SupplyValue, to_f64};
use super::formation_planner::{
    Candidate, PlannedLoads, ServingGroup, Standing, Swap, Warmth, choose_swap_worth,
};

/// Factor by which the value of a swap must exceed that of the groups it ends in a large deployment.
///
/// While engines fail all the time, a twofold gain is seldom reached: the large model stays short, and
/// the survivors of its groups wait for weights (`docs/design/supply.md`).
const MIN_SWAP_GAIN: f64 = 1.2;

/// Chooses a swap like [`choose_swap`](super::choose_swap), for a smaller gain.
#[must_use]
pub fn choose_early_swap<T: Clone>(
    standings: &[Standing],
    free: &[Candidate],
    serving: &[ServingGroup<T>],
) -> Option<Swap<T>> {
    choose_swap_worth(MIN_SWAP_GAIN, standings, free, serving)
}

/// Returns the models, the one with the least supply for its share of the work first.
#[must_use]
pub fn scarcest_first(standings: &[Standing]) -> Vec<&Standing> {
    let mut all: Vec<_> = standings.iter().collect();
    all.sort_by(|a, b| a.supply_ratio(0.0).total_cmp(&b.supply_ratio(0.0)));
    all
}

/// Chooses the model to stage on a free upstream without weights: the scarcest one of which the fabric
/// domain's free upstreams do not hold a whole group's weights yet.
///
/// `warm` is as for [`choose_stage`](super::choose_stage).
#[must_use]
pub fn choose_scarce_stage<'a>(
    standings: &'a [Standing],
    fabric: &FabricId,
    warm: &[Candidate],
) -> Option<&'a ModelId> {
    let order = scarcest_first(standings);
    let has_room = |standing: &&&Standing| {
        let is_warm =
            |c: &&Candidate| c.fabric == *fabric && c.warmth(&standing.model) != Warmth::Cold;
        warm.iter().filter(is_warm).count() < standing.size
    };
    let chosen = order.iter().find(has_room).or(order.first());
    chosen.map(|standing| &standing.model)
}

/// Chooses weight loads like [`choose_loads`](super::choose_loads), but first those that add the most
/// value for a load instead of those that complete a group with the fewest.
#[must_use]
pub fn choose_valuable_loads(
    standings: &[Standing],
    fabric: &FabricId,
    free: &[Candidate],
) -> Vec<PlannedLoads> {
    let mut rest: Vec<_> = free.iter().filter(|c| c.fabric == *fabric).collect();
    let supplied: usize = standings.iter().map(|s| s.has).sum();
    let value = SupplyValue::new(standings, supplied + free.len());
    let mut added = vec![0.0; standings.len()];
    let mut loads = Vec::new();
    loop {
        let value_per_load = |index: usize, rest: &[&Candidate]| {
            let standing = &standings[index];
            let is_cold = |c: &&&Candidate| c.warmth(&standing.model) == Warmth::Cold;
            let warm = rest.len() - rest.iter().filter(is_cold).count();
            let missing = standing.size.saturating_sub(warm);
            let gain = value.gain(index, added[index] + to_f64(standing.size))
                - value.gain(index, added[index]);
            gain / to_f64(missing + 1)
        };
        let possible = (0..standings.len()).filter(|m| standings[*m].size <= rest.len());
        let next =
            possible.max_by(|a, b| value_per_load(*a, &rest).total_cmp(&value_per_load(*b, &rest)));
        let Some(next) = next else {
            return loads;
        };
        let standing = &standings[next];
        added[next] += to_f64(standing.size);
        rest.sort_by_key(|c| {
            let warmth = c.warmth(&standing.model);
            (warmth, c.count_other_models(&standing.model))
        });
        let members = rest.drain(..standing.size);
        let cold = members.filter(|c| c.warmth(&standing.model) == Warmth::Cold);
        let targets: Vec<UpstreamId> = cold.map(|c| c.upstream.clone()).collect();
        if !targets.is_empty() {
            loads.push(PlannedLoads {
                model: standing.model.clone(),
                size: standing.size,
                targets,
            });
        }
    }
}
