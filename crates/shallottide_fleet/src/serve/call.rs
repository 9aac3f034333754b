//! One caller's request, from its arrival to its answer.

use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::{Duration, Instant};

use compact_str::{CompactString, format_compact};
use http::{Request, Response, StatusCode, request};
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use shallottide_types::id::{DomainId, ModelId, ServiceId, UpstreamId};
use shallottide_types::refusal::{Ran, Refusal, RefusalKind};

use super::call_log::CallLog;
use super::connection::read_body;
use super::node::Node;
use super::relay::{self, Relay};
use super::reply_body::ReplyBody;
use super::send::{Answer, Outgoing, SendFailure, Work, send};
use super::stop::Phase;
use crate::balance::{Choice, NoPlace};
use crate::border::CallHead;
use crate::catalog::{Catalog, Repeat, Route};
use crate::event_stream::{EventSplitter, WholeEvents};
use crate::routes::{RouteError, choose_service};

/// Time that a request without a stated one gets.
const DEFAULT_TIME: Duration = Duration::from_secs(30);
/// Time to the first event, in target latencies, after which a stream is sent elsewhere.
const FIRST_EVENT_TARGETS: u32 = 4;
/// Pause between two looks at whether an upstream's streams stand still.
const LOOK_PAUSE: Duration = Duration::from_millis(80);
/// Looks in a row that must find them so before a stream that has not begun is sent elsewhere.
const STANDSTILL_LOOKS: u32 = 3;
/// Sends that did not reach an upstream after which a call is given up.
const MAX_UNSENT: u32 = 4;
/// Shortest and longest time after which a refused caller is asked to come back.
const RETRY_AFTER: (Duration, Duration) =
    (Duration::from_millis(150), Duration::from_millis(1_200));
/// Largest answer of a plain service, in bytes.
const MAX_ANSWER: usize = 16 << 20;

/// A call and the rules that hold for it.
pub(super) struct Call {
    pub(super) node: Rc<Node>,
    pub(super) route: Route,
    pub(super) service: ServiceId,
    pub(super) model: Option<ModelId>,
    pub(super) outgoing: Outgoing,
    pub(super) tried: Vec<UpstreamId>,
    /// Sends that an upstream may have run.
    pub(super) attempts: u32,
    unsent: u32,
    /// An upstream's own failure, delivered if no other upstream does better.
    kept: Option<Response<ReplyBody>>,
    /// Whether a send may have run the call.
    pub(super) may_have_run: bool,
    pub(super) priority: u8,
    /// What the call waits for: the service and the model.
    pub(super) what: CompactString,
    /// Failure domains that may serve the call; all if not set.
    pub(super) domains: Option<BTreeSet<DomainId>>,
    pub(super) log: CallLog,
}

/// Answers one request.
pub(super) async fn serve(node: &Rc<Node>, request: Request<Incoming>) -> Response<ReplyBody> {
    let (parts, body) = request.into_parts();
    let arrived = node.now();
    let head = match node.borders.calls.read(&parts) {
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
        let refusal = refusal.retry_after(RETRY_AFTER.0);
        return refuse(node, &head.id, &refusal, Some(&mut log));
    }
    node.state.borrow_mut().had_traffic = true;
    let (call, limit) = match prepare(node, &parts, &head, arrived) {
        Ok(prepared) => prepared,
        Err(refusal) => return refuse(node, &head.id, &refusal, Some(&mut log)),
    };
    let read = Limited::new(body, limit).collect();
    let left = call.deadline.saturating_duration_since(node.now());
    let body = match tokio::time::timeout(left, read).await {
        Ok(Ok(body)) => body.to_bytes(),
        Ok(Err(error)) => {
            let kind = if error.is::<http_body_util::LengthLimitError>() {
                RefusalKind::TooLarge
            } else {
                RefusalKind::BadRequest
            };
            let message = "the body is too large or was cut";
            return refuse(
                node,
                &head.id,
                &Refusal::new(kind, Ran::No, message),
                Some(&mut log),
            );
        }
        Err(_) => {
            let message = "the body did not arrive in time";
            let refusal = Refusal::new(RefusalKind::DeadlineExceeded, Ran::No, message);
            return refuse(node, &head.id, &refusal, Some(&mut log));
        }
    };
    log.route = call.route.name.clone();
    let call = Call {
        node: node.clone(),
        service: call.service,
        model: head.model.clone(),
        outgoing: Outgoing {
            id: head.id.clone(),
            method: parts.method,
            uri: parts.uri,
            headers: parts.headers,
            body,
            team: call.team,
            urgency: call.priority.min(9),
            deadline: call.deadline,
        },
        route: call.route,
        tried: Vec::new(),
        attempts: 0,
        unsent: 0,
        kept: None,
        may_have_run: false,
        priority: call.priority,
        what: call.what,
        domains: call.domains,
        log,
    };
    call.run(head.resume_from).await
}

struct Prepared {
    route: Route,
    service: ServiceId,
    team: Option<CompactString>,
    priority: u8,
    what: CompactString,
    domains: Option<BTreeSet<DomainId>>,
    deadline: Instant,
}

/// Finds the rules of a call, and the bound on its body.
fn prepare(
    node: &Node,
    parts: &request::Parts,
    head: &CallHead,
    arrived: Instant,
) -> Result<(Prepared, usize), Refusal> {
    let state = &mut *node.state.borrow_mut();
    let Some(catalog) = &state.view.catalog else {
        let message = "this node has no configuration yet: retry, another node will answer";
        let refusal = Refusal::new(RefusalKind::PlatformDown, Ran::No, message);
        return Err(refusal.retry_after(RETRY_AFTER.0));
    };
    let found = state
        .routes
        .find(catalog, &head.host, parts.uri.path(), head.key.as_deref());
    let (route, team) = found.map_err(|error| {
        let kind = match error {
            RouteError::NoRoute => RefusalKind::NotFound,
            RouteError::UnknownKey => RefusalKind::Unauthorized,
        };
        Refusal::new(kind, Ran::No, error.to_string())
    })?;
    let service = choose_service(route, rand::random()).clone();
    let time = head.time_left.unwrap_or(DEFAULT_TIME).min(route.timeout);
    let model = head.model.as_ref().map_or("", |model| model.as_str());
    let prepared = Prepared {
        what: format_compact!("{service}/{model}"),
        domains: home_domains(node, route),
        route: route.clone(),
        team: team.map(|team| team.id.as_str().into()),
        priority: team
            .and_then(|team| team.priority)
            .unwrap_or(route.priority),
        deadline: arrived + time,
        service,
    };
    let limit = catalog.limits.body_bytes;
    note_demand(&mut state.demand, catalog, &prepared.service, head, arrived);
    let budget = state.budgets.entry(prepared.service.clone()).or_default();
    budget.first(arrived, &node.options.repeats);
    Ok((prepared, limit))
}

/// Returns the failure domains of a route's regions, if it has any.
fn home_domains(node: &Node, route: &Route) -> Option<BTreeSet<DomainId>> {
    let domains = node.options.domains.iter();
    let at_home = domains.filter(|(_, region)| route.regions.contains(region));
    let at_home = at_home.map(|(domain, _)| domain.clone()).collect();
    (!route.regions.is_empty()).then_some(at_home)
}

fn note_demand(
    demand: &mut crate::groups::Demand,
    catalog: &Catalog,
    service: &ServiceId,
    head: &CallHead,
    now: Instant,
) {
    let Some(model) = &head.model else {
        return;
    };
    let facts = catalog
        .engine(service)
        .and_then(|e| Some((e, e.model(model)?)));
    if let Some((engine, facts)) = facts {
        let work = engine.busy_time(facts, head.prompt_tokens, head.output_tokens);
        demand.record_request(model, work, now);
    }
}

impl Call {
    async fn run(mut self, resume_from: Option<u64>) -> Response<ReplyBody> {
        let deadline = tokio::time::Instant::from_std(self.outgoing.deadline);
        let Ok(response) = tokio::time::timeout_at(deadline, self.serve(resume_from)).await else {
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
            Served::Refused(refusal) => match self.kept.take() {
                Some(kept) => {
                    self.log.ends("answered", kept.status().as_u16());
                    kept
                }
                None => self.refuse(&refusal),
            },
            Served::Whole(response) => {
                self.log.ends("answered", response.status().as_u16());
                response
            }
            Served::Stream(answer, splitter, first) => {
                relay::start(Relay::new(self, *answer, splitter, first))
            }
        }
    }

    fn refuse(&mut self, refusal: &Refusal) -> Response<ReplyBody> {
        let id = self.outgoing.id.clone();
        refuse(&self.node, &id, refusal, Some(&mut self.log))
    }

    /// Sends the call until an upstream answers it or it has to be refused.
    async fn serve(&mut self, resume_from: Option<u64>) -> Served {
        loop {
            let (choice, work) = match self.place().await {
                Ok(placed) => placed,
                Err(no_place) => return Served::Refused(self.no_place(no_place)),
            };
            match self.attempt(&choice, work, resume_from).await {
                Ok(served) => return served,
                Err(failure) => {
                    if let Some(refusal) = self.after_failure(&choice, &failure) {
                        return Served::Refused(refusal);
                    }
                }
            }
        }
    }

    async fn attempt(
        &mut self,
        choice: &Choice,
        work: Work,
        resume_from: Option<u64>,
    ) -> Result<Served, SendFailure> {
        self.attempts += 1;
        self.log.attempts += 1;
        self.log.upstream = Some(choice.upstream.clone());
        let sending = send(&self.node, &self.outgoing, choice, work, resume_from);
        let answer = if self.moves_when_silent() {
            let wait = self.route.target_latency * FIRST_EVENT_TARGETS;
            if let Ok(answer) = tokio::time::timeout(wait, sending).await {
                answer?
            } else {
                self.node.upstream_stalled(&choice.upstream);
                return Err(SendFailure::Lost("silent"));
            }
        } else {
            sending.await?
        };
        let is_ok = answer.response.status() == StatusCode::OK;
        if self.route.streaming && is_ok {
            return self.first_events(answer).await;
        }
        self.whole(answer).await
    }

    /// Tells whether the call is sent elsewhere when an upstream stays silent.
    fn moves_when_silent(&self) -> bool {
        self.route.repeat.allows_second_run() && self.attempts < self.route.max_attempts
    }

    /// Waits for the first event, so that a stream that never began can begin elsewhere.
    async fn first_events(&mut self, mut answer: Answer) -> Result<Served, SendFailure> {
        let wait = self.route.target_latency * FIRST_EVENT_TARGETS;
        let moves = self.moves_when_silent();
        let mut splitter = EventSplitter::default();
        let upstream = answer.work.upstream.clone();
        let first = relay::next_events(&mut answer, &mut splitter);
        let first = if moves {
            tokio::select! {
                first = tokio::time::timeout(wait, first) => {
                    first.unwrap_or(relay::Next::Silent)
                }
                () = stands_still(&self.node, &upstream) => relay::Next::Silent,
            }
        } else {
            first.await
        };
        match first {
            relay::Next::Events(first) => {
                let took = self.node.now().saturating_duration_since(answer.sent);
                let mut state = self.node.state.borrow_mut();
                state.loads.record_success(&answer.work.upstream, took);
                drop(state);
                self.node.metrics.time("first_event", took);
                answer.work.record_stream_start();
                Ok(Served::Stream(Box::new(answer), splitter, first))
            }
            relay::Next::Silent => {
                self.node.upstream_stalled(&answer.work.upstream);
                Err(SendFailure::Lost("silent"))
            }
            relay::Next::End | relay::Next::Broken => {
                self.node.upstream_stalled(&answer.work.upstream);
                Err(SendFailure::Lost("the stream ended before its first event"))
            }
        }
    }

    /// Delivers an answer that is not a stream.
    async fn whole(&mut self, answer: Answer) -> Result<Served, SendFailure> {
        let Answer {
            response,
            head,
            lent,
            work,
            sent,
        } = answer;
        let (parts, body) = response.into_parts();
        let body = match read_body(body, MAX_ANSWER).await {
            Ok(body) => body,
            Err(error) => {
                tracing::info!(call = %self.outgoing.id, upstream = %work.upstream, %error, "answer cut");
                self.node
                    .state
                    .borrow_mut()
                    .loads
                    .record_error_answer(&work.upstream);
                return Err(SendFailure::Lost("the answer was cut"));
            }
        };
        let now = self.node.now();
        self.node
            .pool
            .give_back(&work.upstream, lent, head.keep_alive, now);
        let is_good = parts.status.is_success() && head.genuine;
        if is_good {
            let took = now.saturating_duration_since(sent);
            let mut state = self.node.state.borrow_mut();
            state.loads.record_success(&work.upstream, took);
        } else {
            self.node
                .state
                .borrow_mut()
                .loads
                .record_error_answer(&work.upstream);
            if parts.status.is_success() {
                tracing::warn!(call = %self.outgoing.id, upstream = %work.upstream, "answer unsigned");
                return Err(SendFailure::Lost("the answer was not the upstream's"));
            }
        }
        drop(work);
        let is_failure = parts.status.is_server_error();
        let mut response = Response::new(ReplyBody::Whole(Some(body)));
        *response.status_mut() = parts.status;
        *response.headers_mut() = self.node.borders.calls.caller_headers(&parts.headers);
        if is_failure && self.may_repeat() {
            self.kept = Some(response);
            return Err(SendFailure::Lost("the upstream failed"));
        }
        Ok(Served::Whole(response))
    }

    /// Tells whether the call may run once more, without taking that from the budget.
    fn may_repeat(&self) -> bool {
        self.route.repeat.allows_second_run() && self.attempts < self.route.max_attempts
    }

    /// Takes one repeat from the budget of the service.
    pub(super) fn take_repeat(&self) -> bool {
        let state = &mut *self.node.state.borrow_mut();
        let nodes = state.nodes();
        let budget = state.budgets.entry(self.service.clone()).or_default();
        let taken = budget.take(self.node.now(), nodes, &self.node.options.repeats);
        self.node
            .metrics
            .count("repeats", if taken { "taken" } else { "denied" });
        taken
    }

    /// Decides whether the call goes on after a failed send; returns a refusal if not.
    fn after_failure(&mut self, choice: &Choice, failure: &SendFailure) -> Option<Refusal> {
        self.tried.push(choice.upstream.clone());
        let why = match failure {
            SendFailure::NotSent => {
                self.attempts -= 1;
                self.unsent += 1;
                if self.unsent < MAX_UNSENT {
                    return None;
                }
                "no upstream could be reached"
            }
            SendFailure::Misdirected => {
                self.attempts -= 1;
                self.unsent += 1;
                if self.unsent < MAX_UNSENT && self.take_repeat() {
                    return None;
                }
                "the upstream is gone"
            }
            SendFailure::NotRun => {
                let may_go_on = self.attempts < self.route.max_attempts;
                if may_go_on && self.take_repeat() {
                    return None;
                }
                "the upstream is full"
            }
            SendFailure::Lost(why) => {
                self.may_have_run = true;
                if self.may_repeat() && self.take_repeat() {
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

    fn no_place(&self, no_place: NoPlace) -> Refusal {
        if self.may_have_run {
            let message = "the upstream did not answer, and no other can serve the call now";
            return Refusal::new(RefusalKind::UpstreamFailed, Ran::Unknown, message);
        }
        let refusal = match no_place {
            NoPlace::Full => {
                let message = "every upstream that could serve the call is full";
                Refusal::new(RefusalKind::Overloaded, Ran::No, message)
            }
            NoPlace::None => {
                let message = "no upstream can serve the call now";
                Refusal::new(RefusalKind::NoUpstream, Ran::No, message)
            }
        };
        refusal.retry_after(self.retry_after())
    }

    /// Returns a time to come back at, spread out and inside what the caller has left.
    fn retry_after(&self) -> Duration {
        let left = self
            .outgoing
            .deadline
            .saturating_duration_since(self.node.now());
        let most = RETRY_AFTER.1.min(left / 4).max(RETRY_AFTER.0);
        RETRY_AFTER.0
            + most
                .saturating_sub(RETRY_AFTER.0)
                .mul_f64(rand::random::<f64>())
    }
}

/// Waits until the other streams of an upstream have stood still for long.
async fn stands_still(node: &Node, upstream: &UpstreamId) {
    let mut looks = 0;
    while looks < STANDSTILL_LOOKS {
        tokio::time::sleep(LOOK_PAUSE).await;
        let now = node.now();
        let is_still = node.state.borrow().loads.is_stalled(upstream, now);
        looks = if is_still { looks + 1 } else { 0 };
    }
}

/// What becomes of a call.
enum Served {
    Refused(Refusal),
    Whole(Response<ReplyBody>),
    Stream(Box<Answer>, EventSplitter, WholeEvents),
}

fn refuse(
    node: &Node,
    id: &str,
    refusal: &Refusal,
    log: Option<&mut CallLog>,
) -> Response<ReplyBody> {
    let status = refusal.kind.status();
    if let Some(log) = log {
        log.ends("refused", status);
    }
    node.metrics
        .count("refusals", &format_compact!("{}", refusal.kind));
    tracing::info!(
        call = id, status, kind = %refusal.kind, ran = %refusal.ran, why = refusal.message,
        retry_after_ms = refusal.retry_after.map(|t| u64::try_from(t.as_millis()).unwrap_or(0)),
        config = node.state.borrow().routes_version, "refused"
    );
    let mut response = Response::new(ReplyBody::Whole(Some(refusal.to_json().into())));
    *response.status_mut() = StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_GATEWAY);
    *response.headers_mut() = node.borders.calls.refusal_headers(refusal, id);
    response
}

impl Call {
    /// Returns whether the stream may go on at another upstream.
    pub(super) fn may_resume(&self) -> bool {
        self.route.repeat == Repeat::Resume && self.attempts < self.route.max_attempts
    }
}
