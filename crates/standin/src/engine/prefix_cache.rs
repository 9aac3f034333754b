//! The engine's cache of prompt prefixes.

use std::collections::VecDeque;

use shallottide_types::data;

data! {
    /// How often prompts began with a cached prefix.
    #[derive(Copy, Default)]
    pub struct CacheCounts {
        /// Prompts whose prefix was cached.
        pub hits: u64,
        /// Prompts whose prefix had to be computed.
        pub misses: u64,
    }
}

/// Remembers the latest prefixes; the least recently used is dropped first.
#[derive(Debug, Default)]
pub(super) struct PrefixCache {
    /// The most recently used is last. Invariant: no prefix twice.
    prefixes: VecDeque<String>,
    counts: CacheCounts,
}

impl PrefixCache {
    /// Uses a prefix; tells whether it was cached. At most `capacity` prefixes stay cached.
    pub(super) fn use_prefix(&mut self, prefix: &str, capacity: usize) -> bool {
        let found = self.prefixes.iter().position(|cached| cached == prefix);
        if let Some(found) = found {
            self.prefixes.remove(found);
            self.counts.hits += 1;
        } else {
            self.counts.misses += 1;
        }
        self.prefixes.push_back(prefix.into());
        let excess = self.prefixes.len().saturating_sub(capacity);
        self.prefixes.drain(..excess);
        found.is_some()
    }

    /// Drops all prefixes; the counts stay.
    pub(super) fn clear(&mut self) {
        self.prefixes.clear();
    }

    /// Returns the counts.
    pub(super) fn counts(&self) -> CacheCounts {
        self.counts
    }
}
