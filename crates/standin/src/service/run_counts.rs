//! Counts the runs of each call.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard};

#[derive(Debug, Default)]
struct Counts {
    by_key: BTreeMap<String, u32>,
    by_request: BTreeMap<String, u32>,
}

/// Run counts by idempotency key and by request id; clones share the counts.
#[derive(Debug, Clone, Default)]
pub struct RunCounts {
    counts: Arc<Mutex<Counts>>,
}

impl RunCounts {
    /// Records a run and returns the number of runs of its key, this one included; 1 for a call
    /// without a key.
    pub(super) fn add(&self, key: Option<&str>, request_id: &str) -> u32 {
        let mut counts = self.lock();
        *counts.by_request.entry(request_id.into()).or_default() += 1;
        let Some(key) = key else { return 1 };
        let count = counts.by_key.entry(key.into()).or_default();
        *count += 1;
        *count
    }

    /// Returns the number of runs by `Idempotency-Key`.
    ///
    /// # Panics
    /// If another thread panicked while counting.
    #[must_use]
    pub fn by_key(&self) -> BTreeMap<String, u32> {
        self.lock().by_key.clone()
    }

    /// Returns the number of runs by `X-Request-Id`.
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
