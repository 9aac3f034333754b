//! How traffic is split between an old system and its replacement.

use std::collections::BTreeMap;

use crate::data;
use crate::id::TeamId;

/// Upper bound of a percentage.
const MAX_PERCENT: u8 = 100;

data! {
    /// Share of calls that go to upstreams of [`Generation::Old`](super::Generation::Old).
    pub struct TrafficSplit {
        /// Percentage of each team's calls, unless `teams` lists the team. At most 100.
        pub old_percent: u8,
        /// Percentages of individual teams. At most 100 each.
        #[serde(default)]
        pub teams: BTreeMap<TeamId, u8>,
    }
}

impl TrafficSplit {
    /// Returns whether all percentages are in range.
    #[must_use]
    pub fn is_valid(&self) -> bool {
        self.old_percent <= MAX_PERCENT
            && self.teams.values().all(|&percent| percent <= MAX_PERCENT)
    }

    /// Returns the percentage of a team's calls that go to the old system.
    #[must_use]
    pub fn old_percent_for(&self, team: &TeamId) -> u8 {
        self.teams.get(team).copied().unwrap_or(self.old_percent)
    }
}
