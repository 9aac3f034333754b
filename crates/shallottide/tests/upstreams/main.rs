//! The border towards upstreams against scripted answers.

mod scripted_upstream;

use std::net::TcpListener;
use std::sync::mpsc::Receiver;
use std::time::Duration;

use bytes::Bytes;
use scripted_upstream::{KernelThread, Script, call_head};
use shallottide::message::{AttemptEvent, AttemptFailure, CancelAttempt, Dispatch, Message};
use shallottide_types::cases;
use shallottide_types::id::AttemptId;

/// What an attempt came to.
#[derive(Debug, PartialEq, Eq)]
enum Outcome {
    /// The whole answer: its status and parts.
    Whole(u16, Vec<Bytes>),
    NotSent,
    NotRun,
    Lost,
}

fn outcome(events: &Receiver<Message>) -> Outcome {
    let (mut status, mut parts) = (0, Vec::new());
    loop {
        let Ok(Message::Attempt(_, event)) = events.recv_timeout(Duration::from_mins(1)) else {
            panic!("the attempt never ended");
        };
        match event {
            AttemptEvent::Head(head) => status = head.status,
            AttemptEvent::Data(part) => parts.push(part),
            AttemptEvent::End => return Outcome::Whole(status, parts),
            AttemptEvent::Failed(AttemptFailure::NotSent(_)) => return Outcome::NotSent,
            AttemptEvent::Failed(AttemptFailure::NotRun(_)) => return Outcome::NotRun,
            AttemptEvent::Failed(_) => return Outcome::Lost,
        }
    }
}

fn dispatch(address: std::net::SocketAddr, idle_timeout: Duration) -> Dispatch {
    Dispatch {
        attempt: AttemptId(1),
        address,
        head: call_head(),
        body: Bytes::from_static(b"{}"),
        resume_from: 0,
        idle_timeout,
    }
}

fn check(script: Script, expected: &Outcome) {
    let kernel = KernelThread::start();
    let (address, _seen) = script.serve();
    // Short only where the script is silent, so that no slow run fails.
    let idle_timeout = match script {
        Script::Silent | Script::SilentMidway => Duration::from_millis(50),
        Script::Answer(_) => Duration::from_secs(30),
    };
    kernel.border.send(dispatch(address, idle_timeout).into());
    assert_eq!(&outcome(&kernel.events), expected);
}

fn parts(parts: &[&'static str]) -> Vec<Bytes> {
    parts
        .iter()
        .map(|part| Bytes::from_static(part.as_bytes()))
        .collect()
}

cases! {
    check;
    whole_answer_with_length: Script::Answer("HTTP/1.1 201 Created\r\ncontent-length: 2\r\nx-request-id: call-1\r\n\r\nok"), &Outcome::Whole(201, parts(&["ok"]));
    whole_answer_in_chunks: Script::Answer("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"), &Outcome::Whole(200, parts(&["ok"]));
    server_error_is_an_answer: Script::Answer("HTTP/1.1 500 No\r\ncontent-length: 2\r\n\r\nno"), &Outcome::Whole(500, parts(&["no"]));
    short_length_is_lost: Script::Answer("HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nok"), &Outcome::Lost;
    missing_last_chunk_is_lost: Script::Answer("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n2\r\nok\r\n"), &Outcome::Lost;
    answer_without_framing_is_lost: Script::Answer("HTTP/1.1 200 OK\r\n\r\nok"), &Outcome::Lost;
    answer_of_another_call_is_lost: Script::Answer("HTTP/1.1 200 OK\r\ncontent-length: 2\r\nx-request-id: call-2\r\n\r\nok"), &Outcome::Lost;
    cut_head_is_lost: Script::Answer("HTTP/1.1 200 OK\r\ncontent-le"), &Outcome::Lost;
    closed_without_answer_is_lost: Script::Answer(""), &Outcome::Lost;
    silent_upstream_is_lost: Script::Silent, &Outcome::Lost;
    silence_midway_is_lost: Script::SilentMidway, &Outcome::Lost;
    refusal_before_running: Script::Answer("HTTP/1.1 503 Full\r\ncontent-length: 0\r\nx-not-run: 1\r\n\r\n"), &Outcome::NotRun;
    stream_with_last_event: Script::Answer("HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n1a\r\ndata: a\n\ndata: [DONE]\n\n...\r\n"), &Outcome::Whole(200, parts(&["data: a\n\n", "data: [DONE]\n\n"]));
    stream_without_last_event_is_lost: Script::Answer("HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n9\r\ndata: a\n\n\r\n0\r\n\r\n"), &Outcome::Lost;
}

#[test]
fn refused_connection_is_not_sent() {
    let kernel = KernelThread::start();
    let free = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = free.local_addr().expect("bound");
    drop(free);
    kernel
        .border
        .send(dispatch(address, Duration::from_secs(30)).into());
    assert_eq!(outcome(&kernel.events), Outcome::NotSent);
}

#[test]
fn cancelled_attempt_closes_its_connection() {
    let kernel = KernelThread::start();
    let (address, seen) = Script::SilentMidway.serve();
    kernel
        .border
        .send(dispatch(address, Duration::from_mins(10)).into());
    let first = kernel.events.recv().expect("the head");
    assert!(matches!(first, Message::Attempt(_, AttemptEvent::Head(_))));
    let attempt = AttemptId(1);
    kernel.border.send(CancelAttempt { attempt }.into());
    seen.closed.recv().expect("the upstream sees the end");
}

#[test]
fn request_carries_ids_and_is_sent_once() {
    let kernel = KernelThread::start();
    let (address, seen) = Script::Answer("").serve();
    let mut dispatch = dispatch(address, Duration::from_secs(30));
    dispatch.resume_from = 7;
    kernel.border.send(dispatch.into());
    assert_eq!(outcome(&kernel.events), Outcome::Lost);
    let request = seen.requests.recv().expect("one request");
    for header in [
        "x-request-id: call-1",
        "x-team: depot",
        "idempotency-key: key-1",
        "x-resume-from: 7",
        "traceparent: 00-",
    ] {
        assert!(request.contains(header), "{header} is missing in {request}");
    }
    assert!(seen.requests.try_recv().is_err(), "sent again");
}
