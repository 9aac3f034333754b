//! Collects evidence of calls and prompt parts that end upstreams, and refuses them.

use std::rc::Rc;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};
use shallottide_types::id::{ServiceId, StoreIndex, UpstreamId};
use shallottide_types::refusal::{Ran, Refusal, RefusalKind};
use tokio::task::spawn_local;

use super::call::Call;
use super::node::{Node, State};
use super::send::{OutgoingRequest, UpstreamResponse};
use crate::adapter::StoreError;
use crate::crash_evidence::{EvidenceReport, Lifetime};
use crate::crash_trigger::{CrashTrigger, TriggerKey};
use crate::ended_request::{EndedRequest, InterruptedRequest};
use crate::quarantine::{Admission, RecordWrite, trials_after};
use crate::request_digest::RequestDigest;
use crate::undecided::EntryState;
use crate::upstream_links::LinkVerdict;

/// Longest wait for the store when a trial is claimed.
const CLAIM_TIMEOUT: Duration = Duration::from_millis(400);
/// Time for which the store keeps that a request is suspected.
const SUSPECTED_LIFETIME: Duration = Duration::from_mins(2);
/// Time after which a node writes a record that the node that found the part has not written, and
/// the range of its jitter.
const PEER_WRITE_DELAY: Duration = Duration::from_secs(3);
const PEER_WRITE_JITTER: Duration = Duration::from_secs(5);
/// Shortest `retry-after` of a call with a quarantined part.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(500);
/// Triggers of an interrupted request in one log line.
const MAX_LOGGED_WEIGHTS: usize = 8;
/// Quarantined triggers in one message to peers.
const MAX_MESSAGE_KEYS: usize = 12;
/// Version of the message format; messages of other versions are ignored. Differs from all versions
/// of the load report, which comes over the same port.
pub(super) const EVIDENCE_VERSION: u8 = 5;

/// What a node tells its peers of crashes and of what it found from them.
#[derive(Debug, Serialize, Deserialize)]
pub(super) struct EvidenceMessage {
    version: u8,
    report: EvidenceReport,
    /// Quarantined triggers without a record in the store.
    quarantined: Vec<TriggerKey>,
}

/// A claimed trial of a quarantined call or part: its call may be sent once.
#[derive(Debug)]
pub(super) struct Trial {
    key: TriggerKey,
    /// Trials before this one.
    earlier: u32,
    revision: StoreIndex,
}

/// The end of a call's connection before its answer was complete.
pub(super) struct Disconnect<'a> {
    pub(super) upstream: &'a UpstreamId,
    pub(super) lifetime: Lifetime,
    /// When the call was sent.
    pub(super) sent_at: Instant,
    /// When the first event of the answer arrived, if one did.
    pub(super) first_event_at: Option<Instant>,
    /// Whose fault it is, as far as the links tell.
    pub(super) verdict: LinkVerdict,
}

impl<'a> Disconnect<'a> {
    /// Returns the interruption of an answer that had not begun.
    pub(super) fn new(
        upstream: &'a UpstreamId,
        lifetime: Lifetime,
        sent_at: Instant,
        verdict: LinkVerdict,
    ) -> Self {
        Self {
            upstream,
            lifetime,
            sent_at,
            first_event_at: None,
            verdict,
        }
    }
}

impl Node {
    /// Records that a call was interrupted before its upstream had answered it.
    pub(super) fn record_disconnect(
        self: &Rc<Self>,
        disconnect: &Disconnect<'_>,
        call: &OutgoingRequest,
    ) {
        let &Disconnect {
            upstream: id,
            lifetime,
            sent_at,
            first_event_at,
            verdict,
        } = disconnect;
        let now = self.now();
        let state = &mut *self.state.borrow_mut();
        let in_flight = state.loads.in_flight(id);
        let Some(known) = state.view.upstreams.get(id) else {
            return;
        };
        let service = known.upstream.service.clone();
        let is_leaving = known.upstream.draining || state.departures.is_leaving(lifetime);
        self.metrics.count("disconnects", service.as_str());
        let written = first_event_at.map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
        let parts: Vec<_> = call.shared_parts.iter().map(ToString::to_string).collect();
        tracing::info!(
            call = %call.id, request = %call.digest, upstream = %id, in_flight,
            written_ms = u64::try_from(written.as_millis()).unwrap_or(u64::MAX), parts = parts.join(","),
            ?verdict, "upstream disconnected"
        );
        // An upstream that is leaving ends by itself.
        if is_leaving {
            return;
        }
        let interrupted = InterruptedRequest {
            request: call.ended(&service, lifetime),
            upstream: id,
            sent_at,
            written,
        };
        if verdict != LinkVerdict::Upstream {
            self.metrics.count("interruptions", "undecided");
            state.crashes.record_undecided(&interrupted, now);
            return;
        }
        state.crashes.record_interruption(&interrupted, now);
        log_weights(state, interrupted.request);
        // Before the call is sent to another upstream.
        self.find_culprits(state);
        self.write_due_records(state);
        self.suspect(state, service, call.digest);
    }

    /// Records that a call is given up at an upstream that has not answered it: either may have ended, or this
    /// node's links to it.
    pub(super) fn record_unanswered(
        &self,
        id: &UpstreamId,
        lifetime: Lifetime,
        sent_at: Instant,
        call: &OutgoingRequest,
    ) {
        let now = self.now();
        let state = &mut *self.state.borrow_mut();
        let Some(known) = state.view.upstreams.get(id) else {
            return;
        };
        if known.upstream.draining || state.departures.is_leaving(lifetime) {
            return;
        }
        let service = known.upstream.service.clone();
        self.metrics.count("interruptions", "undecided");
        let interrupted = InterruptedRequest {
            request: call.ended(&service, lifetime),
            upstream: id,
            sent_at,
            written: Duration::ZERO,
        };
        state.crashes.record_undecided(&interrupted, now);
    }

    /// Decides on interruptions of which it was not clear whether the upstream or this node's links were at
    /// fault, by what the store has said of the upstreams since.
    fn decide_interruptions(self: &Rc<Self>, state: &mut State) {
        if state.crashes.undecided() == 0 {
            return;
        }
        let now = self.now();
        let (view, departures) = (&state.view, &state.departures);
        let entry = |id: &UpstreamId| match view.upstreams.get(id) {
            None => EntryState::Gone,
            Some(known) => {
                let lifetime = known.lifetime();
                if known.upstream.draining || departures.is_leaving(lifetime) {
                    EntryState::Leaving(lifetime)
                } else {
                    EntryState::Present(lifetime)
                }
            }
        };
        let decided = state.crashes.decide(entry, now);
        if decided.is_empty() {
            return;
        }
        tracing::info!(
            requests = decided.len(), undecided = state.crashes.undecided(), index = %state.view.index,
            "interrupted requests count: their upstreams have ended"
        );
        self.find_culprits(state);
        for (service, digest) in decided {
            self.metrics.count("interruptions", "upstreams_fault");
            self.suspect(state, service, digest);
        }
    }

    /// Writes to the store that one more crash puts a request at fault, if so.
    fn suspect(self: &Rc<Self>, state: &mut State, service: ServiceId, digest: RequestDigest) {
        if !state.crashes.is_suspect(&service, digest) {
            return;
        }
        let key = TriggerKey {
            service,
            trigger: CrashTrigger::Request(digest),
        };
        let quarantine = &mut state.view.quarantine;
        if quarantine.record(&key).is_none() && !quarantine.is_suspected(&key) {
            quarantine.apply_suspected(key.clone(), true, self.now());
            write_suspected(self, key);
        }
    }

    /// Writes the records that the store must have, so that they survive this node.
    fn write_due_records(self: &Rc<Self>, state: &mut State) {
        for (key, write) in state.view.quarantine.due_writes(self.now()) {
            write_record(self, key, write);
        }
    }

    /// Quarantines what the evidence shows to be at fault.
    fn find_culprits(&self, state: &mut State) {
        let (nodes, now) = (state.node_count(), self.now());
        let quarantine = &mut state.view.quarantine;
        for culprit in quarantine.evaluate(&mut state.crashes, nodes, now) {
            self.metrics.count("quarantine", "found");
            tracing::warn!(
                service = %culprit.key.service, trigger = %culprit.key.trigger,
                crashes = culprit.crashes, is_certain = culprit.is_certain,
                "ends upstreams: quarantined"
            );
        }
    }

    /// Records that an upstream has answered a call in full.
    pub(super) fn record_answer(
        self: &Rc<Self>,
        response: &UpstreamResponse,
        service: &ServiceId,
        call: &OutgoingRequest,
    ) {
        let now = self.now();
        let request = call.ended(service, response.in_flight.lifetime);
        let state = &mut *self.state.borrow_mut();
        if response.ends_with_connection {
            let upstream = &response.in_flight.upstream;
            state.crashes.record_closed_answer(upstream, request, now);
            return;
        }
        let crashes = &mut state.crashes;
        crashes.record_completion(request, response.sent_at, now);
        self.release_cleared(state);
    }

    /// Releases what is quarantined and not at fault after all.
    fn release_cleared(self: &Rc<Self>, state: &mut State) {
        let quarantine = &mut state.view.quarantine;
        for (key, revision) in quarantine.release_cleared(&state.crashes, self.now()) {
            self.metrics.count("quarantine", "released");
            tracing::info!(
                service = %key.service, trigger = %key.trigger,
                "released from quarantine: not at fault"
            );
            if let Some(revision) = revision {
                write_record(self, key, RecordWrite::Remove(revision));
            }
        }
    }
}

/// Logs how the crashes with the triggers of an interrupted request count against each of them.
fn log_weights(state: &State, request: EndedRequest<'_>) {
    let known: Vec<_> = state
        .view
        .quarantine
        .records()
        .map(|(key, _)| key)
        .collect();
    let weights = state.crashes.weigh(request, &known);
    // The request itself comes last, behind the parts of its prompt.
    let shown = weights.iter().rev().take(MAX_LOGGED_WEIGHTS);
    let shown: Vec<_> = shown.map(ToString::to_string).collect();
    tracing::info!(
        call = request.id, service = %request.service, known = known.len(), weights = shown.join("; "),
        "crash weighed"
    );
}

/// Evaluates the evidence; returns the messages for peers.
pub(super) fn evaluate(node: &Rc<Node>) -> Vec<EvidenceMessage> {
    let now = node.now();
    let state = &mut *node.state.borrow_mut();
    if state.crashes.is_empty() && state.view.quarantine.is_empty() {
        return Vec::new();
    }
    node.decide_interruptions(state);
    node.find_culprits(state);
    node.release_cleared(state);
    node.write_due_records(state);
    let unwritten = state.view.quarantine.unwritten();
    let quarantined: Vec<_> = unwritten.take(MAX_MESSAGE_KEYS).cloned().collect();
    let message = |report, quarantined| EvidenceMessage {
        version: EVIDENCE_VERSION,
        report,
        quarantined,
    };
    let reports = state.crashes.reports(now).into_iter();
    let mut messages: Vec<_> = reports.map(|report| message(report, Vec::new())).collect();
    if !quarantined.is_empty() {
        messages.push(message(EvidenceReport::default(), quarantined));
    }
    messages
}

/// Writes or removes a record in the store, in a task of its own.
fn write_record(node: &Rc<Node>, key: TriggerKey, write: RecordWrite) {
    let node = node.clone();
    spawn_local(async move {
        let written = match write {
            RecordWrite::Create(trials) => create_record(&node, &key, trials).await,
            RecordWrite::Remove(revision) => {
                node.platform.store.remove_quarantine(&key, revision).await
            }
        };
        if let Err(error) = written {
            // A record that is missing is written later; one too many is removed after a trial.
            tracing::info!(trigger = %key.trigger, ?write, %error, "could not write quarantine record");
        }
    });
}

/// Writes the record of a suspected request, in a task of its own.
fn write_suspected(node: &Rc<Node>, key: TriggerKey) {
    let node = node.clone();
    spawn_local(async move {
        let store = &node.platform.store;
        let written = match store.grant(SUSPECTED_LIFETIME).await {
            Ok(lease) => store.put_suspected(lease, &key).await,
            Err(error) => Err(error),
        };
        match written {
            Ok(()) => tracing::info!(service = %key.service, trigger = %key.trigger, "suspected"),
            // The next crash is found from what the nodes know, unless all restart before.
            Err(error) => {
                tracing::info!(trigger = %key.trigger, %error, "could not write suspected request");
            }
        }
    });
}

/// Creates a record, and removes it again if its trigger was released meanwhile.
async fn create_record(node: &Node, key: &TriggerKey, trials: u32) -> Result<(), StoreError> {
    let store = &node.platform.store;
    let Some(revision) = store.put_quarantine(key, trials, None).await? else {
        return Ok(());
    };
    let is_kept = {
        let quarantine = &mut node.state.borrow_mut().view.quarantine;
        quarantine.record_written(key, revision)
    };
    if is_kept {
        return Ok(());
    }
    store.remove_quarantine(key, revision).await
}

/// Adds what a peer found and what it saw.
pub(super) fn apply_message(node: &Node, message: EvidenceMessage) {
    let now = node.now();
    let state = &mut *node.state.borrow_mut();
    let nodes = state.node_count();
    state.crashes.merge(&message.report, now);
    for key in message.quarantined {
        let jitter = PEER_WRITE_JITTER.mul_f64(rand::random::<f64>());
        let write_at = now + PEER_WRITE_DELAY + jitter;
        let quarantine = &mut state.view.quarantine;
        if quarantine.learn(key.clone(), &state.crashes, nodes, now, write_at) {
            node.metrics.count("quarantine", "learned");
            tracing::info!(
                service = %key.service, trigger = %key.trigger, "quarantined by a peer"
            );
        }
    }
}

impl Call {
    /// Checks that neither the call nor a part of its prompt is quarantined, or claims a trial that is
    /// due.
    ///
    /// # Errors
    /// The refusal of a call that would end its upstream.
    pub(super) async fn pass_quarantine(&mut self) -> Result<(), Refusal> {
        if self.trial.is_some() {
            return Ok(());
        }
        let now = self.node.now();
        let admission = {
            let state = &mut *self.node.state.borrow_mut();
            let (digest, parts) = (self.request.digest, &self.request.shared_parts);
            let quarantine = &mut state.view.quarantine;
            quarantine.admit(&self.service, digest, parts, &state.crashes, now)
        };
        let (key, record) = match admission {
            Admission::Allowed => return Ok(()),
            Admission::Refused(wait) => return Err(self.refuse_quarantined(wait)),
            Admission::TrialDue(..) if self.attempts > 0 => {
                return Err(self.refuse_quarantined(MIN_RETRY_AFTER));
            }
            Admission::TrialDue(key, record) => (key, record),
        };
        let earlier = record.trials;
        let store = &self.node.platform.store;
        let claim = store.put_quarantine(&key, trials_after(key.trigger, earlier), record.revision);
        let claimed = tokio::time::timeout(CLAIM_TIMEOUT, claim)
            .await
            .unwrap_or_else(|_| Err(StoreError::NoAnswer("timed out".into())));
        match claimed {
            Ok(Some(revision)) => {
                self.node.metrics.count("quarantine", "trial");
                tracing::info!(call = %self.request.id, trigger = %key.trigger, earlier, "call sent on trial");
                self.trial = Some(Trial {
                    key,
                    earlier,
                    revision,
                });
                Ok(())
            }
            Ok(None) => Err(self.refuse_quarantined(MIN_RETRY_AFTER)),
            Err(error) => {
                tracing::info!(trigger = %key.trigger, %error, "could not claim trial");
                Err(self.refuse_quarantined(MIN_RETRY_AFTER))
            }
        }
    }

    fn refuse_quarantined(&self, wait: Duration) -> Refusal {
        let message = "upstreams end when they run this call, or calls with a part of its prompt: change it, or retry when the upstreams are repaired";
        if self.may_have_run {
            return Refusal::new(RefusalKind::UpstreamFailed, Ran::Unknown, message);
        }
        Refusal::new(RefusalKind::Quarantined, Ran::No, message)
            .retry_after(wait.max(MIN_RETRY_AFTER))
    }

    /// Gives a claimed trial back, as its call was not sent.
    pub(super) fn return_trial(&mut self) {
        let Some(trial) = self.trial.take() else {
            return;
        };
        let node = self.node.clone();
        spawn_local(async move {
            let Trial {
                key,
                earlier,
                revision,
            } = trial;
            let store = &node.platform.store;
            let returned = store.put_quarantine(&key, earlier, Some(revision)).await;
            if let Err(error) = returned {
                tracing::info!(trigger = %key.trigger, %error, "could not return trial");
            }
        });
    }
}
