//! Counts the calls that a platform received.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use shallottide_types::data;

/// Kinds of platform calls.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CallKind {
    /// Read of one value.
    Get,
    /// Non-blocking read of a prefix.
    List,
    /// Blocking read of a prefix that waits for a change.
    Watch,
    /// Compare-and-swap of one value.
    Swap,
    /// Deletion of one value.
    Remove,
    /// Opening of a session.
    OpenSession,
    /// Renewal of a session.
    RenewSession,
    /// Acquisition of a lease.
    Acquire,
    /// Release of a lease.
    Release,
    /// Read of the VM list.
    Vms,
}

impl CallKind {
    /// Returns whether the call changes the store.
    #[must_use]
    pub fn is_write(self) -> bool {
        !matches!(self, Self::Get | Self::List | Self::Watch | Self::Vms)
    }
}

data! {
    /// Calls by kind, including refused and failed calls.
    #[derive(Default)]
    pub struct CallCounts {
        /// Calls of each kind.
        pub by_kind: BTreeMap<CallKind, u64>,
        /// Writes by the first segment of their key.
        pub writes_by_area: BTreeMap<String, u64>,
        /// Calls refused by the rate limit.
        pub limited: u64,
        /// Writes that failed with a conflict.
        pub conflicts: u64,
    }
}

impl CallCounts {
    /// Counts one call.
    pub(super) fn add(&mut self, kind: CallKind, key: &str) {
        *self.by_kind.entry(kind).or_default() += 1;
        if kind.is_write() && !key.is_empty() {
            let area = key.split('/').next().unwrap_or(key);
            *self.writes_by_area.entry(area.into()).or_default() += 1;
        }
    }

    /// Returns the number of calls of one kind.
    #[must_use]
    pub fn of(&self, kind: CallKind) -> u64 {
        self.by_kind.get(&kind).copied().unwrap_or_default()
    }

    /// Returns the number of writes.
    #[must_use]
    pub fn writes(&self) -> u64 {
        let writes = self.by_kind.iter().filter(|(kind, _)| kind.is_write());
        writes.map(|(_, count)| count).sum()
    }

    /// Returns the number of reads.
    #[must_use]
    pub fn reads(&self) -> u64 {
        self.by_kind.values().sum::<u64>() - self.writes()
    }
}
