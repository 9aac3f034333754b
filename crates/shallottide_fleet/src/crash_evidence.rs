//! Finds the requests, and the prompt parts, that end the upstreams which run them.
//!
//! When an upstream ends, all requests in flight there are interrupted. At fault is the request that is
//! among them at upstream after upstream and never completes; or, if no single request explains the
//! crashes, the part of prompts that is in such requests, and in none that completes meanwhile. Requests that
//! were each held at fault may all have ended their upstreams on account of one part, so their crashes still
//! count against the parts that they hold. No node sees all requests of an upstream, so nodes exchange what
//! they saw.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};
use shallottide_types::id::{ServiceId, UpstreamId};
use shallottide_types::rendezvous::weight;

use crate::crash_trigger::{CrashTrigger, TriggerKey};
use crate::ended_request::{EndedRequest, InterruptedRequest, KeptRequest};
use crate::prompt_part::PromptPart;
use crate::request_digest::RequestDigest;
use crate::trigger_weight::{LeftOut, TriggerWeight};
use crate::undecided::{EntryState, MAX_WAIT, UndecidedInterruptions};

/// Crashes with a trigger, and no completed request with it since, from which it is at fault.
const MIN_CRASHES: usize = 3;
/// Crashes by which the part at fault exceeds every other part, and every single request.
const MIN_LEAD: usize = 2;
/// Crashes from which a part is at fault although another part comes close.
const MAX_CRASHES_IN_DOUBT: usize = 8;
/// Crashes closer together than this count once: failures of VMs or networks end several upstreams
/// at the same time.
const MIN_CRASH_INTERVAL: Duration = Duration::from_millis(100);
/// Time by which reports between nodes may come late, and move the crashes in them.
const MAX_REPORT_DELAY: Duration = Duration::from_secs(1);
/// Time for which crashes and completions count.
const EVIDENCE_LIFETIME: Duration = Duration::from_mins(1);
/// Time within which an upstream that still answers shows that only a connection ended; an upstream
/// that has ended needs longer to start again.
const ALIVE_DOUBT: Duration = Duration::from_secs(1);
/// Time within which other answers show whether an upstream ended along with a connection.
const CLOSE_DOUBT: Duration = Duration::from_secs(1);
/// Time after which an answer that ended with its connection counts as complete, if no node has reported
/// within it that the upstream ended along with it.
const CLOSED_ANSWER_WAIT: Duration = Duration::from_secs(2);
/// Time after which an upstream that has begun to write an answer no longer ends on account of it.
const MAX_CRASH_DELAY: Duration = Duration::from_secs(1);
/// Time for which a crash is passed on to peers.
const FORWARD_TIME: Duration = Duration::from_secs(1);
/// Time from a crash for which peers hear which of its parts have completed.
const COMPLETION_REPORT_TIME: Duration = Duration::from_secs(10);
/// Requests with the trigger at fault that an upstream holds when it ends; one that holds more has begun
/// to answer some of them before.
const MAX_REQUESTS: usize = 3;
/// Most crashes that are kept.
const MAX_CRASHES: usize = 256;
/// Most triggers that are kept of a crash: the requests that an upstream holds, with some parts each.
const MAX_CRASH_TRIGGERS: usize = 256;
/// Most triggers of a crash in one report.
const MAX_REPORT_TRIGGERS: usize = 40;
/// Most parts of completed requests that are kept.
const MAX_COMPLETIONS: usize = 4_096;
/// Most completed requests that are kept; a loaded node completes some ten a second.
const MAX_RECENT: usize = 2_048;
/// Most bytes of one report; fits a datagram.
pub const MAX_REPORT_BYTES: usize = 1_350;
/// Most encoded bytes of a crash or completion without its service and triggers, of a trigger, and of
/// a request's id.
const ENTRY_BYTES: usize = 20;
const TRIGGER_BYTES: usize = 18;
const REQUEST_BYTES: usize = 3;

/// One lifetime of an upstream, as a hash of its id and start.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Lifetime(u64);

impl Lifetime {
    /// Returns the lifetime of an upstream that started at `born`, in milliseconds since 1970.
    #[must_use]
    pub fn new(upstream: &UpstreamId, born: u64) -> Self {
        Self(weight(born, upstream.as_str()))
    }

    /// Returns the key by which nodes rank themselves for this upstream.
    #[must_use]
    pub fn key(self) -> u64 {
        self.0
    }
}

/// A trigger in requests that an upstream's end interrupted.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct Interruption<T> {
    /// When it was, or in a report its age in milliseconds.
    at: T,
    /// Position in the prompt, the request itself last. Prompts that share a part mostly share those
    /// before it.
    depth: u8,
    /// Hashes of the ids of different requests, as many as matter.
    requests: Vec<u16>,
}

impl<T> Interruption<T> {
    /// Adds requests; returns whether any was new.
    fn add_requests(&mut self, requests: &[u16]) -> bool {
        let before = self.requests.len();
        for request in requests {
            if self.requests.len() <= MAX_REQUESTS && !self.requests.contains(request) {
                self.requests.push(*request);
            }
        }
        self.requests.len() > before
    }
}

/// The end of an upstream, as far as this node knows.
#[derive(Debug, Clone)]
struct Crash {
    service: ServiceId,
    /// The requests that were in flight and the parts of their prompts.
    triggers: BTreeMap<CrashTrigger, Interruption<Instant>>,
    /// When a trigger was last added.
    changed_at: Instant,
}

/// A trigger with which no request has completed since upstreams ended.
#[derive(Debug, Clone, Default)]
struct Suspect {
    depth: u8,
    crashes: BTreeMap<Lifetime, Instant>,
}

impl Suspect {
    fn count(&self) -> usize {
        separate(self.crashes.values().copied()).len()
    }

    /// Returns whether another suspect had the same crashes.
    fn shares_crashes_with(&self, other: &Self) -> bool {
        let mut crashes = self.crashes.keys();
        crashes.all(|lifetime| other.crashes.contains_key(lifetime))
    }

    /// Returns whether another suspect had the same crashes, and more.
    fn is_explained_by(&self, other: &Self) -> bool {
        other.crashes.len() > self.crashes.len() && self.shares_crashes_with(other)
    }

    /// Returns whether this part is at fault for its crashes.
    ///
    /// A rival that stands before this part in prompts is in more requests, and explains less. A single
    /// request that comes again explains `of_one_request` of the crashes; others with its parts may be rare.
    fn is_culprit(
        &self,
        suspects: &BTreeMap<TriggerKey, Self>,
        key: &TriggerKey,
        of_one_request: usize,
        has_completed: bool,
    ) -> bool {
        let count = self.count();
        if count < MIN_CRASHES.max(of_one_request + MIN_LEAD) {
            return false;
        }
        let (mut rival, mut deeper_rival) = (0, 0);
        for (other, suspect) in suspects {
            let is_request = other.trigger.is_request();
            let is_before = suspect.depth < self.depth;
            if is_request || is_before || other == key || other.service != key.service {
                continue;
            }
            let shared = self
                .crashes
                .iter()
                .filter_map(|(lifetime, at)| suspect.crashes.contains_key(lifetime).then_some(*at));
            let shared = separate(shared).len();
            rival = rival.max(shared);
            if suspect.depth > self.depth {
                deeper_rival = deeper_rival.max(shared);
            }
        }
        let has_lead = |over: usize| count >= over + MIN_LEAD;
        has_lead(rival)
            || (!has_completed && count >= MAX_CRASHES_IN_DOUBT && has_lead(deeper_rival))
    }
}

impl Crash {
    fn has(&self, key: &TriggerKey) -> bool {
        self.service == key.service && self.triggers.contains_key(&key.trigger)
    }

    fn key(&self, trigger: CrashTrigger) -> TriggerKey {
        TriggerKey {
            service: self.service.clone(),
            trigger,
        }
    }

    /// Returns whether a request that this crash interrupted has a part.
    fn holds(&self, request: CrashTrigger, part: CrashTrigger) -> bool {
        let (Some(request), Some(part)) = (self.triggers.get(&request), self.triggers.get(&part))
        else {
            return false;
        };
        request.requests.iter().any(|id| part.requests.contains(id))
    }

    /// Returns whether one of the known triggers is at fault in place of another one.
    ///
    /// A request that is at fault may be so on account of a part that it holds.
    fn is_explained(&self, trigger: CrashTrigger, known: &[CrashTrigger]) -> bool {
        let may_be_on_account = |request: &CrashTrigger| {
            request.is_request() && !trigger.is_request() && self.holds(*request, trigger)
        };
        !known.iter().all(may_be_on_account)
    }

    /// Returns those of the known triggers that this crash interrupted.
    fn known_triggers(&self, known: &[&TriggerKey]) -> Vec<CrashTrigger> {
        let known = known.iter().filter(|key| self.has(key));
        known.map(|key| key.trigger).collect()
    }
}

/// An answer without a length that ended with its connection, at an upstream that may have ended.
#[derive(Debug, Clone)]
struct ClosedAnswer {
    request: KeptRequest,
    upstream: UpstreamId,
    at: Instant,
    /// Whether the upstream is known to have ended.
    has_upstream_ended: bool,
    /// Whether the upstream refused a connection soon after, which may be the fault of this node's links.
    is_in_doubt: bool,
}

/// A crash in a report.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashReport {
    lifetime: Lifetime,
    service: ServiceId,
    triggers: Vec<(CrashTrigger, Interruption<u32>)>,
}

impl CrashReport {
    /// Returns the most bytes that it takes.
    fn encoded_bytes(&self) -> usize {
        let triggers = self.triggers.iter();
        let bytes = triggers.map(|(_, i)| TRIGGER_BYTES + REQUEST_BYTES * i.requests.len());
        ENTRY_BYTES + self.service.as_str().len() + bytes.sum::<usize>()
    }
}

/// What a node tells its peers of crashes and completed requests.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EvidenceReport {
    crashes: Vec<CrashReport>,
    /// Triggers in completed requests, and how many milliseconds ago the last one completed.
    completions: Vec<(TriggerKey, u32)>,
}

impl EvidenceReport {
    /// Returns whether the report says nothing.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.crashes.is_empty() && self.completions.is_empty()
    }
}

/// A request or part that is at fault for crashes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Culprit {
    /// The request or part.
    pub key: TriggerKey,
    /// Its crashes; those of a part without others at the same moment.
    pub crashes: usize,
    /// Whether no other request explains the same crashes.
    pub is_certain: bool,
    /// When there were enough of them.
    pub suspected_at: Instant,
}

/// Recent crashes and completed requests, as far as this node knows of them.
#[derive(Debug, Clone, Default)]
pub struct CrashEvidence {
    crashes: BTreeMap<Lifetime, Crash>,
    /// When a request with a trigger last completed.
    completions: BTreeMap<TriggerKey, Instant>,
    /// Upstreams that answered after a connection to them had ended, and when.
    alive: BTreeMap<Lifetime, Instant>,
    closed: Vec<ClosedAnswer>,
    undecided: UndecidedInterruptions,
    /// When requests last completed: other nodes may decide only later that one was interrupted before.
    recent: BTreeMap<RequestDigest, Instant>,
}

impl CrashEvidence {
    /// Records that a request was interrupted before its answer was complete, by the end of its upstream or
    /// of this node's links to it: [`decide`](Self::decide) finds out which.
    pub fn record_undecided(&mut self, interrupted: &InterruptedRequest<'_>, now: Instant) {
        let is_of_next = self.has_ended_before(interrupted);
        self.undecided.record(interrupted, false, is_of_next, now);
    }

    /// Returns whether an upstream seems to have ended well before it got a request, so that the request ran
    /// under its next lifetime, which the view did not show yet.
    fn has_ended_before(&self, interrupted: &InterruptedRequest<'_>) -> bool {
        let lifetime = interrupted.request.lifetime;
        let crashes = self.crashes.get(&lifetime).into_iter();
        let times = crashes.flat_map(|crash| crash.triggers.values().map(|i| i.at));
        let mut times = times.chain(self.undecided.times(lifetime));
        times.any(|at| interrupted.sent_at >= at + ALIVE_DOUBT)
    }

    /// Returns the number of interruptions that are undecided.
    #[must_use]
    pub fn undecided(&self) -> usize {
        self.undecided.len()
    }

    /// Decides on interruptions by what the store says of their upstreams; returns the digests of the
    /// requests that were interrupted by an upstream's end, with its service.
    pub fn decide(
        &mut self,
        entry: impl Fn(&UpstreamId) -> EntryState,
        now: Instant,
    ) -> Vec<(ServiceId, RequestDigest)> {
        for answer in &mut self.closed {
            let lifetime = answer.request.lifetime();
            answer.has_upstream_ended |= answer.is_in_doubt
                && !matches!(
                    entry(&answer.upstream),
                    EntryState::Present(current) | EntryState::Leaving(current) if current == lifetime
                );
        }
        let ended = self.undecided.take_decided(entry, now);
        let decided = ended.into_iter().map(|interrupted| {
            let request = interrupted.request.ended();
            if interrupted.written >= MAX_CRASH_DELAY {
                self.complete_request(request, interrupted.at);
            } else {
                self.add_request(request, interrupted.at, now);
            }
            (request.service.clone(), request.digest)
        });
        decided.collect()
    }

    /// Records that an upstream ended a connection before it had answered a request.
    pub fn record_interruption(&mut self, interrupted: &InterruptedRequest<'_>, now: Instant) {
        if interrupted.written >= MAX_CRASH_DELAY {
            self.complete_request(interrupted.request, now);
        } else if self.has_ended_before(interrupted) {
            self.undecided.record(interrupted, true, true, now);
        } else {
            self.add_request(interrupted.request, now, now);
        }
    }

    fn add_request(&mut self, request: EndedRequest<'_>, at: Instant, now: Instant) {
        for (trigger, depth) in request.triggers() {
            let interruption = Interruption {
                at,
                depth,
                requests: vec![request.hash()],
            };
            self.add(
                request.lifetime,
                request.service,
                trigger,
                interruption,
                now,
            );
        }
    }

    /// Records that an answer without a length ended with its connection: complete, or cut off
    /// because its upstream ended.
    pub fn record_closed_answer(
        &mut self,
        upstream: &UpstreamId,
        request: EndedRequest<'_>,
        now: Instant,
    ) {
        self.closed.push(ClosedAnswer {
            request: request.into(),
            upstream: upstream.clone(),
            at: now,
            has_upstream_ended: false,
            is_in_doubt: false,
        });
    }

    /// Records that an upstream refused a connection, as one that has ended does; `is_upstreams_fault` if
    /// this node's links to others are known to be sound.
    pub fn record_refused_connection(
        &mut self,
        lifetime: Lifetime,
        is_upstreams_fault: bool,
        now: Instant,
    ) {
        let recent = self.closed.iter_mut().filter(|answer| {
            answer.request.lifetime() == lifetime
                && now.saturating_duration_since(answer.at) < CLOSE_DOUBT
        });
        for answer in recent {
            answer.has_upstream_ended |= is_upstreams_fault;
            answer.is_in_doubt |= !is_upstreams_fault;
        }
    }

    /// Records a complete answer to a request that was sent at `sent_at`.
    pub fn record_completion(&mut self, request: EndedRequest<'_>, sent_at: Instant, now: Instant) {
        let lifetime = request.lifetime;
        self.undecided.record_answer(lifetime, now);
        if let Some(crash) = self.crashes.get(&lifetime) {
            let was_alive =
                |at: &Instant| sent_at > *at && now.saturating_duration_since(*at) < ALIVE_DOUBT;
            if crash.triggers.values().any(|i| was_alive(&i.at)) {
                self.crashes.remove(&lifetime);
                self.alive.insert(lifetime, now);
            }
        }
        self.complete_request(request, now);
    }

    fn complete_request(&mut self, request: EndedRequest<'_>, at: Instant) {
        self.keep_recent(request.digest, at);
        for (trigger, _) in request.triggers() {
            let key = TriggerKey {
                service: request.service.clone(),
                trigger,
            };
            // All requests differ, so only those that were interrupted are kept.
            let is_kept = !trigger.is_request()
                || self.crashes.values().any(|crash| crash.has(&key))
                || self.is_undecided(&key);
            if is_kept {
                self.complete(key, at);
            }
        }
    }

    fn keep_recent(&mut self, digest: RequestDigest, at: Instant) {
        if self.recent.len() >= MAX_RECENT {
            self.recent
                .retain(|_, other| at.saturating_duration_since(*other) < MAX_WAIT);
        }
        if self.recent.len() < MAX_RECENT || self.recent.contains_key(&digest) {
            self.recent.insert(digest, at);
        }
    }

    /// Returns whether a request with a trigger was interrupted, for whichever reason.
    fn is_undecided(&self, key: &TriggerKey) -> bool {
        let mut requests = self.undecided.requests();
        requests.any(|request| request.has(&key.service, key.trigger))
    }

    fn complete(&mut self, key: TriggerKey, at: Instant) {
        if self.completions.len() >= MAX_COMPLETIONS && !self.completions.contains_key(&key) {
            return;
        }
        let last = self.completions.entry(key).or_insert(at);
        *last = (*last).max(at);
    }

    fn add(
        &mut self,
        lifetime: Lifetime,
        service: &ServiceId,
        trigger: CrashTrigger,
        interruption: Interruption<Instant>,
        now: Instant,
    ) {
        let at = interruption.at;
        let alive = self.alive.get(&lifetime);
        if alive.is_some_and(|alive| at < *alive) {
            return;
        }
        if self.crashes.len() >= MAX_CRASHES && !self.crashes.contains_key(&lifetime) {
            let oldest = self
                .crashes
                .iter()
                .min_by_key(|(_, crash)| crash.changed_at);
            if let Some(oldest) = oldest.map(|(lifetime, _)| *lifetime) {
                self.crashes.remove(&oldest);
            }
        }
        let crash = self.crashes.entry(lifetime).or_insert_with(|| Crash {
            service: service.clone(),
            triggers: BTreeMap::new(),
            changed_at: now,
        });
        let has_room = crash.triggers.len() < MAX_CRASH_TRIGGERS;
        let is_news = match crash.triggers.get_mut(&trigger) {
            Some(known) => known.add_requests(&interruption.requests),
            None if has_room => crash.triggers.insert(trigger, interruption).is_none(),
            None => false,
        };
        if is_news {
            crash.changed_at = now;
        }
        if let CrashTrigger::Request(digest) = trigger
            && let Some(completed) = self.recent.get(&digest).copied()
            && completed > at
        {
            let service = service.clone();
            self.complete(TriggerKey { service, trigger }, completed);
        }
    }

    /// Drops what no longer counts, and decides on answers that ended with their connections.
    pub fn expire(&mut self, now: Instant) {
        let age = |at: Instant| now.saturating_duration_since(at);
        for mut answer in std::mem::take(&mut self.closed) {
            let crash = self.crashes.get(&answer.request.lifetime());
            answer.has_upstream_ended |= crash.is_some_and(|crash| {
                let mut times = crash.triggers.values().map(|i| i.at);
                times.any(|at| at.max(answer.at) - at.min(answer.at) < CLOSE_DOUBT)
            });
            let doubt = if answer.is_in_doubt {
                MAX_WAIT
            } else {
                CLOSED_ANSWER_WAIT
            };
            if !answer.has_upstream_ended && age(answer.at) < doubt {
                self.closed.push(answer);
                continue;
            }
            let request = answer.request.ended();
            if answer.has_upstream_ended {
                self.add_request(request, answer.at, now);
            } else {
                self.complete_request(request, answer.at);
            }
        }
        self.crashes
            .retain(|_, crash| age(crash.changed_at) < EVIDENCE_LIFETIME);
        self.alive.retain(|_, at| age(*at) < EVIDENCE_LIFETIME);
        self.completions
            .retain(|_, at| age(*at) < EVIDENCE_LIFETIME);
    }

    /// Returns whether there is nothing to evaluate or to report.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.crashes.is_empty() && self.closed.is_empty() && self.undecided.len() == 0
    }

    /// Returns when a request with a trigger last completed, if that is not long ago.
    #[must_use]
    pub fn last_completion(&self, key: &TriggerKey) -> Option<Instant> {
        self.completions.get(key).copied()
    }

    /// Returns whether a request with a part has completed lately.
    #[must_use]
    pub fn has_completed(&self, service: &ServiceId, part: PromptPart) -> bool {
        let (service, trigger) = (service.clone(), CrashTrigger::Part(part));
        self.completions
            .contains_key(&TriggerKey { service, trigger })
    }

    /// Returns the requests at fault; or if there are none, the part that is at fault for the most
    /// crashes.
    ///
    /// Crashes with a trigger in `known` are explained and count against no other one. Requests in
    /// `suspected` had all crashes but one before the given time, as far as the store knows.
    #[must_use]
    pub fn find_culprits(
        &self,
        known: &[&TriggerKey],
        suspected: &BTreeMap<TriggerKey, Instant>,
    ) -> Vec<Culprit> {
        let suspects = self.suspects(known);
        // One that has completed since is as good as any other.
        let is_open = |(key, at): &(&TriggerKey, &Instant)| {
            let last = self.completions.get(*key);
            last.is_none_or(|last| last < *at)
        };
        let suspected = suspected.iter().filter(is_open);
        let suspected = suspected.map(|(key, at)| (key, *at)).collect();
        let requests = request_culprits(&suspects, &suspected);
        if requests.is_empty() {
            self.part_culprit(&suspects).into_iter().collect()
        } else {
            requests
        }
    }

    fn part_culprit(&self, suspects: &BTreeMap<TriggerKey, Suspect>) -> Option<Culprit> {
        let (key, suspect) = suspects
            .iter()
            .filter(|(key, _)| !key.trigger.is_request())
            .max_by_key(|(_, suspect)| (suspect.count(), suspect.depth))?;
        if !self.is_part_culprit(suspects, key, suspect) {
            return None;
        }
        let crashes = separate(suspect.crashes.values().copied());
        Some(Culprit {
            key: key.clone(),
            crashes: crashes.len(),
            is_certain: false,
            suspected_at: *crashes.get(MIN_CRASHES - 1)?,
        })
    }

    fn is_part_culprit(
        &self,
        suspects: &BTreeMap<TriggerKey, Suspect>,
        key: &TriggerKey,
        suspect: &Suspect,
    ) -> bool {
        let has_completed = self.completions.contains_key(key);
        suspect.is_culprit(
            suspects,
            key,
            self.most_of_one_request(suspect),
            has_completed,
        )
    }

    /// Returns the most crashes of a suspect that one request explains, at fault or not.
    fn most_of_one_request(&self, suspect: &Suspect) -> usize {
        let mut times: BTreeMap<CrashTrigger, Vec<Instant>> = BTreeMap::new();
        for (lifetime, at) in &suspect.crashes {
            let Some(crash) = self.crashes.get(lifetime) else {
                continue;
            };
            let requests = crash.triggers.iter().filter(|(trigger, interruption)| {
                trigger.is_request() && self.is_uncleared(&crash.key(**trigger), interruption.at)
            });
            for (request, _) in requests {
                times.entry(*request).or_default().push(*at);
            }
        }
        let counts = times
            .into_values()
            .map(|times| separate(times.into_iter()).len());
        counts.max().unwrap_or(0)
    }

    /// Returns whether a request has ended more than one upstream, and none of its answers has
    /// completed since.
    #[must_use]
    pub fn is_suspect(&self, service: &ServiceId, digest: RequestDigest) -> bool {
        let key = TriggerKey {
            service: service.clone(),
            trigger: CrashTrigger::Request(digest),
        };
        let crashes = self.crashes.values();
        let interruptions = crashes.filter_map(|crash| {
            let is_at_service = crash.service == key.service;
            is_at_service.then(|| crash.triggers.get(&key.trigger))?
        });
        let uncleared = interruptions.filter(|i| self.is_uncleared(&key, i.at));
        uncleared.count() >= MIN_CRASHES - 1
    }

    /// Returns the number of crashes with a trigger.
    #[must_use]
    pub fn count(&self, key: &TriggerKey) -> usize {
        self.crashes.values().filter(|crash| crash.has(key)).count()
    }

    /// Returns whether the evidence speaks against a trigger's guilt: it had crashes that others
    /// explain as well, or that requests with it have survived.
    #[must_use]
    pub fn is_exonerated(&self, key: &TriggerKey, known: &[&TriggerKey]) -> bool {
        if key.trigger.is_request() {
            return self.is_request_exonerated(key, known);
        }
        let others: Vec<_> = known
            .iter()
            .copied()
            .filter(|other| *other != key)
            .collect();
        let suspects = self.suspects(&others);
        let is_culprit = |suspect| self.is_part_culprit(&suspects, key, suspect);
        self.count(key) >= MIN_CRASHES && !suspects.get(key).is_some_and(is_culprit)
    }

    /// Returns whether another known request, or a known part that it holds, explains all crashes of a
    /// request, and more.
    pub(crate) fn is_request_exonerated(&self, key: &TriggerKey, known: &[&TriggerKey]) -> bool {
        let suspects = self.suspects(&[]);
        let Some(suspect) = suspects.get(key) else {
            return false;
        };
        let others = known.iter().filter(|other| {
            let may_explain = other.trigger.is_request() || self.is_held(key, other.trigger);
            may_explain && other.service == key.service && **other != key
        });
        let mut others = others.filter_map(|other| suspects.get(*other));
        others.any(|other| suspect.is_explained_by(other))
    }

    /// Returns whether a request held a part at all of its crashes.
    fn is_held(&self, request: &TriggerKey, part: CrashTrigger) -> bool {
        let mut crashes = self.crashes.values().filter(|crash| crash.has(request));
        crashes.all(|crash| crash.holds(request.trigger, part))
    }

    /// Returns the triggers with which no request has completed since crashes that nothing in `known`
    /// explains.
    fn suspects(&self, known: &[&TriggerKey]) -> BTreeMap<TriggerKey, Suspect> {
        let mut suspects: BTreeMap<TriggerKey, Suspect> = BTreeMap::new();
        for (lifetime, crash) in &self.crashes {
            let known = crash.known_triggers(known);
            // A part that is known explains the crash to all others.
            if !known.iter().all(CrashTrigger::is_request) {
                continue;
            }
            for (trigger, interruption) in &crash.triggers {
                if self.left_out(crash, *trigger, &known).is_none() {
                    let suspect = suspects.entry(crash.key(*trigger)).or_default();
                    suspect.depth = suspect.depth.max(interruption.depth);
                    suspect.crashes.insert(*lifetime, interruption.at);
                }
            }
        }
        suspects
    }

    /// Returns why a crash does not count against a trigger that it interrupted; `known` are those of its
    /// triggers that are at fault for crashes.
    fn left_out(
        &self,
        crash: &Crash,
        trigger: CrashTrigger,
        known: &[CrashTrigger],
    ) -> Option<LeftOut> {
        let interruption = crash.triggers.get(&trigger)?;
        if crash.is_explained(trigger, known) {
            Some(LeftOut::Explained)
        } else if interruption.requests.len() > MAX_REQUESTS {
            Some(LeftOut::Crowded)
        } else if !self.is_uncleared(&crash.key(trigger), interruption.at) {
            Some(LeftOut::Completed)
        } else {
            None
        }
    }

    /// Returns how the crashes with each trigger of a request count against it, given the triggers that are
    /// `known` to be at fault; for logs.
    #[must_use]
    pub fn weigh(&self, request: EndedRequest<'_>, known: &[&TriggerKey]) -> Vec<TriggerWeight> {
        let triggers = request.triggers().map(|(trigger, _)| trigger);
        let mut weights: Vec<_> = triggers.map(TriggerWeight::new).collect();
        let crashes = self.crashes.values();
        for crash in crashes.filter(|crash| crash.service == *request.service) {
            let known = crash.known_triggers(known);
            let held = weights
                .iter_mut()
                .filter(|weight| crash.triggers.contains_key(&weight.trigger));
            for weight in held {
                weight.add(self.left_out(crash, weight.trigger, &known));
            }
        }
        weights
    }

    /// Returns whether no request with a trigger has completed since one was interrupted.
    ///
    /// Nodes measure times with an error, so a completion just before counts as well.
    fn is_uncleared(&self, key: &TriggerKey, interrupted_at: Instant) -> bool {
        let last = self.completions.get(key);
        last.is_none_or(|last| *last + MIN_CRASH_INTERVAL <= interrupted_at)
    }

    /// Returns what peers may not know yet, in reports of limited size.
    #[must_use]
    pub fn reports(&self, now: Instant) -> Vec<EvidenceReport> {
        let age = |at: Instant| now.saturating_duration_since(at);
        let millis = |at: Instant| u32::try_from(age(at).as_millis()).unwrap_or(u32::MAX);
        let mut reports = vec![EvidenceReport::default()];
        let mut bytes = 0;
        let mut reserve = |reports: &mut Vec<EvidenceReport>, more: usize| {
            bytes += more;
            if bytes > MAX_REPORT_BYTES {
                bytes = more;
                reports.push(EvidenceReport::default());
            }
        };
        let recent = |time: Duration| {
            let crashes = self.crashes.iter();
            crashes.filter(move |(_, crash)| age(crash.changed_at) < time)
        };
        for (lifetime, crash) in recent(FORWARD_TIME) {
            let triggers: Vec<_> = crash.triggers.iter().collect();
            for triggers in triggers.chunks(MAX_REPORT_TRIGGERS) {
                let triggers = triggers.iter().map(|(trigger, interruption)| {
                    let reported = Interruption {
                        at: millis(interruption.at),
                        depth: interruption.depth,
                        requests: interruption.requests.clone(),
                    };
                    (**trigger, reported)
                });
                let crash = CrashReport {
                    lifetime: *lifetime,
                    service: crash.service.clone(),
                    triggers: triggers.collect(),
                };
                reserve(&mut reports, crash.encoded_bytes());
                if let Some(report) = reports.last_mut() {
                    report.crashes.push(crash);
                }
            }
        }
        let mut reported = BTreeSet::new();
        for (_, crash) in recent(COMPLETION_REPORT_TIME) {
            for trigger in crash.triggers.keys() {
                let key = crash.key(*trigger);
                let Some(at) = self.completions.get(&key) else {
                    continue;
                };
                let is_news = age((*at).max(crash.changed_at)) < FORWARD_TIME;
                if !is_news || !reported.insert(key.clone()) {
                    continue;
                }
                reserve(&mut reports, ENTRY_BYTES + key.service.as_str().len());
                if let Some(report) = reports.last_mut() {
                    report.completions.push((key, millis(*at)));
                }
            }
        }
        reports.retain(|report| !report.is_empty());
        reports
    }

    /// Adds what a peer reported.
    pub fn merge(&mut self, report: &EvidenceReport, now: Instant) {
        let then = |millis: u32| {
            let age = Duration::from_millis(millis.into());
            now.checked_sub(age).unwrap_or(now)
        };
        for crash in &report.crashes {
            for (trigger, reported) in &crash.triggers {
                let interruption = Interruption {
                    at: then(reported.at),
                    depth: reported.depth,
                    requests: reported.requests.clone(),
                };
                self.add(crash.lifetime, &crash.service, *trigger, interruption, now);
            }
        }
        for (key, age) in &report.completions {
            self.complete(key.clone(), then(*age));
        }
    }
}

/// Returns the requests that are at fault: those that no other request explains.
fn request_culprits(
    suspects: &BTreeMap<TriggerKey, Suspect>,
    suspected: &BTreeMap<&TriggerKey, Instant>,
) -> Vec<Culprit> {
    let requests = || suspects.iter().filter(|(key, _)| key.trigger.is_request());
    let mut culprits = Vec::new();
    for (key, suspect) in requests() {
        let mut times: Vec<_> = suspect.crashes.values().copied().collect();
        times.sort_unstable();
        let was_suspected = |key: &TriggerKey, suspect: &Suspect| {
            // A late report may be of a crash for which it is suspected.
            let first = suspect.crashes.values().min();
            let is_further =
                |at: &Instant| first.is_some_and(|first| *first > *at + MAX_REPORT_DELAY);
            suspected.get(key).is_some_and(is_further)
        };
        let is_suspected = was_suspected(key, suspect);
        let needed = if is_suspected { 1 } else { MIN_CRASHES };
        let Some(suspected_at) = times.get(needed - 1).copied() else {
            continue;
        };
        let rivals = || {
            let others = requests().filter(|(other, _)| *other != key);
            others.filter(|(other, _)| other.service == key.service)
        };
        if rivals().any(|(_, rival)| suspect.is_explained_by(rival)) {
            continue;
        }
        culprits.push(Culprit {
            key: key.clone(),
            crashes: times.len(),
            is_certain: !rivals().any(|(key, rival)| {
                suspect.shares_crashes_with(rival) && was_suspected(key, rival) == is_suspected
            }),
            suspected_at,
        });
    }
    culprits
}

/// Returns the times that are apart from each other, in order.
fn separate(times: impl Iterator<Item = Instant>) -> Vec<Instant> {
    let mut times: Vec<_> = times.collect();
    times.sort_unstable();
    let mut last: Option<Instant> = None;
    times.retain(|at| {
        let is_apart =
            last.is_none_or(|last| at.saturating_duration_since(last) >= MIN_CRASH_INTERVAL);
        if is_apart {
            last = Some(*at);
        }
        is_apart
    });
    times
}
