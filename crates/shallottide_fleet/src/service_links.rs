//! State machine of a node's links to the upstreams of one service.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use shallottide_types::id::{ServiceId, UpstreamId};

use crate::upstream_links::{LinkState, Probe};

/// Time without bytes of any upstream, while several owe some, after which links are suspected.
const SILENCE: Duration = Duration::from_millis(300);
/// Time without bytes, while one upstream owes some, after which others are probed.
const LONE_SILENCE: Duration = Duration::from_millis(400);
/// Longest such time while probes succeed, so that slow answers cause few probes.
const MAX_SILENCE: Duration = Duration::from_secs(1);
/// Shortest time between the first evidence and the verdict, in which other upstreams may be heard.
const MIN_INQUIRY: Duration = Duration::from_millis(200);
/// Time after which probes without an outcome are sent again.
const PROBE_TIMEOUT: Duration = Duration::from_millis(600);
/// Time between the first two rounds of probes.
const ROUND_PAUSE: Duration = Duration::from_millis(100);
/// Probes of a round.
const PROBES_PER_ROUND: usize = 3;
/// Upstreams that must be unreachable for the links to count as lost; all, if fewer are known.
const MIN_UNREACHABLE: usize = 3;
/// Mean time between two probes of lost links.
const LOST_PROBE_PAUSE: Duration = Duration::from_millis(500);
/// Time for which an unreachable upstream is not probed again, if others are known.
const PROBE_AVOIDANCE: Duration = Duration::from_secs(2);
/// Share of calls sent over links that have just returned, in thousandths.
const FIRST_SHARE: u128 = 100;
/// Time in which this share increases to all calls; doubles with each relapse.
const RAMP: Duration = Duration::from_secs(3);
/// Most doublings of [`RAMP`].
const MAX_RAMP_DOUBLINGS: u32 = 2;
/// Time without a loss after which relapses are forgotten.
const CALM_TIME: Duration = Duration::from_secs(10);

/// Outcomes of the connections to one upstream.
#[derive(Debug, Clone, Default)]
struct UpstreamLink {
    /// Requests and connection attempts without an end.
    waits: u32,
    /// Since when it has owed bytes without sending any; `None` while `waits` is 0.
    silent_since: Option<Instant>,
    received: Option<Instant>,
    connected: Option<Instant>,
    /// Begin and end of the last failed attempt to connect.
    unreachable: Option<(Instant, Instant)>,
    /// When an established connection was last reset.
    reset: Option<Instant>,
}

impl UpstreamLink {
    fn heard(&self) -> Option<Instant> {
        self.received.max(self.connected)
    }

    fn end_wait(&mut self) {
        self.waits = self.waits.saturating_sub(1);
        if self.waits == 0 {
            self.silent_since = None;
        }
    }
}

/// Search for the cause of failures or of silence.
#[derive(Debug, Clone)]
struct Inquiry {
    /// When the first evidence began; only outcomes of attempts since then count.
    since: Instant,
    is_suspected: bool,
    /// Rounds of probes sent.
    rounds: u32,
    next_round: Instant,
}

#[derive(Debug, Clone)]
enum Phase {
    Up {
        inquiry: Option<Inquiry>,
    },
    Lost {
        since: Instant,
        next_probe: Instant,
        /// Time into the ramp at which a failure interrupted it.
        interrupted: Option<Duration>,
    },
    Returning {
        since: Instant,
        next_probe: Instant,
    },
}

/// A node's links to the upstreams of one service.
#[derive(Debug, Clone)]
pub(crate) struct ServiceLinks {
    upstreams: BTreeMap<UpstreamId, UpstreamLink>,
    phase: Phase,
    /// Evidence that began earlier does not count: a connection was established, or this process
    /// stood still.
    evidence_from: Option<Instant>,
    /// Inquiries in a row that silence caused and that found upstreams reachable.
    false_alarms: u32,
    /// Losses in a row without a calm time between them.
    relapses: u32,
    /// When the links last returned completely.
    up_since: Option<Instant>,
}

impl Default for ServiceLinks {
    fn default() -> Self {
        Self {
            upstreams: BTreeMap::new(),
            phase: Phase::Up { inquiry: None },
            evidence_from: None,
            false_alarms: 0,
            relapses: 0,
            up_since: None,
        }
    }
}

impl ServiceLinks {
    pub(crate) fn is_empty(&self) -> bool {
        self.upstreams.is_empty()
    }

    pub(crate) fn has_one_upstream(&self) -> bool {
        self.upstreams.len() == 1
    }

    pub(crate) fn retain(&mut self, known: impl Fn(&UpstreamId) -> bool) {
        self.upstreams
            .retain(|id, link| link.waits > 0 || known(id));
    }

    pub(crate) fn record_waiting(&mut self, upstream: &UpstreamId, now: Instant) {
        let link = self.link(upstream);
        link.waits += 1;
        link.silent_since.get_or_insert(now);
    }

    pub(crate) fn record_wait_ended(&mut self, upstream: &UpstreamId, _now: Instant) {
        self.link(upstream).end_wait();
    }

    pub(crate) fn record_received(&mut self, upstream: &UpstreamId, now: Instant) {
        let link = self.link(upstream);
        link.received = Some(now);
        link.silent_since = link.silent_since.map(|_| now);
        self.false_alarms = 0;
        // Kept connections may live on while new ones fail.
        if let Phase::Up {
            inquiry: Some(inquiry),
        } = &self.phase
            && !self.has_unreachable_since(inquiry.since)
        {
            self.phase = Phase::Up { inquiry: None };
        }
    }

    pub(crate) fn record_connected(&mut self, upstream: &UpstreamId, now: Instant) {
        let link = self.link(upstream);
        link.end_wait();
        link.connected = Some(now);
        link.silent_since = link.silent_since.map(|_| now);
        self.evidence_from = self.evidence_from.max(Some(now));
        match &self.phase {
            Phase::Up { inquiry } => {
                if inquiry.is_some() {
                    self.false_alarms += 1;
                }
                self.phase = Phase::Up { inquiry: None };
            }
            Phase::Lost { interrupted, .. } => {
                let elapsed = interrupted.unwrap_or_default();
                self.phase = Phase::Returning {
                    since: now.checked_sub(elapsed).unwrap_or(now),
                    next_probe: now + LOST_PROBE_PAUSE,
                };
            }
            Phase::Returning { .. } => {}
        }
    }

    pub(crate) fn record_unreachable(
        &mut self,
        upstream: &UpstreamId,
        since: Instant,
        now: Instant,
    ) {
        let link = self.link(upstream);
        link.end_wait();
        link.unreachable = Some((since, now));
        self.record_failure(since, now);
    }

    pub(crate) fn record_reset(&mut self, upstream: &UpstreamId, now: Instant) {
        let link = self.link(upstream);
        link.end_wait();
        link.reset = Some(now);
        self.record_failure(now, now);
    }

    /// Makes the links suspected because those to another service are lost.
    pub(crate) fn suspect(&mut self, now: Instant) {
        if let Phase::Up { inquiry } = &mut self.phase {
            let inquiry = inquiry.get_or_insert(Inquiry::new(now, now));
            inquiry.is_suspected = true;
        }
    }

    /// Drops the evidence from before a pause of this process.
    pub(crate) fn record_pause(&mut self, now: Instant) {
        self.evidence_from = self.evidence_from.max(Some(now));
        for link in self.upstreams.values_mut() {
            link.silent_since = link.silent_since.map(|_| now);
        }
        if let Phase::Up {
            inquiry: Some(inquiry),
        } = &mut self.phase
        {
            *inquiry = Inquiry {
                is_suspected: inquiry.is_suspected,
                ..Inquiry::new(now, now)
            };
        }
    }

    pub(crate) fn state(&self, now: Instant) -> LinkState {
        match &self.phase {
            Phase::Up {
                inquiry: Some(inquiry),
            } if inquiry.is_suspected => LinkState::Suspected,
            Phase::Up { .. } => LinkState::Up,
            Phase::Lost { .. } => LinkState::Lost,
            Phase::Returning { since, .. } => {
                if now.saturating_duration_since(*since) < self.ramp() {
                    LinkState::Returning
                } else {
                    LinkState::Up
                }
            }
        }
    }

    pub(crate) fn allows_own(&self, now: Instant, draw: u32) -> bool {
        match &self.phase {
            Phase::Up { .. } => true,
            Phase::Lost { .. } => false,
            Phase::Returning { since, .. } => {
                let elapsed = now.saturating_duration_since(*since).as_millis();
                let share = FIRST_SHARE + (1_000 - FIRST_SHARE) * elapsed / self.ramp().as_millis();
                u128::from(draw) * 1_000 < share * (u128::from(u32::MAX) + 1)
            }
        }
    }

    pub(crate) fn is_half_lost(&self) -> bool {
        let Phase::Lost { since, .. } = self.phase else {
            return false;
        };
        let received = self.upstreams.values().filter_map(|link| link.received);
        received.max().is_some_and(|at| at >= since)
    }

    pub(crate) fn is_upstreams_fault(
        &self,
        upstream: &UpstreamId,
        since: Instant,
        now: Instant,
    ) -> bool {
        if self.state(now) == LinkState::Lost {
            return false;
        }
        let is_unreachable = self
            .upstreams
            .get(upstream)
            .and_then(|link| link.unreachable)
            .is_some_and(|(_, at)| at >= since);
        let others = self.upstreams.iter().filter(|(id, _)| *id != upstream);
        others
            .filter_map(|(_, link)| {
                if is_unreachable {
                    link.connected
                } else {
                    link.heard()
                }
            })
            .any(|at| at > since)
    }

    pub(crate) fn last_heard(&self) -> Option<Instant> {
        self.upstreams
            .values()
            .filter_map(UpstreamLink::heard)
            .max()
    }

    /// Returns when the evidence of the inquiry began, if there is one.
    pub(crate) fn inquiry_since(&self) -> Option<Instant> {
        match &self.phase {
            Phase::Up {
                inquiry: Some(inquiry),
            } => Some(inquiry.since),
            _ => None,
        }
    }

    /// Starts inquiries because of silence, and ends those with a verdict; returns whether links were
    /// found lost.
    pub(crate) fn decide(&mut self, is_other_service_heard: bool, now: Instant) -> bool {
        match &self.phase {
            Phase::Returning { since, .. }
                if now.saturating_duration_since(*since) >= self.ramp() =>
            {
                self.phase = Phase::Up { inquiry: None };
                self.up_since = Some(now);
                false
            }
            Phase::Up { .. } => {
                self.check_silence(now);
                let is_lost = self.is_lost(is_other_service_heard, now);
                if is_lost {
                    self.lose(None, now);
                }
                is_lost
            }
            _ => false,
        }
    }

    pub(crate) fn due_probes(
        &mut self,
        service: &ServiceId,
        now: Instant,
        draw: u32,
    ) -> Vec<Probe> {
        let jitter = LOST_PROBE_PAUSE.mul_f64(0.8 + 0.4 * f64::from(draw) / f64::from(u32::MAX));
        let (count, since) = match &mut self.phase {
            Phase::Up {
                inquiry: Some(inquiry),
            } if now >= inquiry.next_round => {
                inquiry.rounds += 1;
                inquiry.next_round = now
                    + if inquiry.rounds == 1 {
                        ROUND_PAUSE
                    } else {
                        PROBE_TIMEOUT
                    };
                (PROBES_PER_ROUND, inquiry.since)
            }
            Phase::Lost { next_probe, .. } | Phase::Returning { next_probe, .. }
                if now >= *next_probe =>
            {
                *next_probe = now + jitter;
                (1, now.checked_sub(PROBE_AVOIDANCE).unwrap_or(now))
            }
            _ => return Vec::new(),
        };
        let heard = self.heard_since(since);
        let avoid: BTreeSet<_> = self
            .upstreams
            .iter()
            .filter(|(_, link)| {
                link.silent_since.is_some_and(|at| at >= since)
                    || link.unreachable.is_some_and(|(from, _)| from >= since)
            })
            .map(|(id, _)| id.clone())
            .collect();
        let prefer: BTreeSet<_> = heard.difference(&avoid).cloned().collect();
        let probe = Probe {
            service: service.clone(),
            prefer,
            avoid,
        };
        vec![probe; count]
    }

    fn link(&mut self, upstream: &UpstreamId) -> &mut UpstreamLink {
        self.upstreams.entry(upstream.clone()).or_default()
    }

    fn ramp(&self) -> Duration {
        RAMP * 2_u32.pow(self.relapses.min(MAX_RAMP_DOUBLINGS))
    }

    /// Counts a failure of an attempt that began at `since`, unless a connection was established or
    /// this process stood still after that.
    fn record_failure(&mut self, since: Instant, now: Instant) {
        if self.evidence_from.is_some_and(|from| since < from) {
            return;
        }
        let failed = self.failed_since(since).len();
        match &mut self.phase {
            Phase::Up { inquiry } => {
                let inquiry = inquiry.get_or_insert(Inquiry::new(since, now));
                inquiry.since = inquiry.since.min(since);
                inquiry.is_suspected |= failed >= 2;
            }
            Phase::Returning { since: begin, .. } => {
                let elapsed = now.saturating_duration_since(*begin);
                self.lose(Some(elapsed), now);
            }
            Phase::Lost { interrupted, .. } => {
                if interrupted.take().is_some() {
                    self.relapses += 1;
                }
            }
        }
    }

    fn lose(&mut self, interrupted: Option<Duration>, now: Instant) {
        if interrupted.is_none() {
            let is_calm = self
                .up_since
                .is_none_or(|at| now.saturating_duration_since(at) >= CALM_TIME);
            self.relapses = if is_calm { 0 } else { self.relapses + 1 };
        }
        let pause = if interrupted.is_some() {
            Duration::ZERO
        } else {
            LOST_PROBE_PAUSE
        };
        self.phase = Phase::Lost {
            since: now,
            next_probe: now + pause,
            interrupted,
        };
    }

    /// Starts an inquiry if upstreams owe bytes and none has sent any for long.
    fn check_silence(&mut self, now: Instant) {
        if !matches!(self.phase, Phase::Up { inquiry: None }) {
            return;
        }
        let last_heard = self.last_heard();
        let owing = self
            .upstreams
            .values()
            .filter_map(|link| link.silent_since.max(last_heard.filter(|_| link.waits > 0)));
        let is_silent = |at: &Instant, limit: Duration| {
            let limit = (limit * 2_u32.pow(self.false_alarms.min(4))).min(MAX_SILENCE);
            now.saturating_duration_since(*at) >= limit
        };
        let owing: Vec<_> = owing.collect();
        let Some(&first) = owing.iter().min() else {
            return;
        };
        let is_suspected = owing.len() >= 2 && is_silent(&first, SILENCE);
        if is_suspected || is_silent(&first, LONE_SILENCE) {
            let inquiry = Inquiry {
                is_suspected,
                ..Inquiry::new(now, now)
            };
            self.phase = Phase::Up {
                inquiry: Some(inquiry),
            };
        }
    }

    fn is_lost(&self, is_other_service_heard: bool, now: Instant) -> bool {
        let Phase::Up {
            inquiry: Some(inquiry),
        } = &self.phase
        else {
            return false;
        };
        if inquiry.rounds == 0 || now.saturating_duration_since(inquiry.since) < MIN_INQUIRY {
            return false;
        }
        let unreachable = self.unreachable_since(inquiry.since);
        let heard = self.heard_since(inquiry.since);
        if heard.intersection(&unreachable).count() < heard.len().min(2) {
            return false;
        }
        if self.has_one_upstream() && is_other_service_heard {
            return false;
        }
        !unreachable.is_empty() && unreachable.len() >= MIN_UNREACHABLE.min(self.upstreams.len())
    }

    /// Returns the upstreams from which bytes arrived since a time.
    fn heard_since(&self, since: Instant) -> BTreeSet<UpstreamId> {
        self.filter(|link| link.received.is_some_and(|at| at > since))
    }

    /// Returns the upstreams to which an attempt to connect failed that began at a time or later.
    fn unreachable_since(&self, since: Instant) -> BTreeSet<UpstreamId> {
        self.filter(|link| link.unreachable.is_some_and(|(from, _)| from >= since))
    }

    fn has_unreachable_since(&self, since: Instant) -> bool {
        !self.unreachable_since(since).is_empty()
    }

    /// Returns the upstreams that failed in any way since a time.
    fn failed_since(&self, since: Instant) -> BTreeSet<UpstreamId> {
        let from = self.inquiry_since().map_or(since, |at| at.min(since));
        self.filter(|link| {
            link.unreachable.is_some_and(|(begin, _)| begin >= from)
                || link.reset.is_some_and(|at| at >= from)
        })
    }

    fn filter(&self, matches: impl Fn(&UpstreamLink) -> bool) -> BTreeSet<UpstreamId> {
        let links = self.upstreams.iter().filter(|(_, link)| matches(link));
        links.map(|(id, _)| id.clone()).collect()
    }
}

impl Inquiry {
    fn new(since: Instant, now: Instant) -> Self {
        Self {
            since,
            is_suspected: false,
            rounds: 0,
            next_round: now,
        }
    }
}
