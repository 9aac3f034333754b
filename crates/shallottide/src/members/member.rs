//! State of one other entry VM, as known to this node.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use shallottide_types::id::StoreIndex;
use shallottide_types::peer::{LoadSummary, NodeInfo, NodeTag, Slot};

use super::ring;

/// Smallest advance of `last_seen` that resets the gossip priority of a member.
const MIN_LAST_SEEN_ADVANCE: Duration = Duration::from_millis(1500);

/// State of one other entry VM, as known to this node.
#[derive(Debug, Clone)]
pub struct Member {
    /// Id, incarnation, failure domain and address of the node.
    pub info: NodeInfo,
    /// Short hash of the node id and its incarnation.
    pub tag: NodeTag,
    /// Latest time at which the node is known to have been alive, from its own heartbeat or from a
    /// node update that another node relayed; `None` if it was never seen alive.
    ///
    /// Invariant: never decreases within one incarnation.
    pub last_seen: Option<Instant>,
    /// When the member was added to the table, or `last_seen` if that is later.
    pub known_at: Instant,
    /// Sequence number of the latest heartbeat received from the node.
    pub heartbeat_seq: u64,
    /// Highest store index that the node is known to have applied.
    pub config: StoreIndex,
    /// Loads that the node reported, and when.
    pub loads: BTreeMap<Slot, (LoadSummary, Instant)>,
    /// How often a compact update about the node was sent since `compact_updates_since`.
    pub(super) compact_updates_sent: u32,
    /// When a compact update about the node was last sent to another node.
    pub(super) last_reported_at: Option<Instant>,
    /// How often the node's info was sent to other nodes.
    pub(super) updates_sent: u32,
    /// Value of `last_seen` at which `compact_updates_sent` was last reset.
    compact_updates_since: Option<Instant>,
}

impl Member {
    /// Creates a member that was never seen alive.
    #[must_use]
    pub fn new(info: NodeInfo, now: Instant) -> Self {
        Self {
            tag: ring::node_tag(&info),
            info,
            last_seen: None,
            known_at: now,
            heartbeat_seq: 0,
            config: StoreIndex(0),
            loads: BTreeMap::new(),
            compact_updates_sent: 0,
            last_reported_at: None,
            updates_sent: 0,
            compact_updates_since: None,
        }
    }

    /// Records that the node was alive at `at`; returns `false` if `last_seen` is not earlier.
    pub fn record_seen_alive(&mut self, at: Instant, config: StoreIndex) -> bool {
        self.config = self.config.max(config);
        if self.last_seen.is_some_and(|last_seen| last_seen >= at) {
            return false;
        }
        self.last_seen = Some(at);
        self.known_at = self.known_at.max(at);
        if self
            .compact_updates_since
            .is_none_or(|since| at >= since + MIN_LAST_SEEN_ADVANCE)
        {
            self.compact_updates_since = Some(at);
            self.compact_updates_sent = 0;
        }
        true
    }

    /// Records a load reported at `at`, unless a load of that time or later is known.
    pub fn record_load(&mut self, load: LoadSummary, at: Instant) {
        let held = self.loads.get(&load.slot);
        if held.is_none_or(|(_, held_at)| *held_at < at) {
            self.loads.insert(load.slot.clone(), (load, at));
        }
    }

    /// Returns the time since the node was last seen alive; `None` if it never was.
    #[must_use]
    pub fn age(&self, now: Instant) -> Option<Duration> {
        self.last_seen.map(|at| now.saturating_duration_since(at))
    }

    /// Returns the loads reported at about the time at which the node was last seen alive.
    pub(super) fn current_loads(&self) -> impl Iterator<Item = &LoadSummary> {
        let last_seen = self.last_seen;
        self.loads
            .values()
            .filter(move |(_, at)| {
                last_seen.is_some_and(|last_seen| *at + MIN_LAST_SEEN_ADVANCE >= last_seen)
            })
            .map(|(load, _)| load)
    }
}
