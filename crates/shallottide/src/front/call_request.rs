//! Parses a caller's HTTP request into a call.

use std::hash::{DefaultHasher, Hash, Hasher};
use std::time::Duration;

use bytes::Bytes;
use hyper::header::{AUTHORIZATION, CONTENT_TYPE, HeaderMap};
use hyper::http::request::Parts;
use serde::Deserialize;
use shallottide_types::call::{CallHead, Target, TraceContext};
use shallottide_types::duration_text;
use shallottide_types::id::{CallId, ModelId, TeamId};
use shallottide_types::record::KeyHash;
use shallottide_types::refusal::{Ran, Refusal, RefusalKind};

use crate::telemetry::new_trace;

/// Path prefix of requests to plain services.
const SERVICE_PATH_PREFIX: &str = "/services/";

/// Leading bytes of a prompt that are hashed for prefix-cache affinity.
const PROMPT_PREFIX_BYTES: usize = 512;

/// Team of a call until the auth service has looked up its key.
const UNKNOWN_TEAM: &str = "unknown";

/// The fields of a completion request that routing needs.
#[derive(Deserialize)]
#[serde(rename = "Completion")]
struct CompletionRequest {
    model: ModelId,
    #[serde(default)]
    stream: bool,
    #[serde(default)]
    prompt: serde_json::Value,
    #[serde(default)]
    messages: serde_json::Value,
}

/// A call read from an HTTP request, before authentication.
pub struct CallRequest {
    /// The call; its team is a placeholder until authentication.
    pub head: CallHead,
    /// Hash of the bearer key; absent when the request has none.
    pub key: Option<KeyHash>,
}

/// Reads a call from a request's head and body. Its time limit is at most `default_timeout`.
///
/// # Errors
/// A refusal with `Ran::No` that names the invalid header or field.
pub fn read_call(
    parts: &Parts,
    body: &Bytes,
    id: CallId,
    default_timeout: Duration,
) -> Result<CallRequest, Refusal> {
    let path = parts.uri.path();
    let query = parts.uri.query().map(|query| format!("?{query}"));
    let query = query.unwrap_or_default();
    let (target, upstream_path, completion) =
        if let Some(rest) = path.strip_prefix(SERVICE_PATH_PREFIX) {
            let (service, path) = rest.split_once('/').unwrap_or((rest, ""));
            let service = service.parse().map_err(bad_request)?;
            (Target::Service(service), format!("/{path}{query}"), None)
        } else {
            validate_model_path(parts)?;
            let completion = read_completion(body)?;
            let target = Target::Model(completion.model.clone());
            (target, format!("{path}{query}"), Some(completion))
        };
    let headers = &parts.headers;
    let head = CallHead {
        id,
        team: UNKNOWN_TEAM.parse::<TeamId>().map_err(bad_request)?,
        target,
        method: parts.method.as_str().into(),
        path: upstream_path.into(),
        content_type: header_text(headers, CONTENT_TYPE.as_str())?.map(Into::into),
        key: match header_text(headers, "idempotency-key")? {
            Some(key) => Some(key.parse().map_err(bad_request)?),
            None => None,
        },
        stream: completion.as_ref().is_some_and(|c| c.stream),
        prefix: completion.as_ref().map(prefix_hash),
        time_left: read_timeout(headers, default_timeout)?,
        trace: read_trace_context(headers)?,
    };
    let key = bearer_key(headers)?.map(KeyHash::of);
    Ok(CallRequest { head, key })
}

fn validate_model_path(parts: &Parts) -> Result<(), Refusal> {
    let path = parts.uri.path();
    let known = matches!(path, "/v1/completions" | "/v1/chat/completions");
    if known && parts.method == hyper::Method::POST {
        return Ok(());
    }
    let message = format!(
        "{} {path} is not served: POST to /v1/completions or /v1/chat/completions, \
         or call /services/NAME/PATH",
        parts.method
    );
    Err(Refusal::new(RefusalKind::NotFound, Ran::No, message))
}

fn read_completion(body: &Bytes) -> Result<CompletionRequest, Refusal> {
    serde_json::from_slice(body).map_err(|e| {
        let message = format!("body is no completion request ({e}): send JSON with \"model\"");
        Refusal::new(RefusalKind::BadRequest, Ran::No, message)
    })
}

/// Hashes the start of the prompt, whose key-value cache an engine may still hold.
fn prefix_hash(completion: &CompletionRequest) -> u64 {
    let mut text = completion.prompt.to_string();
    text.push_str(&completion.messages.to_string());
    let bytes = text.as_bytes();
    let mut hasher = DefaultHasher::new();
    completion.model.hash(&mut hasher);
    bytes[..bytes.len().min(PROMPT_PREFIX_BYTES)].hash(&mut hasher);
    hasher.finish()
}

fn read_timeout(headers: &HeaderMap, default: Duration) -> Result<Duration, Refusal> {
    let Some(value) = header_text(headers, "x-timeout")? else {
        return Ok(default);
    };
    let requested = duration_text::parse(value).map_err(bad_request)?;
    Ok(requested.min(default))
}

pub(super) fn read_trace_context(headers: &HeaderMap) -> Result<TraceContext, Refusal> {
    // A malformed traceparent is ignored, as the W3C Trace Context recommendation specifies.
    let trace = header_text(headers, "traceparent")?.and_then(|value| value.parse().ok());
    Ok(trace.unwrap_or_else(new_trace))
}

pub(super) fn bearer_key(headers: &HeaderMap) -> Result<Option<&str>, Refusal> {
    Ok(header_text(headers, AUTHORIZATION.as_str())?
        .and_then(|value| value.strip_prefix("Bearer "))
        .map(str::trim))
}

fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> Result<Option<&'a str>, Refusal> {
    let Some(value) = headers.get(name) else {
        return Ok(None);
    };
    value.to_str().map(Some).map_err(|_| {
        bad_request(format!(
            "header {name:?} holds bytes outside ASCII: send plain text"
        ))
    })
}

pub(super) fn bad_request(reason: impl std::fmt::Display) -> Refusal {
    Refusal::new(RefusalKind::BadRequest, Ran::No, reason.to_string())
}
