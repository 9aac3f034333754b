//! HTTP client that calls entry nodes with a team's key.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use shallottide_types::call::TraceContext;
use ureq::Agent;

use crate::DemoError;

/// How long a cluster may take after its start until it serves calls.
const START_TIMEOUT: Duration = Duration::from_mins(1);

/// Pause between two attempts.
const RETRY_PAUSE: Duration = Duration::from_millis(50);

/// Timeout of one call.
const CALL_TIMEOUT: Duration = Duration::from_mins(1);

/// Complete answer to a call, which may be a refusal.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Answer {
    /// HTTP status.
    pub status: u16,
    /// Body as text; all events of a stream.
    pub body: String,
    /// Value of the `traceparent` header that the call was sent with.
    pub trace: String,
}

impl Answer {
    /// Returns whether the call was refused without having run, so that it may be retried.
    #[must_use]
    pub fn did_not_run(&self) -> bool {
        self.status >= 400 && self.body.contains(r#""ran":"no""#)
    }

    /// Returns whether the node or the platform can't take the call now. The call may be retried if it
    /// has an idempotency key or does no harm when it runs twice.
    #[must_use]
    pub fn is_unavailable(&self) -> bool {
        self.status == 503
    }

    /// Returns whether a call with the same key is still running, or its outcome is not yet recorded.
    #[must_use]
    pub fn is_running(&self) -> bool {
        self.status == 409 && self.body.contains(r#""kind":"running""#)
    }
}

/// Client of one entry node.
#[derive(Debug, Clone)]
pub struct Caller {
    agent: Agent,
    address: SocketAddr,
    key: String,
}

impl Caller {
    /// Creates a caller of the node at `address` with a team's bearer key.
    #[must_use]
    pub fn new(address: SocketAddr, key: &str) -> Self {
        let config = Agent::config_builder()
            .http_status_as_error(false)
            .max_redirects(0)
            .proxy(None)
            .max_idle_connections(0)
            .timeout_global(Some(CALL_TIMEOUT))
            .build();
        Self {
            agent: Agent::new_with_config(config),
            address,
            key: key.into(),
        }
    }

    /// Requests a streamed completion.
    ///
    /// # Errors
    /// [`DemoError::Http`] if no complete answer is received.
    pub fn complete(&self, prompt: &str, max_tokens: u32) -> Result<Answer, DemoError> {
        let body = serde_json::json!({
            "model": "tide",
            "prompt": prompt,
            "max_tokens": max_tokens,
            "stream": true,
        });
        self.post("/v1/completions", None, &body)
    }

    /// Makes a booking, which runs at most once per idempotency key.
    ///
    /// # Errors
    /// [`DemoError::Http`] if no complete answer is received.
    pub fn book(&self, key: &str, pallets: u32) -> Result<Answer, DemoError> {
        let body = serde_json::json!({"pallets": pallets});
        self.post("/services/bookings/bookings", Some(key), &body)
    }

    /// Requests `count` tickets, to be used as idempotency keys.
    ///
    /// # Errors
    /// [`DemoError::Http`] if no complete answer is received.
    pub fn tickets(&self, count: usize) -> Result<Answer, DemoError> {
        let body = serde_json::json!({"count": count});
        self.post("/tickets", None, &body)
    }

    /// Repeats a call while it is refused temporarily or a call with its key is still running.
    ///
    /// # Errors
    /// [`DemoError::NotServing`] if the call is still refused or running after a minute, and the errors
    /// of `call`.
    pub fn retry_until_served(
        &self,
        what: &'static str,
        call: impl Fn(&Self) -> Result<Answer, DemoError>,
    ) -> Result<Answer, DemoError> {
        let deadline = Instant::now() + START_TIMEOUT;
        loop {
            let answer = call(self)?;
            // A refused call releases its claim shortly after the refusal is sent, so the next attempt can
            // be answered with "running".
            let is_refused = answer.did_not_run() || answer.is_unavailable();
            if !is_refused && !answer.is_running() {
                return Ok(answer);
            }
            if Instant::now() > deadline {
                return Err(DemoError::NotServing {
                    what,
                    status: answer.status,
                    body: answer.body,
                });
            }
            std::thread::sleep(RETRY_PAUSE);
        }
    }

    /// Repeats a booking that ended before, and waits for its recorded answer.
    ///
    /// While the outcome is not yet recorded, the node answers that the booking is running; after a
    /// minute that answer is returned.
    ///
    /// # Errors
    /// Those of [`Caller::book`].
    pub fn repeat_booking(&self, key: &str, pallets: u32) -> Result<Answer, DemoError> {
        let deadline = Instant::now() + START_TIMEOUT;
        loop {
            let answer = self.book(key, pallets)?;
            if !answer.is_running() || Instant::now() > deadline {
                return Ok(answer);
            }
            std::thread::sleep(RETRY_PAUSE);
        }
    }

    fn post(
        &self,
        path: &str,
        key: Option<&str>,
        body: &serde_json::Value,
    ) -> Result<Answer, DemoError> {
        let trace = new_trace().to_string();
        let mut request = self
            .agent
            .post(format!("http://{}{path}", self.address))
            .header("authorization", format!("Bearer {}", self.key))
            .header("traceparent", &trace);
        if let Some(key) = key {
            request = request.header("idempotency-key", key);
        }
        let mut response = request.send_json(body)?;
        Ok(Answer {
            status: response.status().as_u16(),
            body: response.body_mut().read_to_string()?,
            trace,
        })
    }
}

fn new_trace() -> TraceContext {
    let mut trace = shallottide::telemetry::new_trace();
    trace.span_id = 1;
    trace
}
