//! Weights by which capacity is divided among teams.

use std::collections::BTreeMap;

use compact_str::CompactString;

use crate::load_keys::TeamKey;

/// Weights of teams; 1 for a team without a given weight.
#[derive(Debug, Clone, Default)]
pub struct TeamWeights {
    /// Finite and above 0.
    weights: BTreeMap<TeamKey, f64>,
}

impl TeamWeights {
    /// Creates the weights of the named teams; weights that are not finite and above 0 are ignored.
    #[must_use]
    pub fn new(weights: &BTreeMap<CompactString, f64>) -> Self {
        let is_valid = |weight: f64| weight.is_finite() && weight > 0.0;
        let weights = weights.iter().filter(|(_, weight)| is_valid(**weight));
        let weights = weights.map(|(team, weight)| (TeamKey::of(Some(team)), *weight));
        Self {
            weights: weights.collect(),
        }
    }

    /// Returns the weight of a team.
    #[must_use]
    pub fn weight(&self, team: TeamKey) -> f64 {
        self.weights.get(&team).copied().unwrap_or(1.0)
    }
}
