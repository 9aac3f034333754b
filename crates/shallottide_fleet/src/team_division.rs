//! Division of the capacity for a kind of call among the teams that nodes reported.

use std::collections::BTreeMap;
use std::time::Instant;

use crate::load_keys::TeamKey;
use crate::team_weights::TeamWeights;
use crate::water_level::{TeamDemand, served_fractions};

/// Capacity that is divided, as a multiple of what was admitted. Above 1, as teams that are cut would
/// otherwise leave capacity unused without a sign of it.
const HEADROOM: f64 = 1.1;
/// Increase of this multiple for each unit by which the fraction refused for want of capacity is below
/// the one that the headroom causes while capacity is used up.
const HEADROOM_GAIN: f64 = 20.0;
/// Part of the demand that is added to the capacity. Returning capacity is noticed by it, and nodes
/// that do not hear of each other and serve different fractions move towards the same one.
const PROBED_FRACTION: f64 = 0.03;
/// Rate, in work per second, that counts as none.
const NEGLIGIBLE_RATE: f64 = 1e-3;

/// A team's part of a division, in work per second at the nodes heard, by weight.
#[derive(Debug, Clone, Copy, Default)]
pub struct TeamPart {
    /// What arrived.
    pub demand: f64,
    /// What was admitted.
    pub usage: f64,
    /// Fraction of the demand that the team is granted, from 0 to 1.
    pub fraction: f64,
}

/// Sums of what nodes counted of one kind of call, in work per second.
#[derive(Debug, Clone, Default)]
pub struct UsageTotals {
    teams: BTreeMap<TeamKey, TeamPart>,
    refused: f64,
    peers: usize,
    peer_weight: f64,
}

impl UsageTotals {
    /// Adds what a node counted of a team.
    pub fn add(&mut self, team: TeamKey, arrived: f64, admitted: f64) {
        let part = self.teams.entry(team).or_default();
        part.demand += arrived;
        part.usage += admitted;
    }

    /// Adds what a node refused for want of capacity, of all teams.
    pub fn add_refused(&mut self, refused: f64) {
        self.refused += refused;
    }

    /// Counts a peer as heard, with the weight that its counts have.
    pub fn add_peer(&mut self, weight: f64) {
        self.peers += 1;
        self.peer_weight += weight;
    }

    /// Divides the capacity, as estimated from what was admitted and refused, among the teams.
    #[must_use]
    pub fn divide(self, weights: &TeamWeights, now: Instant) -> TeamDivision {
        let mut parts = self.teams;
        let demand: f64 = parts.values().map(|part| part.demand).sum();
        let admitted: f64 = parts.values().map(|part| part.usage).sum();
        let refused_fraction = self.refused / (admitted + self.refused).max(NEGLIGIBLE_RATE);
        let unused = (1.0 - 1.0 / HEADROOM - refused_fraction).max(0.0);
        let headroom = HEADROOM + HEADROOM_GAIN * unused;
        let capacity = admitted * headroom + demand * PROBED_FRACTION;
        let demands = parts.iter().map(|(team, part)| TeamDemand {
            demand: part.demand,
            weight: weights.weight(*team),
        });
        let fractions = served_fractions(&demands.collect::<Vec<_>>(), capacity);
        for (part, fraction) in parts.values_mut().zip(fractions) {
            part.fraction = fraction;
        }
        TeamDivision {
            at: now,
            parts,
            capacity,
            nodes_heard: self.peers + 1,
            weight: 1.0 + self.peer_weight,
        }
    }
}

/// Division of a kind's capacity among the known teams.
#[derive(Debug, Clone)]
pub struct TeamDivision {
    /// When it was computed.
    pub at: Instant,
    /// The teams' parts; a team that is not in it is new and granted all of its demand.
    pub parts: BTreeMap<TeamKey, TeamPart>,
    /// Capacity that was divided, in work per second at the nodes heard, by weight.
    pub capacity: f64,
    /// Nodes whose counts were used, with this one.
    pub nodes_heard: usize,
    /// Sum of the weights of these nodes' counts; 1 for a count that is new.
    pub weight: f64,
}

impl TeamDivision {
    /// Returns the factor from the weighted counts of the nodes heard to all nodes.
    #[must_use]
    pub fn scale(&self, nodes: usize) -> f64 {
        let nodes = nodes.max(self.nodes_heard);
        f64::from(u32::try_from(nodes).unwrap_or(u32::MAX)) / self.weight
    }
}
