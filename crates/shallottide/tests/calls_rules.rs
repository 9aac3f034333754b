//! Rules of the calls service that its fault matrix does not cover.

mod call_support;

use std::time::Duration;

use call_support::{
    Kind, ServiceHarness, SharedFakes, TIME_LEFT, arriving_call, calls_node, claim_reply,
};
use call_support::{domain, local, peer, slot};
use shallottide::calls::CallOptions;
use shallottide::kernel::{Name, names};
use shallottide::message::{AttemptEvent, AttemptFailure, CallArrived, RequestClaim};
use shallottide::message::{Dispatch, Forward, Message, ReplyTo};
use shallottide::routing::Route;
use shallottide_types::call::{ReplyEvent, ReplyHead, Target};
use shallottide_types::cases;
use shallottide_types::id::AttemptId;
use shallottide_types::peer::{ClaimAnswer, ClaimEnd};
use shallottide_types::refusal::{Ran, Refusal, RefusalKind};

const FRONT: ReplyTo = ReplyTo::Front(1);
const PEER: ReplyTo = ReplyTo::Peer(1);

fn node(routes: Vec<Route>, options: CallOptions) -> (ServiceHarness, SharedFakes) {
    let fakes = SharedFakes::default();
    fakes.0.borrow_mut().routes = routes;
    (calls_node(options, &fakes), fakes)
}

fn plain_node() -> ServiceHarness {
    node(vec![local("a")], CallOptions::default()).0
}

fn refusal(sent: &[(Name, Message)]) -> Option<&Refusal> {
    sent.iter().find_map(|(_, message)| match message {
        Message::Reply(reply) => match &reply.event {
            ReplyEvent::Fail(refusal) => Some(refusal),
            _ => None,
        },
        _ => None,
    })
}

fn kind_and_ran(sent: &[(Name, Message)]) -> Option<(RefusalKind, Ran)> {
    refusal(sent).map(|refusal| (refusal.kind, refusal.ran))
}

fn dispatches(sent: &[(Name, Message)]) -> Vec<&Dispatch> {
    let dispatch = |(_, message): &'_ (Name, Message)| matches!(message, Message::Dispatch(_));
    let found = sent.iter().filter(|sent| dispatch(sent));
    found
        .map(|(_, message)| match message {
            Message::Dispatch(dispatch) => dispatch,
            _ => unreachable!("filtered"),
        })
        .collect()
}

fn forward(sent: &[(Name, Message)]) -> Option<&Forward> {
    sent.iter().find_map(|(_, message)| match message {
        Message::Forward(forward) => Some(forward),
        _ => None,
    })
}

fn claim_wanted(sent: &[(Name, Message)]) -> Option<&RequestClaim> {
    sent.iter().find_map(|(_, message)| match message {
        Message::RequestClaim(wanted) => Some(wanted),
        _ => None,
    })
}

fn failed(attempt: u64, failure: AttemptFailure) -> Message {
    Message::Attempt(AttemptId(attempt), AttemptEvent::Failed(failure))
}

fn lost(attempt: u64) -> Message {
    failed(attempt, AttemptFailure::Lost("fake".into()))
}

fn from_peer(slot_name: Option<&str>) -> CallArrived {
    let mut call = arriving_call(Kind::Booking, PEER);
    call.slot = slot_name.map(slot);
    call
}

#[test]
fn call_without_key_is_refused() {
    let mut call = arriving_call(Kind::Booking, FRONT);
    call.head.key = None;
    let sent = plain_node().send(call);
    assert_eq!(
        kind_and_ran(&sent),
        Some((RefusalKind::KeyRequired, Ran::No))
    );
}

#[test]
fn unknown_service_is_refused() {
    let mut call = arriving_call(Kind::Booking, FRONT);
    call.head.target = Target::Service("nowhere".parse().unwrap());
    let sent = plain_node().send(call);
    // Another node with a newer configuration may have run an earlier request with the key.
    assert_eq!(
        kind_and_ran(&sent),
        Some((RefusalKind::NotFound, Ran::Unknown))
    );
    let mut call = arriving_call(Kind::Count, FRONT);
    call.head.target = Target::Service("nowhere".parse().unwrap());
    let sent = plain_node().send(call);
    assert_eq!(kind_and_ran(&sent), Some((RefusalKind::NotFound, Ran::No)));
}

#[test]
fn completion_with_key_is_claimed() {
    let mut call = arriving_call(Kind::Stream, FRONT);
    call.head.key = Some("key".parse().unwrap());
    let sent = plain_node().send(call);
    assert!(claim_wanted(&sent).is_some());
    assert!(dispatches(&sent).is_empty());
}

#[test]
fn claims_differ_by_team_and_digests_by_body() {
    let wanted = |team: &str, body: &'static str| {
        let mut call = arriving_call(Kind::Booking, FRONT);
        call.head.team = team.parse().unwrap();
        call.body = body.into();
        let sent = plain_node().send(call);
        claim_wanted(&sent)
            .map(|wanted| (wanted.claim, wanted.digest))
            .unwrap()
    };
    let (first, second) = (wanted("team", "body"), wanted("other", "body"));
    assert_ne!(first.0, second.0);
    assert_eq!(first, wanted("team", "body"));
    assert_ne!(first.1, wanted("team", "other").1);
}

fn check_claim_answer(answer: ClaimAnswer, kind: RefusalKind, ran: Ran) {
    let mut node = plain_node();
    let sent = node.send(arriving_call(Kind::Booking, FRONT));
    let sent = node.send(claim_reply(claim_wanted(&sent).unwrap(), answer));
    assert_eq!(kind_and_ran(&sent), Some((kind, ran)));
    assert!(dispatches(&sent).is_empty());
}

const NO_BODY: ClaimEnd = ClaimEnd::Ran {
    status: 200,
    content_type: compact_str::CompactString::const_new("text/plain"),
    body: None,
};

cases! {
    check_claim_answer;
    claim_running: ClaimAnswer::Running, RefusalKind::Running, Ran::Unknown;
    claim_ended_unknown: ClaimAnswer::Ended(ClaimEnd::Unknown), RefusalKind::OutcomeUnknown, Ran::Unknown;
    claim_ended_too_large: ClaimAnswer::Ended(NO_BODY), RefusalKind::OutcomeUnknown, Ran::Yes;
    claim_for_other_body: ClaimAnswer::DifferentBody, RefusalKind::KeyReused, Ran::No;
    claim_expired: ClaimAnswer::Expired, RefusalKind::KeyExpired, Ran::Unknown;
    claim_not_written: ClaimAnswer::NotClaimed, RefusalKind::PlatformDown, Ran::Unknown;
    claim_unknown: ClaimAnswer::Unknown, RefusalKind::PlatformDown, Ran::Unknown;
}

#[test]
fn recorded_answer_is_replayed() {
    let mut node = plain_node();
    let sent = node.send(arriving_call(Kind::Booking, FRONT));
    let wanted = claim_wanted(&sent).unwrap();
    let end = ClaimEnd::Ran {
        status: 201,
        content_type: "text/plain".into(),
        body: Some("booked".into()),
    };
    let sent = node.send(claim_reply(wanted, ClaimAnswer::Ended(end)));
    let events: Vec<_> = sent
        .iter()
        .filter_map(|(_, message)| match message {
            Message::Reply(reply) => Some(reply.event.clone()),
            _ => None,
        })
        .collect();
    let head = ReplyHead {
        status: 201,
        content_type: "text/plain".into(),
    };
    let data = ReplyEvent::Data("booked".into());
    assert_eq!(events, [ReplyEvent::Head(head), data, ReplyEvent::End]);
}

#[test]
fn second_grant_dispatches_nothing() {
    let mut node = plain_node();
    let sent = node.send(arriving_call(Kind::Booking, FRONT));
    let grant = claim_reply(claim_wanted(&sent).unwrap(), ClaimAnswer::Granted);
    assert_eq!(dispatches(&node.send(grant.clone())).len(), 1);
    assert!(dispatches(&node.send(grant)).is_empty());
}

#[test]
fn grant_of_another_key_dispatches_nothing() {
    let mut node = plain_node();
    let sent = node.send(arriving_call(Kind::Booking, FRONT));
    let mut grant = claim_reply(claim_wanted(&sent).unwrap(), ClaimAnswer::Granted);
    grant.claim.0 += 1;
    assert!(dispatches(&node.send(grant)).is_empty());
}

#[test]
fn same_request_id_in_flight_is_refused() {
    let mut node = plain_node();
    let first = arriving_call(Kind::Booking, FRONT);
    let mut second = first.clone();
    second.reply_to = ReplyTo::Front(2);
    node.send(first);
    let sent = node.send(second);
    assert_eq!(
        kind_and_ran(&sent),
        Some((RefusalKind::BadRequest, Ran::Unknown))
    );
}

#[test]
fn calls_in_flight_are_bounded() {
    let options = CallOptions {
        max_in_flight: 1,
        ..CallOptions::default()
    };
    let counts = options.counts.clone();
    let (mut node, _) = node(vec![local("a")], options);
    node.send(arriving_call(Kind::Count, FRONT));
    assert_eq!((counts.in_flight(), counts.from_callers()), (1, 1));
    let sent = node.send(arriving_call(Kind::Count, ReplyTo::Front(2)));
    assert_eq!(
        kind_and_ran(&sent),
        Some((RefusalKind::Overloaded, Ran::No))
    );
}

#[test]
fn full_slot_is_skipped() {
    let (mut node, fakes) = node(vec![local("a"), peer("b")], CallOptions::default());
    fakes.0.borrow_mut().full_slots.insert(slot("a"));
    let sent = node.send(arriving_call(Kind::Count, FRONT));
    assert_eq!(forward(&sent).unwrap().call.slot, Some(slot("b")));
}

#[test]
fn domain_that_refused_is_skipped() {
    let routes = vec![domain("dom-2"), domain("dom-3")];
    let (mut node, _) = node(routes, CallOptions::default());
    let sent = node.send(arriving_call(Kind::Booking, FRONT));
    let grant = claim_reply(claim_wanted(&sent).unwrap(), ClaimAnswer::Granted);
    let sent = node.send(grant);
    assert_eq!(forward(&sent).unwrap().node.domain.as_str(), "dom-2");
    let full = Refusal::new(RefusalKind::Overloaded, Ran::No, "full");
    let sent = node.send(failed(1, AttemptFailure::Refused(full)));
    assert_eq!(forward(&sent).unwrap().node.domain.as_str(), "dom-3");
}

#[test]
fn forwarded_call_gets_the_remaining_time() {
    let (mut node, _) = node(vec![local("a"), peer("b")], CallOptions::default());
    node.send(arriving_call(Kind::Count, FRONT));
    node.clock.advance(Duration::from_secs(3));
    let sent = node.send(lost(1));
    let left = forward(&sent).unwrap().call.head.time_left;
    assert_eq!(left + Duration::from_secs(3), TIME_LEFT);
}

#[test]
fn attempts_of_one_call_are_bounded() {
    let routes = ["a", "b", "c", "d", "e", "f"].map(local).to_vec();
    let (mut node, _) = node(routes, CallOptions::default());
    node.send(arriving_call(Kind::Count, FRONT));
    let not_run = |attempt| failed(attempt, AttemptFailure::NotRun("full".into()));
    for attempt in 1..4 {
        assert_eq!(dispatches(&node.send(not_run(attempt))).len(), 1);
    }
    let sent = node.send(not_run(4));
    assert_eq!(
        kind_and_ran(&sent),
        Some((RefusalKind::Overloaded, Ran::No))
    );
}

/// Guards against requests to an upstream that turned a call away and asked for none, and against a
/// call that counts as run as the upstream asked.
#[test]
fn upstream_that_asks_for_no_requests_is_held() {
    let (mut node, fakes) = node(["a", "b"].map(local).to_vec(), CallOptions::default());
    node.send(arriving_call(Kind::Count, FRONT));
    let wait = Duration::from_secs(3);
    let asked = Message::Attempt(AttemptId(1), AttemptEvent::RetryAfter(wait));
    assert!(node.send(asked).is_empty());
    assert_eq!(fakes.0.borrow().held, [(slot("a"), wait)]);
    let sent = node.send(failed(1, AttemptFailure::NotRun("full".into())));
    assert_eq!(dispatches(&sent).len(), 1);
    let sent = node.send(failed(2, AttemptFailure::NotRun("full".into())));
    assert_eq!(kind_and_ran(&sent).map(|(_, ran)| ran), Some(Ran::No));
}

/// Guards against a call that ends upstream after upstream by its own retries.
#[test]
fn call_that_was_lost_at_two_upstreams_is_not_sent_again() {
    let routes = ["a", "b", "c", "d", "e", "f"].map(local).to_vec();
    let (mut node, _) = node(routes, CallOptions::default());
    node.send(arriving_call(Kind::Count, FRONT));
    assert_eq!(dispatches(&node.send(lost(1))).len(), 1);
    let sent = node.send(lost(2));
    assert_eq!(
        kind_and_ran(&sent),
        Some((RefusalKind::UpstreamFailed, Ran::Unknown))
    );
}

/// Returns a call that differs from all others in its body.
fn distinct_call(number: u32) -> CallArrived {
    CallArrived {
        body: format!("body {number}").into(),
        ..arriving_call(Kind::Count, ReplyTo::Front(number.into()))
    }
}

#[test]
fn retries_stay_within_the_node_budget() {
    const CALLS: u32 = 1_000;
    let options = CallOptions::default();
    let most = options.retry_burst + options.retry_ratio * f64::from(CALLS);
    let (mut node, _) = node(["a", "b", "c", "d"].map(local).to_vec(), options);
    let mut total_sent = 0;
    let mut last_attempt = 0;
    for i in 0..CALLS {
        let mut sent = node.send(distinct_call(i));
        while !dispatches(&sent).is_empty() {
            total_sent += 1;
            last_attempt += 1;
            sent = node.send(lost(last_attempt));
        }
    }
    let retries = total_sent - CALLS;
    assert!(
        retries > 0 && f64::from(retries) <= most,
        "{retries} retries"
    );
}

#[test]
fn retries_at_one_slot_stay_within_its_budget() {
    const CALLS: u32 = 100;
    let options = CallOptions {
        retry_burst: 1_000.0,
        ..CallOptions::default()
    };
    let most = options.slot_retry_burst;
    let (mut node, _) = node(vec![local("a"), peer("b")], options);
    let mut retries = 0;
    let mut last_attempt = 0;
    for i in 0..CALLS {
        node.send(distinct_call(i));
        last_attempt += 1;
        let sent = node.send(lost(last_attempt));
        if forward(&sent).is_some() {
            retries += 1;
            last_attempt += 1;
            node.send(lost(last_attempt));
        }
    }
    assert!(
        retries > 0 && f64::from(retries) <= most,
        "{retries} retries"
    );
}

#[test]
fn answer_over_the_buffer_size_is_not_retried() {
    let options = CallOptions {
        buffer_bytes: 4,
        ..CallOptions::default()
    };
    let (mut node, _) = node(vec![local("a"), local("b")], options);
    node.send(arriving_call(Kind::Count, FRONT));
    let head = ReplyHead {
        status: 200,
        content_type: "text/plain".into(),
    };
    assert!(
        node.send(Message::Attempt(AttemptId(1), AttemptEvent::Head(head)))
            .is_empty()
    );
    let data = AttemptEvent::Data("large".into());
    assert_eq!(node.send(Message::Attempt(AttemptId(1), data)).len(), 2);
    let sent = node.send(lost(1));
    assert!(dispatches(&sent).is_empty());
    assert_eq!(
        kind_and_ran(&sent),
        Some((RefusalKind::UpstreamFailed, Ran::Unknown))
    );
}

#[test]
fn forwarded_call_runs_at_the_chosen_slot() {
    let (mut node, _) = node(vec![local("a"), local("b")], CallOptions::default());
    let sent = node.send(from_peer(Some("b")));
    assert_eq!(dispatches(&sent).len(), 1);
    assert!(claim_wanted(&sent).is_none());
    let sent = node.send(lost(1));
    assert!(sent.iter().all(|(to, _)| *to == names::PEERS));
    assert_eq!(
        kind_and_ran(&sent),
        Some((RefusalKind::UpstreamFailed, Ran::Unknown))
    );
}

fn check_chosen_slot(routes: Vec<Route>, full: &[&str], kind: RefusalKind) {
    let (mut node, fakes) = node(routes, CallOptions::default());
    fakes.0.borrow_mut().full_slots = full.iter().map(|name| slot(name)).collect();
    let sent = node.send(from_peer(Some("b")));
    assert!(dispatches(&sent).is_empty() && forward(&sent).is_none());
    assert_eq!(kind_and_ran(&sent), Some((kind, Ran::No)));
}

cases! {
    check_chosen_slot;
    chosen_slot_not_here: vec![local("a")], &[], RefusalKind::NoUpstream;
    chosen_slot_at_another_node: vec![peer("b")], &[], RefusalKind::NoUpstream;
    chosen_slot_full: vec![local("a"), local("b")], &["b"], RefusalKind::Overloaded;
}

#[test]
fn call_forwarded_to_the_domain_stays_in_it() {
    let routes = vec![domain("dom-3"), peer("b")];
    let (mut node, _) = node(routes, CallOptions::default());
    let sent = node.send(from_peer(None));
    assert_eq!(forward(&sent).unwrap().call.slot, Some(slot("b")));
}

#[test]
fn call_forwarded_to_the_domain_is_not_retried_after_a_lost_answer() {
    let (mut node, _) = node(["a", "b", "c"].map(local).to_vec(), CallOptions::default());
    node.send(from_peer(None));
    let sent = node.send(failed(1, AttemptFailure::NotRun("fake".into())));
    assert_eq!(dispatches(&sent).len(), 1);
    let sent = node.send(lost(2));
    assert!(dispatches(&sent).is_empty());
    assert_eq!(
        kind_and_ran(&sent),
        Some((RefusalKind::UpstreamFailed, Ran::Unknown))
    );
}

#[test]
fn calls_from_peers_are_accepted_while_stopping() {
    let mut node = plain_node();
    node.send(Message::Stop);
    assert_eq!(dispatches(&node.send(from_peer(Some("a")))).len(), 1);
    let sent = node.send(arriving_call(Kind::Count, FRONT));
    assert!(refusal(&sent).unwrap().retry_after.is_some());
}
