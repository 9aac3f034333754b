//! Runs each dispatched call on its own thread and reports its events to the calls service.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};

use shallottide_types::call::ReplyHead;
use shallottide_types::id::AttemptId;
use shallottide_types::retry_after::RetryAfter;
use ureq::http::{Request, Response, StatusCode};
use ureq::{Agent, Body};

use super::answer_reader::{AnswerError, read_events, read_plain};
use super::attempt_agent::attempt_agent;
use crate::http_connect::connect_failure_reason;
use crate::kernel::{KernelHandle, names};
use crate::message::{AttemptEvent, AttemptFailure, Dispatch, Message};
use crate::telemetry::{CallSpan, Metrics};

/// Header with the call id, echoed by upstreams.
const REQUEST_ID_HEADER: &str = "x-request-id";

/// Header of an upstream's answer that says the call was refused before it ran.
const NOT_RUN_HEADER: &str = "x-not-run";

/// Agents of the attempts in progress; shutting one down cancels its attempt.
type RunningAttempts = Arc<Mutex<BTreeMap<AttemptId, Agent>>>;

/// Adapter to engines and plain services. Clones share their state.
#[derive(Clone)]
pub struct UpstreamAdapter {
    kernel: KernelHandle,
    metrics: Metrics,
    running: RunningAttempts,
}

impl UpstreamAdapter {
    /// Creates the adapter, which reports to the kernel's `calls` service.
    #[must_use]
    pub fn new(kernel: KernelHandle, metrics: Metrics) -> Self {
        Self {
            kernel,
            metrics,
            running: RunningAttempts::default(),
        }
    }

    /// Handles a message from the kernel without blocking.
    pub fn send(&self, message: Message) {
        match message {
            Message::Dispatch(dispatch) => self.dispatch(dispatch),
            Message::CancelAttempt(cancel) => self.cancel(cancel.attempt),
            _ => {}
        }
    }

    fn cancel(&self, attempt: AttemptId) {
        let agent = self.running.lock().expect("running lock").remove(&attempt);
        if let Some(agent) = agent {
            agent.shutdown();
        }
    }

    fn dispatch(&self, dispatch: Dispatch) {
        let attempt = dispatch.attempt;
        let agent = attempt_agent(dispatch.head.time_left, dispatch.idle_timeout);
        self.running
            .lock()
            .expect("running lock")
            .insert(attempt, agent.clone());
        let adapter = self.clone();
        let spawned = std::thread::Builder::new()
            .name("upstream".into())
            .spawn(move || adapter.run(&dispatch, &agent));
        if let Err(e) = spawned {
            let failure = AttemptFailure::NotSent(format!("no thread for the call: {e}"));
            self.finish(attempt, AttemptEvent::Failed(failure));
        }
    }

    fn run(&self, dispatch: &Dispatch, agent: &Agent) {
        let mut span = CallSpan::start(
            "upstream",
            &dispatch.head.id,
            dispatch.head.trace,
            &self.metrics,
        );
        let result = self.exchange(dispatch, agent, &span);
        let event = match result {
            Ok(()) => AttemptEvent::End,
            Err(failure) => AttemptEvent::Failed(failure),
        };
        set_outcome(&mut span, &event);
        self.finish(dispatch.attempt, event);
    }

    fn finish(&self, attempt: AttemptId, event: AttemptEvent) {
        self.running.lock().expect("running lock").remove(&attempt);
        self.report(attempt, event);
    }

    fn report(&self, attempt: AttemptId, event: AttemptEvent) {
        self.kernel
            .send(names::CALLS, Message::Attempt(attempt, event));
    }

    fn exchange(
        &self,
        dispatch: &Dispatch,
        agent: &Agent,
        span: &CallSpan,
    ) -> Result<(), AttemptFailure> {
        let request = build_request(dispatch, span)?;
        let response = agent
            .run(request)
            .map_err(|e| match connect_failure_reason(&e) {
                Some(reason) => {
                    AttemptFailure::NotSent(format!("the upstream can't be reached: {reason}"))
                }
                None => AttemptFailure::Lost(format!("no answer from the upstream: {e}")),
            })?;
        validate_id(dispatch, &response)?;
        if let Some(wait) = asked_wait(dispatch, &response) {
            self.report(dispatch.attempt, AttemptEvent::RetryAfter(wait.0));
        }
        validate_run(&response)?;
        let head = ReplyHead {
            status: response.status().as_u16(),
            content_type: header_text(&response, "content-type")
                .unwrap_or_default()
                .into(),
        };
        let is_stream = head.content_type.starts_with("text/event-stream");
        let framing = Framing::of(&response);
        self.report(dispatch.attempt, AttemptEvent::Head(head));
        let report_data = |part| self.report(dispatch.attempt, AttemptEvent::Data(part));
        let body = response.into_body().into_reader();
        let read = match framing {
            _ if is_stream => read_events(body, dispatch.resume_from > 0, report_data),
            Framing::Length(length) => read_plain(body, Some(length), report_data),
            Framing::Chunked => read_plain(body, None, report_data),
            Framing::Unknown => Err(AnswerError::UnknownLength),
        };
        read.map_err(|e| AttemptFailure::Lost(e.to_string()))
    }
}

fn set_outcome(span: &mut CallSpan, event: &AttemptEvent) {
    let AttemptEvent::Failed(failure) = event else {
        span.set_outcome("complete", "");
        return;
    };
    match failure {
        AttemptFailure::NotSent(reason) => span.set_outcome("not_sent", reason),
        AttemptFailure::NotRun(reason) => span.set_outcome("not_run", reason),
        AttemptFailure::Lost(reason) => span.set_outcome("lost", reason),
        AttemptFailure::Refused(refusal) => span.set_outcome(refusal.kind, refusal.to_string()),
    }
}

/// How the end of a body is known.
enum Framing {
    /// By its content length in bytes.
    Length(u64),
    /// By the last chunk of chunked encoding.
    Chunked,
    /// Not at all.
    Unknown,
}

impl Framing {
    fn of(response: &Response<Body>) -> Self {
        let chunked = header_text(response, "transfer-encoding")
            .is_some_and(|value| value.eq_ignore_ascii_case("chunked"));
        let length = header_text(response, "content-length").and_then(|value| value.parse().ok());
        match (chunked, length) {
            (true, _) => Self::Chunked,
            (false, Some(length)) => Self::Length(length),
            (false, None) if response.status().as_u16() == 204 => Self::Length(0),
            (false, None) => Self::Unknown,
        }
    }
}

fn build_request(dispatch: &Dispatch, span: &CallSpan) -> Result<Request<Vec<u8>>, AttemptFailure> {
    let head = &dispatch.head;
    let mut builder = Request::builder()
        .method(head.method.as_str())
        .uri(format!("http://{}{}", dispatch.address, head.path))
        .header(REQUEST_ID_HEADER, head.id.as_str())
        .header("x-team", head.team.as_str())
        .header("traceparent", span.trace().to_string());
    if let Some(content_type) = &head.content_type {
        builder = builder.header("content-type", content_type.as_str());
    }
    if let Some(key) = &head.key {
        builder = builder.header("idempotency-key", key.as_str());
    }
    if dispatch.resume_from > 0 {
        builder = builder.header("x-resume-from", dispatch.resume_from);
    }
    builder
        .body(dispatch.body.to_vec())
        .map_err(|e| AttemptFailure::NotSent(format!("the request can't be built: {e}")))
}

fn validate_id(dispatch: &Dispatch, response: &Response<Body>) -> Result<(), AttemptFailure> {
    let id = header_text(response, REQUEST_ID_HEADER);
    if id.is_some_and(|id| id != dispatch.head.id.as_str()) {
        return Err(AttemptFailure::Lost(
            "the upstream answered another call".into(),
        ));
    }
    Ok(())
}

/// Returns the time for which the upstream asks for no requests, if it turned the call away.
fn asked_wait(dispatch: &Dispatch, response: &Response<Body>) -> Option<RetryAfter> {
    if response.status() != StatusCode::SERVICE_UNAVAILABLE {
        return None;
    }
    let wait = header_text(response, "retry-after")?.parse::<RetryAfter>();
    let upstream = dispatch.address;
    wait.inspect_err(|error| {
        tracing::warn!(%upstream, %error, "could not read the retry-after of an upstream");
    })
    .ok()
}

fn validate_run(response: &Response<Body>) -> Result<(), AttemptFailure> {
    if header_text(response, NOT_RUN_HEADER).is_some() {
        let status = response.status();
        return Err(AttemptFailure::NotRun(format!(
            "the upstream refused before running ({status})"
        )));
    }
    Ok(())
}

fn header_text<'a>(response: &'a Response<Body>, name: &str) -> Option<&'a str> {
    response.headers().get(name)?.to_str().ok()
}
