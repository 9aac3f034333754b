//! What nodes tell each other of the usage of scarce kinds of call.

use serde::{Deserialize, Serialize};

use crate::load_keys::{KindKey, TeamKey};

/// Entries in one report; each has at most 30 bytes, so that a report fits a datagram.
pub const MAX_REPORTED: usize = 16;

/// One team's usage of a kind at a node.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct TeamUsageReport {
    /// Number of the report; the same in all its entries, and higher in later reports of a node.
    pub number: u32,
    /// The kind of the calls.
    pub kind: KindKey,
    /// The team.
    pub team: TeamKey,
    /// Work that arrived, per second.
    pub arrived: f32,
    /// Work that was admitted, per second.
    pub admitted: f32,
    /// Work of this kind, of all teams, that the node refused for want of capacity, per second.
    pub refused: f32,
    /// How many milliseconds ago the node last refused a call of this kind for want of capacity;
    /// `None` if not within the last second.
    pub refused_ms_ago: Option<u16>,
}

impl TeamUsageReport {
    /// Returns whether all rates are finite and not negative.
    #[must_use]
    pub fn is_valid(&self) -> bool {
        [self.arrived, self.admitted, self.refused]
            .iter()
            .all(|rate| rate.is_finite() && *rate >= 0.0)
    }
}
