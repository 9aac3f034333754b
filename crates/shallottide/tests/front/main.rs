//! The front adapter: limits, slow and disconnected callers, and streamed answers.

mod front_node;

use std::io::{Read, Write};
use std::net::{Shutdown, TcpStream};
use std::time::Duration;

use bytes::Bytes;
use front_node::FrontNode;
use shallottide::settings::Limits;
use shallottide_types::call::{ReplyEvent, ReplyHead};
use shallottide_types::cases;
use shallottide_types::quantity::ByteSize;
use shallottide_types::refusal::{Ran, Refusal, RefusalKind};

/// A wait this long means that the test has failed.
const FAILURE_TIMEOUT: Duration = Duration::from_mins(1);

const COMPLETION: &str = r#"{"model":"tide","prompt":"hello"}"#;

fn limits() -> Limits {
    Limits {
        connections: 2,
        header_size: ByteSize(8 << 10),
        body_size: ByteSize(1 << 10),
        ..Limits::default()
    }
}

fn request(path: &str, headers: &str, body: &str) -> String {
    let length = body.len();
    format!("POST {path} HTTP/1.1\r\nhost: x\r\n{headers}content-length: {length}\r\n\r\n{body}")
}

fn head(content_type: &str) -> ReplyEvent {
    ReplyEvent::Head(ReplyHead {
        status: 200,
        content_type: content_type.into(),
    })
}

fn data(text: &'static str) -> ReplyEvent {
    ReplyEvent::Data(Bytes::from_static(text.as_bytes()))
}

/// Sends bytes on a new connection and reads until the node closes it.
fn exchange(node: &FrontNode, bytes: &str) -> String {
    let mut stream = node.connect();
    stream.write_all(bytes.as_bytes()).expect("open");
    read_to_close(&mut stream)
}

fn read_to_close(stream: &mut TcpStream) -> String {
    let mut text = Vec::new();
    let mut buf = [0; 4096];
    // A reset after the answer counts as a close.
    while let Ok(n) = stream.read(&mut buf) {
        if n == 0 {
            break;
        }
        text.extend_from_slice(&buf[..n]);
    }
    String::from_utf8_lossy(&text).into_owned()
}

fn check_refused(request: &str, parts: &[&str]) {
    let node = FrontNode::start(limits());
    let answer = exchange(&node, &with_connection_close(request));
    for part in parts {
        assert!(answer.contains(part), "no {part:?} in {answer}");
    }
    assert!(
        node.calls.try_recv().is_err(),
        "the call reached the kernel"
    );
}

/// Adds a header that makes the node close the connection after the answer.
fn with_connection_close(request: &str) -> String {
    request.replacen("host: x", "host: x\r\nconnection: close", 1)
}

cases! {
    check_refused;
    unknown_path_is_not_found: &request("/v2/completions", "", COMPLETION), &["404", "not_found", r#""ran":"no""#, "/v1/completions"];
    malformed_body_is_refused: &request("/v1/completions", "", "{"), &["400", "bad_request", r#""ran":"no""#];
    body_without_model_is_refused: &request("/v1/completions", "", "{}"), &["400", "model"];
    too_large_body_is_refused: &request("/v1/completions", "", &"x".repeat(2 << 10)), &["413", "too_large", "1KiB"];
    too_large_header_is_refused: &request("/v1/completions", &format!("x: {}\r\n", "x".repeat(16 << 10)), COMPLETION), &["431"];
    malformed_key_is_refused: &request("/v1/completions", "idempotency-key: a b\r\n", COMPLETION), &["400", "IdempotencyKey"];
    timeout_without_unit_is_refused: &request("/v1/completions", "x-timeout: 5\r\n", COMPLETION), &["400", "needs a unit"];
    header_outside_ascii_is_refused: &request("/v1/completions", "idempotency-key: \u{fc}\r\n", COMPLETION), &["400", "ASCII"];
    empty_service_name_is_refused: &request("/services//x", "", ""), &["400", "ServiceId"];
    get_of_tickets_is_not_found: "GET /tickets HTTP/1.1\r\nhost: x\r\n\r\n", &["404", "POST", r#""ran":"no""#];
    ticket_count_that_is_no_number_is_refused: &request("/tickets", "", r#"{"count":"x"}"#), &["400", "count", r#""ran":"no""#];
    negative_ticket_count_is_refused: &request("/tickets", "", r#"{"count":-1}"#), &["400", "count"];
    ticket_request_with_unknown_field_is_refused: &request("/tickets", "", r#"{"amount":1}"#), &["400", "amount"];
    bytes_that_are_not_http_are_refused: "hello\r\nhost: x\r\n\r\n", &["400"];
}

fn check_closed_after_timeout(bytes: &str) {
    let node = FrontNode::start(Limits {
        header_timeout: Duration::from_millis(50),
        body_timeout: Duration::from_millis(50),
        ..limits()
    });
    // Returns only when the node closes the connection.
    exchange(&node, bytes);
    assert!(
        node.calls.try_recv().is_err(),
        "the call reached the kernel"
    );
}

cases! {
    check_closed_after_timeout;
    connection_without_request_is_closed: "";
    connection_with_partial_header_is_closed: "POST /v1/completions HTTP/1.1\r\nhost: x\r\n";
    partial_body_is_refused: "POST /v1/completions HTTP/1.1\r\nhost: x\r\ncontent-length: 9\r\nconnection: close\r\n\r\n{";
}

#[test]
fn connections_above_the_limit_are_closed_and_later_ones_served() {
    let node = FrontNode::start(limits());
    let first = node.connect();
    let second = node.connect();
    node.wait_open(2);
    assert_eq!(read_to_close(&mut node.connect()), "");
    drop(first);
    node.wait_open(1);
    let answer = exchange(
        &node,
        "GET /livez HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n",
    );
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    drop(second);
}

#[test]
fn event_is_sent_before_the_next_one_arrives() {
    let node = FrontNode::start(limits());
    let mut stream = node.connect();
    let bytes = with_connection_close(&request(
        "/v1/completions",
        "x-request-id: mine\r\n",
        COMPLETION,
    ));
    stream.write_all(bytes.as_bytes()).expect("open");
    let call = node.calls.recv_timeout(FAILURE_TIMEOUT).expect("the call");
    let mut seen = String::new();
    node.reply(call.reply_to, head("text/event-stream"));
    for event in ["data: a\n\n", "data: b\n\n"] {
        node.reply(call.reply_to, data(event));
        while !seen.contains(event) {
            let mut buf = [0; 1024];
            let n = stream.read(&mut buf).expect("open");
            assert!(n > 0, "closed after {seen}");
            seen.push_str(&String::from_utf8_lossy(&buf[..n]));
        }
    }
    node.reply(call.reply_to, ReplyEvent::End);
    let end = read_to_close(&mut stream);
    assert!(end.ends_with("0\r\n\r\n"), "{end}");
    assert!(seen.contains("x-request-id: mine"), "{seen}");
}

#[test]
fn refusal_reports_whether_the_call_ran_and_when_to_retry() {
    let node = FrontNode::start(limits());
    let mut stream = node.connect();
    let bytes = with_connection_close(&request(
        "/services/bookings/b",
        "idempotency-key: k\r\n",
        "",
    ));
    stream.write_all(bytes.as_bytes()).expect("open");
    let call = node.calls.recv_timeout(FAILURE_TIMEOUT).expect("the call");
    let refusal = Refusal::new(RefusalKind::Overloaded, Ran::No, "full")
        .retry_after(Duration::from_millis(1_500));
    node.reply(call.reply_to, ReplyEvent::Fail(refusal));
    let answer = read_to_close(&mut stream);
    for part in [
        "503",
        "retry-after: 2",
        r#""kind":"overloaded""#,
        r#""ran":"no""#,
    ] {
        assert!(answer.contains(part), "no {part:?} in {answer}");
    }
}

/// Starts an answer, then fails it; returns everything that the caller read.
fn read_failed_answer(content_type: &str) -> String {
    let node = FrontNode::start(limits());
    let mut stream = node.connect();
    let bytes = with_connection_close(&request("/v1/completions", "", COMPLETION));
    stream.write_all(bytes.as_bytes()).expect("open");
    let call = node.calls.recv_timeout(FAILURE_TIMEOUT).expect("the call");
    node.reply(call.reply_to, head(content_type));
    node.reply(call.reply_to, data("data: a\n\n"));
    let refusal = Refusal::new(RefusalKind::UpstreamFailed, Ran::Unknown, "cut");
    node.reply(call.reply_to, ReplyEvent::Fail(refusal));
    read_to_close(&mut stream)
}

#[test]
fn stream_that_fails_midway_ends_with_an_error_event() {
    let answer = read_failed_answer("text/event-stream");
    assert!(answer.contains("event: error\ndata: {"), "{answer}");
    assert!(answer.contains("upstream_failed"), "{answer}");
}

#[test]
fn plain_answer_that_fails_midway_is_truncated() {
    let answer = read_failed_answer("application/json");
    assert!(!answer.ends_with("0\r\n\r\n"), "{answer}");
}

#[test]
fn disconnect_of_the_caller_ends_its_call() {
    let node = FrontNode::start(limits());
    let mut stream = node.connect();
    let bytes = request("/v1/completions", "", COMPLETION);
    stream.write_all(bytes.as_bytes()).expect("open");
    let call = node.calls.recv_timeout(FAILURE_TIMEOUT).expect("the call");
    node.reply(call.reply_to, head("text/event-stream"));
    node.reply(call.reply_to, data("data: a\n\n"));
    stream.read_exact(&mut [0]).expect("the answer begins");
    stream.shutdown(Shutdown::Both).expect("open");
    assert_eq!(
        node.disconnected.recv_timeout(FAILURE_TIMEOUT),
        Ok(call.reply_to)
    );
}

#[test]
fn caller_that_reads_nothing_is_disconnected_and_its_call_ended() {
    let node = FrontNode::start(Limits {
        write_timeout: Duration::from_millis(50),
        ..limits()
    });
    let mut stream = node.connect();
    let bytes = request("/v1/completions", "", COMPLETION);
    stream.write_all(bytes.as_bytes()).expect("open");
    let call = node.calls.recv_timeout(FAILURE_TIMEOUT).expect("the call");
    node.reply(call.reply_to, head("text/event-stream"));
    let large = Bytes::from(vec![b'x'; 1 << 20]);
    for _ in 0..64 {
        node.reply(call.reply_to, ReplyEvent::Data(large.clone()));
    }
    assert_eq!(
        node.disconnected.recv_timeout(FAILURE_TIMEOUT),
        Ok(call.reply_to)
    );
}
