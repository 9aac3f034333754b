//! Loads that upstreams stated in their answers, to this node or to its peers.
//!
//! Answers the load of many nodes that each send few requests: a node's own answers are too old, and
//! counts of its peers' requests too incomplete, to tell a busy upstream from an idle one. Each node
//! passes on the newest sample that it knows of each upstream, once, to a few random peers.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};
use shallottide_types::id::NodeId;
use shallottide_types::rendezvous::hash;

use crate::adapter::ReportedLoad;
use crate::crash_evidence::Lifetime;

/// Age up to which a sample counts.
pub const MAX_SAMPLE_AGE: Duration = Duration::from_millis(1_500);
/// Samples in one message; fits a datagram.
pub const MAX_REPORTED: usize = 80;
/// Unit of ages in reports, in milliseconds.
const AGE_UNIT_MS: u64 = 10;
/// Difference in age below which two samples count as equally old, as the time on the network is
/// not known.
const AGE_TOLERANCE: Duration = Duration::from_millis(20);
/// Unit of slowness in reports, as a fraction of the kind's mean.
const SLOWNESS_UNIT: f64 = 1.0 / 32.0;

/// A sample as nodes send it to each other.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadSampleReport {
    /// Part of the hash of the upstream's lifetime.
    key: u32,
    running: u8,
    waiting: u8,
    /// Age in units of 10 ms.
    age: u8,
    /// Time to the first event relative to what the load and the prompt explain, in 32nds; 0 if not
    /// known.
    slowness: u8,
    /// The node that heard it, as a hash.
    origin: u16,
    /// Number of the sample at that node.
    number: u16,
}

/// A time to the first event relative to what the load and the prompt explain, as a peer saw it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PeerSlowness {
    /// The upstream's lifetime, as [`LoadBoard::key`] gives it.
    pub key: u32,
    /// Observed time divided by the expected one.
    pub ratio: f64,
    /// When it was observed.
    pub at: Instant,
}

#[derive(Debug, Clone, Copy)]
struct Sample {
    load: ReportedLoad,
    at: Instant,
    slowness: u8,
    /// The node that heard it, and its number there; a sample that returns is known by them.
    origin: u16,
    number: u16,
    /// Requests of this node that began less those that ended since.
    own_change: i32,
    is_reported: bool,
}

/// An upstream's load by its newest sample.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LoadEstimate {
    /// Running and waiting requests, from all nodes.
    pub load: f64,
    /// Age of the sample.
    pub age: Duration,
}

/// The newest sample of each upstream's load.
#[derive(Debug, Clone, Default)]
pub struct LoadBoard {
    /// By part of the hash of the lifetime; at most one for each known upstream after
    /// [`Self::retain`].
    samples: BTreeMap<u32, Sample>,
    next_number: u16,
}

impl LoadBoard {
    /// Returns the key of a lifetime in reports.
    #[must_use]
    pub fn key(lifetime: Lifetime) -> u32 {
        let [a, b, c, d, ..] = lifetime.key().to_le_bytes();
        u32::from_le_bytes([a, b, c, d])
    }

    /// Records the load that an upstream stated in an answer to this node, `own`.
    pub fn record_answer(
        &mut self,
        lifetime: Lifetime,
        load: ReportedLoad,
        own: &NodeId,
        now: Instant,
    ) {
        self.next_number = self.next_number.wrapping_add(1);
        let sample = Sample {
            load,
            at: now,
            slowness: 0,
            origin: origin_of(own),
            number: self.next_number,
            own_change: 0,
            is_reported: false,
        };
        self.samples.insert(Self::key(lifetime), sample);
    }

    /// Records how slow the answer that this node recorded last shows an upstream to be.
    pub fn record_slowness(&mut self, lifetime: Lifetime, ratio: f64, own: &NodeId) {
        if let Some(sample) = self.samples.get_mut(&Self::key(lifetime))
            && sample.origin == origin_of(own)
        {
            sample.slowness = to_slowness_units(ratio);
        }
    }

    /// Counts a request that this node sends to an upstream.
    pub fn started(&mut self, lifetime: Lifetime) {
        if let Some(sample) = self.samples.get_mut(&Self::key(lifetime)) {
            sample.own_change += 1;
        }
    }

    /// Counts a request of this node that an upstream no longer works on.
    pub fn ended(&mut self, lifetime: Lifetime) {
        if let Some(sample) = self.samples.get_mut(&Self::key(lifetime)) {
            sample.own_change -= 1;
        }
    }

    /// Estimates an upstream's load; `None` without a sample that is recent enough.
    #[must_use]
    pub fn estimate(&self, lifetime: Lifetime, now: Instant) -> Option<LoadEstimate> {
        let sample = self.samples.get(&Self::key(lifetime))?;
        let age = now.saturating_duration_since(sample.at);
        let load = f64::from(sample.load.running) + f64::from(sample.load.waiting);
        (age < MAX_SAMPLE_AGE).then(|| LoadEstimate {
            load: (load + f64::from(sample.own_change)).max(0.0),
            age,
        })
    }

    /// Returns the samples to send to peers: those that are new since the last report, the newest
    /// first.
    pub fn report(&mut self, now: Instant) -> Vec<LoadSampleReport> {
        let is_due = |sample: &Sample| {
            !sample.is_reported && now.saturating_duration_since(sample.at) < MAX_SAMPLE_AGE
        };
        let mut due: Vec<_> = self
            .samples
            .iter_mut()
            .filter(|(_, sample)| is_due(sample))
            .collect();
        due.sort_by_key(|(_, sample)| std::cmp::Reverse(sample.at));
        due.truncate(MAX_REPORTED);
        let to_report = |(key, sample): (&u32, &mut Sample)| {
            sample.is_reported = true;
            let age = now.saturating_duration_since(sample.at).as_millis();
            let age = u64::try_from(age).unwrap_or(u64::MAX) / AGE_UNIT_MS;
            LoadSampleReport {
                key: *key,
                running: saturate(sample.load.running),
                waiting: saturate(sample.load.waiting),
                age: u8::try_from(age).unwrap_or(u8::MAX),
                slowness: sample.slowness,
                origin: sample.origin,
                number: sample.number,
            }
        };
        due.into_iter().map(to_report).collect()
    }

    /// Takes over a peer's samples that are newer than the known ones; returns how slow they show
    /// their upstreams to be.
    pub fn merge(
        &mut self,
        reports: &[LoadSampleReport],
        own: &NodeId,
        now: Instant,
    ) -> Vec<PeerSlowness> {
        let own = origin_of(own);
        let mut slowness = Vec::new();
        for report in reports {
            let age = Duration::from_millis(u64::from(report.age) * AGE_UNIT_MS);
            let Some(at) = now.checked_sub(age) else {
                continue;
            };
            if report.origin == own || age >= MAX_SAMPLE_AGE {
                continue;
            }
            let known = self.samples.get(&report.key);
            let is_newer = known.is_none_or(|known| {
                (known.origin, known.number) != (report.origin, report.number)
                    && at > known.at + AGE_TOLERANCE
            });
            if !is_newer {
                continue;
            }
            let sample = Sample {
                load: ReportedLoad {
                    running: report.running.into(),
                    waiting: report.waiting.into(),
                },
                at,
                slowness: report.slowness,
                origin: report.origin,
                number: report.number,
                own_change: 0,
                is_reported: false,
            };
            self.samples.insert(report.key, sample);
            if report.slowness > 0 {
                slowness.push(PeerSlowness {
                    key: report.key,
                    ratio: f64::from(report.slowness) * SLOWNESS_UNIT,
                    at,
                });
            }
        }
        slowness
    }

    /// Drops samples that no longer count.
    pub fn expire(&mut self, now: Instant) {
        self.samples
            .retain(|_, sample| now.saturating_duration_since(sample.at) < MAX_SAMPLE_AGE);
    }
}

fn origin_of(node: &NodeId) -> u16 {
    let [a, b, ..] = hash(node.as_str()).to_le_bytes();
    u16::from_le_bytes([a, b])
}

fn saturate(count: u32) -> u8 {
    u8::try_from(count).unwrap_or(u8::MAX)
}

/// Returns a ratio in units of [`SLOWNESS_UNIT`], at least 1.
#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
fn to_slowness_units(ratio: f64) -> u8 {
    (ratio / SLOWNESS_UNIT).round().clamp(1.0, 255.0) as u8
}
