//! The stored form of all records on this node.

use std::collections::{BTreeMap, BTreeSet};

use shallottide_types::id::StoreIndex;
use shallottide_types::peer::{RecordCopy, RecordsSince};
use shallottide_types::platform::Listing;

/// What applying a listing or a peer's records did.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ApplyOutcome {
    /// Copies that replaced older ones.
    pub changed: Vec<RecordCopy>,
    /// Whether the index up to which everything is applied rose.
    pub advanced: bool,
    /// Whether the input as a whole was older than what is held.
    pub stale: bool,
}

/// Raw copies of all records, from whichever path the newest of each came.
#[derive(Debug, Clone, Default)]
pub struct RecordStore {
    /// Copies by platform key; deleted records stay as tombstones for a while.
    /// Invariant: the index of a key never falls while it is held.
    copies: BTreeMap<String, RecordCopy>,
    /// Every change up to this index is held. Invariant: never falls.
    have: StoreIndex,
    /// Whether a listing or all records of a peer were ever applied.
    synced: bool,
    /// Highest index of a tombstone that was dropped.
    floor: StoreIndex,
}

impl RecordStore {
    /// Most tombstones kept for telling peers of deletions.
    pub const MAX_TOMBSTONES: usize = 4_096;

    /// Returns the index up to which every change is held.
    #[must_use]
    pub fn applied_index(&self) -> StoreIndex {
        self.have
    }

    /// Tells whether all records were ever known here.
    #[must_use]
    pub fn is_synced(&self) -> bool {
        self.synced
    }

    /// Returns all copies by platform key, tombstones included.
    #[must_use]
    pub fn copies(&self) -> &BTreeMap<String, RecordCopy> {
        &self.copies
    }

    /// Applies all records as the platform listed them.
    pub fn apply_listing(&mut self, listing: Listing) -> ApplyOutcome {
        if self.synced && listing.index < self.have {
            return ApplyOutcome {
                stale: true,
                ..ApplyOutcome::default()
            };
        }
        let copies: Vec<RecordCopy> = listing
            .entries
            .into_iter()
            .map(|entry| RecordCopy {
                key: entry.key,
                index: entry.index,
                value: Some(entry.value),
            })
            .collect();
        self.apply_all(copies, listing.index)
    }

    /// Applies what a peer sent, as far as it is newer than what is held.
    pub fn apply_delta(&mut self, delta: RecordsSince) -> ApplyOutcome {
        let whole = delta.since == StoreIndex(0);
        if whole && (!self.synced || delta.to >= self.have) {
            return self.apply_all(delta.records, delta.to);
        }
        let mut applied = self.apply_copies(delta.records);
        let joins = self.synced && !whole && delta.since <= self.have;
        if joins && delta.to > self.have {
            self.have = delta.to;
            applied.advanced = true;
        }
        applied.stale = applied.changed.is_empty() && !applied.advanced;
        self.drop_old_tombstones();
        applied
    }

    /// Applies single copies, each only if it is newer than what is held.
    pub fn apply_copies(&mut self, copies: Vec<RecordCopy>) -> ApplyOutcome {
        let mut applied = ApplyOutcome::default();
        for copy in copies {
            if self.is_news(&copy) {
                applied.changed.push(copy.clone());
                self.copies.insert(copy.key.clone(), copy);
            }
        }
        applied
    }

    /// Returns what a peer needs that holds every change up to `since`.
    #[must_use]
    pub fn delta(&self, since: StoreIndex) -> RecordsSince {
        let whole = since < self.floor || since == StoreIndex(0);
        let since = if whole { StoreIndex(0) } else { since };
        let wanted = |copy: &&RecordCopy| {
            let told_by_absence = whole && copy.value.is_none() && copy.index <= self.have;
            copy.index > since && !told_by_absence
        };
        RecordsSince {
            since,
            to: self.have,
            records: self.copies.values().filter(wanted).cloned().collect(),
        }
    }

    /// Tells whether a copy is newer than what is held. One that was changed no later than the
    /// index up to which everything is held has been changed or deleted since.
    fn is_news(&self, copy: &RecordCopy) -> bool {
        let held = self.copies.get(&copy.key);
        copy.index > self.have && held.is_none_or(|held| copy.index > held.index)
    }

    /// Applies all records as of `index`; any other record changed up to then is deleted.
    fn apply_all(&mut self, copies: Vec<RecordCopy>, index: StoreIndex) -> ApplyOutcome {
        let named: BTreeSet<String> = copies.iter().map(|copy| copy.key.clone()).collect();
        let deleted = self
            .copies
            .values()
            .filter(|held| held.value.is_some() && held.index <= index)
            .filter(|held| !named.contains(&held.key))
            .map(|held| RecordCopy {
                key: held.key.clone(),
                index,
                value: None,
            });
        let deleted: Vec<RecordCopy> = deleted.collect();
        let mut applied = ApplyOutcome::default();
        for copy in copies.into_iter().chain(deleted) {
            let held = self.copies.get(&copy.key);
            if held.is_none_or(|held| copy.index > held.index || replaces(&copy, held)) {
                applied.changed.push(copy.clone());
                self.copies.insert(copy.key.clone(), copy);
            }
        }
        applied.advanced = !self.synced || index > self.have;
        self.have = self.have.max(index);
        self.synced = true;
        self.drop_old_tombstones();
        applied
    }

    /// Drops the oldest tombstones. Only those that everything is held up to can go.
    fn drop_old_tombstones(&mut self) {
        let have = self.have;
        let tombstones = self
            .copies
            .values()
            .filter(|copy| copy.value.is_none() && copy.index <= have);
        let mut tombstones: Vec<(StoreIndex, String)> = tombstones
            .map(|copy| (copy.index, copy.key.clone()))
            .collect();
        let Some(excess) = tombstones.len().checked_sub(Self::MAX_TOMBSTONES) else {
            return;
        };
        tombstones.sort_unstable();
        for (index, key) in tombstones.into_iter().take(excess) {
            self.copies.remove(&key);
            self.floor = self.floor.max(index);
        }
    }
}

/// Tells whether a tombstone takes the place of a value of the same index.
fn replaces(copy: &RecordCopy, held: &RecordCopy) -> bool {
    copy.index == held.index && copy.value.is_none() && held.value.is_some()
}
