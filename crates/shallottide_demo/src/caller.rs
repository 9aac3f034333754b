//! Calls entry nodes as a team would.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use shallottide_types::call::TraceContext;
use ureq::Agent;

use crate::DemoError;

/// Longest time that a cluster may take to serve after its start.
const START_TIMEOUT: Duration = Duration::from_mins(1);

/// Pause between two tries.
const PAUSE: Duration = Duration::from_millis(50);

/// Longest wait for one answer.
const CALL_TIMEOUT: Duration = Duration::from_mins(1);

/// An answer, whole or a refusal.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Answer {
    /// HTTP status.
    pub status: u16,
    /// Body.
    pub body: String,
    /// The trace that the call was sent with.
    pub trace: String,
}

impl Answer {
    /// Tells whether the call was refused without having run, so that it may be tried again.
    #[must_use]
    pub fn did_not_run(&self) -> bool {
        self.status >= 400 && self.body.contains(r#""ran":"no""#)
    }

    /// Tells whether the node or the platform can't take the call now; with a key, or without
    /// harm when it runs twice, it may be tried again.
    #[must_use]
    pub fn is_unavailable(&self) -> bool {
        self.status == 503
    }

    /// Tells whether the same call is still running, or its outcome not yet recorded.
    #[must_use]
    pub fn is_running(&self) -> bool {
        self.status == 409 && self.body.contains(r#""kind":"running""#)
    }
}

/// A caller of one entry node.
#[derive(Debug, Clone)]
pub struct Caller {
    agent: Agent,
    address: SocketAddr,
    key: String,
}

impl Caller {
    /// Creates a caller with a team's bearer key.
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

    /// Asks for a streamed completion.
    ///
    /// # Errors
    /// [`DemoError::Http`] when there is no whole answer.
    pub fn complete(&self, prompt: &str, max_tokens: u32) -> Result<Answer, DemoError> {
        let body = serde_json::json!({
            "model": "tide",
            "prompt": prompt,
            "max_tokens": max_tokens,
            "stream": true,
        });
        self.post("/v1/completions", None, &body)
    }

    /// Makes a booking that runs at most once for its key.
    ///
    /// # Errors
    /// [`DemoError::Http`] when there is no whole answer.
    pub fn book(&self, key: &str, pallets: u32) -> Result<Answer, DemoError> {
        let body = serde_json::json!({"pallets": pallets});
        self.post("/services/bookings/bookings", Some(key), &body)
    }

    /// Fetches tickets, to be used as keys.
    ///
    /// # Errors
    /// [`DemoError::Http`] when there is no whole answer.
    pub fn tickets(&self, count: usize) -> Result<Answer, DemoError> {
        let body = serde_json::json!({"count": count});
        self.post("/tickets", None, &body)
    }

    /// Tries a call again while it is refused for now, or said to be running.
    ///
    /// # Errors
    /// [`DemoError::NotServing`] after a minute, and those of the call.
    pub fn retry_until_served(
        &self,
        what: &'static str,
        call: impl Fn(&Self) -> Result<Answer, DemoError>,
    ) -> Result<Answer, DemoError> {
        let deadline = Instant::now() + START_TIMEOUT;
        loop {
            let answer = call(self)?;
            // A refused claim is given back a moment after its refusal was told.
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
            std::thread::sleep(PAUSE);
        }
    }

    /// Makes a booking again that ended before, and waits for its recorded answer.
    ///
    /// Until the outcome is recorded, the answer is that the booking is running.
    ///
    /// # Errors
    /// Those of the call.
    pub fn repeat_booking(&self, key: &str, pallets: u32) -> Result<Answer, DemoError> {
        let deadline = Instant::now() + START_TIMEOUT;
        loop {
            let answer = self.book(key, pallets)?;
            if !answer.is_running() || Instant::now() > deadline {
                return Ok(answer);
            }
            std::thread::sleep(PAUSE);
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
