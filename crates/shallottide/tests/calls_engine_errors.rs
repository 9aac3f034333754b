//! Server errors of engines: retried at another group if the call allows it, otherwise passed on.

mod call_support;

use call_support::{Kind, SharedFakes, arriving_call, calls_node, local};
use shallottide::calls::CallOptions;
use shallottide::kernel::Name;
use shallottide::message::{AttemptEvent, Message, ReplyTo};
use shallottide::routing::Route;
use shallottide_types::call::{ReplyEvent, ReplyHead};
use shallottide_types::cases;
use shallottide_types::id::AttemptId;

const FRONT: ReplyTo = ReplyTo::Front(1);

fn head(status: u16) -> Message {
    let content_type = "application/json".into();
    let head = ReplyHead {
        status,
        content_type,
    };
    Message::Attempt(AttemptId(1), AttemptEvent::Head(head))
}

fn dispatches(sent: &[(Name, Message)]) -> usize {
    let is_dispatch = |(_, message): &&(Name, Message)| matches!(message, Message::Dispatch(_));
    sent.iter().filter(is_dispatch).count()
}

/// Sends a call, answers its first attempt with a status, and checks the number of retries.
fn check(kind: Kind, status: u16, routes: &[&str], retries: usize) {
    let fakes = SharedFakes::default();
    fakes.0.borrow_mut().routes = routes
        .iter()
        .map(|name| local(name))
        .collect::<Vec<Route>>();
    let mut node = calls_node(CallOptions::default(), &fakes);
    assert_eq!(dispatches(&node.send(arriving_call(kind, FRONT))), 1);
    let sent = node.send(head(status));
    assert_eq!(dispatches(&sent), retries);
    if retries == 0 {
        // The upstream's own answer goes to the caller.
        let ended = node.send(Message::Attempt(AttemptId(1), AttemptEvent::End));
        let all = sent.iter().chain(&ended);
        let statuses: Vec<u16> = all.filter_map(|(_, message)| status_of(message)).collect();
        assert_eq!(statuses, [status]);
        assert_eq!(fakes.0.borrow().permits, 0);
    }
}

fn status_of(message: &Message) -> Option<u16> {
    match message {
        Message::Reply(reply) => match &reply.event {
            ReplyEvent::Head(head) => Some(head.status),
            _ => None,
        },
        _ => None,
    }
}

cases! {
    check;
    engine_error_is_retried_at_another_group: Kind::Stream, 500, &["a", "b"], 1;
    non_resumable_stream_is_retried_before_its_body: Kind::NonResumableStream, 503, &["a", "b"], 1;
    client_error_is_passed_to_the_caller: Kind::Stream, 400, &["a", "b"], 0;
    service_error_is_passed_to_the_caller: Kind::Count, 500, &["a", "b"], 0;
}

#[test]
fn engine_error_without_another_group_is_a_refusal_that_may_have_run() {
    let fakes = SharedFakes::default();
    fakes.0.borrow_mut().routes = vec![local("a")];
    let mut node = calls_node(CallOptions::default(), &fakes);
    node.send(arriving_call(Kind::Stream, FRONT));
    let sent = node.send(head(500));
    let refused = sent.iter().any(|(_, message)| match message {
        Message::Reply(reply) => match &reply.event {
            ReplyEvent::Fail(refusal) => refusal.ran != shallottide_types::refusal::Ran::No,
            _ => false,
        },
        _ => false,
    });
    assert!(refused, "{sent:?}");
    assert_eq!(fakes.0.borrow().permits, 0);
}
