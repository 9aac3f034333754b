//! Entries that the store holds of upstreams, and that look older than the known ones.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use shallottide_types::id::UpstreamId;

use crate::upstream::Upstream;

/// Time for which a late entry of an earlier lifetime of an upstream may still arrive.
pub const LATE_ENTRY_TIME: Duration = Duration::from_secs(3);

#[derive(Debug, Clone)]
struct HeldBack {
    entry: Upstream,
    /// When the first entry of its lifetime arrived; `None` if the entry will never count.
    deferred_since: Option<Instant>,
    /// When this entry arrived.
    arrived: Instant,
}

/// Entries that the store holds and that don't count, at least not yet.
///
/// A deferred entry is either a late one of an earlier lifetime, or the first one of a new lifetime
/// whose clock was set back. It counts [`LATE_ENTRY_TIME`] after the first entry of its lifetime, unless one
/// of the known lifetime has come by then. An outdated entry never counts.
#[derive(Debug, Clone, Default)]
pub struct HeldBackEntries {
    by_id: BTreeMap<UpstreamId, HeldBack>,
}

impl HeldBackEntries {
    /// Keeps an entry until it counts.
    pub fn defer(&mut self, entry: Upstream, now: Instant) {
        let earlier = self.by_id.get(&entry.id);
        let since = earlier
            .filter(|earlier| earlier.entry.born == entry.born)
            .and_then(|earlier| earlier.deferred_since);
        self.insert(entry, Some(since.unwrap_or(now)), now);
    }

    /// Keeps an entry that will never count.
    pub fn keep_outdated(&mut self, entry: Upstream, now: Instant) {
        self.insert(entry, None, now);
    }

    fn insert(&mut self, entry: Upstream, deferred_since: Option<Instant>, now: Instant) {
        let id = entry.id.clone();
        let held_back = HeldBack {
            entry,
            deferred_since,
            arrived: now,
        };
        self.by_id.insert(id, held_back);
    }

    /// Returns the entry that the store holds of an upstream, if it does not count.
    #[must_use]
    pub fn get(&self, id: &UpstreamId) -> Option<&Upstream> {
        self.by_id.get(id).map(|held_back| &held_back.entry)
    }

    /// Returns an upstream's deferred entry, which may be that of its current lifetime.
    #[must_use]
    pub fn deferred(&self, id: &UpstreamId) -> Option<&Upstream> {
        let held_back = self.by_id.get(id)?;
        held_back.deferred_since.map(|_| &held_back.entry)
    }

    /// Drops an upstream's entry; returns whether there was one.
    pub fn remove(&mut self, id: &UpstreamId) -> bool {
        self.by_id.remove(id).is_some()
    }

    /// Removes and returns the deferred entries that count from now on.
    pub fn take_due(&mut self, now: Instant) -> Vec<Upstream> {
        let is_due = |held_back: &HeldBack| {
            held_back
                .deferred_since
                .is_some_and(|since| now.saturating_duration_since(since) >= LATE_ENTRY_TIME)
        };
        let due = self.by_id.values().filter(|held_back| is_due(held_back));
        let due: Vec<_> = due
            .map(|held_back| {
                let age = now.saturating_duration_since(held_back.arrived);
                Upstream {
                    cold_left: held_back.entry.cold_left.saturating_sub(age),
                    ..held_back.entry.clone()
                }
            })
            .collect();
        self.by_id.retain(|_, held_back| !is_due(held_back));
        due
    }
}
