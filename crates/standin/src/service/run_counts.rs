//! Counts how often each call ran.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard};

#[derive(Debug, Default)]
struct Counts {
    by_key: BTreeMap<String, u32>,
    by_request: BTreeMap<String, u32>,
}

/// Counts how often each call ran; clones share the counts.
#[derive(Debug, Clone, Default)]
pub struct RunCounts {
    counts: Arc<Mutex<Counts>>,
}

impl RunCounts {
    /// Counts one run and returns how often its key has run now. A call without a key
    /// counts as its first run.
    pub(super) fn add(&self, key: Option<&str>, request_id: &str) -> u32 {
        let mut counts = self.lock();
        *counts.by_request.entry(request_id.into()).or_default() += 1;
        let Some(key) = key else { return 1 };
        let count = counts.by_key.entry(key.into()).or_default();
        *count += 1;
        *count
    }

    /// Returns how often each `Idempotency-Key` ran.
    ///
    /// # Panics
    /// If another thread panicked while counting.
    #[must_use]
    pub fn by_key(&self) -> BTreeMap<String, u32> {
        self.lock().by_key.clone()
    }

    /// Returns how often each `X-Request-Id` ran.
    ///
    /// # Panics
    /// If another thread panicked while counting.
    #[must_use]
    pub fn by_request(&self) -> BTreeMap<String, u32> {
        self.lock().by_request.clone()
    }

    fn lock(&self) -> MutexGuard<'_, Counts> {
        self.counts.lock().expect("no holder panics")
    }
}
