//! State machine of a node's links to the upstreams of one service.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use shallottide_types::id::{ServiceId, UpstreamId};

use crate::crash_evidence::Lifetime;
use crate::upstream_links::{ConnectionFailure, LinkState, Probe};

/// Time without bytes of any upstream, while several owe some, after which links are suspected.
const SILENCE: Duration = Duration::from_millis(300);
/// Time without bytes, while one upstream owes some, after which others are probed.
const LONE_SILENCE: Duration = Duration::from_millis(400);
/// Time without bytes of upstreams that owe some, and without an outcome of any probe, after which links
/// count as lost: requests without an answer may hold all connections that this node may open.
const SILENT_LOSS: Duration = Duration::from_millis(1_500);
/// Longest silence before a probe while probes succeed, so that slow answers cause few probes.
const MAX_SILENCE: Duration = Duration::from_secs(1);
/// Shortest time between the first evidence and the verdict, in which other upstreams may be heard.
const MIN_INQUIRY: Duration = Duration::from_millis(200);
/// Time after a failure in which what arrived before it may still be read.
const READ_DELAY: Duration = Duration::from_millis(25);
/// Times between the first rounds of probes.
const ROUND_PAUSES: [Duration; 2] = [Duration::from_millis(100), Duration::from_millis(200)];
/// Time between later rounds; longer than the time limit on opening a connection.
const LATER_ROUND_PAUSE: Duration = Duration::from_millis(600);
/// Probes of a round; the first has one unless links are suspected already.
const PROBES_PER_ROUND: usize = 3;
/// Rounds after which an inquiry ends that has found no failure.
const MAX_IDLE_ROUNDS: usize = 4;
/// Upstreams that must be unreachable for the links to count as lost; all, if fewer are known.
const MIN_UNREACHABLE: usize = 3;
/// How many of them must be unreachable by attempts that began after the first evidence, or silent.
const MIN_PROBED: usize = 2;
/// Upstreams with answering kept connections that must refuse new ones; all, if there are fewer.
const MIN_HALF_LOST: usize = 6;
/// Mean time between two probes of links that are lost or return.
const PROBE_PAUSE: Duration = Duration::from_millis(500);
/// Time for which an unreachable upstream is not probed again, if others are known.
const PROBE_AVOIDANCE: Duration = Duration::from_secs(2);
/// Share of calls sent over links that have just returned.
const FIRST_SHARE: f64 = 0.1;
/// Time in which this share increases to all calls; doubles with each relapse.
const RAMP: Duration = Duration::from_secs(3);
/// Most doublings of [`RAMP`].
const MAX_RAMP_DOUBLINGS: u32 = 2;
/// Time for which connections must succeed after each relapse before any call is sent over the links.
const HOLD: Duration = Duration::from_secs(2);
/// Time without a loss after which relapses are forgotten.
const CALM_TIME: Duration = Duration::from_secs(6);

/// Outcomes of the connections to one upstream.
#[derive(Debug, Clone, Default)]
struct UpstreamLink {
    /// Requests and connection attempts without an end.
    waits: u32,
    /// Since when it has owed bytes; `None` while `waits` is 0.
    waiting_since: Option<Instant>,
    /// Since when it has owed bytes without sending any; `None` while `waits` is 0.
    silent_since: Option<Instant>,
    received: Option<Instant>,
    connected: Option<Instant>,
    /// Begin and end of the last failed attempt to connect.
    unreachable: Option<(Instant, Instant)>,
    /// When an established connection was last reset.
    reset: Option<Instant>,
    /// Lifetime of the upstream, while the links to its service are lost or return.
    lifetime: Option<Lifetime>,
}

impl UpstreamLink {
    fn heard(&self) -> Option<Instant> {
        self.received.max(self.connected)
    }

    fn failed(&self) -> Option<Instant> {
        self.reset.max(self.unreachable.map(|(_, end)| end))
    }

    /// Returns whether it failed since a time and was not heard after that, or has been silent since.
    fn is_failing(&self, since: Instant) -> bool {
        let has_failed =
            self.failed().is_some_and(|at| at >= since) && self.failed() > self.heard();
        has_failed || self.silent_since.is_some_and(|at| at <= since)
    }

    /// Drops the evidence of an upstream that was found to have ended itself.
    fn excuse(&mut self, now: Instant) {
        self.unreachable = None;
        self.reset = None;
        self.silent_since = self.silent_since.map(|_| now);
    }

    fn end_wait(&mut self) {
        self.waits = self.waits.saturating_sub(1);
        if self.waits == 0 {
            self.waiting_since = None;
            self.silent_since = None;
        }
    }
}

/// Search for the cause of failures or of silence.
#[derive(Debug, Clone)]
struct Inquiry {
    /// When the first evidence began; only outcomes of attempts since then count.
    since: Instant,
    started: Instant,
    is_suspected: bool,
    /// Whether only a new connection can end it: one could not be opened, while kept connections may
    /// live on.
    needs_connection: bool,
    last_failure: Option<Instant>,
    /// Rounds of probes sent.
    rounds: usize,
    next_round: Instant,
}

#[derive(Debug, Clone, Copy, Default)]
enum Phase {
    #[default]
    Up,
    Lost {
        since: Instant,
        next_probe: Instant,
        /// Time into the ramp at which a failure interrupted it.
        interrupted: Option<Duration>,
    },
    Returning {
        /// Begin of the ramp; no call is sent over the links before.
        since: Instant,
        next_probe: Instant,
    },
}

/// A node's links to the upstreams of one service.
#[derive(Debug, Clone, Default)]
pub(crate) struct ServiceLinks {
    upstreams: BTreeMap<UpstreamId, UpstreamLink>,
    phase: Phase,
    /// When the first evidence of the current loss began; `None` while the phase is `Up`.
    lost_from: Option<Instant>,
    /// Whether so many upstreams have started again since that the others would not make a loss: the next
    /// connection ends it.
    is_excused: bool,
    /// Whether such a connection has been established, until this is reported.
    was_sound: bool,
    /// The current inquiry; only while the phase is `Up`.
    inquiry: Option<Inquiry>,
    /// Evidence that began earlier does not count: a connection was established, or this process
    /// stood still.
    evidence_from: Option<Instant>,
    /// When bytes of any upstream last arrived.
    received: Option<Instant>,
    /// Longest usual time without bytes while some are owed.
    usual_silence: Duration,
    /// Inquiries since the last bytes that silence caused.
    silences: u32,
    /// Losses in a row without a calm time between them.
    relapses: u32,
    /// When connections last succeeded again.
    returned: Option<Instant>,
    /// When this process last continued after it had stood still.
    resumed: Option<Instant>,
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
        link.waiting_since.get_or_insert(now);
        link.silent_since.get_or_insert(now);
    }

    pub(crate) fn record_wait_ended(&mut self, upstream: &UpstreamId) {
        self.link(upstream).end_wait();
    }

    pub(crate) fn record_received(&mut self, upstream: &UpstreamId, now: Instant) {
        self.learn_silence(now);
        self.received = Some(now);
        self.silences = 0;
        let link = self.link(upstream);
        link.received = Some(now);
        link.silent_since = link.silent_since.map(|_| now);
        self.inquiry = self.inquiry.take().filter(|i| i.needs_connection);
    }

    pub(crate) fn record_connected(&mut self, upstream: &UpstreamId, now: Instant) {
        let link = self.link(upstream);
        link.end_wait();
        link.connected = Some(now);
        link.silent_since = link.silent_since.map(|_| now);
        self.evidence_from = self.evidence_from.max(Some(now));
        self.inquiry = self.inquiry.take().and_then(|i| i.connected(now));
        if self.is_excused {
            self.end_loss(now);
        } else if let Phase::Lost { interrupted, .. } = self.phase {
            let (since, pause) = if let Some(elapsed) = interrupted {
                // Only a connection that is opened some time after the failure shows whose fault it was.
                (now.checked_sub(elapsed).unwrap_or(now), READ_DELAY)
            } else {
                self.returned = Some(now);
                let hold = HOLD * self.relapses.min(MAX_RAMP_DOUBLINGS);
                (now + hold, PROBE_PAUSE)
            };
            self.phase = Phase::Returning {
                since,
                next_probe: now + pause,
            };
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
        if let Some(inquiry) = &mut self.inquiry {
            inquiry.needs_connection = true;
        }
    }

    pub(crate) fn record_reset(&mut self, upstream: &UpstreamId, now: Instant) {
        let link = self.link(upstream);
        link.end_wait();
        link.reset = Some(now);
        self.record_failure(now, now);
    }

    /// Makes the links suspected because those to another service are lost.
    pub(crate) fn suspect(&mut self, now: Instant) {
        self.check(now);
        if let Some(inquiry) = &mut self.inquiry {
            inquiry.is_suspected = true;
            inquiry.needs_connection = true;
        }
    }

    /// Starts an inquiry if there is none.
    pub(crate) fn check(&mut self, now: Instant) {
        if matches!(self.phase, Phase::Up) {
            self.inquiry.get_or_insert(Inquiry::new(now, now));
        }
    }

    /// Drops the evidence from before a pause of this process.
    pub(crate) fn record_pause(&mut self, now: Instant) {
        self.resumed = Some(now);
        self.evidence_from = self.evidence_from.max(Some(now));
        for link in self.upstreams.values_mut() {
            link.silent_since = link.silent_since.map(|_| now);
        }
        if let Some(inquiry) = &mut self.inquiry {
            *inquiry = Inquiry {
                is_suspected: inquiry.is_suspected,
                needs_connection: inquiry.needs_connection,
                ..Inquiry::new(now, now)
            };
        }
    }

    pub(crate) fn state(&self, now: Instant) -> LinkState {
        match &self.phase {
            Phase::Up if self.inquiry.as_ref().is_some_and(|i| i.is_suspected) => {
                LinkState::Suspected
            }
            Phase::Returning { since, .. }
                if now.saturating_duration_since(*since) < self.ramp() =>
            {
                LinkState::Returning
            }
            Phase::Up | Phase::Returning { .. } => LinkState::Up,
            Phase::Lost { .. } => LinkState::Lost,
        }
    }

    pub(crate) fn allows_own(&self, now: Instant, draw: u32) -> bool {
        match &self.phase {
            Phase::Up => true,
            Phase::Lost { .. } => false,
            Phase::Returning { since, .. } if now < *since => false,
            Phase::Returning { since, .. } => {
                let elapsed = now.saturating_duration_since(*since).as_secs_f64();
                let progress = elapsed / self.ramp().as_secs_f64();
                let share = FIRST_SHARE + (1.0 - FIRST_SHARE) * progress;
                f64::from(draw) < share * f64::from(u32::MAX)
            }
        }
    }

    pub(crate) fn is_half_lost(&self) -> bool {
        let Phase::Lost { since, .. } = self.phase else {
            return false;
        };
        self.received.is_some_and(|at| at >= since)
    }

    /// Returns whether a failure was neither in a time in which links were lost, nor across a pause of
    /// this process.
    pub(crate) fn may_be_upstreams_fault(&self, failure: &ConnectionFailure, now: Instant) -> bool {
        let ConnectionFailure { since, at, .. } = *failure;
        self.state(now) != LinkState::Lost
            && self.returned.is_none_or(|returned| since >= returned)
            && self
                .resumed
                .is_none_or(|resumed| since >= resumed || at < resumed)
    }

    /// Returns whether another upstream was reached well after a failure, and has not failed since: by a
    /// new connection if one to the upstream could not be opened, else by any bytes.
    pub(crate) fn is_other_reached(
        &self,
        upstream: &UpstreamId,
        failure: &ConnectionFailure,
    ) -> bool {
        let mut others = self.upstreams.iter().filter(|(id, _)| *id != upstream);
        others.any(|(_, link)| {
            let reached = if failure.is_unreachable {
                link.connected
            } else {
                link.heard()
            };
            reached > Some(failure.at + READ_DELAY) && reached > link.failed()
        })
    }

    pub(crate) fn is_heard_after(&self, at: Instant) -> bool {
        self.last_heard() > Some(at + READ_DELAY)
    }

    /// Starts an inquiry, or interrupts the ramp of returning links, if upstreams owe bytes and none has
    /// sent any for long.
    pub(crate) fn check_silence(&mut self, now: Instant) {
        match self.phase {
            Phase::Up if self.inquiry.is_none() => {
                if let Some(is_suspected) = self.find_silence(now) {
                    self.silences += 1;
                    self.inquiry = Some(Inquiry {
                        is_suspected,
                        ..Inquiry::new(now, now)
                    });
                }
            }
            Phase::Returning { since, .. } => {
                if self.find_silence(now).is_some() {
                    self.interrupt(since, now);
                }
            }
            Phase::Up | Phase::Lost { .. } => {}
        }
    }

    /// Returns whether several upstreams are silent for unusually long, or `None` if none are.
    fn find_silence(&self, now: Instant) -> Option<bool> {
        let (count, silence) = self.silence(now)?;
        let limit = |least: Duration| {
            let limit = least.max(self.usual_silence * 3 / 2) * 2_u32.pow(self.silences.min(2));
            limit.min(MAX_SILENCE)
        };
        if count >= 2 && silence >= limit(SILENCE) {
            return Some(true);
        }
        (silence >= limit(LONE_SILENCE)).then_some(false)
    }

    /// Returns how many upstreams owe bytes, and for how long none has been heard.
    fn silence(&self, now: Instant) -> Option<(usize, Duration)> {
        let owing = self.upstreams.values().filter_map(|link| link.silent_since);
        // Requests that were written before a cut may hang on after it.
        let owing = owing.filter(|at| self.returned.is_none_or(|returned| *at >= returned));
        let count = owing.clone().count();
        let since = Some(owing.min()?).max(self.last_heard())?;
        Some((count, now.saturating_duration_since(since)))
    }

    /// Ends an inquiry that was not caused by a failure and has found none.
    pub(crate) fn end_idle_inquiry(&mut self) {
        let is_idle = self.inquiry.as_ref().is_some_and(|inquiry| {
            inquiry.rounds >= MAX_IDLE_ROUNDS && self.failed_since(inquiry.since).is_empty()
        });
        if is_idle {
            self.inquiry = None;
        }
    }

    /// Ends the ramp of links that have returned.
    pub(crate) fn end_ramp(&mut self, now: Instant) {
        if matches!(self.phase, Phase::Returning { .. }) && self.state(now) == LinkState::Up {
            self.phase = Phase::Up;
            self.lost_from = None;
            self.is_excused = false;
        }
    }

    /// Compares the lifetimes of upstreams with those from before while the links are lost or return.
    ///
    /// Upstreams that have started again ended themselves. If too few others fail to take the links for
    /// lost, and one can be reached now, the links never were lost and get all calls at once. Returns whether
    /// that was found since the last call.
    pub(crate) fn observe_lifetimes(
        &mut self,
        lifetime: impl Fn(&UpstreamId) -> Option<Lifetime>,
        now: Instant,
    ) -> bool {
        let was_sound = std::mem::take(&mut self.was_sound);
        let Some(lost_from) = self.lost_from else {
            return was_sound;
        };
        let mut has_restarted = false;
        for (id, link) in &mut self.upstreams {
            let Some(current) = lifetime(id) else {
                continue;
            };
            let known = link.lifetime.replace(current);
            if known.is_some_and(|known| known != current) {
                link.excuse(now);
                has_restarted = true;
            }
        }
        if has_restarted {
            self.is_excused = !self.are_enough(&self.filter(|link| link.is_failing(lost_from)));
            if let Phase::Lost { next_probe, .. } | Phase::Returning { next_probe, .. } =
                &mut self.phase
            {
                *next_probe = now;
            }
        }
        was_sound
    }

    /// Takes the links for sound, as the upstreams had ended themselves.
    fn end_loss(&mut self, now: Instant) {
        self.phase = Phase::Up;
        self.lost_from = None;
        self.is_excused = false;
        self.was_sound = true;
        self.returned = None;
        self.relapses = 0;
        self.evidence_from = Some(now);
    }

    /// Returns whether a failure interrupted the return of the links, and it is not known yet whether they
    /// are lost again.
    pub(crate) fn is_interrupted(&self) -> bool {
        matches!(
            self.phase,
            Phase::Lost {
                interrupted: Some(_),
                ..
            }
        )
    }

    /// Returns whether all evidence is that no upstream can be reached from here.
    pub(crate) fn are_all_failing(&self, now: Instant) -> bool {
        let Some(inquiry) = &self.inquiry else {
            return false;
        };
        if self.are_silent_for_long(now) {
            return true;
        }
        if now.saturating_duration_since(inquiry.since) < MIN_INQUIRY {
            return false;
        }
        let unreachable = self.unreachable_since(inquiry.since);
        let probed = self.unreachable_since(inquiry.started);
        let heard = self.heard_since(inquiry.since);
        self.are_enough(&unreachable)
            && probed.len() >= MIN_PROBED.min(self.upstreams.len())
            && heard.intersection(&unreachable).count() >= MIN_HALF_LOST.min(heard.len())
    }

    fn are_silent_for_long(&self, now: Instant) -> bool {
        self.silence(now).is_some_and(|(count, silence)| {
            count >= MIN_PROBED.min(self.upstreams.len())
                && silence >= SILENT_LOSS.max(self.usual_silence * 2)
        })
    }

    /// Returns whether so many upstreams are unreachable that it is not their own failure.
    fn are_enough(&self, unreachable: &BTreeSet<UpstreamId>) -> bool {
        unreachable.len() >= MIN_UNREACHABLE.min(self.upstreams.len())
    }

    /// Records that the links are lost.
    pub(crate) fn lose(&mut self, now: Instant) {
        let is_calm = self
            .returned
            .is_none_or(|at| now.saturating_duration_since(at) >= CALM_TIME);
        self.relapses = if is_calm { 0 } else { self.relapses + 1 };
        self.is_excused = false;
        self.lost_from = Some(self.inquiry.take().map_or(now, |inquiry| inquiry.since));
        for link in self.upstreams.values_mut() {
            link.lifetime = None;
        }
        self.phase = Phase::Lost {
            since: now,
            next_probe: now + PROBE_PAUSE,
            interrupted: None,
        };
    }

    /// Returns the connections to open now.
    pub(crate) fn due_probe(
        &mut self,
        service: &ServiceId,
        now: Instant,
        draw: u32,
    ) -> Option<Probe> {
        let (count, since) = match &mut self.phase {
            Phase::Up => {
                let inquiry = self.inquiry.as_mut().filter(|i| now >= i.next_round)?;
                inquiry.rounds += 1;
                let pause = ROUND_PAUSES.get(inquiry.rounds - 1);
                inquiry.next_round = now + *pause.unwrap_or(&LATER_ROUND_PAUSE);
                let is_lone = inquiry.rounds == 1 && !inquiry.is_suspected;
                let count = if is_lone { 1 } else { PROBES_PER_ROUND };
                (count, inquiry.since)
            }
            Phase::Lost { next_probe, .. } | Phase::Returning { next_probe, .. } => {
                if now < *next_probe {
                    return None;
                }
                let jitter = 0.8 + 0.4 * f64::from(draw) / f64::from(u32::MAX);
                *next_probe = now + PROBE_PAUSE.mul_f64(jitter);
                let is_interrupted = self.is_interrupted();
                (if is_interrupted { PROBES_PER_ROUND } else { 1 }, now)
            }
        };
        let avoid = self.filter(|link| {
            let is_recent = |at: Instant| now.saturating_duration_since(at) < PROBE_AVOIDANCE;
            link.silent_since.is_some_and(|at| at >= since)
                || link.unreachable.is_some_and(|(begin, _)| is_recent(begin))
        });
        let prefer = self
            .heard_since(since)
            .difference(&avoid)
            .cloned()
            .collect();
        Some(Probe {
            service: service.clone(),
            count,
            prefer,
            avoid,
        })
    }

    fn link(&mut self, upstream: &UpstreamId) -> &mut UpstreamLink {
        self.upstreams.entry(upstream.clone()).or_default()
    }

    fn ramp(&self) -> Duration {
        RAMP * 2_u32.pow(self.relapses.min(MAX_RAMP_DOUBLINGS))
    }

    /// Records a failure of an attempt that began at `since`.
    ///
    /// It is evidence against the links unless a connection was established or this process stood still
    /// since then; whose fault it is, a probe finds out in any case.
    fn record_failure(&mut self, since: Instant, now: Instant) {
        let is_evidence = self.evidence_from.is_none_or(|from| since >= from);
        let since = if is_evidence { since } else { now };
        match &mut self.phase {
            Phase::Up => {
                let inquiry = self.inquiry.get_or_insert(Inquiry {
                    next_round: now + READ_DELAY,
                    ..Inquiry::new(since, now)
                });
                inquiry.since = inquiry.since.min(since);
                inquiry.last_failure = Some(now);
                let since = inquiry.since;
                let is_suspected = self.failed_since(since).len() >= 2;
                if let Some(inquiry) = &mut self.inquiry {
                    inquiry.is_suspected |= is_suspected;
                }
            }
            Phase::Returning { since: begin, .. } if is_evidence => {
                let begin = *begin;
                self.interrupt(begin, now);
            }
            Phase::Lost {
                since: lost,
                interrupted: Some(_),
                ..
            } if is_evidence => {
                let lost = *lost;
                let is_relapse = self.are_enough(&self.unreachable_since(lost));
                if let Phase::Lost { interrupted, .. } = &mut self.phase
                    && is_relapse
                {
                    *interrupted = None;
                    self.relapses += 1;
                }
            }
            Phase::Returning { .. } | Phase::Lost { .. } => {}
        }
    }

    /// Stops sending calls over returning links until a probe succeeds; `begin` is that of their ramp.
    fn interrupt(&mut self, begin: Instant, now: Instant) {
        self.phase = Phase::Lost {
            since: now,
            next_probe: now,
            interrupted: now.checked_duration_since(begin),
        };
    }

    fn last_heard(&self) -> Option<Instant> {
        let connected = self.upstreams.values().filter_map(|link| link.connected);
        connected.max().max(self.received)
    }

    /// Learns how long upstreams are usually silent, when bytes arrive.
    fn learn_silence(&mut self, now: Instant) {
        if !matches!(self.phase, Phase::Up) {
            return;
        }
        let is_long = |at: Instant| now.saturating_duration_since(at) >= SILENCE / 2;
        if self.received.is_some_and(|at| !is_long(at)) {
            return;
        }
        let owing = self
            .upstreams
            .values()
            .filter_map(|link| link.waiting_since);
        if let Some(since) = owing.min().max(self.received) {
            let silence = now.saturating_duration_since(since);
            self.usual_silence = silence.max(self.usual_silence * 9 / 10);
        }
    }

    /// Returns the upstreams from which bytes arrived after a time.
    fn heard_since(&self, since: Instant) -> BTreeSet<UpstreamId> {
        self.filter(|link| link.received.is_some_and(|at| at > since))
    }

    /// Returns the upstreams to which an attempt to connect failed that began at a time or later.
    fn unreachable_since(&self, since: Instant) -> BTreeSet<UpstreamId> {
        self.filter(|link| link.unreachable.is_some_and(|(begin, _)| begin >= since))
    }

    /// Returns the upstreams that failed in any way by attempts that began at a time or later.
    fn failed_since(&self, since: Instant) -> BTreeSet<UpstreamId> {
        self.filter(|link| {
            link.unreachable.is_some_and(|(begin, _)| begin >= since)
                || link.reset.is_some_and(|at| at >= since)
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
            started: now,
            is_suspected: false,
            needs_connection: false,
            last_failure: None,
            rounds: 0,
            next_round: now,
        }
    }

    /// Returns what remains to be found out after a connection was established: the one right after a
    /// failure may have been accepted before it.
    fn connected(self, now: Instant) -> Option<Self> {
        let next_round = self.last_failure? + READ_DELAY;
        (now < next_round).then_some(Self {
            since: now,
            started: now,
            is_suspected: false,
            rounds: 0,
            next_round,
            ..self
        })
    }
}
