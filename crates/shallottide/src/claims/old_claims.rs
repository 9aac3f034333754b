//! Expired keys, whose claims were dropped, kept as short hashes.

use std::collections::{BTreeMap, BTreeSet};

use shallottide_types::data;
use shallottide_types::peer::ClaimId;

const SECONDS_PER_HOUR: u64 = 3_600;

data! {
    /// Hashes of expired keys, grouped by the hour in which their claims were dropped.
    #[derive(Default)]
    pub(super) struct OldClaims {
        /// Incremented by every write.
        pub(super) generation: u64,
        hours: BTreeMap<u64, BTreeSet<u64>>,
    }
}

/// Returns the lower half of a claim's id. Two keys of a partition share it about once in 2^48
/// keys.
#[expect(clippy::cast_possible_truncation, reason = "the low half is the hash")]
fn short_hash(claim: ClaimId) -> u64 {
    claim.0 as u64
}

impl OldClaims {
    pub(super) fn contains(&self, claim: ClaimId) -> bool {
        let hash = short_hash(claim);
        self.hours.values().any(|hashes| hashes.contains(&hash))
    }

    pub(super) fn len(&self) -> usize {
        self.hours.values().map(BTreeSet::len).sum()
    }

    /// Returns the next generation, with `claims` added and the hours before the window removed.
    pub(super) fn next(
        &self,
        claims: impl Iterator<Item = ClaimId>,
        unix_s: u64,
        window_s: u64,
    ) -> Self {
        let mut next = self.clone();
        next.generation += 1;
        let oldest = unix_s.saturating_sub(window_s) / SECONDS_PER_HOUR;
        next.hours.retain(|hour, _| *hour >= oldest);
        let hour = next.hours.entry(unix_s / SECONDS_PER_HOUR).or_default();
        hour.extend(claims.map(short_hash));
        next
    }

    /// Returns whether some keys were dropped before the window.
    pub(super) fn has_outdated(&self, unix_s: u64, window_s: u64) -> bool {
        let oldest = unix_s.saturating_sub(window_s) / SECONDS_PER_HOUR;
        self.hours.keys().next().is_some_and(|hour| *hour < oldest)
    }
}
