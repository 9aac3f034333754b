//! The keys, values and sessions of a platform.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use shallottide_types::id::StoreIndex;
use shallottide_types::platform::{Entry, Listing, Precondition, SwapOutcome};

/// One stored value with the numbers that the HTTP interface shows.
#[derive(Debug, Clone)]
pub(super) struct Stored {
    /// The value.
    pub(super) value: Vec<u8>,
    /// Index at which the key was created.
    pub(super) created: u64,
    /// Index of the last change.
    pub(super) modified: u64,
    /// How often the key was taken as a lease.
    pub(super) locked: u64,
    /// Session that holds the key.
    pub(super) session: Option<String>,
}

impl Stored {
    /// Returns the value as the trait shows it.
    pub(super) fn entry(&self, key: &str) -> Entry {
        Entry {
            key: key.into(),
            value: self.value.clone(),
            index: StoreIndex(self.modified),
            session: self.session.clone(),
        }
    }
}

#[derive(Debug, Clone)]
struct Session {
    ttl: Duration,
    lapses_at: Instant,
}

/// The keys, values and sessions of a platform. Sessions lapse with the time that is passed in.
#[derive(Debug, Clone, Default)]
pub(super) struct Store {
    /// Raised by one with every change.
    index: u64,
    values: BTreeMap<String, Stored>,
    /// Index of the deletion of each deleted key.
    deleted: BTreeMap<String, u64>,
    sessions: BTreeMap<String, Session>,
    sessions_opened: u64,
}

impl Store {
    /// Returns the index of the last change.
    pub(super) fn index(&self) -> u64 {
        self.index
    }

    /// Returns one value.
    pub(super) fn get(&self, key: &str) -> Option<&Stored> {
        self.values.get(key)
    }

    /// Returns all values under a prefix, in key order.
    pub(super) fn under<'a>(
        &'a self,
        prefix: &'a str,
    ) -> impl Iterator<Item = (&'a String, &'a Stored)> {
        let from = self.values.range(prefix.to_owned()..);
        from.take_while(move |(key, _)| key.starts_with(prefix))
    }

    /// Returns all values under a prefix as the trait shows them.
    pub(super) fn listing(&self, prefix: &str) -> Listing {
        let entries = self.under(prefix);
        Listing {
            index: StoreIndex(self.index),
            entries: entries.map(|(key, stored)| stored.entry(key)).collect(),
        }
    }

    /// Tells whether a key under the prefix has changed past an index.
    pub(super) fn changed_past(&self, prefix: &str, index: u64) -> bool {
        let deleted = self.deleted.range(prefix.to_owned()..);
        let mut deleted = deleted.take_while(|(key, _)| key.starts_with(prefix));
        self.under(prefix)
            .any(|(_, stored)| stored.modified > index)
            || deleted.any(|(_, at)| *at > index)
    }

    /// Writes a value by compare-and-swap. A lease on the key stays.
    pub(super) fn swap(&mut self, key: &str, value: &[u8], expect: Precondition) -> SwapOutcome {
        let found = self.values.get(key).map(|stored| stored.modified);
        let expected = match expect {
            Precondition::Absent => None,
            Precondition::Index(index) => Some(index.0),
        };
        if found != expected {
            return SwapOutcome::Conflict;
        }
        self.write(key, value);
        SwapOutcome::Written
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
        let found = self.values.get(key).map(|stored| stored.modified);
        if found != Some(expect.0) {
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
        let lapses_at = now + ttl;
        self.sessions.insert(id.clone(), Session { ttl, lapses_at });
        id
    }

    /// Renews a session; `false` when it has lapsed.
    pub(super) fn renew_session(&mut self, id: &str, now: Instant) -> bool {
        let Some(session) = self.sessions.get_mut(id) else {
            return false;
        };
        session.lapses_at = now + session.ttl;
        true
    }

    /// Ends sessions that were not renewed in time and returns their leases.
    /// Tells whether a key has changed.
    pub(super) fn lapse_sessions(&mut self, now: Instant) -> bool {
        let lapsed = |(_, session): &(&String, &Session)| session.lapses_at <= now;
        let lapsed: Vec<_> = self.sessions.iter().filter(lapsed).collect();
        let lapsed: Vec<String> = lapsed.into_iter().map(|(id, _)| id.clone()).collect();
        let before = self.index;
        for id in lapsed {
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

    /// Takes a key as a lease; `false` when another session holds it or the session has lapsed.
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

    /// Gives a lease back and writes the value sent with the release.
    pub(super) fn release(&mut self, key: &str, value: &[u8], session: &str) -> bool {
        let holder = self.values.get(key).and_then(|s| s.session.as_deref());
        if holder != Some(session) {
            return false;
        }
        self.write(key, value).session = None;
        true
    }
}
