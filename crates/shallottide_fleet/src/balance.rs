//! Chooses the upstream of a request.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use shallottide_types::id::{DomainId, ModelId, NodeId, ServiceId, UpstreamId};

use crate::border::ReportedLoad;
use crate::cold_gate::ColdGate;
use crate::view::{ClusterView, Known};

/// Age up to which a peer's report of its requests counts.
const PEER_REPORT_AGE: Duration = Duration::from_millis(1_500);
/// Age up to which the load that an upstream told counts.
const TOLD_AGE: Duration = Duration::from_millis(600);
/// Weight of the newest outcome in an upstream's moving averages.
const NEWEST: f64 = 0.2;
/// Load, in parts of all slots, that a way to another failure domain is worth.
const OTHER_DOMAIN: f64 = 0.06;
/// Load, in parts of all slots, that a certain failure is worth.
const FAILURE_WEIGHT: f64 = 1.5;
/// Latency against the mean of its kind above which an upstream counts as a straggler.
const STRAGGLER: f64 = 1.6;
/// Scores within this of the best are drawn from at random, so that nodes do not all pick one.
const CLOSE: f64 = 0.04;
/// Time without any event of an upstream's streams after which it gets no more; all streams of a
/// batch go on together, a few times a second at the least.
const STANDSTILL: Duration = Duration::from_millis(280);
/// First time for which a failing upstream is left alone; doubles with each failure in a row.
const AVOID_FIRST: Duration = Duration::from_millis(400);
/// Longest time for which a failing upstream is left alone.
const AVOID_LONGEST: Duration = Duration::from_secs(4);

/// What a request needs of an upstream.
#[derive(Debug, Clone)]
pub struct Need<'a> {
    /// The service.
    pub service: &'a ServiceId,
    /// The model, for engines.
    pub model: Option<&'a ModelId>,
    /// Failure domains that may serve the request; all if not set.
    pub domains: Option<&'a BTreeSet<DomainId>>,
    /// Upstreams that were tried before.
    pub tried: &'a [UpstreamId],
    /// Requests beyond an upstream's slots that may wait there.
    pub queue: u32,
}

/// Why no upstream was chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NoPlace {
    /// Every upstream that could serve is full.
    Full,
    /// None could serve, even an idle one.
    None,
}

/// The chosen upstream and the inputs of the choice.
#[derive(Debug, Clone, PartialEq)]
pub struct Choice {
    /// The upstream.
    pub upstream: UpstreamId,
    /// Requests estimated to be there.
    pub load: f64,
    /// Upstreams that could have served.
    pub candidates: usize,
    /// Age of the chosen upstream's entry.
    pub entry_age: Duration,
    /// Whether the upstream is cold.
    pub cold: bool,
}

#[derive(Debug, Clone, Default)]
struct Load {
    in_flight: u32,
    told: Option<(ReportedLoad, Instant, u32)>,
    avoid_until: Option<Instant>,
    failures_in_row: u32,
    /// Streams of this node that have begun, and when any of them went on.
    streams: u32,
    progressed: Option<Instant>,
    /// Moving average of failures, from 0 to 1.
    failing: f64,
    /// Moving average of the time to the first byte, in seconds.
    first_byte: Option<f64>,
}

impl Load {
    fn stands_still(&self, now: Instant) -> bool {
        self.streams > 0
            && self
                .progressed
                .is_some_and(|at| now.saturating_duration_since(at) >= STANDSTILL)
    }
}

#[derive(Debug, Clone)]
struct PeerReport {
    at: Instant,
    in_flight: BTreeMap<u64, u32>,
}

/// Loads of all upstreams as this node estimates them.
#[derive(Debug, Clone, Default)]
pub struct LoadTracker {
    loads: BTreeMap<UpstreamId, Load>,
    peers: BTreeMap<NodeId, PeerReport>,
    /// Sum of peers' requests by upstream, refreshed with each report.
    peer_sums: BTreeMap<u64, f64>,
}

impl LoadTracker {
    /// Notes a request sent to an upstream.
    pub fn started(&mut self, upstream: &UpstreamId) {
        self.loads.entry(upstream.clone()).or_default().in_flight += 1;
    }

    /// Notes that a request's work at an upstream has ended.
    pub fn ended(&mut self, upstream: &UpstreamId) {
        if let Some(load) = self.loads.get_mut(upstream) {
            load.in_flight = load.in_flight.saturating_sub(1);
        }
    }

    /// Notes that a stream of an upstream has begun.
    pub fn stream_began(&mut self, upstream: &UpstreamId, now: Instant) {
        let load = self.loads.entry(upstream.clone()).or_default();
        load.streams += 1;
        load.progressed = Some(now);
    }

    /// Notes that a stream of an upstream went on.
    pub fn record_stream_progress(&mut self, upstream: &UpstreamId, now: Instant) {
        if let Some(load) = self.loads.get_mut(upstream) {
            load.progressed = Some(now);
        }
    }

    /// Notes that a stream of an upstream is over.
    pub fn stream_over(&mut self, upstream: &UpstreamId) {
        if let Some(load) = self.loads.get_mut(upstream) {
            load.streams = load.streams.saturating_sub(1);
        }
    }

    /// Tells whether all streams of an upstream stand still, as they do when its group lost a
    /// member.
    #[must_use]
    pub fn stands_still(&self, upstream: &UpstreamId, now: Instant) -> bool {
        self.loads
            .get(upstream)
            .is_some_and(|load| load.stands_still(now))
    }

    /// Notes the load that an answer told.
    pub fn record_reported_load(
        &mut self,
        upstream: &UpstreamId,
        told: ReportedLoad,
        now: Instant,
    ) {
        let load = self.loads.entry(upstream.clone()).or_default();
        load.told = Some((told, now, load.in_flight));
    }

    /// Notes a good answer and the time to its first byte.
    pub fn succeeded(&mut self, upstream: &UpstreamId, first_byte: Duration) {
        let load = self.loads.entry(upstream.clone()).or_default();
        load.failures_in_row = 0;
        load.avoid_until = None;
        load.failing *= 1.0 - NEWEST;
        let seconds = first_byte.as_secs_f64();
        let old = load.first_byte.unwrap_or(seconds);
        load.first_byte = Some(old + NEWEST * (seconds - old));
    }

    /// Notes a failed answer, without leaving the upstream alone for it.
    pub fn answered_badly(&mut self, upstream: &UpstreamId) {
        let load = self.loads.entry(upstream.clone()).or_default();
        load.failing += NEWEST * (1.0 - load.failing);
    }

    /// Notes that an upstream could not be reached, cut an answer or fell silent.
    pub fn failed(&mut self, upstream: &UpstreamId, now: Instant) {
        let load = self.loads.entry(upstream.clone()).or_default();
        load.failing += NEWEST * (1.0 - load.failing);
        load.failures_in_row = (load.failures_in_row + 1).min(8);
        let wait = AVOID_FIRST * 2_u32.pow(load.failures_in_row - 1);
        load.avoid_until = Some(now + wait.min(AVOID_LONGEST));
    }

    /// Leaves an upstream alone for a time without counting a failure.
    pub fn avoid(&mut self, upstream: &UpstreamId, until: Instant) {
        let load = self.loads.entry(upstream.clone()).or_default();
        load.avoid_until = load.avoid_until.max(Some(until));
    }

    /// Returns this node's own requests at each upstream, by the hash of its id.
    pub fn own(&self) -> impl Iterator<Item = (u64, u32)> + '_ {
        self.loads
            .iter()
            .filter(|(_, load)| load.in_flight > 0)
            .map(|(id, load)| {
                (
                    shallottide_types::rendezvous::hash(id.as_str()),
                    load.in_flight,
                )
            })
    }

    /// Takes in a peer's requests at each upstream, by the hash of its id.
    pub fn record_peer_report(
        &mut self,
        peer: NodeId,
        in_flight: impl IntoIterator<Item = (u64, u32)>,
        nodes: usize,
        now: Instant,
    ) {
        let in_flight = in_flight.into_iter().collect();
        self.peers.insert(peer, PeerReport { at: now, in_flight });
        self.peers
            .retain(|_, report| now.saturating_duration_since(report.at) < PEER_REPORT_AGE);
        // Nodes that have not reported lately are taken to be like those that have.
        let heard = f64::from(u32::try_from(self.peers.len()).unwrap_or(u32::MAX));
        let others = f64::from(u32::try_from(nodes.saturating_sub(1)).unwrap_or(u32::MAX));
        let scale = (others / heard).max(1.0);
        self.peer_sums.clear();
        for report in self.peers.values() {
            for (&upstream, &count) in &report.in_flight {
                *self.peer_sums.entry(upstream).or_default() += f64::from(count) * scale;
            }
        }
    }

    /// Estimates the requests of all nodes at an upstream.
    #[must_use]
    pub fn estimate(&self, upstream: &UpstreamId, now: Instant) -> f64 {
        let hash = shallottide_types::rendezvous::hash(upstream.as_str());
        let peers = self.peer_sums.get(&hash).copied().unwrap_or_default();
        let Some(load) = self.loads.get(upstream) else {
            return peers;
        };
        let counted = f64::from(load.in_flight) + peers;
        let told = load.told.and_then(|(told, at, own_then)| {
            let is_new = now.saturating_duration_since(at) < TOLD_AGE;
            let since = f64::from(load.in_flight) - f64::from(own_then);
            is_new.then(|| f64::from(told.running + told.waiting) + since)
        });
        told.map_or(counted, |told| counted.max(told))
    }

    /// Forgets upstreams that are gone.
    pub fn retain(&mut self, known: impl Fn(&UpstreamId) -> bool) {
        self.loads
            .retain(|id, load| load.in_flight > 0 || known(id));
    }

    /// Chooses the upstream of a request; `draw` is a uniform random number.
    ///
    /// # Errors
    /// [`NoPlace`] when there is none.
    pub fn choose(
        &self,
        need: &Need<'_>,
        view: &ClusterView,
        cold: &ColdGate,
        own: (&NodeId, &DomainId),
        now: Instant,
        draw: u32,
    ) -> Result<Choice, NoPlace> {
        let mut any = false;
        let mut open: Vec<(f64, &Known, f64)> = Vec::new();
        let mean = self.mean_first_byte(need, view);
        for known in serving(need, view) {
            let upstream = &known.upstream;
            let load = self.loads.get(&upstream.id);
            any = true;
            if need.tried.contains(&upstream.id)
                || load.is_some_and(|load| {
                    load.avoid_until.is_some_and(|until| now < until) || load.stands_still(now)
                })
            {
                continue;
            }
            if known.is_cold(now) && !cold_allows(known, view, cold, own.0, now) {
                continue;
            }
            let count = self.estimate(&upstream.id, now);
            if count >= f64::from(upstream.slots + need.queue) {
                continue;
            }
            let mut score = (count + 1.0) / f64::from(upstream.slots.max(1));
            if let Some(load) = load {
                score += FAILURE_WEIGHT * load.failing;
                if let (Some(mean), Some(first)) = (mean, load.first_byte) {
                    let ratio = first / mean.max(0.001);
                    if ratio > STRAGGLER {
                        score *= ratio;
                    }
                }
            }
            if upstream.domain != *own.1 {
                score += OTHER_DOMAIN;
            }
            if known.lapsed.is_some() {
                score += 1.0;
            }
            open.push((score, known, count));
        }
        let best = open
            .iter()
            .map(|(score, ..)| *score)
            .fold(f64::INFINITY, f64::min);
        let candidates = open.len();
        open.retain(|(score, ..)| *score <= best + CLOSE);
        if open.is_empty() {
            return Err(if any { NoPlace::Full } else { NoPlace::None });
        }
        let (_, known, load) = open.swap_remove(draw as usize % open.len());
        Ok(Choice {
            upstream: known.upstream.id.clone(),
            load,
            candidates,
            entry_age: now.saturating_duration_since(known.seen),
            cold: known.is_cold(now),
        })
    }

    fn mean_first_byte(&self, need: &Need<'_>, view: &ClusterView) -> Option<f64> {
        let (mut sum, mut count) = (0.0, 0.0);
        for known in serving(need, view) {
            if let Some(first) = self
                .loads
                .get(&known.upstream.id)
                .and_then(|l| l.first_byte)
            {
                sum += first;
                count += 1.0;
            }
        }
        (count >= 3.0).then(|| sum / count)
    }
}

/// Returns the upstreams that may get a request, in the order of their ids.
fn serving<'a>(need: &Need<'_>, view: &'a ClusterView) -> impl Iterator<Item = &'a Known> {
    let ids = view.serving(need.service, need.model).iter();
    let known = ids.filter_map(|id| view.upstreams.get(id));
    known.filter(|known| {
        need.domains
            .is_none_or(|domains| domains.contains(&known.upstream.domain))
    })
}

/// Tells whether this node may send one more request to a cold upstream.
fn cold_allows(
    known: &Known,
    view: &ClusterView,
    cold: &ColdGate,
    own: &NodeId,
    now: Instant,
) -> bool {
    let service = view
        .catalog
        .as_ref()
        .and_then(|catalog| catalog.services.get(&known.upstream.service));
    let Some(service) = service.filter(|service| service.cold_per_second > 0) else {
        return true;
    };
    let id = &known.upstream.id;
    let share = ColdGate::share(id, own, view.nodes.keys(), service.cold_per_second);
    cold.allows(id, share, now)
}
