//! One HTTP call to the platform, and the mapping of its failures to [`PlatformError`].

use std::time::Duration;

use http::{Method, StatusCode};
use shallottide_types::id::{StoreEra, StoreIndex};
use shallottide_types::platform::PlatformError;
use ureq::Agent;
use ureq::unversioned::resolver::DefaultResolver;

use super::platform_options::PlatformOptions;
use crate::http_connect::{MarkingConnector, connect_failure_reason};

/// Response header with the store's index.
const INDEX_HEADER: &str = "x-consul-index";

/// Response header with the store's era.
const ERA_HEADER: &str = "store-era";

/// Request header with the access token.
const TOKEN_HEADER: &str = "x-consul-token";

/// Longest part of an unexpected answer that an error shows, in characters.
const MAX_SHOWN_CHARS: usize = 80;

/// A call to the platform.
#[derive(Debug)]
pub(super) struct HttpCall<'a> {
    pub(super) method: Method,
    /// Path and query, escaped.
    pub(super) path: String,
    pub(super) body: &'a [u8],
    /// How long the platform may hold the call before it answers, for a watch.
    pub(super) hold_time: Duration,
}

impl<'a> HttpCall<'a> {
    pub(super) fn read(path: String) -> Self {
        Self::new(Method::GET, path, &[])
    }

    pub(super) fn write(path: String, body: &'a [u8]) -> Self {
        Self::new(Method::PUT, path, body)
    }

    pub(super) fn delete(path: String) -> Self {
        Self::new(Method::DELETE, path, &[])
    }

    fn new(method: Method, path: String, body: &'a [u8]) -> Self {
        Self {
            method,
            path,
            body,
            hold_time: Duration::ZERO,
        }
    }

    /// Sets how long the platform may hold the call.
    pub(super) fn hold_for(mut self, hold_time: Duration) -> Self {
        self.hold_time = hold_time;
        self
    }

    pub(super) fn is_read(&self) -> bool {
        self.method == Method::GET
    }
}

/// A complete answer with status 200 or 404.
#[derive(Debug)]
pub(super) struct HttpAnswer {
    /// Whether the status was 200.
    pub(super) found: bool,
    /// The store's era; the first one if the answer has no such header.
    pub(super) era: StoreEra,
    /// The store's position, if the answer has the header of its index.
    pub(super) index: Option<StoreIndex>,
    pub(super) body: Vec<u8>,
}

/// Creates an agent that opens a connection for each call and never retries.
///
/// A pooled connection may be dead without notice, and for a write sent on a connection that the
/// platform is closing it would be unknown whether it took effect.
pub(super) fn agent(options: &PlatformOptions) -> Agent {
    let config = Agent::config_builder()
        .max_idle_connections(0)
        .max_idle_connections_per_host(0)
        .max_redirects(0)
        .max_redirects_will_error(false)
        .http_status_as_error(false)
        .proxy(None)
        .timeout_connect(Some(options.connect_timeout))
        .timeout_resolve(Some(options.connect_timeout))
        .build();
    Agent::with_parts(
        config,
        MarkingConnector::default(),
        DefaultResolver::default(),
    )
}

/// Sends a call to one address.
pub(super) fn send(
    agent: &Agent,
    options: &PlatformOptions,
    address: &str,
    call: &HttpCall<'_>,
) -> Result<HttpAnswer, PlatformError> {
    let mut response =
        exchange(agent, options, address, call).map_err(|e| transport_error(address, &e))?;
    let status = response.status();
    let era = header_number(&response, ERA_HEADER).map_or(StoreEra(0), StoreEra);
    let index = header_number(&response, INDEX_HEADER);
    let index = index.map(|index| StoreIndex::new(era, index));
    let body = response
        .body_mut()
        .with_config()
        .limit(options.max_answer_bytes)
        .read_to_vec()
        .map_err(|e| PlatformError::AnswerLost(e.to_string()))?;
    match status {
        StatusCode::OK | StatusCode::NOT_FOUND => Ok(HttpAnswer {
            found: status == StatusCode::OK,
            era,
            index,
            body,
        }),
        StatusCode::TOO_MANY_REQUESTS => Err(PlatformError::RateLimited),
        _ => Err(status_error(status, &body)),
    }
}

fn exchange(
    agent: &Agent,
    options: &PlatformOptions,
    address: &str,
    call: &HttpCall<'_>,
) -> Result<http::Response<ureq::Body>, ureq::Error> {
    let mut request = http::Request::builder()
        .method(call.method.clone())
        .uri(format!("{address}{}", call.path));
    if !options.token.is_empty() {
        request = request.header(TOKEN_HEADER, options.token.expose());
    }
    let timeout = options.connect_timeout + options.answer_timeout + call.hold_time;
    if call.body.is_empty() && call.method != Method::PUT {
        let request = agent
            .configure_request(request.body(())?)
            .timeout_global(Some(timeout))
            .build();
        return agent.run(request);
    }
    let request = agent
        .configure_request(request.body(call.body)?)
        .timeout_global(Some(timeout))
        .build();
    agent.run(request)
}

fn transport_error(address: &str, error: &ureq::Error) -> PlatformError {
    match connect_failure_reason(error) {
        Some(reason) => PlatformError::Unreachable {
            address: address.into(),
            reason,
        },
        None => PlatformError::AnswerLost(error.to_string()),
    }
}

/// After status 5xx it is unknown whether the call took effect; any other status is a refusal.
fn status_error(status: StatusCode, body: &[u8]) -> PlatformError {
    let shown: String = String::from_utf8_lossy(body)
        .chars()
        .take(MAX_SHOWN_CHARS)
        .collect();
    let text = format!("status {}: {shown}", status.as_u16());
    if status.is_server_error() {
        PlatformError::AnswerLost(text)
    } else {
        PlatformError::Malformed(text)
    }
}

fn header_number(response: &http::Response<ureq::Body>, name: &str) -> Option<u64> {
    response.headers().get(name)?.to_str().ok()?.parse().ok()
}
