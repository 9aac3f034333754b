//! The peer adapter, over a link that can be cut and frozen.

mod peer_node;

use std::io::{Read, Write};
use std::net::TcpStream;
use std::sync::mpsc::Receiver;
use std::time::Duration;

use bytes::Bytes;
use peer_node::{Answer, PeerNode, forward};
use shallottide::message::{AttemptEvent, AttemptFailure, CancelAttempt, Message};
use shallottide_types::cases;
use shallottide_types::id::AttemptId;
use shallottide_types::refusal::{Ran, RefusalKind};
use standin::fault_proxy::FaultProxy;

const KEY: &str = "0123456789abcdef";
const OTHER_KEY: &str = "fedcba9876543210";

/// A wait this long means that the test has failed.
const FAILURE_TIMEOUT: Duration = Duration::from_mins(1);

/// Longer than a link is used without a ping.
const IDLE_TIME: Duration = Duration::from_millis(400);

#[derive(Debug, PartialEq, Eq)]
enum Outcome {
    Complete(Vec<Bytes>),
    Refused(RefusalKind, Ran),
    NotSent,
    NotRun,
    Lost,
}

fn wait_for_outcome(node: &PeerNode) -> Outcome {
    let mut parts = Vec::new();
    loop {
        match next_event(&node.attempts) {
            AttemptEvent::Head(_) | AttemptEvent::RetryAfter(_) => {}
            AttemptEvent::Data(part) => parts.push(part),
            AttemptEvent::End => return Outcome::Complete(parts),
            AttemptEvent::Failed(AttemptFailure::NotSent(_)) => return Outcome::NotSent,
            AttemptEvent::Failed(AttemptFailure::NotRun(_)) => return Outcome::NotRun,
            AttemptEvent::Failed(AttemptFailure::Lost(_)) => return Outcome::Lost,
            AttemptEvent::Failed(AttemptFailure::Refused(refusal)) => {
                return Outcome::Refused(refusal.kind, refusal.ran);
            }
        }
    }
}

fn next_event(attempts: &Receiver<Message>) -> AttemptEvent {
    match attempts.recv_timeout(FAILURE_TIMEOUT) {
        Ok(Message::Attempt(_, event)) => event,
        other => panic!("expected an attempt event, got {other:?}"),
    }
}

/// Starts two nodes; the second is reached through a proxy that can be cut and frozen.
fn start_pair(second_key: &'static str, answer: Answer) -> (PeerNode, PeerNode, FaultProxy) {
    let proxy = FaultProxy::bind().expect("a free port");
    let first = PeerNode::start("node-1", KEY, None, Answer::Complete);
    let second = PeerNode::start("node-2", second_key, Some(proxy.address()), answer);
    proxy.set_target(second.listen_address);
    (first, second, proxy)
}

fn check(second_key: &'static str, answer: Answer, expected: &Outcome, arrivals: usize) {
    let (first, second, proxy) = start_pair(second_key, answer);
    first
        .adapter
        .send(forward(1, proxy.address(), FAILURE_TIMEOUT).into());
    assert_eq!(&wait_for_outcome(&first), expected);
    assert_eq!(second.arrivals.try_iter().count(), arrivals);
}

fn complete_answer() -> Outcome {
    Outcome::Complete(vec![Bytes::from_static(b"one"), Bytes::from_static(b"two")])
}

cases! {
    check;
    answer_is_received_completely: KEY, Answer::Complete, &complete_answer(), 1;
    refusal_reports_whether_the_call_ran: KEY, Answer::Refusal, &Outcome::Refused(RefusalKind::Overloaded, Ran::No), 1;
    refusal_midway_ends_the_answer: KEY, Answer::RefusalMidway, &Outcome::Refused(RefusalKind::UpstreamFailed, Ran::Unknown), 1;
    call_signed_with_another_key_is_not_run: OTHER_KEY, Answer::Complete, &Outcome::NotRun, 0;
}

#[test]
fn traffic_is_counted_on_both_sides() {
    let (first, second, proxy) = start_pair(KEY, Answer::Complete);
    first
        .adapter
        .send(forward(1, proxy.address(), FAILURE_TIMEOUT).into());
    assert_eq!(wait_for_outcome(&first), complete_answer());
    let (sender, receiver) = (first.traffic.totals(), second.traffic.totals());
    assert_eq!((sender.calls_sent, sender.calls_received), (1, 0));
    assert_eq!((receiver.calls_sent, receiver.calls_received), (0, 1));
    for totals in [sender, receiver] {
        assert!(
            totals.bytes_sent > 0 && totals.bytes_received > 0,
            "{totals:?}"
        );
    }
}

#[test]
fn call_to_unreachable_peer_is_not_sent() {
    let (first, _second, proxy) = start_pair(KEY, Answer::Complete);
    let address = proxy.address();
    proxy.close();
    first
        .adapter
        .send(forward(1, address, FAILURE_TIMEOUT).into());
    assert_eq!(wait_for_outcome(&first), Outcome::NotSent);
}

#[test]
fn call_is_lost_when_the_connection_is_cut_midway() {
    let (first, second, proxy) = start_pair(KEY, Answer::HeadOnly);
    first
        .adapter
        .send(forward(1, proxy.address(), FAILURE_TIMEOUT).into());
    assert!(matches!(next_event(&first.attempts), AttemptEvent::Head(_)));
    proxy.close_open_connections();
    assert_eq!(wait_for_outcome(&first), Outcome::Lost);
    assert_eq!(second.arrivals.try_iter().count(), 1);
}

#[test]
fn call_is_lost_when_the_peer_stalls_midway() {
    let (first, _second, proxy) = start_pair(KEY, Answer::HeadOnly);
    let idle_timeout = Duration::from_millis(200);
    first
        .adapter
        .send(forward(1, proxy.address(), idle_timeout).into());
    assert_eq!(wait_for_outcome(&first), Outcome::Lost);
}

#[test]
fn dead_connection_is_replaced_before_a_call() {
    let (first, second, proxy) = start_pair(KEY, Answer::Complete);
    first
        .adapter
        .send(forward(1, proxy.address(), FAILURE_TIMEOUT).into());
    assert_eq!(wait_for_outcome(&first), complete_answer());
    proxy.freeze_open_connections();
    std::thread::sleep(IDLE_TIME);
    first
        .adapter
        .send(forward(2, proxy.address(), FAILURE_TIMEOUT).into());
    assert_eq!(wait_for_outcome(&first), complete_answer());
    assert_eq!(second.arrivals.try_iter().count(), 2);
}

#[test]
fn cancelled_call_ends_at_the_peer() {
    let (first, second, proxy) = start_pair(KEY, Answer::HeadOnly);
    first
        .adapter
        .send(forward(1, proxy.address(), FAILURE_TIMEOUT).into());
    assert!(matches!(next_event(&first.attempts), AttemptEvent::Head(_)));
    let attempt = AttemptId(1);
    first.adapter.send(CancelAttempt { attempt }.into());
    second
        .disconnected
        .recv_timeout(FAILURE_TIMEOUT)
        .expect("the peer ends the call");
}

#[test]
fn replayed_call_is_refused() {
    let (first, second, proxy) = start_pair(KEY, Answer::Complete);
    first
        .adapter
        .send(forward(1, proxy.address(), FAILURE_TIMEOUT).into());
    assert_eq!(wait_for_outcome(&first), complete_answer());
    let mut replay = TcpStream::connect(second.listen_address).expect("the peer listens");
    replay.write_all(&proxy.captured()).expect("open");
    let mut answer = Vec::new();
    // Status 401 is a literal in the answer's header block on its first use: HPACK's static table
    // doesn't have it.
    while !answer.windows(3).any(|w| w == b"401") && !contains_huffman_401(&answer) {
        let mut buf = [0; 1024];
        let n = replay.read(&mut buf).expect("open");
        assert!(n > 0, "closed without a refusal");
        answer.extend_from_slice(&buf[..n]);
    }
    assert_eq!(second.arrivals.try_iter().count(), 1);
}

/// Returns whether the bytes contain 401 in HPACK's Huffman code: 011010 00000 00001.
fn contains_huffman_401(bytes: &[u8]) -> bool {
    bytes.windows(2).any(|w| w == [0b0110_1000, 0b0000_0001])
}
