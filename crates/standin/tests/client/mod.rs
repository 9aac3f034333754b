//! A small HTTP client for the server tests.

#![allow(dead_code, reason = "each test file uses its own part")]

use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::time::Duration;

use serde_json::Value;
use ureq::http::Response;
use ureq::{Agent, Body};

/// Time after which a silent connection counts as hung.
const HANG_TIMEOUT: Duration = Duration::from_secs(20);

pub(crate) type Answer = Result<Response<Body>, ureq::Error>;

pub(crate) fn agent() -> Agent {
    agent_with_timeout(HANG_TIMEOUT)
}

pub(crate) fn agent_with_timeout(timeout: Duration) -> Agent {
    let config = Agent::config_builder().http_status_as_error(false);
    config.timeout_per_read(Some(timeout)).build().into()
}

pub(crate) fn get(address: SocketAddr, path: &str) -> Answer {
    agent().get(format!("http://{address}{path}")).call()
}

pub(crate) fn put(address: SocketAddr, path: &str, body: &str) -> Answer {
    agent().put(format!("http://{address}{path}")).send(body)
}

pub(crate) fn post(address: SocketAddr, path: &str, id: &str, body: &str) -> Answer {
    let request = agent().post(format!("http://{address}{path}"));
    request.header("X-Request-Id", id).send(body)
}

pub(crate) fn header(answer: &Response<Body>, name: &str) -> Option<String> {
    let value = answer.headers().get(name)?;
    value.to_str().ok().map(Into::into)
}

pub(crate) fn json(answer: Answer) -> Value {
    answer.unwrap().body_mut().read_json().unwrap()
}

/// Reads server-sent events until the stream ends or is cut.
pub(crate) fn events(answer: Response<Body>) -> impl Iterator<Item = String> {
    let lines = BufReader::new(answer.into_body().into_reader()).lines();
    let lines = lines.map_while(Result::ok);
    lines.filter_map(|line| line.strip_prefix("data: ").map(Into::into))
}

/// Waits until a condition holds; panics after [`HANG_TIMEOUT`].
pub(crate) fn wait_until(what: &str, mut holds: impl FnMut() -> bool) {
    let start = std::time::Instant::now();
    while !holds() {
        assert!(
            start.elapsed() < HANG_TIMEOUT,
            "timed out waiting for: {what}"
        );
        std::thread::sleep(Duration::from_millis(5));
    }
}
