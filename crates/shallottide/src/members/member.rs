//! State of one other entry VM, as known to this node.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use shallottide_types::id::StoreIndex;
use shallottide_types::peer::{LoadSummary, NodeInfo, NodeTag, Slot};

use super::ring;

/// Smallest advance of a sign-of-life time that counts as a new sighting to gossip.
const MIN_SIGHTING_ADVANCE: Duration = Duration::from_millis(1500);

/// State of one other entry VM, as known to this node.
#[derive(Debug, Clone)]
pub struct Member {
    /// Id, incarnation, failure domain and address of the node.
    pub info: NodeInfo,
    /// Short hash of the node id and its incarnation.
    pub tag: NodeTag,
    /// When the node gave its latest known sign of life; `None` if there was none.
    ///
    /// Invariant: never decreases within one incarnation.
    pub heard_at: Option<Instant>,
    /// When this node learned of the member, or the latest sign of life if that is later.
    pub known_at: Instant,
    /// Sequence number of the latest heartbeat received from the node.
    pub heartbeat_seq: u64,
    /// Highest store index that the node is known to have applied.
    pub config: StoreIndex,
    /// Loads that the node reported, and when.
    pub loads: BTreeMap<Slot, (LoadSummary, Instant)>,
    /// How often the current sighting was sent to other nodes.
    pub(super) sightings_sent: u32,
    /// When a sighting of the node was last sent to another node.
    pub(super) last_reported_at: Option<Instant>,
    /// How often the node's info was sent to other nodes.
    pub(super) updates_sent: u32,
    /// Sign-of-life time at which `sightings_sent` was last reset.
    sightings_since: Option<Instant>,
}

impl Member {
    /// Creates a member without any known sign of life.
    #[must_use]
    pub fn new(info: NodeInfo, now: Instant) -> Self {
        Self {
            tag: ring::node_tag(&info),
            info,
            heard_at: None,
            known_at: now,
            heartbeat_seq: 0,
            config: StoreIndex(0),
            loads: BTreeMap::new(),
            sightings_sent: 0,
            last_reported_at: None,
            updates_sent: 0,
            sightings_since: None,
        }
    }

    /// Records a sign of life given at `at`; returns `false` if a later one is known.
    pub fn record_sign_of_life(&mut self, at: Instant, config: StoreIndex) -> bool {
        self.config = self.config.max(config);
        if self.heard_at.is_some_and(|heard| heard >= at) {
            return false;
        }
        self.heard_at = Some(at);
        self.known_at = self.known_at.max(at);
        if self
            .sightings_since
            .is_none_or(|since| at >= since + MIN_SIGHTING_ADVANCE)
        {
            self.sightings_since = Some(at);
            self.sightings_sent = 0;
        }
        true
    }

    /// Records a load given at `at`, unless a later one is known.
    pub fn record_load(&mut self, load: LoadSummary, at: Instant) {
        let held = self.loads.get(&load.slot);
        if held.is_none_or(|(_, held_at)| *held_at < at) {
            self.loads.insert(load.slot.clone(), (load, at));
        }
    }

    /// Returns the time since the latest known sign of life.
    #[must_use]
    pub fn age(&self, now: Instant) -> Option<Duration> {
        self.heard_at.map(|at| now.saturating_duration_since(at))
    }

    /// Returns the loads given at about the time of the latest sign of life.
    pub(super) fn current_loads(&self) -> impl Iterator<Item = &LoadSummary> {
        let heard_at = self.heard_at;
        self.loads
            .values()
            .filter(move |(_, at)| {
                heard_at.is_some_and(|heard| *at + MIN_SIGHTING_ADVANCE >= heard)
            })
            .map(|(load, _)| load)
    }
}
