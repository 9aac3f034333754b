//! Handles one caller's request, from its arrival to its response.

use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::{Duration, Instant};

use compact_str::{CompactString, format_compact};
use http::{Request, Response, StatusCode, request};
use hyper::body::Incoming;
use shallottide_types::id::{DomainId, ModelId, ServiceId, UpstreamId};
use shallottide_types::refusal::{Ran, Refusal, RefusalKind};

use super::call_log::CallLog;
use super::connection::{HttpError, read_body};
use super::node::Node;
use super::quarantine::Trial;
use super::response_body::ResponseBody;
use super::send::{InFlightGuard, OutgoingRequest, SendError, UpstreamResponse, send};
use super::stop::Phase;
use super::stream_relay::{self, StreamRelay};
use crate::adapter::CallHead;
use crate::balance::{Choice, NoPlace};
use crate::catalog::{Catalog, Repeat, Route};
use crate::event_stream::{EventSplitter, WholeEvents};
use crate::request_digest::RequestDigest;
use crate::routes::{RouteError, choose_service};

/// Deadline of a request that does not state one.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(30);
/// Timeout for the first event, as a multiple of the route's target latency; after it the stream is
/// started at another upstream.
const FIRST_EVENT_TIMEOUT_FACTOR: u32 = 4;
/// Interval at which a stream without a first event checks whether its upstream has stalled.
const STALL_POLL_INTERVAL: Duration = Duration::from_millis(80);
/// Consecutive checks that must find the upstream stalled before the stream moves to another one.
const STALLED_POLLS: u32 = 3;
/// Number of attempts that did not reach their upstream after which the call is refused.
const MAX_UNSENT_ATTEMPTS: u32 = 4;
/// Shortest and longest `retry-after` of a refusal.
const RETRY_AFTER_RANGE: (Duration, Duration) =
    (Duration::from_millis(150), Duration::from_millis(1_200));
/// Largest response body that is not a stream, in bytes.
const MAX_RESPONSE_BYTES: usize = 4 << 20;

/// A caller's request with its route, and the state of its attempts.
pub(super) struct Call {
    pub(super) node: Rc<Node>,
    pub(super) route: Route,
    pub(super) service: ServiceId,
    pub(super) model: Option<ModelId>,
    pub(super) request: OutgoingRequest,
    pub(super) tried: Vec<UpstreamId>,
    /// Attempts that an upstream may have run.
    pub(super) attempts: u32,
    /// Attempts that did not reach the upstream: not sent, or misdirected.
    unsent_attempts: u32,
    /// An upstream's own error response, returned to the caller if no retry gives a better one.
    fallback_response: Option<Response<ResponseBody>>,
    /// Whether an upstream may have run the call.
    pub(super) may_have_run: bool,
    pub(super) priority: u8,
    /// Wait queue of the call: its service and model.
    pub(super) queue_key: CompactString,
    /// Failure domains that may serve the call; `None` allows all.
    pub(super) domains: Option<BTreeSet<DomainId>>,
    /// The trial that this call is, if a part of its prompt is quarantined.
    pub(super) trial: Option<Trial>,
    pub(super) log: CallLog,
}

/// Handles one request and returns its response.
pub(super) async fn handle(node: &Rc<Node>, request: Request<Incoming>) -> Response<ResponseBody> {
    let (parts, body) = request.into_parts();
    let arrived_at = node.now();
    let head = match node.platform.call_format.read(&parts) {
        Ok(head) => head,
        Err(message) => {
            let refusal = Refusal::new(RefusalKind::BadRequest, Ran::No, message.as_str());
            return refuse(node, "", &refusal, None);
        }
    };
    let mut log = CallLog::start(node, head.id.clone());
    if *node.phase.borrow() == Phase::Closing {
        let message = "this node is stopping: retry, another node will answer";
        let refusal = Refusal::new(RefusalKind::Stopping, Ran::No, message);
        let refusal = refusal.retry_after(RETRY_AFTER_RANGE.0);
        return refuse(node, &head.id, &refusal, Some(&mut log));
    }
    node.state.borrow_mut().had_traffic = true;
    let (call, max_body_bytes) = match resolve(node, &parts, &head, arrived_at) {
        Ok(resolved) => resolved,
        Err(refusal) => return refuse(node, &head.id, &refusal, Some(&mut log)),
    };
    let mut body = body;
    let read = read_body(&mut body, max_body_bytes, &node.body_budget, || {});
    let time_left = call.deadline.saturating_duration_since(node.now());
    let body = match tokio::time::timeout(time_left, read).await {
        Ok(Ok(body)) => body,
        Ok(Err(error)) => {
            let refusal = refuse_unread_body(&error);
            return refuse(node, &head.id, &refusal, Some(&mut log));
        }
        Err(_) => {
            let message = "the body did not arrive in time";
            let refusal = Refusal::new(RefusalKind::DeadlineExceeded, Ran::No, message);
            return refuse(node, &head.id, &refusal, Some(&mut log));
        }
    };
    log.route = call.route.name.clone();
    let digest = RequestDigest::new(&parts.method, &parts.uri, call.team.as_deref(), &body);
    let call = Call {
        node: node.clone(),
        service: call.service,
        model: head.model.clone(),
        request: OutgoingRequest {
            id: head.id.clone(),
            method: parts.method,
            uri: parts.uri,
            headers: parts.headers,
            body,
            team: call.team,
            urgency: call.priority.min(9),
            deadline: call.deadline,
            shared_parts: head.shared_parts,
            digest,
        },
        route: call.route,
        tried: Vec::new(),
        attempts: 0,
        unsent_attempts: 0,
        fallback_response: None,
        may_have_run: false,
        priority: call.priority,
        queue_key: call.queue_key,
        domains: call.domains,
        trial: None,
        log,
    };
    call.run(head.resume_from).await
}

/// Returns the refusal of a request whose body could not be read.
fn refuse_unread_body(error: &HttpError) -> Refusal {
    match error {
        HttpError::OutOfBudget => {
            let message = "this node has no memory left for request bodies";
            let refusal = Refusal::new(RefusalKind::Overloaded, Ran::No, message);
            refusal.retry_after(RETRY_AFTER_RANGE.0)
        }
        HttpError::TooLarge => Refusal::new(
            RefusalKind::TooLarge,
            Ran::No,
            "the body is too large or was cut",
        ),
        _ => Refusal::new(
            RefusalKind::BadRequest,
            Ran::No,
            "the body is too large or was cut",
        ),
    }
}

struct ResolvedCall {
    route: Route,
    service: ServiceId,
    team: Option<CompactString>,
    priority: u8,
    queue_key: CompactString,
    domains: Option<BTreeSet<DomainId>>,
    deadline: Instant,
}

/// Finds the route, team and deadline of a request, and the size limit of its body in bytes.
fn resolve(
    node: &Node,
    parts: &request::Parts,
    head: &CallHead,
    arrived_at: Instant,
) -> Result<(ResolvedCall, usize), Refusal> {
    let state = &mut *node.state.borrow_mut();
    let Some(catalog) = &state.view.catalog else {
        let message = "this node has no configuration yet: retry, another node will answer";
        let refusal = Refusal::new(RefusalKind::PlatformDown, Ran::No, message);
        return Err(refusal.retry_after(RETRY_AFTER_RANGE.0));
    };
    let route = state
        .routes
        .find(catalog, &head.host, parts.uri.path(), head.key.as_deref());
    let (route, team) = route.map_err(|error| {
        let kind = match error {
            RouteError::NoRoute => RefusalKind::NotFound,
            RouteError::UnknownKey => RefusalKind::Unauthorized,
        };
        Refusal::new(kind, Ran::No, error.to_string())
    })?;
    let service = choose_service(route, rand::random()).clone();
    let timeout = head.time_left.unwrap_or(DEFAULT_TIMEOUT).min(route.timeout);
    let model = head.model.as_ref().map_or("", |model| model.as_str());
    let resolved = ResolvedCall {
        queue_key: format_compact!("{service}/{model}"),
        domains: allowed_domains(node, route),
        route: route.clone(),
        team: team.map(|team| team.id.as_str().into()),
        priority: team
            .and_then(|team| team.priority)
            .unwrap_or(route.priority),
        deadline: arrived_at + timeout,
        service,
    };
    let max_body_bytes = catalog.limits.body_bytes;
    record_demand(
        &mut state.demand,
        catalog,
        &resolved.service,
        head,
        arrived_at,
    );
    let budget = state
        .retry_budgets
        .entry(resolved.service.clone())
        .or_default();
    budget.first(arrived_at, &node.options.repeats);
    Ok((resolved, max_body_bytes))
}

/// Returns the failure domains in a route's regions, or `None` if the route allows all regions.
fn allowed_domains(node: &Node, route: &Route) -> Option<BTreeSet<DomainId>> {
    let domains = node.options.domains.iter();
    let allowed = domains.filter(|(_, region)| route.regions.contains(region));
    let allowed = allowed.map(|(domain, _)| domain.clone()).collect();
    (!route.regions.is_empty()).then_some(allowed)
}

fn record_demand(
    demand: &mut crate::groups::Demand,
    catalog: &Catalog,
    service: &ServiceId,
    head: &CallHead,
    now: Instant,
) {
    let Some(model) = &head.model else {
        return;
    };
    let engine_and_model = catalog
        .engine(service)
        .and_then(|e| Some((e, e.model(model)?)));
    if let Some((engine, facts)) = engine_and_model {
        let work = engine.busy_time(facts, head.prompt_tokens, head.output_tokens);
        demand.record_request(model, work, now);
    }
}

impl Call {
    async fn run(mut self, resume_from: Option<u64>) -> Response<ResponseBody> {
        let deadline = tokio::time::Instant::from_std(self.request.deadline);
        let Ok(response) =
            tokio::time::timeout_at(deadline, self.send_until_answered(resume_from)).await
        else {
            let ran = if self.attempts > 0 {
                Ran::Unknown
            } else {
                Ran::No
            };
            let message = "no answer within the time of the call or its route";
            let refusal = Refusal::new(RefusalKind::DeadlineExceeded, ran, message);
            return self.refuse(&refusal);
        };
        match response {
            CallResult::Refused(refusal) if !self.may_have_run => {
                self.return_trial();
                self.refuse(&refusal)
            }
            CallResult::Refused(refusal) => match self.fallback_response.take() {
                Some(response) => {
                    self.log.set_outcome("answered", response.status().as_u16());
                    response
                }
                None => self.refuse(&refusal),
            },
            CallResult::Complete(response) => {
                self.log.set_outcome("answered", response.status().as_u16());
                response
            }
            CallResult::Stream(response, splitter, first) => {
                stream_relay::start(StreamRelay::new(self, *response, splitter, first))
            }
        }
    }

    fn refuse(&mut self, refusal: &Refusal) -> Response<ResponseBody> {
        let id = self.request.id.clone();
        refuse(&self.node, &id, refusal, Some(&mut self.log))
    }

    /// Tries upstreams until one answers the call or the call must be refused.
    async fn send_until_answered(&mut self, resume_from: Option<u64>) -> CallResult {
        loop {
            if let Err(refusal) = self.pass_quarantine().await {
                return CallResult::Refused(refusal);
            }
            let (choice, in_flight) = match self.select_upstream().await {
                Ok(selected) => selected,
                Err(no_place) => {
                    return CallResult::Refused(self.refuse_without_upstream(no_place));
                }
            };
            match self.try_upstream(&choice, in_flight, resume_from).await {
                Ok(result) => return result,
                Err(error) => {
                    if let Some(refusal) = self.record_failed_attempt(&choice, &error) {
                        return CallResult::Refused(refusal);
                    }
                }
            }
        }
    }

    async fn try_upstream(
        &mut self,
        choice: &Choice,
        in_flight: InFlightGuard,
        resume_from: Option<u64>,
    ) -> Result<CallResult, SendError> {
        self.attempts += 1;
        self.log.attempts += 1;
        self.log.upstream = Some(choice.upstream.clone());
        let sending = send(&self.node, &self.request, choice, in_flight, resume_from);
        let response = if self.can_fail_over() {
            let timeout = self.route.target_latency * FIRST_EVENT_TIMEOUT_FACTOR;
            if let Ok(response) = tokio::time::timeout(timeout, sending).await {
                response?
            } else {
                self.node.record_stall(&choice.upstream);
                return Err(SendError::OutcomeUnknown("silent"));
            }
        } else {
            sending.await?
        };
        let is_ok = response.inner.status() == StatusCode::OK;
        if self.route.streaming && is_ok {
            return self.wait_for_first_events(response).await;
        }
        self.read_response(response).await
    }

    /// Returns whether the call moves to another upstream when its upstream does not respond.
    fn can_fail_over(&self) -> bool {
        self.route.repeat.allows_second_run() && self.has_attempts_left()
    }

    /// Returns whether the call may be sent once more; a trial is sent once.
    fn has_attempts_left(&self) -> bool {
        self.attempts < self.route.max_attempts && self.trial.is_none()
    }

    /// Waits for the first event, so that a stream without one can start at another upstream.
    async fn wait_for_first_events(
        &mut self,
        mut response: UpstreamResponse,
    ) -> Result<CallResult, SendError> {
        let timeout = self.route.target_latency * FIRST_EVENT_TIMEOUT_FACTOR;
        let can_fail_over = self.can_fail_over();
        let mut splitter = EventSplitter::default();
        let upstream = response.in_flight.upstream.clone();
        let first = stream_relay::next_events(&mut response, &mut splitter);
        let first = if can_fail_over {
            tokio::select! {
                first = tokio::time::timeout(timeout, first) => {
                    first.unwrap_or(stream_relay::NextEvents::TimedOut)
                }
                () = wait_until_stalled(&self.node, &upstream) => stream_relay::NextEvents::TimedOut,
            }
        } else {
            first.await
        };
        match first {
            stream_relay::NextEvents::Events(first) => {
                let now = self.node.now();
                let took = now.saturating_duration_since(response.sent_at);
                response.first_event_at = Some(now);
                let mut state = self.node.state.borrow_mut();
                state
                    .loads
                    .record_success(&response.in_flight.upstream, took);
                drop(state);
                self.node.metrics.record_duration("first_event", took);
                response.in_flight.record_stream_start();
                Ok(CallResult::Stream(Box::new(response), splitter, first))
            }
            stream_relay::NextEvents::TimedOut => {
                self.node.record_stall(&response.in_flight.upstream);
                Err(SendError::OutcomeUnknown("silent"))
            }
            stream_relay::NextEvents::End
            | stream_relay::NextEvents::Disconnected
            | stream_relay::NextEvents::Invalid => {
                self.node.record_stall(&upstream);
                if matches!(first, stream_relay::NextEvents::Disconnected)
                    || response.ends_with_connection
                {
                    let lifetime = response.in_flight.lifetime;
                    self.node
                        .record_disconnect(&upstream, lifetime, &self.request, None);
                }
                Err(SendError::OutcomeUnknown(
                    "the stream ended before its first event",
                ))
            }
        }
    }

    /// Reads a response that is not a stream.
    async fn read_response(&mut self, response: UpstreamResponse) -> Result<CallResult, SendError> {
        let UpstreamResponse {
            inner,
            head,
            mut pooled,
            in_flight,
            sent_at,
            ends_with_connection,
            ..
        } = response;
        let (parts, body) = inner.into_parts();
        let budget = &self.node.body_budget;
        let connection = pooled.connection();
        let reading = connection.read_response_body(body, MAX_RESPONSE_BYTES, budget);
        let time_left = if self.can_fail_over() {
            let timeout = self.route.target_latency * FIRST_EVENT_TIMEOUT_FACTOR;
            (sent_at + timeout).saturating_duration_since(self.node.now())
        } else {
            Duration::MAX
        };
        let Ok(read) = tokio::time::timeout(time_left, reading).await else {
            self.node.record_stall(&in_flight.upstream);
            return Err(SendError::OutcomeUnknown("slow"));
        };
        let body = match read {
            Ok(body) => body,
            Err(error) => {
                tracing::info!(call = %self.request.id, upstream = %in_flight.upstream, %error, "response truncated");
                if error.is_disconnect() {
                    let (id, lifetime) = (&in_flight.upstream, in_flight.lifetime);
                    self.node
                        .record_disconnect(id, lifetime, &self.request, None);
                }
                let mut state = self.node.state.borrow_mut();
                match error {
                    HttpError::TooLarge => {
                        let now = self.node.now();
                        state.loads.record_failure(&in_flight.upstream, now);
                    }
                    _ => state.loads.record_error_answer(&in_flight.upstream),
                }
                return Err(SendError::OutcomeUnknown("the answer was cut"));
            }
        };
        let now = self.node.now();
        self.node
            .pool
            .release(&in_flight.upstream, pooled, head.keep_alive, now);
        let is_valid = parts.status.is_success() && head.genuine;
        if is_valid {
            let took = now.saturating_duration_since(sent_at);
            let mut state = self.node.state.borrow_mut();
            state.loads.record_success(&in_flight.upstream, took);
            // Without a length, an answer that was cut off looks complete.
            if !ends_with_connection {
                let request = self.request.ended(&self.service, in_flight.lifetime);
                state.crashes.record_completion(request, sent_at, now);
            }
        } else {
            self.node
                .state
                .borrow_mut()
                .loads
                .record_error_answer(&in_flight.upstream);
            if parts.status.is_success() {
                tracing::warn!(call = %self.request.id, upstream = %in_flight.upstream, "response without the upstream's signature");
                return Err(SendError::OutcomeUnknown(
                    "the answer was not the upstream's",
                ));
            }
        }
        drop(in_flight);
        let is_failure = parts.status.is_server_error();
        let mut response = Response::new(ResponseBody::Complete(Some(body)));
        *response.status_mut() = parts.status;
        *response.headers_mut() = self
            .node
            .platform
            .call_format
            .caller_headers(&parts.headers);
        if is_failure && self.can_retry() {
            self.fallback_response = Some(response);
            return Err(SendError::OutcomeUnknown("the upstream failed"));
        }
        Ok(CallResult::Complete(response))
    }

    /// Returns whether the route allows another attempt; does not consume the retry budget.
    fn can_retry(&self) -> bool {
        self.can_fail_over()
    }

    /// Returns whether the call may be one that ends the upstreams which run it. Its caller may send it
    /// again; this node does not.
    fn is_suspect(&self) -> bool {
        let crashes = &self.node.state.borrow().crashes;
        crashes.is_suspect(&self.service, self.request.digest)
    }

    /// Consumes one retry of the service's budget; returns whether there was one.
    pub(super) fn take_retry(&self) -> bool {
        let state = &mut *self.node.state.borrow_mut();
        let nodes = state.node_count();
        let budget = state.retry_budgets.entry(self.service.clone()).or_default();
        let taken = budget.take(self.node.now(), nodes, &self.node.options.repeats);
        self.node
            .metrics
            .count("repeats", if taken { "taken" } else { "denied" });
        taken
    }

    /// Records a failed attempt; returns a refusal unless the call may be tried again.
    fn record_failed_attempt(&mut self, choice: &Choice, error: &SendError) -> Option<Refusal> {
        self.tried.push(choice.upstream.clone());
        let why = match error {
            SendError::NotSent => {
                self.attempts -= 1;
                self.unsent_attempts += 1;
                if self.unsent_attempts < MAX_UNSENT_ATTEMPTS {
                    return None;
                }
                "no upstream could be reached"
            }
            SendError::Misdirected => {
                self.attempts -= 1;
                self.unsent_attempts += 1;
                if self.unsent_attempts < MAX_UNSENT_ATTEMPTS && self.take_retry() {
                    return None;
                }
                "the upstream is gone"
            }
            SendError::NotRun => {
                if self.has_attempts_left() && self.take_retry() {
                    return None;
                }
                "the upstream is full"
            }
            SendError::OutcomeUnknown(why) => {
                self.may_have_run = true;
                if self.can_retry() && !self.is_suspect() && self.take_retry() {
                    return None;
                }
                why
            }
        };
        Some(if self.may_have_run {
            let message = format!("the upstream did not answer: {why}");
            Refusal::new(RefusalKind::UpstreamFailed, Ran::Unknown, message)
        } else {
            Refusal::new(RefusalKind::Overloaded, Ran::No, why).retry_after(self.retry_after())
        })
    }

    fn refuse_without_upstream(&self, no_place: NoPlace) -> Refusal {
        if self.may_have_run {
            let message = "the upstream did not answer, and no other can serve the call now";
            return Refusal::new(RefusalKind::UpstreamFailed, Ran::Unknown, message);
        }
        let refusal = match no_place {
            NoPlace::Full => {
                let message = "every upstream that could serve the call is full";
                Refusal::new(RefusalKind::Overloaded, Ran::No, message)
            }
            NoPlace::CoolingDown(end) => {
                let message = "every upstream that could serve the call asked for no requests now";
                let refusal = Refusal::new(RefusalKind::Overloaded, Ran::No, message);
                return refusal.retry_after(self.retry_after_end(end));
            }
            NoPlace::None => {
                let message = "no upstream can serve the call now";
                Refusal::new(RefusalKind::NoUpstream, Ran::No, message)
            }
        };
        refusal.retry_after(self.retry_after())
    }

    /// Returns a `retry-after` with jitter that ends after `end`, or sooner if the caller does not wait so
    /// long: another node may serve it.
    fn retry_after_end(&self, end: Instant) -> Duration {
        let now = self.node.now();
        let time_left = self.request.deadline.saturating_duration_since(now);
        let wait = end.saturating_duration_since(now);
        let wait = if wait < time_left {
            wait
        } else {
            Duration::ZERO
        };
        (wait + self.retry_after()).min(time_left)
    }

    /// Returns a `retry-after` with jitter, within the caller's remaining time.
    fn retry_after(&self) -> Duration {
        let time_left = self
            .request
            .deadline
            .saturating_duration_since(self.node.now());
        let max = RETRY_AFTER_RANGE
            .1
            .min(time_left / 4)
            .max(RETRY_AFTER_RANGE.0);
        RETRY_AFTER_RANGE.0
            + max
                .saturating_sub(RETRY_AFTER_RANGE.0)
                .mul_f64(rand::random::<f64>())
    }
}

/// Waits until consecutive checks have found the upstream's other streams stalled.
async fn wait_until_stalled(node: &Node, upstream: &UpstreamId) {
    let mut stalled_polls = 0;
    while stalled_polls < STALLED_POLLS {
        tokio::time::sleep(STALL_POLL_INTERVAL).await;
        let now = node.now();
        let is_stalled = node.state.borrow().loads.is_stalled(upstream, now);
        stalled_polls = if is_stalled { stalled_polls + 1 } else { 0 };
    }
}

/// Result of a call's attempts; a stream comes with its splitter and first events.
enum CallResult {
    Refused(Refusal),
    Complete(Response<ResponseBody>),
    Stream(Box<UpstreamResponse>, EventSplitter, WholeEvents),
}

fn refuse(
    node: &Node,
    id: &str,
    refusal: &Refusal,
    log: Option<&mut CallLog>,
) -> Response<ResponseBody> {
    let status = refusal.kind.status();
    if let Some(log) = log {
        log.set_outcome("refused", status);
    }
    node.metrics
        .count("refusals", &format_compact!("{}", refusal.kind));
    tracing::info!(
        call = id, status, kind = %refusal.kind, ran = %refusal.ran, why = refusal.message,
        retry_after_ms = refusal.retry_after.map(|t| u64::try_from(t.as_millis()).unwrap_or(0)),
        config = node.state.borrow().routes_version, "refused"
    );
    let mut response = Response::new(ResponseBody::Complete(Some(refusal.to_json().into())));
    *response.status_mut() = StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_GATEWAY);
    *response.headers_mut() = node.platform.call_format.refusal_headers(refusal, id);
    response
}

impl Call {
    /// Returns whether the stream may resume at another upstream.
    pub(super) fn can_resume(&self) -> bool {
        self.route.repeat == Repeat::Resume && self.has_attempts_left()
    }
}
