//! How traffic is split between an old system and its replacement.

use std::collections::BTreeMap;

use crate::data;
use crate::id::TeamId;

/// Highest percentage.
const MAX_PERCENT: u8 = 100;

data! {
    /// Share of calls that go to upstreams of [`Generation::Old`](super::Generation::Old).
    pub struct TrafficSplit {
        /// Percent of each team's calls, unless the team is named in `teams`. At most 100.
        pub old_percent: u8,
        /// Percent for single teams. At most 100.
        #[serde(default)]
        pub teams: BTreeMap<TeamId, u8>,
    }
}

impl TrafficSplit {
    /// Tells whether all percents are in range.
    #[must_use]
    pub fn is_valid(&self) -> bool {
        self.old_percent <= MAX_PERCENT
            && self.teams.values().all(|&percent| percent <= MAX_PERCENT)
    }

    /// Returns the percent of a team's calls that go to the old system.
    #[must_use]
    pub fn old_percent_for(&self, team: &TeamId) -> u8 {
        self.teams.get(team).copied().unwrap_or(self.old_percent)
    }
}
