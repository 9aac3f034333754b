//! The border between entry VMs, over a wire that can be cut and frozen.

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

/// No test waits this long unless it fails.
const LONG: Duration = Duration::from_mins(1);

/// Longer than a link counts as proven without a ping.
const QUIET: Duration = Duration::from_millis(400);

#[derive(Debug, PartialEq, Eq)]
enum Outcome {
    Whole(Vec<Bytes>),
    Refused(RefusalKind, Ran),
    NotSent,
    NotRun,
    Lost,
}

fn outcome(node: &PeerNode) -> Outcome {
    let mut parts = Vec::new();
    loop {
        match next_event(&node.attempts) {
            AttemptEvent::Head(_) => {}
            AttemptEvent::Data(part) => parts.push(part),
            AttemptEvent::End => return Outcome::Whole(parts),
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
    match attempts.recv_timeout(LONG) {
        Ok(Message::Attempt(_, event)) => event,
        other => panic!("no attempt event: {other:?}"),
    }
}

/// Two nodes; the second is reached through a wire.
fn pair(second_key: &'static str, answer: Answer) -> (PeerNode, PeerNode, FaultProxy) {
    let wire = FaultProxy::bind().expect("a free port");
    let first = PeerNode::start("node-1", KEY, None, Answer::Whole);
    let second = PeerNode::start("node-2", second_key, Some(wire.address()), answer);
    wire.set_target(second.listens);
    (first, second, wire)
}

fn check(second_key: &'static str, answer: Answer, expected: &Outcome, arrivals: usize) {
    let (first, second, wire) = pair(second_key, answer);
    first.border.send(forward(1, wire.address(), LONG).into());
    assert_eq!(&outcome(&first), expected);
    assert_eq!(second.arrivals.try_iter().count(), arrivals);
}

fn whole() -> Outcome {
    Outcome::Whole(vec![Bytes::from_static(b"one"), Bytes::from_static(b"two")])
}

cases! {
    check;
    answer_comes_whole: KEY, Answer::Whole, &whole(), 1;
    refusal_keeps_whether_it_ran: KEY, Answer::Refusal, &Outcome::Refused(RefusalKind::Overloaded, Ran::No), 1;
    refusal_midway_is_no_answer: KEY, Answer::RefusalMidway, &Outcome::Refused(RefusalKind::UpstreamFailed, Ran::Unknown), 1;
    wrong_key_is_refused_before_running: OTHER_KEY, Answer::Whole, &Outcome::NotRun, 0;
}

#[test]
fn traffic_is_counted_on_both_sides() {
    let (first, second, wire) = pair(KEY, Answer::Whole);
    first.border.send(forward(1, wire.address(), LONG).into());
    assert_eq!(outcome(&first), whole());
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
fn unreachable_peer_is_not_sent() {
    let (first, _second, wire) = pair(KEY, Answer::Whole);
    let address = wire.address();
    wire.close();
    first.border.send(forward(1, address, LONG).into());
    assert_eq!(outcome(&first), Outcome::NotSent);
}

#[test]
fn connection_cut_midway_is_lost() {
    let (first, second, wire) = pair(KEY, Answer::HeadOnly);
    first.border.send(forward(1, wire.address(), LONG).into());
    assert!(matches!(next_event(&first.attempts), AttemptEvent::Head(_)));
    wire.close_open_connections();
    assert_eq!(outcome(&first), Outcome::Lost);
    assert_eq!(second.arrivals.try_iter().count(), 1);
}

#[test]
fn connection_silent_midway_is_lost() {
    let (first, _second, wire) = pair(KEY, Answer::HeadOnly);
    let idle_timeout = Duration::from_millis(200);
    first
        .border
        .send(forward(1, wire.address(), idle_timeout).into());
    assert_eq!(outcome(&first), Outcome::Lost);
}

#[test]
fn connection_gone_silent_before_a_call_is_replaced() {
    let (first, second, wire) = pair(KEY, Answer::Whole);
    first.border.send(forward(1, wire.address(), LONG).into());
    assert_eq!(outcome(&first), whole());
    wire.freeze_open_connections();
    std::thread::sleep(QUIET);
    first.border.send(forward(2, wire.address(), LONG).into());
    assert_eq!(outcome(&first), whole());
    assert_eq!(second.arrivals.try_iter().count(), 2);
}

#[test]
fn cancelled_call_is_dropped_at_the_peer() {
    let (first, second, wire) = pair(KEY, Answer::HeadOnly);
    first.border.send(forward(1, wire.address(), LONG).into());
    assert!(matches!(next_event(&first.attempts), AttemptEvent::Head(_)));
    let attempt = AttemptId(1);
    first.border.send(CancelAttempt { attempt }.into());
    second
        .gone
        .recv_timeout(LONG)
        .expect("the peer hears of it");
}

#[test]
fn replayed_call_is_taken_once() {
    let (first, second, wire) = pair(KEY, Answer::Whole);
    first.border.send(forward(1, wire.address(), LONG).into());
    assert_eq!(outcome(&first), whole());
    let mut replay = TcpStream::connect(second.listens).expect("the peer listens");
    replay.write_all(&wire.captured()).expect("open");
    let mut answer = Vec::new();
    // The status 401 in the answer's header block: a literal on its first use.
    while !answer.windows(3).any(|w| w == b"401") && !huffman_401(&answer) {
        let mut buf = [0; 1024];
        let n = replay.read(&mut buf).expect("open");
        assert!(n > 0, "closed without a refusal");
        answer.extend_from_slice(&buf[..n]);
    }
    assert_eq!(second.arrivals.try_iter().count(), 1);
}

/// Finds the digits 401 as HPACK's Huffman code writes them: 011010 00000 00001.
fn huffman_401(bytes: &[u8]) -> bool {
    bytes.windows(2).any(|w| w == [0b0110_1000, 0b0000_0001])
}
