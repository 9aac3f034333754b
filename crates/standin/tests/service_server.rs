//! Tests the plain service over HTTP.

mod client;

use std::time::Duration;

use client::{agent_with_timeout, get, header, json, put};
use serde_json::json;
use shallottide_types::cases;
use standin::service::{ServiceFaults, ServiceOptions, ServiceServer};

fn book(server: &ServiceServer, id: &str) -> client::Answer {
    let agent = agent_with_timeout(Duration::from_secs(1));
    let request = agent.post(format!("http://{}/bookings", server.address()));
    let request = request.header("X-Request-Id", id);
    request.header("Idempotency-Key", "k1").send("{}")
}

#[test]
fn runs_are_counted_by_key_and_request_id() {
    let server = ServiceServer::start(ServiceOptions::default()).unwrap();
    let first = book(&server, "r1").unwrap();
    assert_eq!(header(&first, "X-Request-Id").as_deref(), Some("r1"));
    assert!(header(&first, "Content-Length").is_some());
    let first = json(Ok(first));
    assert_eq!(
        (&first["run"], &first["path"]),
        (&json!(1), &json!("/bookings"))
    );
    assert_eq!(json(book(&server, "r2"))["run"], 2);
    let runs = json(get(server.address(), "/control/runs"));
    assert_eq!(runs, json!({"k1": 2}));
    let requests = json(get(server.address(), "/control/requests"));
    assert_eq!(requests, json!({"r1": 1, "r2": 1}));
}

#[test]
fn full_service_refuses_before_running() {
    let options = ServiceOptions {
        capacity: 0,
        ..ServiceOptions::default()
    };
    let server = ServiceServer::start(options).unwrap();
    let refused = book(&server, "r1").unwrap();
    assert_eq!(refused.status(), 503);
    assert_eq!(header(&refused, "X-Not-Run").as_deref(), Some("1"));
    assert!(server.runs().by_key().is_empty());
}

/// Makes a booking under a fault and checks whether the caller gets a response, how often the call
/// ran, and that the next call is answered.
fn check_fault(faults: &str, answered: bool, expected_runs: u32) {
    let server = ServiceServer::start(ServiceOptions::default()).unwrap();
    let control = format!(r#"{{"faults":{faults}}}"#);
    assert_eq!(json(put(server.address(), "/control", &control)), true);
    let body = book(&server, "r1").and_then(|mut answer| answer.body_mut().read_to_string());
    assert_eq!(body.is_ok(), answered);
    assert_eq!(
        server.runs().by_key().get("k1").copied().unwrap_or(0),
        expected_runs
    );
    assert_eq!(json(book(&server, "r2"))["run"], expected_runs + 1);
}

cases! {
    check_fault;
    without_fault: "{}", true, 1;
    closed_before_run: r#"{"close_before_run":1}"#, false, 0;
    answer_lost: r#"{"lose_answers":1}"#, false, 1;
    silent_after_run: r#"{"silent":1}"#, false, 1;
    answer_cut: r#"{"cut_answers":1}"#, false, 1;
    delayed: r#"{"delay_ms":1}"#, true, 1;
}

#[test]
fn response_can_carry_the_request_id_of_another_call() {
    let server = ServiceServer::start(ServiceOptions {
        faults: ServiceFaults {
            wrong_request_id: 1,
            ..ServiceFaults::default()
        },
        ..ServiceOptions::default()
    });
    let server = server.unwrap();
    let wrong = header(&book(&server, "r1").unwrap(), "X-Request-Id");
    assert_eq!(wrong.as_deref(), Some("another-call"));
    let right = header(&book(&server, "r2").unwrap(), "X-Request-Id");
    assert_eq!(right.as_deref(), Some("r2"));
}
