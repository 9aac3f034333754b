//! Chooses the upstream of a request.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use shallottide_types::id::{DomainId, ModelId, NodeId, ServiceId, UpstreamId};

use crate::adapter::ReportedLoad;
use crate::admission::CallClass;
use crate::cold_gate::ColdGate;
use crate::cooldowns::Cooldowns;
use crate::crash_evidence::Lifetime;
use crate::departures::Departures;
use crate::load_board::{LoadBoard, LoadEstimate, MAX_SAMPLE_AGE};
use crate::named_limits::NamedLimits;
use crate::spread::{self, Target};
use crate::view::{ClusterView, KnownUpstream};

/// Age up to which a peer's report of its requests counts.
const MAX_PEER_REPORT_AGE: Duration = Duration::from_millis(1_500);
/// Age up to which the load that an upstream reported counts.
const MAX_REPORTED_LOAD_AGE: Duration = Duration::from_millis(600);
/// Weight of the newest sample in an upstream's moving averages.
const SAMPLE_WEIGHT: f64 = 0.2;
/// Score added for an upstream in another failure domain, as a fraction of its slots.
const OTHER_DOMAIN_COST: f64 = 0.06;
/// Score added for an upstream that always fails, as a fraction of its slots.
const FAILURE_WEIGHT: f64 = 1.5;
/// Ratio of an upstream's latency to the mean of its kind above which it counts as a straggler.
const STRAGGLER_RATIO: f64 = 1.6;
/// Upstreams with scores within this distance of the best are chosen from at random, so that nodes
/// do not all choose the same one.
const SCORE_TOLERANCE: f64 = 0.04;
/// Time without an event on any of an upstream's streams after which it gets no new requests; all
/// streams of a batch progress together, at least a few times a second.
const STALL_TIMEOUT: Duration = Duration::from_millis(280);
/// Answers that are expected of an engine, from all nodes, within a silence after which it gets no new
/// requests: its group has probably lost a member.
const EXPECTED_ANSWERS: f64 = 6.0;
/// Shortest such silence; samples are passed on within half of it.
const MIN_SILENCE: Duration = Duration::from_millis(800);
/// Least on-time load of the fastest engine of a model that limits are based on, as a fraction of its
/// slots.
const MIN_BEST_FILL: f64 = 0.5;
/// Mean age of peers' counts of requests, which stand for the load of an engine without a sample.
const COUNT_AGE: Duration = Duration::from_millis(400);
/// First back-off from a failing upstream; doubles with each failure in a row.
const MIN_BACKOFF: Duration = Duration::from_millis(400);
/// Longest back-off from a failing upstream.
const MAX_BACKOFF: Duration = Duration::from_secs(4);

/// Requirements of a request on its upstream.
#[derive(Debug, Clone)]
pub struct Need<'a> {
    /// The service.
    pub service: &'a ServiceId,
    /// The model; set for engines.
    pub model: Option<&'a ModelId>,
    /// Failure domains that may serve the request; all if not set.
    pub domains: Option<&'a BTreeSet<DomainId>>,
    /// Upstreams that were tried before.
    pub tried: &'a [UpstreamId],
    /// Requests that may wait at an upstream beyond its slots.
    pub queue: u32,
}

/// Limits on this node's requests to upstreams.
#[derive(Debug, Clone, Copy)]
pub struct SendLimits<'a> {
    /// Requests to cold upstreams.
    pub cold: &'a ColdGate,
    /// Requests to upstreams that name a limit.
    pub named: &'a NamedLimits,
    /// Upstreams that asked for no requests for a time.
    pub cooldowns: &'a Cooldowns,
    /// Upstreams that are leaving; they get requests only while no other has a place.
    pub departures: &'a Departures,
}

/// Why no upstream was chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NoPlace {
    /// Every upstream that serves such a request is full, was tried before or is backed off from.
    Full,
    /// Every upstream that serves such a request and was not tried before asked for no requests for a
    /// time; with the earliest end.
    CoolingDown(Instant),
    /// No known upstream serves such a request, whatever its load.
    None,
}

/// The chosen upstream, with inputs of the choice for logs.
#[derive(Debug, Clone, PartialEq)]
pub struct Choice {
    /// The upstream.
    pub upstream: UpstreamId,
    /// Its lifetime.
    pub lifetime: Lifetime,
    /// Estimated requests at the upstream, from all nodes.
    pub load: f64,
    /// Age of the upstream's own statement that `load` was taken from, if it was.
    pub load_age: Option<Duration>,
    /// Load at which the upstream still answers typical calls on time; its slots where that is not known.
    pub on_time_load: f64,
    /// Number of upstreams that could have served.
    pub candidates: usize,
    /// Age of the chosen upstream's entry.
    pub entry_age: Duration,
    /// Whether the upstream is cold.
    pub cold: bool,
}

/// What a choice by samples goes by.
pub struct SampleInput<'a> {
    /// The newest samples of loads.
    pub board: &'a LoadBoard,
    /// The call.
    pub class: CallClass,
    /// Time that a call of the model stays at an engine, in seconds; above 0.
    pub residence: f64,
    /// A uniform random number from 0 to 1.
    pub draw: f64,
    /// Returns the load at which an engine still answers typical calls on time.
    pub on_time_load: &'a dyn Fn(&KnownUpstream) -> f64,
}

/// An upstream that may get a request.
#[derive(Debug, Clone, Copy)]
struct Candidate<'a> {
    known: &'a KnownUpstream,
    is_leaving: bool,
    /// Estimated requests at the upstream, from all nodes.
    load: f64,
    load_age: Option<Duration>,
    /// Load at which it still answers typical calls on time; its slots where that is not known.
    on_time_load: f64,
}

impl Candidate<'_> {
    fn choice(&self, candidates: usize, now: Instant) -> Choice {
        Choice {
            upstream: self.known.upstream.id.clone(),
            lifetime: self.known.lifetime(),
            load: self.load,
            load_age: self.load_age,
            on_time_load: self.on_time_load,
            candidates,
            entry_age: now.saturating_duration_since(self.known.seen),
            cold: self.known.is_cold(now),
        }
    }
}

/// What was found about the upstreams that serve a request, for a refusal.
#[derive(Debug, Clone, Copy, Default)]
struct Survey {
    is_served: bool,
    /// Earliest end of a time for which an upstream asked for no requests.
    cooldown_end: Option<Instant>,
    /// Whether an upstream that was not tried before did not ask for that.
    has_untried: bool,
}

impl Survey {
    fn no_place(self) -> NoPlace {
        match self.cooldown_end {
            Some(end) if !self.has_untried => NoPlace::CoolingDown(end),
            _ if self.is_served => NoPlace::Full,
            _ => NoPlace::None,
        }
    }
}

#[derive(Debug, Clone, Default)]
struct UpstreamLoad {
    in_flight: u32,
    /// Last reported load, when it arrived, and `in_flight` at that time.
    reported: Option<(ReportedLoad, Instant, u32)>,
    backoff_until: Option<Instant>,
    failures_in_row: u32,
    /// Open streams of this node.
    streams: u32,
    /// When any of these streams last progressed.
    last_progress: Option<Instant>,
    /// Moving average of failures, from 0 to 1.
    failure_rate: f64,
    /// Moving average of the time to the first byte, in seconds.
    first_byte: Option<f64>,
}

impl UpstreamLoad {
    fn is_stalled(&self, now: Instant) -> bool {
        self.streams > 0
            && self
                .last_progress
                .is_some_and(|at| now.saturating_duration_since(at) >= STALL_TIMEOUT)
    }
}

#[derive(Debug, Clone)]
struct PeerReport {
    at: Instant,
    in_flight: BTreeMap<u64, u32>,
}

/// This node's load estimates and failure records of all upstreams.
#[derive(Debug, Clone, Default)]
pub struct LoadTracker {
    loads: BTreeMap<UpstreamId, UpstreamLoad>,
    peers: BTreeMap<NodeId, PeerReport>,
    /// Peers' requests by hash of the upstream's id; recomputed with each report.
    peer_sums: BTreeMap<u64, f64>,
}

impl LoadTracker {
    /// Records a request sent to an upstream.
    pub fn started(&mut self, upstream: &UpstreamId) {
        self.loads.entry(upstream.clone()).or_default().in_flight += 1;
    }

    /// Records that a request's work at an upstream has ended.
    pub fn ended(&mut self, upstream: &UpstreamId) {
        if let Some(load) = self.loads.get_mut(upstream) {
            load.in_flight = load.in_flight.saturating_sub(1);
        }
    }

    /// Records that a stream of an upstream has begun.
    pub fn record_stream_start(&mut self, upstream: &UpstreamId, now: Instant) {
        let load = self.loads.entry(upstream.clone()).or_default();
        load.streams += 1;
        load.last_progress = Some(now);
    }

    /// Records that a stream of an upstream progressed.
    pub fn record_stream_progress(&mut self, upstream: &UpstreamId, now: Instant) {
        if let Some(load) = self.loads.get_mut(upstream) {
            load.last_progress = Some(now);
        }
    }

    /// Records that a stream of an upstream has ended.
    pub fn record_stream_end(&mut self, upstream: &UpstreamId) {
        if let Some(load) = self.loads.get_mut(upstream) {
            load.streams = load.streams.saturating_sub(1);
        }
    }

    /// Returns whether all streams of an upstream have stalled, as they do when its group lost a
    /// member.
    #[must_use]
    pub fn is_stalled(&self, upstream: &UpstreamId, now: Instant) -> bool {
        self.loads
            .get(upstream)
            .is_some_and(|load| load.is_stalled(now))
    }

    /// Records the load that an upstream reported with an answer.
    pub fn record_reported_load(
        &mut self,
        upstream: &UpstreamId,
        load_report: ReportedLoad,
        now: Instant,
    ) {
        let load = self.loads.entry(upstream.clone()).or_default();
        load.reported = Some((load_report, now, load.in_flight));
    }

    /// Records a successful answer and the time to its first byte; ends the back-off.
    pub fn record_success(&mut self, upstream: &UpstreamId, first_byte: Duration) {
        let load = self.loads.entry(upstream.clone()).or_default();
        load.failures_in_row = 0;
        load.backoff_until = None;
        load.failure_rate *= 1.0 - SAMPLE_WEIGHT;
        let seconds = first_byte.as_secs_f64();
        let old = load.first_byte.unwrap_or(seconds);
        load.first_byte = Some(old + SAMPLE_WEIGHT * (seconds - old));
    }

    /// Records an error answer, without a back-off from the upstream.
    pub fn record_error_answer(&mut self, upstream: &UpstreamId) {
        let load = self.loads.entry(upstream.clone()).or_default();
        load.failure_rate += SAMPLE_WEIGHT * (1.0 - load.failure_rate);
    }

    /// Records that an upstream could not be reached, broke off an answer or stalled, and backs off
    /// from it.
    pub fn record_failure(&mut self, upstream: &UpstreamId, now: Instant) {
        let load = self.loads.entry(upstream.clone()).or_default();
        load.failure_rate += SAMPLE_WEIGHT * (1.0 - load.failure_rate);
        load.failures_in_row = (load.failures_in_row + 1).min(8);
        let wait = MIN_BACKOFF * 2_u32.pow(load.failures_in_row - 1);
        load.backoff_until = Some(now + wait.min(MAX_BACKOFF));
    }

    /// Backs off from an upstream until a time, without counting a failure.
    pub fn back_off_until(&mut self, upstream: &UpstreamId, until: Instant) {
        let load = self.loads.entry(upstream.clone()).or_default();
        load.backoff_until = load.backoff_until.max(Some(until));
    }

    /// Ends the back-offs from some upstreams, and forgets the failures that caused them.
    pub fn end_back_offs(&mut self, is_ended: impl Fn(&UpstreamId) -> bool) {
        for (id, load) in &mut self.loads {
            if load.failures_in_row > 0 && is_ended(id) {
                load.failures_in_row = 0;
                load.failure_rate = 0.0;
                load.backoff_until = None;
            }
        }
    }

    /// Returns how many requests of this node are in flight at an upstream.
    #[must_use]
    pub fn in_flight(&self, upstream: &UpstreamId) -> u32 {
        self.loads.get(upstream).map_or(0, |load| load.in_flight)
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

    /// Stores a peer's requests at each upstream, by the hash of its id; `nodes` counts all nodes.
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
            .retain(|_, report| now.saturating_duration_since(report.at) < MAX_PEER_REPORT_AGE);
        // Nodes without a recent report are assumed to be like those with one.
        let reporting = f64::from(u32::try_from(self.peers.len()).unwrap_or(u32::MAX));
        let others = f64::from(u32::try_from(nodes.saturating_sub(1)).unwrap_or(u32::MAX));
        let scale = (others / reporting).max(1.0);
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
        let reported = load.reported.and_then(|(reported, at, own_at_report)| {
            let is_recent = now.saturating_duration_since(at) < MAX_REPORTED_LOAD_AGE;
            let change_since = f64::from(load.in_flight) - f64::from(own_at_report);
            is_recent.then(|| f64::from(reported.running + reported.waiting) + change_since)
        });
        reported.map_or(counted, |reported| counted.max(reported))
    }

    /// Drops upstreams that are no longer known and have no request in flight.
    pub fn retain(&mut self, known: impl Fn(&UpstreamId) -> bool) {
        self.loads
            .retain(|id, load| load.in_flight > 0 || known(id));
    }

    /// Chooses the upstream of a request.
    ///
    /// `own` is this node's id and failure domain; `draw` is a uniform random number.
    ///
    /// # Errors
    /// [`NoPlace`] when there is none.
    pub fn choose(
        &self,
        need: &Need<'_>,
        view: &ClusterView,
        limits: SendLimits<'_>,
        own: (&NodeId, &DomainId),
        now: Instant,
        draw: u32,
    ) -> Result<Choice, NoPlace> {
        let mean = self.mean_first_byte(need, view);
        let mut eligible: Vec<(f64, Candidate<'_>)> = Vec::new();
        let mut leaving = Vec::new();
        let mut survey = Survey::default();
        for candidate in self.candidates(need, view, limits, own.0, now, &mut survey) {
            let upstream = &candidate.known.upstream;
            let count = self.estimate(&upstream.id, now);
            if count >= f64::from(upstream.slots) + f64::from(need.queue) {
                continue;
            }
            let mut score = (count + 1.0) / f64::from(upstream.slots.max(1));
            if let Some(load) = self.loads.get(&upstream.id) {
                score += FAILURE_WEIGHT * load.failure_rate;
                if let (Some(mean), Some(first)) = (mean, load.first_byte) {
                    let ratio = first / mean.max(0.001);
                    if ratio > STRAGGLER_RATIO {
                        score *= ratio;
                    }
                }
            }
            if upstream.domain != *own.1 {
                score += OTHER_DOMAIN_COST;
            }
            if candidate.known.lapsed_at.is_some() {
                score += 1.0;
            }
            let list = if candidate.is_leaving {
                &mut leaving
            } else {
                &mut eligible
            };
            list.push((
                score,
                Candidate {
                    load: count,
                    ..candidate
                },
            ));
        }
        if eligible.is_empty() {
            eligible = leaving;
        }
        let best = eligible
            .iter()
            .map(|(score, _)| *score)
            .fold(f64::INFINITY, f64::min);
        let candidates = eligible.len();
        eligible.retain(|(score, _)| *score <= best + SCORE_TOLERANCE);
        if eligible.is_empty() {
            return Err(survey.no_place());
        }
        let (_, chosen) = eligible.swap_remove(draw as usize % eligible.len());
        Ok(chosen.choice(candidates, now))
    }

    /// Chooses the engine of a request by the loads that engines stated in their answers.
    ///
    /// Where an engine has no sample, the requests that nodes counted are taken as its load. An engine that
    /// should have answered by now gets none. `own` is as for [`Self::choose`].
    ///
    /// # Errors
    /// [`NoPlace`] when there is none.
    pub fn choose_by_samples(
        &self,
        need: &Need<'_>,
        view: &ClusterView,
        limits: SendLimits<'_>,
        own: (&NodeId, &DomainId),
        samples: &SampleInput<'_>,
        now: Instant,
    ) -> Result<Choice, NoPlace> {
        let mut survey = Survey::default();
        let found = self.candidates(need, view, limits, own.0, now, &mut survey);
        let mut answering: Vec<_> = found
            .filter_map(|candidate| {
                let (load, age) = self.sampled_load(candidate.known, samples, now)?;
                let load_age = Some(age);
                let on_time_load = (samples.on_time_load)(candidate.known);
                Some(Candidate {
                    load,
                    load_age,
                    on_time_load,
                    ..candidate
                })
            })
            .collect();
        raise_limits(&mut answering);
        let target = |candidate: &Candidate<'_>| Target {
            load: candidate.load,
            limit: samples
                .class
                .limit(candidate.on_time_load, candidate.known.upstream.slots),
            age: candidate.load_age.unwrap_or_default().as_secs_f64(),
            penalty: self.penalty(candidate.known, own.1),
        };
        let (leaving, usable): (Vec<_>, Vec<_>) = answering
            .into_iter()
            .partition(|candidate| candidate.is_leaving);
        for list in [usable, leaving] {
            let targets: Vec<_> = list.iter().map(target).collect();
            if let Some(index) = spread::choose(&targets, samples.residence, samples.draw) {
                return Ok(list[index].choice(list.len(), now));
            }
        }
        Err(survey.no_place())
    }

    /// Returns an engine's load and the age of what it was taken from, or `None` if it does not answer.
    fn sampled_load(
        &self,
        known: &KnownUpstream,
        samples: &SampleInput<'_>,
        now: Instant,
    ) -> Option<(f64, Duration)> {
        let longest_silence = |load: f64| {
            let expected = EXPECTED_ANSWERS * samples.residence / load.max(f64::MIN_POSITIVE);
            expected.max(MIN_SILENCE.as_secs_f64())
        };
        if let Some(LoadEstimate { load, age }) = samples.board.estimate(known.lifetime(), now) {
            let is_answering = age.as_secs_f64() < longest_silence(load);
            return is_answering.then_some((load, age));
        }
        let counted = self.estimate(&known.upstream.id, now);
        let is_answering = MAX_SAMPLE_AGE.as_secs_f64() < longest_silence(counted);
        is_answering.then_some((counted, COUNT_AGE))
    }

    /// Returns what speaks against an engine besides its load, as a fraction of its limit.
    fn penalty(&self, known: &KnownUpstream, own: &DomainId) -> f64 {
        let failure_rate = self
            .loads
            .get(&known.upstream.id)
            .map_or(0.0, |load| load.failure_rate);
        let mut penalty = FAILURE_WEIGHT * failure_rate;
        if known.upstream.domain != *own {
            penalty += OTHER_DOMAIN_COST;
        }
        if known.lapsed_at.is_some() {
            penalty += 1.0;
        }
        penalty
    }

    /// Returns the upstreams that may get a request, whatever their load.
    fn candidates<'a>(
        &'a self,
        need: &'a Need<'_>,
        view: &'a ClusterView,
        limits: SendLimits<'a>,
        own: &'a NodeId,
        now: Instant,
        survey: &'a mut Survey,
    ) -> impl Iterator<Item = Candidate<'a>> {
        let has_named_limits = !limits.named.is_empty();
        let has_cooldowns = !limits.cooldowns.is_empty();
        let has_departures = !limits.departures.is_empty();
        serving(need, view).filter_map(move |known| {
            let upstream = &known.upstream;
            let is_leaving = has_departures && limits.departures.is_leaving(known.lifetime());
            if is_leaving && !limits.departures.allows_last_use(known.lifetime(), now) {
                return None;
            }
            survey.is_served = true;
            if has_cooldowns && let Some(end) = limits.cooldowns.end(known.lifetime(), now) {
                let earliest = survey
                    .cooldown_end
                    .map_or(end, |earliest| end.min(earliest));
                survey.cooldown_end = Some(earliest);
                return None;
            }
            let is_tried = need.tried.contains(&upstream.id);
            survey.has_untried |= !is_tried;
            let is_avoided = self.loads.get(&upstream.id).is_some_and(|load| {
                load.backoff_until.is_some_and(|until| now < until) || load.is_stalled(now)
            });
            if is_tried || is_avoided {
                return None;
            }
            if known.is_cold(now) && !cold_allows(known, view, limits.cold, own, now) {
                return None;
            }
            if has_named_limits && !limits.named.allows(known.lifetime(), now) {
                return None;
            }
            Some(Candidate {
                known,
                is_leaving,
                load: 0.0,
                load_age: None,
                on_time_load: f64::from(upstream.slots),
            })
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

/// Raises the limits of all engines if none of them answers on time at a load worth serving.
///
/// Calls that are late still have value, and limits near zero would refuse nearly all of them.
fn raise_limits(candidates: &mut [Candidate<'_>]) {
    let fills = candidates
        .iter()
        .map(|c| c.on_time_load / f64::from(c.known.upstream.slots.max(1)));
    let best = fills.fold(0.0, f64::max);
    if best > 0.0 && best < MIN_BEST_FILL {
        for candidate in candidates {
            candidate.on_time_load *= MIN_BEST_FILL / best;
        }
    }
}

/// Returns the upstreams that may get a request, in the order of their ids.
fn serving<'a>(need: &Need<'_>, view: &'a ClusterView) -> impl Iterator<Item = &'a KnownUpstream> {
    let ids = view.serving(need.service, need.model).iter();
    let known = ids.filter_map(|id| view.upstreams.get(id));
    known.filter(|known| {
        need.domains
            .is_none_or(|domains| domains.contains(&known.upstream.domain))
    })
}

/// Returns whether this node may send another request to a cold upstream.
fn cold_allows(
    known: &KnownUpstream,
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
