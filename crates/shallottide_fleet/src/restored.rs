//! What a restored store may lack, or show in an older state, until its writers have written it again.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use shallottide_types::id::{DomainId, NodeId, UpstreamId};

use crate::upstream::Upstream;

/// Time after a restore within which operators, upstreams and nodes write again what was lost.
pub const REWRITE_TIME: Duration = Duration::from_millis(2_100);
/// Age of the oldest copy that brings back upstreams which a node has seen leave.
const REMOVED_RETENTION: Duration = Duration::from_mins(5);

/// Differences between a restored store and what was known before, which don't count yet.
#[derive(Debug, Clone, Default)]
pub struct Unconfirmed {
    /// When this node learned of the restore; `None` when all differences count.
    since: Option<Instant>,
    /// Failure domains that were evacuated and are not in the store. Those that only the store calls
    /// evacuated count at once: operators may have evacuated them since.
    returned: BTreeSet<DomainId>,
    /// Nodes whose entries the store lacks.
    missing_nodes: BTreeSet<NodeId>,
}

impl Unconfirmed {
    /// Starts the time in which differences don't count.
    pub fn start(&mut self, now: Instant) {
        *self = Self {
            since: Some(now),
            ..Self::default()
        };
    }

    /// Returns whether differences don't count yet.
    #[must_use]
    pub fn is_pending(&self, now: Instant) -> bool {
        self.since
            .is_some_and(|since| now.saturating_duration_since(since) < REWRITE_TIME)
    }

    /// Keeps the domains evacuated that the store no longer lists.
    pub fn compare_domains(&mut self, known: &BTreeSet<DomainId>, listed: &BTreeSet<DomainId>) {
        self.returned = known.difference(listed).cloned().collect();
    }

    /// Keeps the known nodes that the store does not list.
    pub fn compare_nodes<'a>(
        &mut self,
        known: impl Iterator<Item = &'a NodeId>,
        listed: &BTreeSet<NodeId>,
    ) {
        let missing = known.filter(|id| !listed.contains(*id));
        self.missing_nodes = missing.cloned().collect();
    }

    /// Returns whether the store no longer lists an evacuated domain, which does not count yet.
    #[must_use]
    pub fn is_returned(&self, domain: &DomainId) -> bool {
        self.returned.contains(domain)
    }

    /// Returns whether the store lacks a node's entry, which does not count yet.
    #[must_use]
    pub fn is_missing(&self, node: &NodeId) -> bool {
        self.missing_nodes.contains(node)
    }

    /// Records that operators have written or removed the evacuation of a domain.
    pub fn confirm_domain(&mut self, domain: &DomainId) {
        self.returned.remove(domain);
    }

    /// Records that a node's entry was written or removed.
    pub fn confirm_node(&mut self, node: &NodeId) {
        self.missing_nodes.remove(node);
    }

    /// Returns the differences that count from now on: nobody has written again what the store lacks.
    pub fn take_due(&mut self, now: Instant) -> (BTreeSet<DomainId>, BTreeSet<NodeId>) {
        if self.since.is_none() || self.is_pending(now) {
            return Default::default();
        }
        let due = std::mem::take(self);
        (due.returned, due.missing_nodes)
    }
}

/// The last known lifetime and heartbeat of an upstream that has left.
#[derive(Debug, Clone, Copy)]
struct LastEntry {
    born: u64,
    heartbeat_seq: u64,
    removed_at: Instant,
}

/// Upstreams that have left lately, which a restored store may list again.
#[derive(Debug, Clone, Default)]
pub struct RemovedUpstreams {
    last_entries: BTreeMap<UpstreamId, LastEntry>,
}

impl RemovedUpstreams {
    /// Records the last entry of an upstream that has left.
    pub fn record(&mut self, upstream: &Upstream, now: Instant) {
        let last = LastEntry {
            born: upstream.born,
            heartbeat_seq: upstream.heartbeat_seq,
            removed_at: now,
        };
        self.last_entries.insert(upstream.id.clone(), last);
    }

    /// Returns the start time of the last lifetime of an upstream that has left.
    #[must_use]
    pub fn last_born(&self, id: &UpstreamId) -> Option<u64> {
        self.last_entries.get(id).map(|last| last.born)
    }

    /// Forgets upstreams that no copy brings back any more.
    pub fn expire(&mut self, now: Instant) {
        self.last_entries
            .retain(|_, last| now.saturating_duration_since(last.removed_at) < REMOVED_RETENTION);
    }

    /// Returns whether an entry was written before the upstream left.
    #[must_use]
    pub fn contains(&self, entry: &Upstream) -> bool {
        let last = self.last_entries.get(&entry.id);
        last.is_some_and(|last| {
            (entry.born, entry.heartbeat_seq) <= (last.born, last.heartbeat_seq)
        })
    }
}
