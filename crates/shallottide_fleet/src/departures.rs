//! Upstreams that announced in their answers that they are leaving.
//!
//! An upstream that leaves finishes its requests and ends some time later; its entry in the store may
//! change late, or only when it has ended. A node that has passed on such an answer must have stopped
//! sending to the upstream within a bound, whether or not the store can be reached.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use crate::crash_evidence::Lifetime;

/// Time for which a node reports an upstream's announcement.
const REPORT_TIME: Duration = Duration::from_secs(3);
/// Time for which an upstream without an entry is kept; its entry may return after a failure of the
/// store.
const RETENTION: Duration = Duration::from_mins(10);
/// Upstreams in one report; fits a datagram.
const MAX_REPORTED: usize = 60;

#[derive(Debug, Clone, Copy)]
struct Departure {
    /// When the first announcement reached this node, or a peer that reported it.
    announced_at: Instant,
    /// When an announcement last reached this node itself.
    last_heard: Option<Instant>,
    /// When the upstream last had an entry.
    last_seen: Instant,
}

/// An announcement that reached a node.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct DepartureReport {
    lifetime: Lifetime,
    /// How many milliseconds ago it was first made.
    age_ms: u32,
}

/// The upstreams that are leaving.
#[derive(Debug, Clone, Default)]
pub struct Departures {
    /// Time from the first announcement for which an upstream may get requests that no other can
    /// serve.
    last_use: Duration,
    upstreams: BTreeMap<Lifetime, Departure>,
}

impl Departures {
    /// Creates the record of a node whose requests must not reach an upstream later than `bound`
    /// after its announcement; half of it is kept for requests on their way.
    #[must_use]
    pub fn new(bound: Duration) -> Self {
        Self {
            last_use: bound / 2,
            upstreams: BTreeMap::new(),
        }
    }

    /// Returns the number of upstreams that are leaving or have left lately.
    #[must_use]
    pub fn len(&self) -> usize {
        self.upstreams.len()
    }

    /// Returns whether no upstream is leaving.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.upstreams.is_empty()
    }

    /// Records an announcement in an upstream's answer; returns whether it is the first one known.
    pub fn record_answer(&mut self, lifetime: Lifetime, now: Instant) -> bool {
        let is_first = self.record(lifetime, now, now);
        if let Some(departure) = self.upstreams.get_mut(&lifetime) {
            departure.last_heard = Some(now);
        }
        is_first
    }

    fn record(&mut self, lifetime: Lifetime, announced_at: Instant, now: Instant) -> bool {
        let is_first = !self.upstreams.contains_key(&lifetime);
        let departure = self.upstreams.entry(lifetime).or_insert(Departure {
            announced_at,
            last_heard: None,
            last_seen: now,
        });
        departure.announced_at = departure.announced_at.min(announced_at);
        is_first
    }

    /// Returns whether an upstream is leaving.
    #[must_use]
    pub fn is_leaving(&self, lifetime: Lifetime) -> bool {
        self.upstreams.contains_key(&lifetime)
    }

    /// Returns whether an upstream may get requests that no other upstream can serve.
    #[must_use]
    pub fn allows_last_use(&self, lifetime: Lifetime, now: Instant) -> bool {
        let departure = self.upstreams.get(&lifetime);
        departure.is_none_or(|departure| now < departure.announced_at + self.last_use)
    }

    /// Drops upstreams whose entries are gone for long; `known` are those with an entry.
    pub fn retain(&mut self, known: &BTreeSet<Lifetime>, now: Instant) {
        self.upstreams.retain(|lifetime, departure| {
            if known.contains(lifetime) {
                departure.last_seen = now;
            }
            now.saturating_duration_since(departure.last_seen) < RETENTION
        });
    }

    /// Returns the announcements that reached this node lately, in reports of limited size.
    #[must_use]
    pub fn reports(&self, now: Instant) -> Vec<Vec<DepartureReport>> {
        let is_recent = |at: Instant| now.saturating_duration_since(at) < REPORT_TIME;
        let heard = self.upstreams.iter();
        let heard = heard.filter(|(_, departure)| departure.last_heard.is_some_and(is_recent));
        let reports = heard.map(|(lifetime, departure)| {
            let age = now.saturating_duration_since(departure.announced_at);
            DepartureReport {
                lifetime: *lifetime,
                age_ms: u32::try_from(age.as_millis()).unwrap_or(u32::MAX),
            }
        });
        let reports: Vec<_> = reports.collect();
        reports.chunks(MAX_REPORTED).map(<[_]>::to_vec).collect()
    }

    /// Adds announcements that reached a peer; returns how many are new.
    pub fn merge(&mut self, reports: &[DepartureReport], now: Instant) -> usize {
        let mut added = 0;
        for report in reports {
            let age = Duration::from_millis(report.age_ms.into());
            let announced_at = now.checked_sub(age).unwrap_or(now);
            added += usize::from(self.record(report.lifetime, announced_at, now));
        }
        added
    }
}
