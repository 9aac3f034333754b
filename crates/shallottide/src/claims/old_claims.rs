//! Keys whose claims were dropped, remembered by a short hash.

use std::collections::{BTreeMap, BTreeSet};

use shallottide_types::data;
use shallottide_types::peer::ClaimId;

const SECONDS_PER_HOUR: u64 = 3_600;

data! {
    /// Hashes of expired keys by the hour in which they were dropped.
    #[derive(Default)]
    pub(super) struct OldClaims {
        /// Raised by every write.
        pub(super) generation: u64,
        hours: BTreeMap<u64, BTreeSet<u64>>,
    }
}

/// Shortens a claim's id. Two keys of a partition share a hash about once in 2^48 keys.
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

    /// Returns the next generation: with more keys, without the hours past the window.
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

    /// Tells whether some keys are past the window.
    pub(super) fn has_outdated(&self, unix_s: u64, window_s: u64) -> bool {
        let oldest = unix_s.saturating_sub(window_s) / SECONDS_PER_HOUR;
        self.hours.keys().next().is_some_and(|hour| *hour < oldest)
    }
}
