//! Sends a call to one upstream.

use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use compact_str::CompactString;
use http::header::{CONTENT_LENGTH, TRANSFER_ENCODING};
use http::{HeaderMap, Method, Request, Response, Uri};
use http_body_util::Full;
use hyper::body::Incoming;
use shallottide_types::id::{ModelId, ServiceId, UpstreamId};

use super::connection::HttpError;
use super::connection_pool::PooledConnection;
use super::links::LinkWait;
use super::node::Node;
use super::quarantine::Disconnect;
use crate::adapter::{AnswerHead, SendHead, Verdict};
use crate::balance::Choice;
use crate::byte_budget::ByteBudget;
use crate::crash_evidence::Lifetime;
use crate::ended_request::EndedRequest;
use crate::named_limits::LimitChange;
use crate::prompt_part::PromptPart;
use crate::request_digest::RequestDigest;
use crate::upstream::Upstream;
use crate::upstream_links::{ConnectionFailure, LinkVerdict};
use crate::view::KnownUpstream;

/// Time for which an upstream that reported itself full gets no requests, and the limit for reading
/// the rest of its response.
const FULL_AVOIDANCE: Duration = Duration::from_millis(150);
/// Largest rest of a rejection that is read, in bytes.
const MAX_REJECTION_BYTES: usize = 4 << 10;
/// Time for which a group head that reported the loss of a member, or an upstream whose address
/// was taken over, gets no requests.
const FAULT_AVOIDANCE: Duration = Duration::from_secs(2);

/// A caller's request as it is forwarded to upstreams.
pub(super) struct OutgoingRequest {
    pub(super) id: CompactString,
    pub(super) method: Method,
    pub(super) uri: Uri,
    pub(super) headers: HeaderMap,
    pub(super) body: Bytes,
    pub(super) team: Option<CompactString>,
    pub(super) urgency: u8,
    pub(super) deadline: Instant,
    pub(super) shared_parts: Vec<PromptPart>,
    pub(super) digest: RequestDigest,
    /// Set if the request is for an engine.
    pub(super) model: Option<ModelId>,
    pub(super) prompt_tokens: u32,
}

impl OutgoingRequest {
    /// Returns the request as one whose answer an upstream has ended.
    pub(super) fn ended<'a>(
        &'a self,
        service: &'a ServiceId,
        lifetime: Lifetime,
    ) -> EndedRequest<'a> {
        EndedRequest {
            id: &self.id,
            digest: self.digest,
            parts: &self.shared_parts,
            service,
            lifetime,
        }
    }
}

/// Counts one request as in flight at an upstream until dropped.
pub(super) struct InFlightGuard {
    node: Rc<Node>,
    pub(super) upstream: UpstreamId,
    pub(super) lifetime: Lifetime,
    is_stream: bool,
}

impl InFlightGuard {
    /// Creates the guard of a request that the caller has already counted in the node's state.
    pub(super) fn new(node: &Rc<Node>, choice: &Choice) -> Self {
        Self {
            node: node.clone(),
            upstream: choice.upstream.clone(),
            lifetime: choice.lifetime,
            is_stream: false,
        }
    }

    /// Records that the response is a stream whose first event has arrived.
    pub(super) fn record_stream_start(&mut self) {
        self.is_stream = true;
        let now = self.node.now();
        let mut state = self.node.state.borrow_mut();
        state.loads.record_stream_start(&self.upstream, now);
    }

    /// Records that the stream has progressed.
    pub(super) fn record_stream_progress(&self) {
        let now = self.node.now();
        let mut state = self.node.state.borrow_mut();
        state.loads.record_stream_progress(&self.upstream, now);
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        let mut state = self.node.state.borrow_mut();
        if self.is_stream {
            state.loads.record_stream_end(&self.upstream);
        }
        state.loads.ended(&self.upstream);
        state.board.ended(self.lifetime);
        drop(state);
        self.node.wake_waiting();
    }
}

/// An upstream's response whose head has arrived.
pub(super) struct UpstreamResponse {
    pub(super) inner: Response<Incoming>,
    pub(super) head: AnswerHead,
    pub(super) pooled: PooledConnection,
    pub(super) in_flight: InFlightGuard,
    /// Wait for the rest of the response.
    pub(super) wait: LinkWait,
    pub(super) sent_at: Instant,
    /// When its first event arrived.
    pub(super) first_event_at: Option<Instant>,
    /// Whether only the end of the connection ends the body.
    pub(super) ends_with_connection: bool,
}

/// Why an upstream gave no response that can be returned to the caller.
pub(super) enum SendError {
    /// No byte of the request was sent.
    NotSent,
    /// The upstream stated that it did not run the call.
    NotRun,
    /// Another upstream has taken over the address.
    Misdirected,
    /// The upstream may have run the call; with the reason.
    OutcomeUnknown(&'static str),
}

/// Sends a call to the chosen upstream, over an idle connection if there is one.
///
/// `in_flight` was created when the upstream was chosen.
pub(super) async fn send(
    node: &Rc<Node>,
    call: &OutgoingRequest,
    choice: &Choice,
    in_flight: InFlightGuard,
    resume_from: Option<u64>,
) -> Result<UpstreamResponse, SendError> {
    let Some(upstream) = find_upstream(node, &choice.upstream) else {
        return Err(SendError::NotSent);
    };
    let began = node.now();
    let idle = node.pool.take(&upstream.id, began);
    let was_idle = idle.is_some();
    let first_result = match idle {
        Some(pooled) => send_on_connection(node, call, &upstream, pooled, resume_from).await,
        None => send_on_new_connection(node, call, &upstream, resume_from).await,
    };
    let result = match first_result {
        Err((HttpError::NotSent, _)) if was_idle => {
            send_on_new_connection(node, call, &upstream, resume_from).await
        }
        other => other,
    };
    let (response, pooled, wait) = match result {
        Ok(sent) => sent,
        Err((error, failure)) => {
            record_send_failure(node, call, &upstream, (choice, began), &error, &failure).await;
            tracing::info!(
                call = %call.id, upstream = %upstream.id, %error, was_kept = was_idle,
                "send failed"
            );
            return Err(if error.was_not_sent() {
                SendError::NotSent
            } else {
                SendError::OutcomeUnknown("the connection ended")
            });
        }
    };
    let now = node.now();
    let sent_at = wait.since;
    let head = node.read_answer(&response);
    // An extra response to an earlier request may lack an id; a new connection has had no earlier one.
    let is_own = head
        .id
        .as_ref()
        .map_or(!pooled.was_used(), |id| *id == call.id);
    if !is_own {
        tracing::warn!(
            call = %call.id, upstream = %upstream.id, answered = head.id.as_deref(),
            "dropped response to another call"
        );
        return Err(SendError::OutcomeUnknown("the answer was another call's"));
    }
    if let Some(load) = head.load {
        let state = &mut *node.state.borrow_mut();
        state.loads.record_reported_load(&upstream.id, load, now);
        if call.model.is_some() && head.verdict != Verdict::Misdirected {
            let own = &node.options.node;
            state.board.record_answer(choice.lifetime, load, own, now);
        }
    }
    record_limit(node, &upstream.id, choice.lifetime, &head);
    record_cooldown(node, &upstream.id, choice.lifetime, &head);
    record_departure(node, &upstream.id, choice.lifetime, &head);
    if head.verdict != Verdict::MayHaveRun {
        return Err(handle_rejection(
            node, call, &upstream, &head, response, pooled, now,
        ));
    }
    let headers = response.headers();
    let ends_with_connection =
        !headers.contains_key(CONTENT_LENGTH) && !headers.contains_key(TRANSFER_ENCODING);
    Ok(UpstreamResponse {
        inner: response,
        ends_with_connection,
        head,
        pooled,
        in_flight,
        wait,
        sent_at,
        first_event_at: None,
    })
}

/// Records the limit that an upstream names, or no longer names.
fn record_limit(node: &Node, upstream: &UpstreamId, lifetime: Lifetime, head: &AnswerHead) {
    let is_own_answer = match head.verdict {
        Verdict::MayHaveRun => head.genuine,
        Verdict::NotRun => true,
        Verdict::Misdirected => false,
    };
    if !is_own_answer {
        return;
    }
    let now = node.now();
    let limits = &mut node.state.borrow_mut().named_limits;
    match limits.record_answer(lifetime, head.limit, now) {
        None => {}
        Some(LimitChange::Named(rate)) => {
            node.metrics.count("limits", "named");
            tracing::info!(%upstream, %rate, "upstream named a limit");
        }
        Some(LimitChange::Ended) => {
            node.metrics.count("limits", "ended");
            tracing::info!(%upstream, "upstream no longer names a limit");
        }
    }
}

/// Records that an upstream asks for no requests for a time.
fn record_cooldown(node: &Node, upstream: &UpstreamId, lifetime: Lifetime, head: &AnswerHead) {
    let Some(wait) = head.retry_after else {
        return;
    };
    let now = node.now();
    let cooldowns = &mut node.state.borrow_mut().cooldowns;
    if cooldowns.record_answer(lifetime, wait, now) {
        node.metrics.count("cooldowns", "asked");
        let wait_ms = u64::try_from(wait.as_millis()).unwrap_or(u64::MAX);
        tracing::info!(%upstream, wait_ms, "upstream asked for no requests for a time");
    }
}

/// Records that an upstream announces that it is leaving.
fn record_departure(node: &Node, upstream: &UpstreamId, lifetime: Lifetime, head: &AnswerHead) {
    if !head.is_leaving || head.verdict == Verdict::Misdirected {
        return;
    }
    let now = node.now();
    let departures = &mut node.state.borrow_mut().departures;
    if departures.record_answer(lifetime, now) {
        node.metrics.count("departures", "announced");
        tracing::info!(%upstream, "upstream announced that it is leaving");
    }
}

/// Backs off from an upstream that did not run the call, and reuses its connection if possible.
fn handle_rejection(
    node: &Rc<Node>,
    call: &OutgoingRequest,
    upstream: &Upstream,
    head: &AnswerHead,
    response: Response<Incoming>,
    pooled: PooledConnection,
    now: Instant,
) -> SendError {
    let status = response.status();
    tracing::info!(
        call = %call.id, upstream = %upstream.id, status = status.as_u16(),
        at_fault = head.at_fault.as_ref().map(UpstreamId::as_str), "upstream did not run the call"
    );
    let is_misdirected = head.verdict == Verdict::Misdirected;
    let avoidance = if is_misdirected || head.at_fault.is_some() {
        record_suspect(node, upstream);
        FAULT_AVOIDANCE
    } else {
        FULL_AVOIDANCE
    };
    node.state
        .borrow_mut()
        .loads
        .back_off_until(&upstream.id, now + avoidance);
    let node = node.clone();
    let (id, keep_alive) = (upstream.id.clone(), head.keep_alive);
    tokio::task::spawn_local(async move {
        // Reuses the connection if the rest of the response is short and arrives soon.
        let budget = ByteBudget::new(MAX_REJECTION_BYTES);
        let mut pooled = pooled;
        let connection = pooled.connection();
        let body =
            connection.read_response_body(response.into_body(), MAX_REJECTION_BYTES, &budget);
        if tokio::time::timeout(FULL_AVOIDANCE, body)
            .await
            .is_ok_and(|read| read.is_ok())
        {
            node.pool.release(&id, pooled, keep_alive, node.now());
        }
    });
    if is_misdirected {
        SendError::Misdirected
    } else {
        SendError::NotRun
    }
}

/// Records that a call could not be sent or got no response.
async fn record_send_failure(
    node: &Rc<Node>,
    call: &OutgoingRequest,
    upstream: &Upstream,
    (choice, began): (&Choice, Instant),
    error: &HttpError,
    failure: &ConnectionFailure,
) {
    let (id, now) = (&upstream.id, node.now());
    node.state.borrow_mut().loads.record_failure(id, now);
    let service = &upstream.service;
    let verdict = node.judge(service, id, failure).await;
    if verdict != LinkVerdict::Unclear {
        record_suspect(node, upstream);
    }
    if error.is_disconnect() {
        let disconnect = Disconnect::new(id, choice.lifetime, began, verdict);
        node.record_disconnect(&disconnect, call);
    } else if error.is_refused() {
        let crashes = &mut node.state.borrow_mut().crashes;
        let is_upstreams_fault = verdict == LinkVerdict::Upstream;
        crashes.record_refused_connection(choice.lifetime, is_upstreams_fault, now);
    }
}

type SentRequest = (Response<Incoming>, PooledConnection, LinkWait);
type FailedRequest = (HttpError, ConnectionFailure);

async fn send_on_new_connection(
    node: &Rc<Node>,
    call: &OutgoingRequest,
    upstream: &Upstream,
    resume_from: Option<u64>,
) -> Result<SentRequest, FailedRequest> {
    let timeout = call.deadline.saturating_duration_since(node.now());
    let wait = LinkWait::start(node, upstream);
    match node.pool.open(upstream, timeout).await {
        Ok(pooled) => {
            wait.record_connected();
            send_on_connection(node, call, upstream, pooled, resume_from).await
        }
        Err(error) => {
            let failure = wait.record_unreachable();
            Err((error, failure))
        }
    }
}

async fn send_on_connection(
    node: &Rc<Node>,
    call: &OutgoingRequest,
    upstream: &Upstream,
    mut pooled: PooledConnection,
    resume_from: Option<u64>,
) -> Result<SentRequest, FailedRequest> {
    let now = node.now();
    let time_left = call.deadline.saturating_duration_since(now);
    if time_left.is_zero() {
        return Err((HttpError::NotSent, failure_at(now)));
    }
    let head = SendHead {
        upstream: &upstream.id,
        team: call.team.as_deref(),
        time_left,
        urgency: call.urgency,
        resume_from,
    };
    let mut request = Request::new(Full::new(call.body.clone()));
    *request.method_mut() = call.method.clone();
    *request.uri_mut() = call.uri.clone();
    *request.headers_mut() = node
        .platform
        .call_format
        .upstream_headers(&call.headers, &head);
    let mut wait = LinkWait::start(node, upstream);
    match pooled.connection().send(request).await {
        Ok(response) => {
            wait.record_received();
            Ok((response, pooled, wait))
        }
        Err(error) => {
            let failure = if error.is_disconnect() {
                wait.record_reset()
            } else {
                failure_at(node.now())
            };
            Err((error, failure))
        }
    }
}

/// Returns the failure of an established connection.
fn failure_at(now: Instant) -> ConnectionFailure {
    ConnectionFailure {
        since: now,
        at: now,
        is_unreachable: false,
    }
}

fn find_upstream(node: &Node, id: &UpstreamId) -> Option<Upstream> {
    let state = node.state.borrow();
    state
        .view
        .upstreams
        .get(id)
        .map(|known| known.upstream.clone())
}

/// Reports a stalled or failing engine to the controllers.
pub(super) fn record_suspect(node: &Node, upstream: &Upstream) {
    if upstream.fabric.is_some() {
        let now = node.now();
        node.state
            .borrow_mut()
            .suspects
            .insert(upstream.id.clone(), now);
        node.changed.notify_waiters();
    }
}

impl Node {
    fn read_answer(&self, response: &Response<Incoming>) -> AnswerHead {
        self.platform
            .call_format
            .read_answer(response.status(), response.headers())
    }

    /// Records that an upstream stopped responding while it ran a request.
    pub(super) fn record_stall(self: &Rc<Self>, id: &UpstreamId) {
        let now = self.now();
        self.state.borrow_mut().loads.record_failure(id, now);
        let known = self.state.borrow().view.upstreams.get(id).cloned();
        if let Some(KnownUpstream { upstream, .. }) = known {
            let (node, failure) = (self.clone(), failure_at(now));
            tokio::task::spawn_local(async move {
                let (service, id) = (&upstream.service, &upstream.id);
                if node.judge(service, id, &failure).await != LinkVerdict::Unclear {
                    record_suspect(&node, &upstream);
                }
            });
        }
    }
}
