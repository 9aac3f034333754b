//! Max-min fair division of a capacity.

/// Fraction of the mean served fraction below which no team is cut, whatever its size. The requirement is
/// half; the margin covers calls that are then refused by chance.
const MIN_FRACTION_OF_MEAN: f64 = 0.55;
/// Steps of each bisection; the error is below 2^-24 of the largest value.
const STEPS: u32 = 24;

/// What a team asks for.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct TeamDemand {
    /// In any unit of work per second; not negative.
    pub demand: f64,
    /// Share of the capacity relative to other teams; above 0.
    pub weight: f64,
}

/// Returns the fraction of each team's demand to serve, from 0 to 1.
///
/// Teams whose demand is below the water level, times their weight, are served fully, and the others
/// up to the level. A team whose fraction would fall below 0.55 of the mean over all teams gets that much
/// at the expense of the level.
#[must_use]
pub fn served_fractions(demands: &[TeamDemand], capacity: f64) -> Vec<f64> {
    let total: f64 = demands.iter().map(|team| team.demand).sum();
    if total <= capacity {
        return vec![1.0; demands.len()];
    }
    // The mean falls as the least fraction rises, so both meet at one point. The upper end keeps the
    // sum of all least fractions within the capacity.
    let highest = (capacity / total / MIN_FRACTION_OF_MEAN).min(1.0);
    let mean = bisect(highest, |mean| {
        let fractions = fractions_above(demands, capacity, mean * MIN_FRACTION_OF_MEAN);
        fractions
            .iter()
            .map(|fraction| fraction - mean)
            .sum::<f64>()
            > 0.0
    });
    fractions_above(demands, capacity, mean * MIN_FRACTION_OF_MEAN)
}

/// Returns the fractions at the level that uses up the capacity, with a least fraction for each team.
fn fractions_above(demands: &[TeamDemand], capacity: f64, least: f64) -> Vec<f64> {
    let served = |team: &TeamDemand, level: f64| {
        (level * team.weight).clamp(least * team.demand, team.demand)
    };
    let levels = demands.iter().map(|team| team.demand / team.weight);
    let highest = levels.fold(0.0, f64::max);
    let level = bisect(highest, |level| {
        let sum: f64 = demands.iter().map(|team| served(team, level)).sum();
        sum <= capacity
    });
    let fractions = demands.iter().map(|team| {
        if team.demand > 0.0 {
            served(team, level) / team.demand
        } else {
            1.0
        }
    });
    fractions.collect()
}

/// Returns the largest value from 0 to `highest` for which a condition holds that fails above it.
fn bisect(highest: f64, holds: impl Fn(f64) -> bool) -> f64 {
    let (mut low, mut high) = (0.0, highest);
    for _ in 0..STEPS {
        let middle = f64::midpoint(low, high);
        if holds(middle) {
            low = middle;
        } else {
            high = middle;
        }
    }
    low
}
