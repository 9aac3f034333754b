//! What is known of one other entry VM.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use shallottide_types::id::StoreIndex;
use shallottide_types::peer::{LoadSummary, NodeInfo, NodeTag, Slot};

use super::ring;

/// Shortest rise of the time a node was heard that is told on as new.
const FRESH_STEP: Duration = Duration::from_millis(1500);

/// What is known of one other entry VM.
#[derive(Debug, Clone)]
pub struct Member {
    /// Where it is.
    pub info: NodeInfo,
    /// Its short hash.
    pub tag: NodeTag,
    /// When its latest known sign of life was given; `None` when there was none.
    /// Invariant: never falls within one incarnation.
    pub heard_at: Option<Instant>,
    /// When it became known here, or was last alive.
    pub known_at: Instant,
    /// Number of its latest heartbeat received here.
    pub seq: u64,
    /// Highest store index it is known to have applied.
    pub config: StoreIndex,
    /// Loads it reported, and when.
    pub loads: BTreeMap<Slot, (LoadSummary, Instant)>,
    /// How often its latest sign of life was told on.
    pub(super) sightings_sent: u32,
    /// When a sign of life of it was last told on.
    pub(super) told_at: Option<Instant>,
    /// How often where it is was told on.
    pub(super) news_sent: u32,
    sightings_since: Option<Instant>,
}

impl Member {
    /// Creates a member without a sign of life.
    #[must_use]
    pub fn new(info: NodeInfo, now: Instant) -> Self {
        Self {
            tag: ring::node_tag(&info),
            info,
            heard_at: None,
            known_at: now,
            seq: 0,
            config: StoreIndex(0),
            loads: BTreeMap::new(),
            sightings_sent: 0,
            told_at: None,
            news_sent: 0,
            sightings_since: None,
        }
    }

    /// Takes in a sign of life given at `at`; `false` when a later one is known.
    pub fn hear(&mut self, at: Instant, config: StoreIndex) -> bool {
        self.config = self.config.max(config);
        if self.heard_at.is_some_and(|heard| heard >= at) {
            return false;
        }
        self.heard_at = Some(at);
        self.known_at = self.known_at.max(at);
        if self
            .sightings_since
            .is_none_or(|since| at >= since + FRESH_STEP)
        {
            self.sightings_since = Some(at);
            self.sightings_sent = 0;
        }
        true
    }

    /// Takes in a load given at `at`.
    pub fn load(&mut self, load: LoadSummary, at: Instant) {
        let held = self.loads.get(&load.slot);
        if held.is_none_or(|(_, held_at)| *held_at < at) {
            self.loads.insert(load.slot.clone(), (load, at));
        }
    }

    /// Returns the time since its latest known sign of life.
    #[must_use]
    pub fn age(&self, now: Instant) -> Option<Duration> {
        self.heard_at.map(|at| now.saturating_duration_since(at))
    }

    /// Returns the loads given about the time of its latest sign of life.
    pub(super) fn current_loads(&self) -> impl Iterator<Item = &LoadSummary> {
        let heard_at = self.heard_at;
        self.loads
            .values()
            .filter(move |(_, at)| heard_at.is_some_and(|heard| *at + FRESH_STEP >= heard))
            .map(|(load, _)| load)
    }
}
