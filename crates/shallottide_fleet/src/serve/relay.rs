//! Relays calls to peers while this node has lost its links to upstreams.

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::{BufMut, Bytes};
use compact_str::{CompactString, format_compact};
use http::header::CONTENT_LENGTH;
use http::{HeaderMap, HeaderName, HeaderValue, Method, Request, Response, StatusCode, Uri};
use http_body_util::Full;
use hyper::body::Incoming;
use serde::{Deserialize, Serialize};
use shallottide_types::id::{ModelId, NodeId, ServiceId};
use shallottide_types::refusal::{Ran, Refusal, RefusalKind};

use super::attempt::{SILENCE_FACTOR, response_limits};
use super::call::{Call, CallResult};
use super::connection::{HttpError, read_body};
use super::node::Node;
use super::peers::encode;
use super::response_body::ResponseBody;
use super::stream_relay::{NextEvents, StreamSource, next_events};
use crate::byte_budget::{ByteBudget, attach};
use crate::catalog::Route;
use crate::event_stream::EventSplitter;
use crate::prompt_part::PromptPart;
use crate::relay_targets::RelayNeed;
use crate::upstream_links::LinkState;

/// Path of relayed calls at a peer.
pub(super) const RELAY_PATH: &str = "/relay";
/// Version of the format of relayed calls; calls of other versions are not taken.
const RELAY_VERSION: u8 = 1;
/// Peers that are tried for one call.
const MAX_PEERS: usize = 3;
/// Time that a relayed call and its response spend between the nodes.
const HOP_TIME: Duration = Duration::from_millis(10);
/// Header of a peer's response that states what it did with the call.
pub(super) const OUTCOME: HeaderName = HeaderName::from_static("relay-outcome");
/// Header with the id of the relayed call, on the request and on the peer's response to it.
pub(super) const CALL: HeaderName = HeaderName::from_static("relay-call");
/// Header with the attempts that were made for the call, by both nodes.
pub(super) const ATTEMPTS: HeaderName = HeaderName::from_static("relay-attempts");

/// What a peer did with a relayed call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum RelayOutcome {
    /// The response is an upstream's.
    Answered,
    /// The response is a refusal for the caller.
    Refused,
    /// The peer has lost its links to the service's upstreams as well; the call did not run.
    CutOff,
    /// The peer takes no relayed calls now; the call did not run.
    Busy,
}

impl RelayOutcome {
    pub(super) fn as_str(self) -> &'static str {
        match self {
            Self::Answered => "answered",
            Self::Refused => "refused",
            Self::CutOff => "cut-off",
            Self::Busy => "busy",
        }
    }

    fn parse(text: &str) -> Option<Self> {
        [Self::Answered, Self::Refused, Self::CutOff, Self::Busy]
            .into_iter()
            .find(|outcome| outcome.as_str() == text)
    }
}

/// A relayed call without its body.
#[derive(Debug, Serialize, Deserialize)]
pub(super) struct RelayHead {
    /// The node whose caller sent the call.
    pub(super) from: NodeId,
    pub(super) id: CompactString,
    method: CompactString,
    uri: CompactString,
    /// Headers as the caller sent them.
    headers: Vec<(CompactString, Vec<u8>)>,
    pub(super) team: Option<CompactString>,
    pub(super) service: ServiceId,
    pub(super) model: Option<ModelId>,
    pub(super) route: Route,
    pub(super) shared_parts: Vec<PromptPart>,
    pub(super) priority: u8,
    pub(super) queue_key: CompactString,
    /// Remaining time that the caller waits.
    pub(super) time_left: Duration,
    /// Attempts that an upstream may have run.
    pub(super) attempts: u32,
    /// Whether an upstream may have run the call.
    pub(super) may_have_run: bool,
    /// The last event that the caller has.
    pub(super) resume_from: Option<u64>,
}

impl RelayHead {
    /// Encodes the version, the length of the head, the head and the call's body; `None` if the budget
    /// has no memory for this copy of the body.
    fn encode(&self, body: &Bytes, budget: &Arc<ByteBudget>) -> Option<Bytes> {
        let head = encode(self);
        let length = 5 + head.len() + body.len();
        let mut reservation = budget.reserve();
        if !reservation.grow(length) {
            return None;
        }
        let mut bytes = Vec::with_capacity(length);
        bytes.put_u8(RELAY_VERSION);
        bytes.put_u32(u32::try_from(head.len()).unwrap_or(u32::MAX));
        bytes.put_slice(&head);
        bytes.put_slice(body);
        Some(attach(bytes, reservation))
    }

    /// Decodes a call and its body; `None` if this version can't read it.
    pub(super) fn decode(mut bytes: Bytes) -> Option<(Self, Bytes)> {
        if bytes.len() < 5 || bytes[0] != RELAY_VERSION {
            return None;
        }
        let length = bytes[1..5].try_into().map(u32::from_be_bytes).ok()?;
        let end = usize::try_from(length).ok()?.checked_add(5)?;
        if bytes.len() < end {
            return None;
        }
        let body = bytes.split_off(end);
        let config = bincode::config::standard();
        let (head, _) = bincode::serde::decode_from_slice(&bytes[5..], config).ok()?;
        Some((head, body))
    }

    /// Returns the method, URI and headers of the caller's request; `None` if one is not valid.
    pub(super) fn request(&self) -> Option<(Method, Uri, HeaderMap)> {
        let mut headers = HeaderMap::new();
        for (name, value) in &self.headers {
            let name = HeaderName::try_from(name.as_str()).ok()?;
            headers.append(name, HeaderValue::from_bytes(value).ok()?);
        }
        let method = Method::from_bytes(self.method.as_bytes()).ok()?;
        Some((method, self.uri.parse().ok()?, headers))
    }
}

/// Counts a call as relayed to a peer until dropped.
struct RelayGuard {
    node: Rc<Node>,
    service: ServiceId,
    peer: NodeId,
}

impl Drop for RelayGuard {
    fn drop(&mut self) {
        let mut state = self.node.state.borrow_mut();
        state.relay_targets.of(&self.service).ended(&self.peer);
    }
}

/// A peer's response to a relayed call, whose head has arrived.
pub(super) struct PeerResponse {
    pub(super) inner: Response<Incoming>,
    guard: RelayGuard,
    outcome: RelayOutcome,
    /// Attempts that were made for the call, by both nodes.
    attempts: Option<u32>,
}

impl PeerResponse {
    pub(super) fn peer(&self) -> &NodeId {
        &self.guard.peer
    }
}

/// Why a peer gave no response that can be returned to the caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
enum RelayError {
    #[error("the peer could not be reached")]
    NotSent,
    #[error("the peer is cut off from upstreams as well")]
    CutOff,
    #[error("the peer takes no relayed calls now")]
    Busy,
    #[error("this node has no memory left to relay the call")]
    OutOfMemory,
    #[error("the connection to the peer ended")]
    OutcomeUnknown,
}

/// Result of relaying a call.
pub(super) enum Relayed {
    /// A peer answered the call, or refused it for good.
    Taken(Box<PeerResponse>),
    /// No peer took the call, and it has not run.
    NoPeer,
    /// A peer may have run the call, and it may not be sent again.
    Lost,
}

impl Call {
    /// Returns whether the call must be sent over other links than this node's, as long as a peer
    /// takes it.
    pub(super) fn is_to_be_relayed(&self) -> bool {
        if self.relayed_from.is_some() {
            return false;
        }
        let now = self.node.now();
        let links = &self.node.state.borrow().links;
        let has_failed = self.attempts > 0 || self.unsent_attempts > 0;
        !links.allows_own(&self.service, now, self.link_draw)
            || (has_failed && links.state(&self.service, now) != LinkState::Up)
    }

    /// Relays the call to one peer after another until one takes it.
    pub(super) async fn relay(&mut self, resume_from: Option<u64>) -> Relayed {
        // A peer claims a trial of its own.
        self.return_trial();
        while self.tried_peers.len() < MAX_PEERS {
            let Some((peer, address)) = self.choose_peer() else {
                return Relayed::NoPeer;
            };
            // Until the peer states otherwise, the call may have run.
            self.attempts += 1;
            let result = self.relay_to(&peer, address, resume_from).await;
            let now = self.node.now();
            let error = match result {
                Ok(response) => {
                    let targets = &mut self.node.state.borrow_mut().relay_targets;
                    targets.of(&self.service).record_success(&peer, now);
                    self.attempts = response.attempts.unwrap_or(self.attempts);
                    return Relayed::Taken(Box::new(response));
                }
                Err(error) => error,
            };
            self.node.metrics.count("relayed", "not_taken");
            tracing::info!(call = %self.request.id, %peer, why = %error, "relayed call refused by peer");
            self.record_relay_error(&peer, error, now);
            if error != RelayError::OutcomeUnknown {
                self.attempts -= 1;
            }
            if error == RelayError::OutOfMemory {
                return Relayed::NoPeer;
            }
            self.tried_peers.push(peer);
            if error != RelayError::OutcomeUnknown {
                continue;
            }
            self.may_have_run = true;
            if !self.may_repeat() || !self.take_retry() {
                return Relayed::Lost;
            }
        }
        Relayed::NoPeer
    }

    fn choose_peer(&self) -> Option<(NodeId, SocketAddr)> {
        let node = &self.node;
        let own = &node.options.domain;
        let regions = &node.options.domains;
        // The caller's own region has the body already.
        let own_region = regions.get(own);
        let domains = self.domains.clone().map(|mut allowed| {
            let near = regions.iter().filter(|(_, r)| Some(*r) == own_region);
            allowed.extend(near.map(|(domain, _)| domain.clone()));
            allowed
        });
        let need = RelayNeed {
            own: (&node.options.node, own),
            domains: domains.as_ref(),
            tried: &self.tried_peers,
        };
        let state = &mut *node.state.borrow_mut();
        let targets = state.relay_targets.of(&self.service);
        targets.choose(&need, &state.view, node.now(), rand::random())
    }

    fn record_relay_error(&self, peer: &NodeId, error: RelayError, now: Instant) {
        let state = &mut *self.node.state.borrow_mut();
        let targets = state.relay_targets.of(&self.service);
        match error {
            RelayError::NotSent | RelayError::OutcomeUnknown => {
                targets.record_unreachable(peer, now);
            }
            RelayError::CutOff => {
                if let Some(entry) = state.view.nodes.get(peer) {
                    targets.record_cut_off(peer, &entry.domain, now);
                }
            }
            RelayError::Busy => targets.record_busy(peer, now),
            RelayError::OutOfMemory => {}
        }
    }

    async fn relay_to(
        &self,
        peer: &NodeId,
        address: SocketAddr,
        resume_from: Option<u64>,
    ) -> Result<PeerResponse, RelayError> {
        let node = &self.node;
        let guard = RelayGuard {
            node: node.clone(),
            service: self.service.clone(),
            peer: peer.clone(),
        };
        {
            let targets = &mut node.state.borrow_mut().relay_targets;
            targets.of(&self.service).started(peer);
        }
        let head = self.relay_head(resume_from);
        let Some(body) = head.encode(&self.request.body, &node.body_budget) else {
            let needed = self.request.body.len();
            node.record_out_of_memory("relay", &self.request.id, &node.body_budget, Some(needed));
            return Err(RelayError::OutOfMemory);
        };
        node.metrics.count("relayed", "sent");
        tracing::info!(call = %self.request.id, %peer, "call relayed");
        let sender = node.relay_connections.get(address, || node.now()).await;
        let mut sender = sender.ok_or(RelayError::NotSent)?;
        if sender.ready().await.is_err() {
            return Err(RelayError::NotSent);
        }
        let uri = format_compact!("http://{address}{RELAY_PATH}");
        let request = Request::post(uri.as_str())
            .header(CALL, self.request.id.as_str())
            .body(Full::new(body));
        let request = request.map_err(|_| RelayError::NotSent)?;
        let sent = sender.try_send_request(request).await;
        let mut inner = sent.map_err(|mut error| {
            if error.take_message().is_some() {
                RelayError::NotSent
            } else {
                RelayError::OutcomeUnknown
            }
        })?;
        let mut take = |name: HeaderName| {
            let value = inner.headers_mut().remove(name)?;
            value.to_str().ok().map(CompactString::from)
        };
        let (answered, outcome) = (take(CALL), take(OUTCOME));
        let attempts = take(ATTEMPTS).and_then(|attempts| attempts.parse().ok());
        if answered.as_ref() != Some(&self.request.id) {
            tracing::warn!(call = %self.request.id, %peer, answered = answered.as_deref(), "dropped peer's response to another call");
            return Err(RelayError::OutcomeUnknown);
        }
        match outcome.as_deref().and_then(RelayOutcome::parse) {
            Some(outcome @ (RelayOutcome::Answered | RelayOutcome::Refused)) => Ok(PeerResponse {
                inner,
                guard,
                outcome,
                attempts,
            }),
            Some(RelayOutcome::CutOff) => Err(RelayError::CutOff),
            Some(RelayOutcome::Busy) => Err(RelayError::Busy),
            None => Err(RelayError::OutcomeUnknown),
        }
    }

    fn relay_head(&self, resume_from: Option<u64>) -> RelayHead {
        let request = &self.request;
        let time_left = request.deadline.saturating_duration_since(self.node.now());
        let headers = request.headers.iter();
        let headers = headers.map(|(name, value)| (name.as_str().into(), value.as_bytes().into()));
        RelayHead {
            from: self.node.options.node.clone(),
            id: request.id.clone(),
            method: request.method.as_str().into(),
            uri: format_compact!("{}", request.uri),
            headers: headers.collect(),
            team: request.team.clone(),
            service: self.service.clone(),
            model: self.model.clone(),
            route: Route::clone(&self.route),
            shared_parts: request.shared_parts.clone(),
            priority: self.priority,
            queue_key: self.queue_key.clone(),
            time_left: time_left.saturating_sub(HOP_TIME),
            // Without the attempt that stands for the peer's.
            attempts: self.attempts.saturating_sub(1),
            may_have_run: self.may_have_run,
            resume_from,
        }
    }

    /// Reads a peer's response as far as an upstream's response is read before it goes to the caller.
    ///
    /// # Errors
    /// The refusal if the response ended early and the call may not be sent again, else `None`.
    pub(super) async fn read_peer_response(
        &mut self,
        response: Box<PeerResponse>,
    ) -> Result<CallResult, Option<Refusal>> {
        let peer = response.peer().clone();
        let is_refused = response.outcome == RelayOutcome::Refused;
        if self.route.streaming && response.inner.status() == StatusCode::OK {
            let mut source = StreamSource::Peer(response);
            let mut splitter = EventSplitter::default();
            let timeout = self.route.target_latency * SILENCE_FACTOR;
            let first = next_events(&mut source, &mut splitter);
            let first = if self.may_repeat() {
                let first = tokio::time::timeout(timeout, first).await;
                first.unwrap_or(NextEvents::TimedOut)
            } else {
                first.await
            };
            if let NextEvents::Events(first) = first {
                return Ok(CallResult::Stream(source, splitter, first));
            }
        } else {
            let PeerResponse { inner, guard, .. } = *response;
            let (mut parts, mut body) = inner.into_parts();
            parts.headers.remove(CONTENT_LENGTH);
            let limits = response_limits(&self.node.response_budget);
            let read = read_body(&mut body, &limits, || {}).await;
            drop(guard);
            if matches!(read, Err(HttpError::OutOfBudget)) {
                let (id, budget) = (&self.request.id, &self.node.response_budget);
                self.node.record_out_of_memory("response", id, budget, None);
            }
            if let Ok(body) = read {
                let mut response = Response::new(ResponseBody::Complete(Some(body)));
                *response.status_mut() = parts.status;
                *response.headers_mut() = parts.headers;
                if is_refused && let Some(fallback) = self.fallback_response.take() {
                    return Ok(CallResult::Complete(fallback));
                }
                return Ok(CallResult::Complete(response));
            }
        }
        tracing::info!(call = %self.request.id, %peer, "peer's response ended early");
        self.tried_peers.push(peer);
        self.may_have_run = true;
        if self.may_repeat() && self.take_retry() {
            return Err(None);
        }
        Err(Some(refuse_lost("the answer was cut")))
    }

    /// Returns the refusal of a call that no peer took while this node's links are lost.
    pub(super) fn refuse_cut_off(&self) -> Refusal {
        if self.may_have_run {
            return refuse_lost("this node has lost its links");
        }
        let message = "this node has lost its links to upstreams, and no other node takes the call: retry, another node may answer";
        let refusal = Refusal::new(RefusalKind::NoUpstream, Ran::No, message);
        refusal.retry_after(self.retry_after())
    }
}

/// Returns the refusal of a call that a peer may have run.
pub(super) fn refuse_lost(why: &str) -> Refusal {
    let message = format!("the upstream did not answer: {why}");
    Refusal::new(RefusalKind::UpstreamFailed, Ran::Unknown, message)
}
