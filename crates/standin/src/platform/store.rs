//! The keys, values and sessions of a platform.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use shallottide_types::id::{StoreEra, StoreIndex};
use shallottide_types::platform::{Entry, Listing, Precondition, SwapOutcome};

/// One stored value with the metadata that the HTTP interface returns.
#[derive(Debug, Clone)]
pub(super) struct Stored {
    /// The value.
    pub(super) value: Vec<u8>,
    /// Index at which the key was created.
    pub(super) created: u64,
    /// Index of the last change.
    pub(super) modified: u64,
    /// Number of times that the key was acquired as a lease.
    pub(super) locked: u64,
    /// Session that holds the key as a lease.
    pub(super) session: Option<String>,
}

impl Stored {
    /// Converts the value to an entry of the `Platform` trait.
    pub(super) fn entry(&self, key: &str, era: StoreEra) -> Entry {
        Entry {
            key: key.into(),
            value: self.value.clone(),
            index: StoreIndex::new(era, self.modified),
            session: self.session.clone(),
        }
    }
}

#[derive(Debug, Clone)]
struct Session {
    ttl: Duration,
    expires_at: Instant,
}

/// The keys, values and sessions of a platform. Sessions expire by the time that the
/// caller passes in.
#[derive(Debug, Clone, Default)]
pub(super) struct Store {
    /// Number of times that it was restored from a copy.
    era: StoreEra,
    /// Incremented with every change of an era.
    index: u64,
    values: BTreeMap<String, Stored>,
    /// Tombstones: the index at which each deleted key was deleted.
    deleted: BTreeMap<String, u64>,
    sessions: BTreeMap<String, Session>,
    sessions_opened: u64,
}

impl Store {
    /// Goes back to a copy, in the next era. Session ids are not given out again.
    pub(super) fn restore(&mut self, copy: Self) {
        *self = Self {
            era: self.era.next(),
            sessions_opened: self.sessions_opened,
            ..copy
        };
    }

    /// Returns the era.
    pub(super) fn era(&self) -> StoreEra {
        self.era
    }

    /// Returns the position of an index in the current era.
    pub(super) fn position(&self, index: u64) -> StoreIndex {
        StoreIndex::new(self.era, index)
    }

    /// Returns the index of the last change.
    pub(super) fn index(&self) -> u64 {
        self.index
    }

    /// Returns one value.
    pub(super) fn get(&self, key: &str) -> Option<&Stored> {
        self.values.get(key)
    }

    /// Returns all values under a prefix, in key order.
    pub(super) fn iter_prefix<'a>(
        &'a self,
        prefix: &'a str,
    ) -> impl Iterator<Item = (&'a String, &'a Stored)> {
        let from = self.values.range(prefix.to_owned()..);
        from.take_while(move |(key, _)| key.starts_with(prefix))
    }

    /// Returns all values under a prefix as a listing of the `Platform` trait.
    pub(super) fn listing(&self, prefix: &str) -> Listing {
        let entries = self.iter_prefix(prefix);
        Listing {
            index: self.position(self.index),
            entries: entries
                .map(|(key, stored)| stored.entry(key, self.era))
                .collect(),
        }
    }

    /// Returns whether a key under the prefix has changed after a position.
    pub(super) fn has_changed_since(&self, prefix: &str, after: StoreIndex) -> bool {
        if after.era() != self.era {
            return true;
        }
        let index = after.revision();
        let deleted = self.deleted.range(prefix.to_owned()..);
        let mut deleted = deleted.take_while(|(key, _)| key.starts_with(prefix));
        self.iter_prefix(prefix)
            .any(|(_, stored)| stored.modified > index)
            || deleted.any(|(_, at)| *at > index)
    }

    /// Writes a value by compare-and-swap. A lease on the key is kept.
    pub(super) fn swap(&mut self, key: &str, value: &[u8], expect: Precondition) -> SwapOutcome {
        let found = self.modified_at(key);
        let expected = match expect {
            Precondition::Absent => None,
            Precondition::Index(index) => Some(index),
        };
        if found != expected {
            return SwapOutcome::Conflict;
        }
        self.write(key, value);
        SwapOutcome::Written
    }

    fn modified_at(&self, key: &str) -> Option<StoreIndex> {
        let stored = self.values.get(key)?;
        Some(self.position(stored.modified))
    }

    fn write(&mut self, key: &str, value: &[u8]) -> &mut Stored {
        self.index += 1;
        self.deleted.remove(key);
        let stored = self.values.entry(key.into()).or_insert_with(|| Stored {
            value: Vec::new(),
            created: self.index,
            modified: 0,
            locked: 0,
            session: None,
        });
        stored.modified = self.index;
        stored.value = value.to_vec();
        stored
    }

    /// Deletes a value by compare-and-swap.
    pub(super) fn remove(&mut self, key: &str, expect: StoreIndex) -> SwapOutcome {
        if self.modified_at(key) != Some(expect) {
            return SwapOutcome::Conflict;
        }
        self.index += 1;
        self.values.remove(key);
        self.deleted.insert(key.into(), self.index);
        SwapOutcome::Written
    }

    /// Opens a session.
    pub(super) fn open_session(&mut self, ttl: Duration, now: Instant) -> String {
        self.sessions_opened += 1;
        let id = format!("session-{}", self.sessions_opened);
        let expires_at = now + ttl;
        self.sessions
            .insert(id.clone(), Session { ttl, expires_at });
        id
    }

    /// Renews a session; `false` when it has expired.
    pub(super) fn renew_session(&mut self, id: &str, now: Instant) -> bool {
        let Some(session) = self.sessions.get_mut(id) else {
            return false;
        };
        session.expires_at = now + session.ttl;
        true
    }

    /// Ends sessions that were not renewed in time and releases their leases.
    /// Returns whether a key has changed.
    pub(super) fn expire_sessions(&mut self, now: Instant) -> bool {
        let expired = |(_, session): &(&String, &Session)| session.expires_at <= now;
        let expired: Vec<_> = self.sessions.iter().filter(expired).collect();
        let expired: Vec<String> = expired.into_iter().map(|(id, _)| id.clone()).collect();
        let before = self.index;
        for id in expired {
            self.end_session(&id);
        }
        self.index > before
    }

    fn end_session(&mut self, id: &str) {
        self.sessions.remove(id);
        let held = |stored: &&mut Stored| stored.session.as_deref() == Some(id);
        for stored in self.values.values_mut().filter(held) {
            self.index += 1;
            stored.modified = self.index;
            stored.session = None;
        }
    }

    /// Acquires a key as a lease; `false` when another session holds it or the session has expired.
    pub(super) fn acquire(&mut self, key: &str, value: &[u8], session: &str) -> bool {
        let holder = self.values.get(key).and_then(|s| s.session.as_deref());
        let is_new = holder.is_none();
        if !self.sessions.contains_key(session) || holder.is_some_and(|holder| holder != session) {
            return false;
        }
        let stored = self.write(key, value);
        stored.session = Some(session.into());
        stored.locked += u64::from(is_new);
        true
    }

    /// Releases a lease and writes the value sent with the release; `false` when the session
    /// doesn't hold the lease.
    pub(super) fn release(&mut self, key: &str, value: &[u8], session: &str) -> bool {
        let holder = self.values.get(key).and_then(|s| s.session.as_deref());
        if holder != Some(session) {
            return false;
        }
        self.write(key, value).session = None;
        true
    }
}
