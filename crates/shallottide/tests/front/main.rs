//! The border towards callers: limits, slow and silent callers, and answers as they arrive.

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

/// No test waits this long unless it fails.
const LONG: Duration = Duration::from_mins(1);

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

/// Sends bytes and reads until the node closes the connection.
fn exchange(node: &FrontNode, bytes: &str) -> String {
    let mut stream = node.connect();
    stream.write_all(bytes.as_bytes()).expect("open");
    read_to_close(&mut stream)
}

fn read_to_close(stream: &mut TcpStream) -> String {
    let mut text = Vec::new();
    let mut buf = [0; 4096];
    // A connection reset after the answer counts as closed.
    while let Ok(n) = stream.read(&mut buf) {
        if n == 0 {
            break;
        }
        text.extend_from_slice(&buf[..n]);
    }
    String::from_utf8_lossy(&text).into_owned()
}

fn refused(request: &str, parts: &[&str]) {
    let node = FrontNode::start(limits());
    let answer = exchange(&node, &close_after(request));
    for part in parts {
        assert!(answer.contains(part), "no {part:?} in {answer}");
    }
    assert!(node.calls.try_recv().is_err(), "the call went on");
}

/// Asks for the connection to be closed after the answer.
fn close_after(request: &str) -> String {
    request.replacen("host: x", "host: x\r\nconnection: close", 1)
}

cases! {
    refused;
    unknown_path: &request("/v2/completions", "", COMPLETION), &["404", "not_found", r#""ran":"no""#, "/v1/completions"];
    malformed_body: &request("/v1/completions", "", "{"), &["400", "bad_request", r#""ran":"no""#];
    body_without_model: &request("/v1/completions", "", "{}"), &["400", "model"];
    large_body: &request("/v1/completions", "", &"x".repeat(2 << 10)), &["413", "too_large", "1KiB"];
    large_header: &request("/v1/completions", &format!("x: {}\r\n", "x".repeat(16 << 10)), COMPLETION), &["431"];
    malformed_key: &request("/v1/completions", "idempotency-key: a b\r\n", COMPLETION), &["400", "IdempotencyKey"];
    malformed_timeout: &request("/v1/completions", "x-timeout: 5\r\n", COMPLETION), &["400", "needs a unit"];
    header_outside_ascii: &request("/v1/completions", "idempotency-key: \u{fc}\r\n", COMPLETION), &["400", "ASCII"];
    service_without_name: &request("/services//x", "", ""), &["400", "ServiceId"];
    tickets_by_get: "GET /tickets HTTP/1.1\r\nhost: x\r\n\r\n", &["404", "POST", r#""ran":"no""#];
    tickets_of_no_number: &request("/tickets", "", r#"{"count":"x"}"#), &["400", "count", r#""ran":"no""#];
    tickets_below_none: &request("/tickets", "", r#"{"count":-1}"#), &["400", "count"];
    tickets_with_unknown_field: &request("/tickets", "", r#"{"amount":1}"#), &["400", "amount"];
    no_http: "hello\r\nhost: x\r\n\r\n", &["400"];
}

fn closed_when_silent(bytes: &str) {
    let node = FrontNode::start(Limits {
        header_timeout: Duration::from_millis(50),
        body_timeout: Duration::from_millis(50),
        ..limits()
    });
    // Ends only when the node closes the connection.
    exchange(&node, bytes);
    assert!(node.calls.try_recv().is_err(), "the call went on");
}

cases! {
    closed_when_silent;
    silent_caller_is_closed: "";
    half_a_header_is_closed: "POST /v1/completions HTTP/1.1\r\nhost: x\r\n";
    half_a_body_is_refused: "POST /v1/completions HTTP/1.1\r\nhost: x\r\ncontent-length: 9\r\nconnection: close\r\n\r\n{";
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
fn each_event_leaves_before_the_next_arrives() {
    let node = FrontNode::start(limits());
    let mut stream = node.connect();
    let bytes = close_after(&request(
        "/v1/completions",
        "x-request-id: mine\r\n",
        COMPLETION,
    ));
    stream.write_all(bytes.as_bytes()).expect("open");
    let call = node.calls.recv_timeout(LONG).expect("the call");
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
fn refusal_says_whether_it_ran_and_when_to_retry() {
    let node = FrontNode::start(limits());
    let mut stream = node.connect();
    let bytes = close_after(&request(
        "/services/bookings/b",
        "idempotency-key: k\r\n",
        "",
    ));
    stream.write_all(bytes.as_bytes()).expect("open");
    let call = node.calls.recv_timeout(LONG).expect("the call");
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

/// Starts an answer and fails it midway; returns what the caller read after the head.
fn failed_midway(content_type: &str) -> String {
    let node = FrontNode::start(limits());
    let mut stream = node.connect();
    let bytes = close_after(&request("/v1/completions", "", COMPLETION));
    stream.write_all(bytes.as_bytes()).expect("open");
    let call = node.calls.recv_timeout(LONG).expect("the call");
    node.reply(call.reply_to, head(content_type));
    node.reply(call.reply_to, data("data: a\n\n"));
    let refusal = Refusal::new(RefusalKind::UpstreamFailed, Ran::Unknown, "cut");
    node.reply(call.reply_to, ReplyEvent::Fail(refusal));
    read_to_close(&mut stream)
}

#[test]
fn stream_failed_midway_ends_with_an_error_event() {
    let answer = failed_midway("text/event-stream");
    assert!(answer.contains("event: error\ndata: {"), "{answer}");
    assert!(answer.contains("upstream_failed"), "{answer}");
}

#[test]
fn plain_answer_failed_midway_is_visibly_cut() {
    let answer = failed_midway("application/json");
    assert!(!answer.ends_with("0\r\n\r\n"), "{answer}");
}

#[test]
fn caller_that_leaves_frees_its_call() {
    let node = FrontNode::start(limits());
    let mut stream = node.connect();
    let bytes = request("/v1/completions", "", COMPLETION);
    stream.write_all(bytes.as_bytes()).expect("open");
    let call = node.calls.recv_timeout(LONG).expect("the call");
    node.reply(call.reply_to, head("text/event-stream"));
    node.reply(call.reply_to, data("data: a\n\n"));
    stream.read_exact(&mut [0]).expect("the answer begins");
    stream.shutdown(Shutdown::Both).expect("open");
    assert_eq!(node.gone.recv_timeout(LONG), Ok(call.reply_to));
}

#[test]
fn caller_that_takes_nothing_in_frees_its_call() {
    let node = FrontNode::start(Limits {
        write_timeout: Duration::from_millis(50),
        ..limits()
    });
    let mut stream = node.connect();
    let bytes = request("/v1/completions", "", COMPLETION);
    stream.write_all(bytes.as_bytes()).expect("open");
    let call = node.calls.recv_timeout(LONG).expect("the call");
    node.reply(call.reply_to, head("text/event-stream"));
    let large = Bytes::from(vec![b'x'; 1 << 20]);
    for _ in 0..64 {
        node.reply(call.reply_to, ReplyEvent::Data(large.clone()));
    }
    assert_eq!(node.gone.recv_timeout(LONG), Ok(call.reply_to));
}
