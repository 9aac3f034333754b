//! Handles the requests of callers' connections.

use std::convert::Infallible;
use std::sync::Arc;

use bytes::Bytes;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::Incoming;
use hyper::header::{CACHE_CONTROL, CONTENT_TYPE, HeaderValue, RETRY_AFTER};
use hyper::{Request, Response};
use shallottide_types::call::{ReplyEvent, ReplyHead};
use shallottide_types::refusal::{Ran, Refusal, RefusalKind};
use tokio::sync::mpsc;

use super::call_request::{CallRequest, read_call, read_trace_context};
use super::front_adapter::SharedState;
use super::reply_body::{EventBody, ReplyBody};
use super::ticket_request::{TicketRequest, read_ticket_request};
use crate::kernel::names;
use crate::message::{CallArrived, UnauthenticatedCall, UnauthenticatedTicketRequest};
use crate::replies::DisconnectGuard;
use crate::telemetry::CallSpan;

/// Header with the caller's id of its request, echoed in the response.
const REQUEST_ID_HEADER: &str = "x-request-id";

/// Responds to one request.
pub(super) async fn serve(
    front: Arc<SharedState>,
    request: Request<Incoming>,
) -> Result<Response<ReplyBody>, Infallible> {
    let request_id = request.headers().get(REQUEST_ID_HEADER).cloned();
    let mut response = match request.uri().path() {
        "/livez" => text_response(200, "live\n"),
        "/readyz" => readiness_response(&front),
        "/tickets" => mint_tickets(&front, request)
            .await
            .unwrap_or_else(|e| refusal_response(&e)),
        _ => serve_call(&front, request)
            .await
            .unwrap_or_else(|e| refusal_response(&e)),
    };
    if let Some(id) = request_id {
        response.headers_mut().insert(REQUEST_ID_HEADER, id);
    }
    Ok(response)
}

fn readiness_response(front: &SharedState) -> Response<ReplyBody> {
    if front.ready.is_ready() {
        text_response(200, "ready\n")
    } else {
        text_response(503, "not ready: starting or stopping\n")
    }
}

async fn serve_call(
    front: &Arc<SharedState>,
    request: Request<Incoming>,
) -> Result<Response<ReplyBody>, Refusal> {
    let (parts, body) = request.into_parts();
    let body = read_body(front, body).await?;
    let id = front.next_call_id();
    let CallRequest { mut head, key } =
        read_call(&parts, &body, id, front.options.limits.call_timeout)?;
    let span = CallSpan::start("front", &head.id, head.trace, &front.options.metrics);
    head.trace = span.trace();
    let (guard, mut events) = front.reply_router.register();
    let call = CallArrived {
        reply_to: guard.reply_to(),
        head,
        body,
        slot: None,
        resume_from: 0,
    };
    front
        .kernel
        .send(names::AUTH, UnauthenticatedCall { key, call });
    let first = events.recv().await;
    response_from_first_event(first, events, guard, span)
}

/// Mints tickets for the caller's team.
async fn mint_tickets(
    front: &Arc<SharedState>,
    request: Request<Incoming>,
) -> Result<Response<ReplyBody>, Refusal> {
    let (parts, body) = request.into_parts();
    let body = read_body(front, body).await?;
    let TicketRequest { key, count } = read_ticket_request(&parts, &body)?;
    let trace = read_trace_context(&parts.headers)?;
    let span = CallSpan::start(
        "tickets",
        &front.next_call_id(),
        trace,
        &front.options.metrics,
    );
    let (guard, mut events) = front.reply_router.register();
    let request = UnauthenticatedTicketRequest {
        reply_to: guard.reply_to(),
        key,
        count,
    };
    front.kernel.send(names::AUTH, request);
    let first = events.recv().await;
    response_from_first_event(first, events, guard, span)
}

/// Builds the response whose body, if any, streams the remaining events.
fn response_from_first_event(
    first: Option<ReplyEvent>,
    events: mpsc::Receiver<ReplyEvent>,
    mut guard: DisconnectGuard,
    mut span: CallSpan,
) -> Result<Response<ReplyBody>, Refusal> {
    match first {
        Some(ReplyEvent::Head(head)) => Ok(event_response(&head, events, guard, span)),
        Some(ReplyEvent::Fail(refusal)) => {
            guard.end();
            span.set_outcome(refusal.kind, refusal.to_string());
            Err(refusal)
        }
        _ => {
            let message = "the node gave no answer: retry with the same key";
            Err(Refusal::new(RefusalKind::Internal, Ran::Unknown, message))
        }
    }
}

fn event_response(
    head: &ReplyHead,
    events: mpsc::Receiver<ReplyEvent>,
    guard: DisconnectGuard,
    span: CallSpan,
) -> Response<ReplyBody> {
    let is_stream = head.content_type.starts_with("text/event-stream");
    let mut response = Response::new(ReplyBody::Events(Box::new(EventBody {
        events,
        is_stream,
        guard,
        span,
        ended: false,
    })));
    set_status(&mut response, head.status);
    if let Ok(value) = HeaderValue::from_str(&head.content_type) {
        response.headers_mut().insert(CONTENT_TYPE, value);
    }
    if is_stream {
        let headers = response.headers_mut();
        headers.insert(CACHE_CONTROL, HeaderValue::from_static("no-cache"));
    }
    response
}

async fn read_body(front: &SharedState, body: Incoming) -> Result<Bytes, Refusal> {
    let limits = &front.options.limits;
    let size = usize::try_from(limits.body_size.0).unwrap_or(usize::MAX);
    let body = Limited::new(body, size).collect();
    let collected = tokio::time::timeout(limits.body_timeout, body)
        .await
        .map_err(|_| {
            let message = "the body came too slowly: send it faster or in parts";
            Refusal::new(RefusalKind::BadRequest, Ran::No, message)
        })?;
    collected
        .map(http_body_util::Collected::to_bytes)
        .map_err(|e| {
            if e.is::<LengthLimitError>() {
                let message = format!("the body is larger than {}: send less", limits.body_size);
                Refusal::new(RefusalKind::TooLarge, Ran::No, message)
            } else {
                let message = format!("the body can't be read ({e}): send it again");
                Refusal::new(RefusalKind::BadRequest, Ran::No, message)
            }
        })
}

/// Builds the error response for a refusal.
fn refusal_response(refusal: &Refusal) -> Response<ReplyBody> {
    let mut response = text_response(refusal.kind.status(), refusal.to_json());
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    if let Some(wait) = refusal.retry_after {
        // Retry-After has whole seconds only: rounded up, so that no caller retries too early.
        let seconds = wait.as_secs() + u64::from(wait.subsec_nanos() > 0);
        headers.insert(RETRY_AFTER, HeaderValue::from(seconds));
    }
    response
}

fn text_response(status: u16, text: impl Into<Bytes>) -> Response<ReplyBody> {
    let mut response = Response::new(ReplyBody::complete(text));
    set_status(&mut response, status);
    response
}

fn set_status(response: &mut Response<ReplyBody>, status: u16) {
    if let Ok(status) = hyper::StatusCode::from_u16(status) {
        *response.status_mut() = status;
    }
}
