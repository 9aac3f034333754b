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

/// An LRU cache of prompt prefixes.
#[derive(Debug, Default)]
pub(super) struct PrefixCache {
    /// Ordered from least to most recently used. Invariant: no duplicates.
    prefixes: VecDeque<String>,
    counts: CacheCounts,
}

impl PrefixCache {
    /// Marks a prefix as most recently used and returns whether it was cached. Evicts the least
    /// recently used prefixes above `capacity`.
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

    /// Evicts all prefixes; the counts are kept.
    pub(super) fn clear(&mut self) {
        self.prefixes.clear();
    }

    /// Returns the numbers of hits and misses.
    pub(super) fn counts(&self) -> CacheCounts {
        self.counts
    }
}
