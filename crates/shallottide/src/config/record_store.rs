//! This node's replica of the stored records.

use std::collections::{BTreeMap, BTreeSet};

use shallottide_types::id::StoreIndex;
use shallottide_types::peer::{RecordCopy, RecordsSince};
use shallottide_types::platform::Listing;

/// Effect of applying a listing or a peer's records.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ApplyOutcome {
    /// Copies that were added or replaced older ones, tombstones included.
    pub changed: Vec<RecordCopy>,
    /// Whether the applied index increased.
    pub advanced: bool,
    /// Whether nothing in the input was newer than the store.
    pub stale: bool,
}

/// Raw copies of all records, each the newest received from the platform or a peer.
#[derive(Debug, Clone, Default)]
pub struct RecordStore {
    /// Copies by store key; deleted records are kept as tombstones, of which the oldest are dropped.
    /// Invariant: the index of a key never decreases while the key is held.
    copies: BTreeMap<String, RecordCopy>,
    /// Store index up to which every change is applied. Invariant: never decreases.
    applied_index: StoreIndex,
    /// Whether a full snapshot, from the platform or a peer, has been applied.
    synced: bool,
    /// Highest index of a dropped tombstone; deltas can start only from here on.
    tombstone_floor: StoreIndex,
}

impl RecordStore {
    /// Largest number of tombstones kept for informing peers of deletions.
    pub const MAX_TOMBSTONES: usize = 4_096;

    /// Returns the store index up to which every change is applied.
    #[must_use]
    pub fn applied_index(&self) -> StoreIndex {
        self.applied_index
    }

    /// Returns whether a full snapshot has been applied.
    #[must_use]
    pub fn is_synced(&self) -> bool {
        self.synced
    }

    /// Returns all copies by store key, tombstones included.
    #[must_use]
    pub fn copies(&self) -> &BTreeMap<String, RecordCopy> {
        &self.copies
    }

    /// Applies a full listing from the platform, unless it is older than the store.
    pub fn apply_listing(&mut self, listing: Listing) -> ApplyOutcome {
        if self.synced && listing.index < self.applied_index {
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
        self.apply_snapshot(copies, listing.index)
    }

    /// Applies a delta or snapshot from a peer, as far as it is newer than the store.
    pub fn apply_delta(&mut self, delta: RecordsSince) -> ApplyOutcome {
        let is_snapshot = delta.since == StoreIndex(0);
        if is_snapshot && (!self.synced || delta.to >= self.applied_index) {
            return self.apply_snapshot(delta.records, delta.to);
        }
        let mut applied = self.apply_copies(delta.records);
        let is_contiguous = self.synced && !is_snapshot && delta.since <= self.applied_index;
        if is_contiguous && delta.to > self.applied_index {
            self.applied_index = delta.to;
            applied.advanced = true;
        }
        applied.stale = applied.changed.is_empty() && !applied.advanced;
        self.drop_old_tombstones();
        applied
    }

    /// Applies single copies, each only if it is newer than the held one.
    pub fn apply_copies(&mut self, copies: Vec<RecordCopy>) -> ApplyOutcome {
        let mut applied = ApplyOutcome::default();
        for copy in copies {
            if self.is_newer(&copy) {
                applied.changed.push(copy.clone());
                self.copies.insert(copy.key.clone(), copy);
            }
        }
        applied
    }

    /// Returns what a peer that has applied every change up to `since` is missing, or a snapshot if
    /// tombstones after `since` were dropped.
    #[must_use]
    pub fn delta(&self, since: StoreIndex) -> RecordsSince {
        let is_snapshot = since < self.tombstone_floor || since == StoreIndex(0);
        let since = if is_snapshot { StoreIndex(0) } else { since };
        let is_needed = |copy: &&RecordCopy| {
            // A snapshot deletes all records that it does not contain.
            let implied_by_absence =
                is_snapshot && copy.value.is_none() && copy.index <= self.applied_index;
            copy.index > since && !implied_by_absence
        };
        RecordsSince {
            since,
            to: self.applied_index,
            records: self.copies.values().filter(is_needed).cloned().collect(),
        }
    }

    /// Returns whether a copy is newer than the store.
    ///
    /// A copy at or below the applied index that differs from the held one is outdated: the record
    /// has been changed or deleted since.
    fn is_newer(&self, copy: &RecordCopy) -> bool {
        let held = self.copies.get(&copy.key);
        copy.index > self.applied_index && held.is_none_or(|held| copy.index > held.index)
    }

    /// Applies all records as of `index`; held records up to `index` that are not among them have
    /// been deleted.
    fn apply_snapshot(&mut self, copies: Vec<RecordCopy>, index: StoreIndex) -> ApplyOutcome {
        let listed_keys: BTreeSet<String> = copies.iter().map(|copy| copy.key.clone()).collect();
        let deleted = self
            .copies
            .values()
            .filter(|held| held.value.is_some() && held.index <= index)
            .filter(|held| !listed_keys.contains(&held.key))
            .map(|held| RecordCopy {
                key: held.key.clone(),
                index,
                value: None,
            });
        let deleted: Vec<RecordCopy> = deleted.collect();
        let mut applied = ApplyOutcome::default();
        for copy in copies.into_iter().chain(deleted) {
            let held = self.copies.get(&copy.key);
            if held.is_none_or(|held| copy.index > held.index || deletes_same_version(&copy, held))
            {
                applied.changed.push(copy.clone());
                self.copies.insert(copy.key.clone(), copy);
            }
        }
        applied.advanced = !self.synced || index > self.applied_index;
        self.applied_index = self.applied_index.max(index);
        self.synced = true;
        self.drop_old_tombstones();
        applied
    }

    /// Drops the oldest tombstones beyond [`Self::MAX_TOMBSTONES`]. Only those at or below the
    /// applied index may be dropped.
    fn drop_old_tombstones(&mut self) {
        let applied_index = self.applied_index;
        let tombstones = self
            .copies
            .values()
            .filter(|copy| copy.value.is_none() && copy.index <= applied_index);
        let mut tombstones: Vec<(StoreIndex, String)> = tombstones
            .map(|copy| (copy.index, copy.key.clone()))
            .collect();
        let Some(excess) = tombstones.len().checked_sub(Self::MAX_TOMBSTONES) else {
            return;
        };
        tombstones.sort_unstable();
        for (index, key) in tombstones.into_iter().take(excess) {
            self.copies.remove(&key);
            self.tombstone_floor = self.tombstone_floor.max(index);
        }
    }
}

/// Returns whether a copy is a tombstone that replaces a held value of the same index.
fn deletes_same_version(copy: &RecordCopy, held: &RecordCopy) -> bool {
    copy.index == held.index && copy.value.is_none() && held.value.is_some()
}
