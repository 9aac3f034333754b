//! One attempt of a call at an upstream, up to its whole response or the first events of a stream.

use std::cell::Cell;
use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

use http::{Response, StatusCode};
use shallottide_types::id::ServiceId;

use super::call::{Call, CallResult};
use super::connection::{BodyLimits, HttpError, read_body};
use super::links::LinkWait;
use super::node::Node;
use super::quarantine::Disconnect;
use super::response_body::ResponseBody;
use super::send::{InFlightGuard, OutgoingRequest, SendError, UpstreamResponse, send};
use super::stream_relay::{self, NextEvents, StreamSource};
use crate::balance::Choice;
use crate::byte_budget::ByteBudget;
use crate::capacity::FirstEventSample;
use crate::catalog::Route;
use crate::event_stream::EventSplitter;

/// Time without a response, or without the first event after its head, after which an upstream counts
/// as silent, as a multiple of the route's target latency.
pub(super) const SILENCE_FACTOR: u32 = 4;
/// Interval at which a stream without a first event checks whether its upstream has stalled.
const STALL_POLL_INTERVAL: Duration = Duration::from_millis(80);
/// Consecutive checks that must find the upstream stalled before it counts as silent.
const STALLED_POLLS: u32 = 3;
/// Largest response body that is not a stream, in bytes.
const MAX_RESPONSE_BYTES: usize = 4 << 20;
/// Longest wait of a response for memory, which callers free as they read; shorter than the seconds after
/// which an upstream cuts off a response that stays unread.
const RESPONSE_MEMORY_WAIT: Duration = Duration::from_secs(1);
/// Length in bytes up to which a response is held even if callers that do not read hold all the memory for
/// responses: 1,000 calls at once hold at most 16 MB beyond the budget.
const SHORT_RESPONSE_BYTES: usize = 16 << 10;

/// Returns the limits on a response that is not a stream.
pub(super) fn response_limits(budget: &Arc<ByteBudget>) -> BodyLimits<'_> {
    BodyLimits {
        max_bytes: MAX_RESPONSE_BYTES,
        budget,
        memory_wait: RESPONSE_MEMORY_WAIT,
        always_held: SHORT_RESPONSE_BYTES,
    }
}

/// Why an attempt gave no response that can be returned to the caller.
pub(super) enum AttemptError {
    /// The upstream gave no response.
    Send(SendError),
    /// The upstream answered with an error, which is returned if no other attempt gives better.
    ErrorAnswer(Response<ResponseBody>),
}

impl From<SendError> for AttemptError {
    fn from(error: SendError) -> Self {
        Self::Send(error)
    }
}

/// An attempt; independent of the others of its call, which may run at the same time.
pub(super) struct Attempt {
    node: Rc<Node>,
    request: Rc<OutgoingRequest>,
    route: Rc<Route>,
    service: ServiceId,
    choice: Choice,
    in_flight: InFlightGuard,
    resume_from: Option<u64>,
    /// When the attempt began, or the head of its response arrived.
    heard_at: Rc<Cell<Instant>>,
}

impl Attempt {
    pub(super) fn new(
        call: &Call,
        choice: Choice,
        in_flight: InFlightGuard,
        resume_from: Option<u64>,
    ) -> Self {
        Self {
            node: call.node.clone(),
            request: call.request.clone(),
            route: call.route.clone(),
            service: call.service.clone(),
            choice,
            in_flight,
            resume_from,
            heard_at: Rc::new(Cell::new(call.node.now())),
        }
    }

    /// Returns a future that completes when the upstream is silent.
    pub(super) fn silence(&self) -> Silence {
        Silence::new(SilenceWatch {
            node: self.node.clone(),
            request: self.request.clone(),
            choice: self.choice.clone(),
            began_at: self.node.now(),
            heard_at: self.heard_at.clone(),
            timeout: self.route.target_latency * SILENCE_FACTOR,
            is_stream: self.route.streaming,
        })
    }

    /// Sends the call and waits for the response.
    pub(super) async fn run(self) -> (Choice, Result<CallResult, AttemptError>) {
        let choice = self.choice.clone();
        (choice, self.wait_for_response().await)
    }

    async fn wait_for_response(self) -> Result<CallResult, AttemptError> {
        let mut unanswered = Unanswered::new(&self);
        let result = self.exchange().await;
        unanswered.is_over = true;
        result
    }

    async fn exchange(self) -> Result<CallResult, AttemptError> {
        let Self {
            node,
            request,
            route,
            service,
            choice,
            in_flight,
            resume_from,
            heard_at,
        } = self;
        let response = send(&node, &request, &choice, in_flight, resume_from).await?;
        if route.streaming && response.inner.status() == StatusCode::OK {
            if !response.head.genuine {
                return Err(reject_unsigned(&node, &request, &response.in_flight).into());
            }
            heard_at.set(node.now());
            return Ok(wait_for_first_events(&node, &request, &service, response).await?);
        }
        read_response(&node, &request, &service, response).await
    }
}

/// Records, when dropped, that an attempt was given up without an answer.
struct Unanswered {
    node: Rc<Node>,
    request: Rc<OutgoingRequest>,
    choice: Choice,
    sent_at: Instant,
    is_over: bool,
}

impl Unanswered {
    fn new(attempt: &Attempt) -> Self {
        Self {
            node: attempt.node.clone(),
            request: attempt.request.clone(),
            choice: attempt.choice.clone(),
            sent_at: attempt.node.now(),
            is_over: false,
        }
    }
}

impl Drop for Unanswered {
    fn drop(&mut self) {
        if !self.is_over {
            let Choice {
                upstream, lifetime, ..
            } = &self.choice;
            let (node, request) = (&self.node, &self.request);
            node.record_unanswered(upstream, *lifetime, self.sent_at, request);
        }
    }
}

async fn wait_for_first_events(
    node: &Rc<Node>,
    request: &OutgoingRequest,
    service: &ServiceId,
    mut response: UpstreamResponse,
) -> Result<CallResult, SendError> {
    let mut splitter = EventSplitter::default();
    let upstream = response.in_flight.upstream.clone();
    match stream_relay::next_events(&mut response, &mut splitter).await {
        NextEvents::Events(first) => {
            let now = node.now();
            let took = now.saturating_duration_since(response.sent_at);
            response.first_event_at = Some(now);
            let mut state = node.state.borrow_mut();
            state.loads.record_success(&upstream, took);
            drop(state);
            record_first_event(node, request, service, &response, took);
            node.metrics.record_duration("first_event", took);
            response.in_flight.record_stream_start();
            let source = StreamSource::Upstream(Box::new(response));
            Ok(CallResult::Stream(source, splitter, first))
        }
        ended => {
            if matches!(ended, NextEvents::Invalid) {
                stream_relay::record_unreadable(node, request, &upstream);
            } else {
                node.record_stall(&upstream);
            }
            if matches!(ended, NextEvents::Disconnected) || response.ends_with_connection {
                let lifetime = response.in_flight.lifetime;
                let verdict = response.wait.end_by_reset().await;
                let sent_at = response.sent_at;
                let disconnect = Disconnect::new(&upstream, lifetime, sent_at, verdict);
                node.record_disconnect(&disconnect, request);
            }
            Err(SendError::OutcomeUnknown(
                "the stream ended before its first event",
            ))
        }
    }
}

/// Learns an engine's capacity from a stream's time to its first event.
fn record_first_event(
    node: &Node,
    request: &OutgoingRequest,
    service: &ServiceId,
    response: &UpstreamResponse,
    took: Duration,
) {
    let (Some(model), Some(load)) = (&request.model, response.head.load) else {
        return;
    };
    let InFlightGuard {
        upstream, lifetime, ..
    } = &response.in_flight;
    let state = &mut *node.state.borrow_mut();
    if !state.has_shared_samples() {
        return;
    }
    let Some(known) = state.view.upstreams.get(upstream) else {
        return;
    };
    let sample = FirstEventSample {
        load: f64::from(load.running + load.waiting),
        slots: known.upstream.slots,
        prompt_tokens: request.prompt_tokens,
        took,
        is_other_domain: known.upstream.domain != node.options.domain,
    };
    let kind = (service.clone(), model.clone());
    let ratio = state.capacity.record(&kind, *lifetime, &sample, node.now());
    if let Some(ratio) = ratio {
        state
            .board
            .record_slowness(*lifetime, ratio, &node.options.node);
    }
}

/// Reads a response that is not a stream.
async fn read_response(
    node: &Rc<Node>,
    request: &OutgoingRequest,
    service: &ServiceId,
    response: UpstreamResponse,
) -> Result<CallResult, AttemptError> {
    let UpstreamResponse {
        inner,
        head,
        mut pooled,
        in_flight,
        wait,
        sent_at,
        ends_with_connection,
        ..
    } = response;
    let (parts, mut body) = inner.into_parts();
    let connection = pooled.connection();
    let limits = response_limits(&node.response_budget);
    let reading = read_body(&mut body, &limits, || {
        connection.record_progress();
        wait.record_received();
    });
    let body = match reading.await {
        Ok(body) => body,
        Err(error) => {
            record_truncated(node, request, &in_flight, wait, sent_at, &error).await;
            return Err(SendError::OutcomeUnknown("the answer was cut").into());
        }
    };
    let now = node.now();
    let upstream = &in_flight.upstream;
    node.pool.release(upstream, pooled, head.keep_alive, now);
    if parts.status.is_success() && head.genuine {
        let took = now.saturating_duration_since(sent_at);
        let mut state = node.state.borrow_mut();
        state.loads.record_success(upstream, took);
        // Without a length, an answer that was cut off looks complete.
        if !ends_with_connection {
            let ended = request.ended(service, in_flight.lifetime);
            state.crashes.record_completion(ended, sent_at, now);
        }
    } else {
        if parts.status.is_success() {
            return Err(reject_unsigned(node, request, &in_flight).into());
        }
        node.state.borrow_mut().loads.record_error_answer(upstream);
    }
    drop(in_flight);
    let mut response = Response::new(ResponseBody::Complete(Some(body)));
    *response.status_mut() = parts.status;
    *response.headers_mut() = node.platform.call_format.caller_headers(&parts.headers);
    if parts.status.is_server_error() {
        return Err(AttemptError::ErrorAnswer(response));
    }
    Ok(CallResult::Complete(response))
}

/// Records a success without the upstream's signature, which no caller gets.
fn reject_unsigned(node: &Node, request: &OutgoingRequest, in_flight: &InFlightGuard) -> SendError {
    let upstream = &in_flight.upstream;
    let loads = &mut node.state.borrow_mut().loads;
    loads.record_error_answer(upstream);
    tracing::warn!(call = %request.id, %upstream, "response without the upstream's signature");
    SendError::OutcomeUnknown("the answer was not the upstream's")
}

async fn record_truncated(
    node: &Rc<Node>,
    request: &OutgoingRequest,
    in_flight: &InFlightGuard,
    wait: LinkWait,
    sent_at: Instant,
    error: &HttpError,
) {
    let upstream = &in_flight.upstream;
    if matches!(error, HttpError::OutOfBudget) {
        node.record_out_of_memory("response", &request.id, &node.response_budget, None);
    }
    tracing::info!(call = %request.id, %upstream, %error, "response truncated");
    if error.is_disconnect() {
        let verdict = wait.end_by_reset().await;
        let disconnect = Disconnect::new(upstream, in_flight.lifetime, sent_at, verdict);
        node.record_disconnect(&disconnect, request);
    }
    let mut state = node.state.borrow_mut();
    match error {
        HttpError::TooLarge => state.loads.record_failure(upstream, node.now()),
        HttpError::OutOfBudget => {}
        _ => state.loads.record_error_answer(upstream),
    }
}

struct SilenceWatch {
    node: Rc<Node>,
    request: Rc<OutgoingRequest>,
    choice: Choice,
    began_at: Instant,
    heard_at: Rc<Cell<Instant>>,
    timeout: Duration,
    is_stream: bool,
}

impl SilenceWatch {
    /// Waits until the timeout has passed since the upstream was heard, or its other streams stall.
    async fn wait(&self, since: Instant) {
        let mut stalled_polls = 0;
        loop {
            let now = self.node.now();
            let silent_at = self.heard_at.get().max(since) + self.timeout;
            if now >= silent_at {
                break;
            }
            if !self.is_stream {
                tokio::time::sleep(silent_at - now).await;
                continue;
            }
            tokio::time::sleep(STALL_POLL_INTERVAL.min(silent_at - now)).await;
            let state = self.node.state.borrow();
            let is_stalled = state
                .loads
                .is_stalled(&self.choice.upstream, self.node.now());
            stalled_polls = if is_stalled { stalled_polls + 1 } else { 0 };
            if stalled_polls >= STALLED_POLLS {
                break;
            }
        }
    }

    fn record(&self) {
        let Choice {
            upstream, lifetime, ..
        } = &self.choice;
        tracing::info!(call = %self.request.id, %upstream, "upstream is silent");
        self.node.record_stall(upstream);
        // It may have ended without closing its connections.
        self.node
            .record_unanswered(upstream, *lifetime, self.began_at, &self.request);
    }
}

/// Completes when the upstream of an attempt has been silent for too long; pending once it has.
pub(super) struct Silence {
    watch: Option<Rc<SilenceWatch>>,
    is_recorded: bool,
    wait: Pin<Box<dyn Future<Output = ()>>>,
}

impl Silence {
    fn new(watch: SilenceWatch) -> Self {
        let watch = Rc::new(watch);
        let since = watch.heard_at.get();
        let wait = Self::wait(&watch, since);
        Self {
            watch: Some(watch),
            is_recorded: false,
            wait,
        }
    }

    /// Returns a future that never completes.
    pub(super) fn never() -> Self {
        Self {
            watch: None,
            is_recorded: false,
            wait: Box::pin(std::future::pending()),
        }
    }

    /// Records that the upstream is silent, once.
    pub(super) fn record(&mut self) {
        if let Some(watch) = self.watch.as_ref().filter(|_| !self.is_recorded) {
            watch.record();
            self.is_recorded = true;
        }
    }

    /// Completes at once, as an attempt beside a silent one has failed.
    pub(super) fn expire(&mut self) {
        self.is_recorded = true;
        self.wait = Box::pin(std::future::ready(()));
    }

    /// Waits once more.
    pub(super) fn restart(&mut self) {
        self.wait = match &self.watch {
            Some(watch) => Self::wait(watch, watch.node.now()),
            None => Box::pin(std::future::pending()),
        };
    }

    fn wait(watch: &Rc<SilenceWatch>, since: Instant) -> Pin<Box<dyn Future<Output = ()>>> {
        let watch = watch.clone();
        Box::pin(async move { watch.wait(since).await })
    }
}

impl Future for Silence {
    type Output = ();

    fn poll(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<()> {
        self.wait.as_mut().poll(cx)
    }
}
