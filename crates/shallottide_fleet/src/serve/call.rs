//! Handles one caller's request, from its arrival to its response.

use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use compact_str::{CompactString, format_compact};
use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use http::{Request, Response, StatusCode, request};
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use shallottide_types::id::{DomainId, ModelId, NodeId, ServiceId, UpstreamId};
use shallottide_types::refusal::{Ran, Refusal, RefusalKind};
use tokio::task::spawn_local;

use super::attempt::{Attempt, AttemptError, Silence};
use super::call_log::CallLog;
use super::connection::{BodyLimits, HttpError, read_body};
use super::node::Node;
use super::quarantine::Trial;
use super::relay::{RelayHead, Relayed, refuse_lost};
use super::relay_server::RelayedGuard;
use super::response_body::ResponseBody;
use super::send::{InFlightGuard, OutgoingRequest, SendError};
use super::stream_relay::{self, StreamRelay, StreamSource};
use crate::adapter::CallHead;
use crate::balance::{Choice, NoPlace};
use crate::call_classes::CallClasses;
use crate::catalog::{Catalog, Repeat, Route};
use crate::event_stream::{EventSplitter, WholeEvents};
use crate::request_digest::RequestDigest;
use crate::routes::{RouteError, choose_service};
use crate::upstream_links::LinkState;

/// Deadline of a request that does not state one.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(30);
/// Number of attempts that did not reach their upstream after which the call is refused.
const MAX_UNSENT_ATTEMPTS: u32 = 4;
/// Time since a call was first sent from which it counts as one that comes back after a refusal.
const MIN_RETURN_TIME: Duration = Duration::from_millis(100);
/// Steps of urgency that a late call is put back, so that it comes after less urgent calls on time.
const LATE_URGENCY_STEP: u8 = 3;
/// Shortest and longest `retry-after` of a refusal.
const RETRY_AFTER_RANGE: (Duration, Duration) =
    (Duration::from_millis(150), Duration::from_millis(1_200));

/// Time for which the rest of a refused body is read: closing the connection at once would reset it, and the
/// caller might lose the refusal. A body of 4 MB needs 1.7 s on a link of 20 Mbit/s.
const DISCARD_TIMEOUT: Duration = Duration::from_secs(2);

/// A caller's request with its route, and the state of its attempts.
pub(super) struct Call {
    pub(super) node: Rc<Node>,
    pub(super) route: Rc<Route>,
    pub(super) service: ServiceId,
    pub(super) model: Option<ModelId>,
    pub(super) request: Rc<OutgoingRequest>,
    pub(super) tried: Vec<UpstreamId>,
    /// Attempts that an upstream may have run.
    pub(super) attempts: u32,
    /// Attempts that did not reach the upstream: not sent, or misdirected.
    pub(super) unsent_attempts: u32,
    /// An upstream's own error response, returned to the caller if no retry gives a better one.
    pub(super) fallback_response: Option<Response<ResponseBody>>,
    /// Whether an upstream may have run the call.
    pub(super) may_have_run: bool,
    pub(super) priority: u8,
    /// Wait queue of the call: its service and model.
    pub(super) queue_key: CompactString,
    /// Failure domains that may serve the call; `None` allows all.
    pub(super) domains: Option<BTreeSet<DomainId>>,
    /// The trial that this call is, if a part of its prompt is quarantined.
    pub(super) trial: Option<Trial>,
    /// Peers to which it was relayed and that did not answer it.
    pub(super) tried_peers: Vec<NodeId>,
    /// Uniform random number that decides whether the call is sent over links that return.
    pub(super) link_draw: u32,
    /// Set if a peer relayed the call to this node, which does not relay it again.
    pub(super) relayed_from: Option<RelayedGuard>,
    /// When the caller first sent the call; earlier than its arrival if it was refused since.
    pub(super) first_sent: Instant,
    /// Whether the caller comes back after a refusal.
    pub(super) is_returning: bool,
    /// Time for which the call occupies a group of engines, in seconds.
    pub(super) work: f64,
    /// Whether the call's team has used its share of room that is short; `None` until it is decided.
    pub(super) is_over_share: Option<bool>,
    pub(super) log: CallLog,
}

/// Extension of a response that is a refusal: whether the call ran.
#[derive(Debug, Clone, Copy)]
pub(super) struct Refused(pub(super) Ran);

/// Extension of a response: the attempts that were made for the call until then.
#[derive(Debug, Clone, Copy)]
pub(super) struct AttemptsMade(pub(super) u32);

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
    if node.phase.borrow().is_closing() {
        return refuse(node, &head.id, &refuse_stopping(), Some(&mut log));
    }
    node.state.borrow_mut().had_traffic = true;
    let (call, max_body_bytes) = match resolve(node, &parts, &head, arrived_at) {
        Ok(resolved) => resolved,
        Err(refusal) => return refuse(node, &head.id, &refusal, Some(&mut log)),
    };
    let mut body = body;
    let limits = BodyLimits::new(max_body_bytes, &node.body_budget);
    let read = read_body(&mut body, &limits, || {});
    let time_left = call.deadline.saturating_duration_since(node.now());
    let read = async {
        tokio::select! {
            body = read => Some(body),
            () = node.wait_until_last_answer() => None,
        }
    };
    let body = match tokio::time::timeout(time_left, read).await {
        Ok(None) => return refuse(node, &head.id, &refuse_stopping(), Some(&mut log)),
        Ok(Some(Ok(body))) => body,
        Ok(Some(Err(error))) => {
            if matches!(error, HttpError::OutOfBudget) {
                let length = body.size_hint().exact().and_then(|n| n.try_into().ok());
                node.record_out_of_memory("request", &head.id, &node.body_budget, length);
                spawn_local(discard(body, max_body_bytes));
            }
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
    let is_returning = call.first_sent + MIN_RETURN_TIME <= arrived_at;
    let digest = RequestDigest::new(&parts.method, &parts.uri, call.team.as_deref(), &body);
    let call = Call {
        node: node.clone(),
        service: call.service,
        model: head.model.clone(),
        request: Rc::new(OutgoingRequest {
            id: head.id.clone(),
            method: parts.method,
            uri: parts.uri,
            headers: parts.headers,
            body,
            team: call.team,
            urgency: urgency(node, call.priority, is_returning),
            deadline: call.deadline,
            shared_parts: head.shared_parts,
            digest,
            model: head.model.clone(),
            prompt_tokens: head.prompt_tokens,
        }),
        route: Rc::new(call.route),
        tried: Vec::new(),
        attempts: 0,
        unsent_attempts: 0,
        fallback_response: None,
        may_have_run: false,
        priority: call.priority,
        queue_key: call.queue_key,
        domains: call.domains,
        trial: None,
        tried_peers: Vec::new(),
        link_draw: rand::random(),
        relayed_from: None,
        first_sent: call.first_sent,
        is_returning,
        work: call.work,
        is_over_share: None,
        log,
    };
    call.run(head.resume_from).await
}

/// Returns the urgency that is stated to upstreams, from 0 (first) to 9.
///
/// Calls that come back after a refusal are late; engines run those first that can be on time.
fn urgency(node: &Node, priority: u8, is_returning: bool) -> u8 {
    let is_put_back = is_returning && node.state.borrow().has_shared_samples();
    let step = if is_put_back { LATE_URGENCY_STEP } else { 0 };
    priority.saturating_add(step).min(9)
}

/// Handles a call that a peer relayed; returns `None` if it is not valid.
pub(super) async fn handle_relayed(
    node: &Rc<Node>,
    head: RelayHead,
    body: Bytes,
    guard: RelayedGuard,
) -> Option<Response<ResponseBody>> {
    let (method, uri, headers) = head.request()?;
    let mut log = CallLog::start(node, head.id.clone());
    log.route = head.route.name.clone();
    let request = OutgoingRequest {
        id: head.id,
        digest: RequestDigest::new(&method, &uri, head.team.as_deref(), &body),
        method,
        uri,
        headers,
        body,
        team: head.team,
        urgency: head.priority.min(9),
        deadline: node.now() + head.time_left,
        shared_parts: head.shared_parts,
        model: head.model.clone(),
        prompt_tokens: 0,
    };
    let call = Call {
        node: node.clone(),
        service: head.service,
        model: head.model,
        request: Rc::new(request),
        domains: allowed_domains(node, &head.route),
        route: Rc::new(head.route),
        tried: Vec::new(),
        attempts: head.attempts,
        unsent_attempts: 0,
        fallback_response: None,
        may_have_run: head.may_have_run,
        priority: head.priority,
        queue_key: head.queue_key,
        trial: None,
        tried_peers: Vec::new(),
        link_draw: rand::random(),
        relayed_from: Some(guard),
        first_sent: node.now(),
        is_returning: false,
        work: 0.0,
        is_over_share: Some(false),
        log,
    };
    Some(call.run(head.resume_from).await)
}

/// Returns the refusal of a call that did not run and that this node has no time left to answer.
fn refuse_stopping() -> Refusal {
    let message = "this node is stopping: retry, another node will answer";
    let refusal = Refusal::new(RefusalKind::Stopping, Ran::No, message);
    refusal.retry_after(RETRY_AFTER_RANGE.0)
}

/// Reads and drops the rest of a refused body, of at most `max_bytes`.
async fn discard(mut body: Incoming, max_bytes: usize) {
    let read = async {
        let mut bytes = 0;
        while let Some(Ok(frame)) = body.frame().await {
            bytes += frame.data_ref().map_or(0, Bytes::len);
            if bytes > max_bytes {
                return;
            }
        }
    };
    // After the timeout, hyper closes the connection.
    let _ = tokio::time::timeout(DISCARD_TIMEOUT, read).await;
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
    /// When the caller first sent the call; earlier than its arrival if it was refused since.
    first_sent: Instant,
    /// Time for which the call occupies a group of engines, in seconds.
    work: f64,
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
    let work = record_demand(&mut state.demand, catalog, &service, head, arrived_at);
    let resolved = ResolvedCall {
        work,
        queue_key: format_compact!("{service}/{model}"),
        domains: allowed_domains(node, route),
        route: route.clone(),
        team: team.map(|team| team.id.as_str().into()),
        priority: team
            .and_then(|team| team.priority)
            .unwrap_or(route.priority),
        deadline: arrived_at + timeout,
        first_sent: first_sent(&mut state.call_classes, &service, route, head, arrived_at),
        service,
    };
    let max_body_bytes = catalog.limits.body_bytes;
    let budget = state
        .retry_budgets
        .entry(resolved.service.clone())
        .or_default();
    budget.first(arrived_at, &node.options.repeats);
    Ok((resolved, max_body_bytes))
}

/// Returns when a caller first sent a call.
fn first_sent(
    classes: &mut CallClasses,
    service: &ServiceId,
    route: &Route,
    head: &CallHead,
    arrived_at: Instant,
) -> Instant {
    let (Some(model), Some(time_left)) = (&head.model, head.time_left) else {
        return arrived_at;
    };
    let kind = (service.clone(), model.clone());
    let elapsed = classes.record_call(&kind, route, time_left, arrived_at);
    arrived_at.checked_sub(elapsed).unwrap_or(arrived_at)
}

/// Returns the failure domains in a route's regions, or `None` if the route allows all regions.
fn allowed_domains(node: &Node, route: &Route) -> Option<BTreeSet<DomainId>> {
    let domains = node.options.domains.iter();
    let allowed = domains.filter(|(_, region)| route.regions.contains(region));
    let allowed = allowed.map(|(domain, _)| domain.clone()).collect();
    (!route.regions.is_empty()).then_some(allowed)
}

/// Records the work that a call asks for; returns it, in seconds of a whole group.
fn record_demand(
    demand: &mut crate::groups::Demand,
    catalog: &Catalog,
    service: &ServiceId,
    head: &CallHead,
    now: Instant,
) -> f64 {
    let Some(model) = &head.model else {
        return 0.0;
    };
    let engine_and_model = catalog
        .engine(service)
        .and_then(|e| Some((e, e.model(model)?)));
    let Some((engine, facts)) = engine_and_model else {
        return 0.0;
    };
    let work = engine.busy_time(facts, head.prompt_tokens, head.output_tokens);
    demand.record_request(model, work, now);
    work.as_secs_f64()
}

impl Call {
    async fn run(mut self, resume_from: Option<u64>) -> Response<ResponseBody> {
        let deadline = tokio::time::Instant::from_std(self.request.deadline);
        let node = self.node.clone();
        let response = tokio::select! {
            biased;
            response = self.send_until_answered(resume_from) => response,
            () = tokio::time::sleep_until(deadline) => return self.end_unanswered(Unanswered::TimedOut),
            () = node.wait_until_last_answer() => return self.end_unanswered(Unanswered::Stopping),
        };
        let attempts = AttemptsMade(self.attempts);
        let mut response = match response {
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
            CallResult::Stream(source, splitter, first) => {
                stream_relay::start(StreamRelay::new(self, source, splitter, first))
            }
        };
        response.extensions_mut().insert(attempts);
        response
    }

    /// Returns the response of a call that is given up before an upstream has answered it.
    fn end_unanswered(&mut self, why: Unanswered) -> Response<ResponseBody> {
        if let Some(response) = self.fallback_response.take() {
            self.log.set_outcome("answered", response.status().as_u16());
            return response;
        }
        let ran = if self.attempts > 0 {
            Ran::Unknown
        } else {
            Ran::No
        };
        let refusal = match (why, ran) {
            (Unanswered::TimedOut, ran) => {
                let message = "no answer within the time of the call or its route";
                Refusal::new(RefusalKind::DeadlineExceeded, ran, message)
            }
            (Unanswered::Stopping, Ran::No) => refuse_stopping(),
            (Unanswered::Stopping, ran) => {
                let message = "this node stops before the upstream has answered";
                Refusal::new(RefusalKind::UpstreamFailed, ran, message)
            }
        };
        self.refuse(&refusal)
    }

    fn refuse(&mut self, refusal: &Refusal) -> Response<ResponseBody> {
        let id = self.request.id.clone();
        refuse(&self.node, &id, refusal, Some(&mut self.log))
    }

    /// Tries upstreams until one answers the call or the call must be refused.
    async fn send_until_answered(&mut self, resume_from: Option<u64>) -> CallResult {
        loop {
            if !self.may_have_run && self.node.closes_before(self.request.deadline) {
                return CallResult::Refused(refuse_stopping());
            }
            if self.is_to_be_relayed()
                && let Some(result) = self.send_to_peer(resume_from).await
            {
                return result;
            }
            if let Err(refusal) = self.pass_quarantine().await {
                return CallResult::Refused(refusal);
            }
            let (node, deadline) = (self.node.clone(), self.request.deadline);
            let has_not_run = !self.may_have_run;
            let selected = tokio::select! {
                biased;
                () = node.wait_until_closing_before(deadline), if has_not_run => {
                    return CallResult::Refused(refuse_stopping());
                }
                selected = self.select_upstream() => selected,
            };
            let selected = match selected {
                Ok(selected) => selected,
                Err(no_place) => {
                    let links = self.node.link_state(&self.service);
                    if self.relayed_from.is_none()
                        && links != LinkState::Up
                        && let Some(result) = self.send_to_peer(resume_from).await
                    {
                        return result;
                    }
                    return CallResult::Refused(self.refuse_without_upstream(no_place));
                }
            };
            if let Some(result) = self.try_upstream(selected, resume_from).await {
                return result;
            }
        }
    }

    /// Sends the call to an upstream, and to others beside it as long as none responds: a silent upstream
    /// may be sound, and is given up only for the response of another. Returns `None` if all of them
    /// failed and the call may be tried again.
    async fn try_upstream(
        &mut self,
        selected: (Choice, InFlightGuard),
        resume_from: Option<u64>,
    ) -> Option<CallResult> {
        let mut attempts = FuturesUnordered::new();
        let attempt = self.begin_attempt(selected, resume_from);
        let mut silence = self.watch_silence(&attempt);
        attempts.push(attempt.run());
        let (node, service) = (self.node.clone(), self.service.clone());
        let lost = node.wait_until_links_lost(&service);
        tokio::pin!(lost);
        let mut is_loss_seen = self.relayed_from.is_some();
        loop {
            tokio::select! {
                biased;
                ended = attempts.next() => {
                    let (choice, result) = ended?;
                    let error = match result {
                        Ok(result) => {
                            self.log.upstream = Some(choice.upstream);
                            return Some(result);
                        }
                        Err(error) => error,
                    };
                    if !attempts.is_empty() {
                        self.record_lost_attempt(error);
                        silence.expire();
                    } else if let Some(refusal) = self.record_failed_attempt(error) {
                        return Some(CallResult::Refused(refusal));
                    } else {
                        return None;
                    }
                }
                () = &mut lost, if !is_loss_seen => {
                    is_loss_seen = true;
                    if self.may_repeat() && self.take_retry() {
                        // No upstream will answer; a peer gets the call.
                        self.may_have_run = true;
                        return None;
                    }
                }
                () = &mut silence => {
                    if !self.may_repeat() {
                        silence = Silence::never();
                        continue;
                    }
                    silence.record();
                    if let Some(selected) = self.select_replacement().await {
                        let attempt = self.begin_attempt(selected, resume_from);
                        silence = self.watch_silence(&attempt);
                        attempts.push(attempt.run());
                    } else {
                        silence.restart();
                    }
                }
            }
        }
    }

    /// Watches an attempt's upstream if the call may move on when it is silent.
    fn watch_silence(&self, attempt: &Attempt) -> Silence {
        if self.may_repeat() {
            attempt.silence()
        } else {
            Silence::never()
        }
    }

    /// Relays the call; returns `None` if no peer took it and this node's own links may serve it.
    async fn send_to_peer(&mut self, resume_from: Option<u64>) -> Option<CallResult> {
        loop {
            match self.relay(resume_from).await {
                Relayed::Taken(response) => match self.read_peer_response(response).await {
                    Ok(result) => return Some(result),
                    Err(Some(refusal)) => return Some(CallResult::Refused(refusal)),
                    Err(None) => {}
                },
                Relayed::Lost => {
                    let refusal = refuse_lost("the connection to a peer ended");
                    return Some(CallResult::Refused(refusal));
                }
                Relayed::NoPeer => {
                    let is_lost = self.node.link_state(&self.service) == LinkState::Lost;
                    return is_lost.then(|| CallResult::Refused(self.refuse_cut_off()));
                }
            }
        }
    }

    fn begin_attempt(
        &mut self,
        (choice, in_flight): (Choice, InFlightGuard),
        resume_from: Option<u64>,
    ) -> Attempt {
        self.attempts += 1;
        self.log.attempts += 1;
        self.log.upstream = Some(choice.upstream.clone());
        self.tried.push(choice.upstream.clone());
        Attempt::new(self, choice, in_flight, resume_from)
    }

    /// Selects another upstream beside silent ones, if one has a place and the retry budget allows it.
    async fn select_replacement(&mut self) -> Option<(Choice, InFlightGuard)> {
        if !self.take_retry() {
            return None;
        }
        if self.pass_quarantine().await.is_err() {
            self.return_retry();
            return None;
        }
        let selected = self.select_upstream().await;
        if selected.is_err() {
            self.return_retry();
        }
        selected.ok()
    }

    /// Returns whether the call moves to another upstream when its upstream does not respond.
    fn can_fail_over(&self) -> bool {
        self.route.repeat.allows_second_run() && self.has_attempts_left()
    }

    /// Returns whether the call may be sent once more; a trial is sent once.
    fn has_attempts_left(&self) -> bool {
        self.attempts < self.route.max_attempts && self.trial.is_none()
    }

    /// Returns whether the call may run again after an attempt that may have run it.
    pub(super) fn may_repeat(&self) -> bool {
        self.can_fail_over() && !self.is_suspect()
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

    /// Gives back a retry that was taken and not sent.
    pub(super) fn return_retry(&self) {
        let state = &mut *self.node.state.borrow_mut();
        if let Some(budget) = state.retry_budgets.get_mut(&self.service) {
            budget.give_back();
        }
    }

    /// Records a failed attempt beside which others still run.
    fn record_lost_attempt(&mut self, error: AttemptError) {
        match error {
            AttemptError::Send(SendError::NotSent | SendError::Misdirected) => {
                self.attempts -= 1;
                self.unsent_attempts += 1;
            }
            AttemptError::Send(SendError::NotRun) => {}
            AttemptError::Send(SendError::OutcomeUnknown(_)) => self.may_have_run = true,
            AttemptError::ErrorAnswer(response) => {
                self.may_have_run = true;
                self.fallback_response = Some(response);
            }
        }
    }

    /// Records a failed attempt; returns a refusal unless the call may be tried again.
    fn record_failed_attempt(&mut self, error: AttemptError) -> Option<Refusal> {
        let (why, may_try_again) = match &error {
            AttemptError::Send(SendError::NotSent) => (
                "no upstream could be reached",
                self.unsent_attempts + 1 < MAX_UNSENT_ATTEMPTS,
            ),
            AttemptError::Send(SendError::Misdirected) => (
                "the upstream is gone",
                self.unsent_attempts + 1 < MAX_UNSENT_ATTEMPTS && self.take_retry(),
            ),
            AttemptError::Send(SendError::NotRun) => (
                "the upstream is full",
                self.has_attempts_left() && self.take_retry(),
            ),
            AttemptError::Send(SendError::OutcomeUnknown(why)) => {
                (*why, self.may_repeat() && self.take_retry())
            }
            AttemptError::ErrorAnswer(_) => (
                "the upstream failed",
                self.may_repeat() && self.take_retry(),
            ),
        };
        self.record_lost_attempt(error);
        if may_try_again {
            return None;
        }
        Some(if self.may_have_run {
            let message = format!("the upstream did not answer: {why}");
            Refusal::new(RefusalKind::UpstreamFailed, Ran::Unknown, message)
        } else {
            Refusal::new(RefusalKind::Overloaded, Ran::No, why).retry_after(self.retry_after())
        })
    }

    fn refuse_without_upstream(&mut self, no_place: NoPlace) -> Refusal {
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
        let booked = (no_place == NoPlace::Full)
            .then(|| self.book_return())
            .flatten();
        refusal.retry_after(booked.unwrap_or_else(|| self.retry_after()))
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
    pub(super) fn retry_after(&self) -> Duration {
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

/// Why a call is given up before an upstream has answered it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Unanswered {
    /// Its time or that of its route is over.
    TimedOut,
    /// This node stops.
    Stopping,
}

/// Result of a call's attempts; a stream comes with its splitter and first events.
pub(super) enum CallResult {
    Refused(Refusal),
    Complete(Response<ResponseBody>),
    Stream(StreamSource, EventSplitter, WholeEvents),
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
    response.extensions_mut().insert(Refused(refusal.ran));
    response
}

impl Call {
    /// Returns whether the stream may resume at another upstream.
    pub(super) fn can_resume(&self) -> bool {
        self.route.repeat == Repeat::Resume && self.has_attempts_left()
    }
}
