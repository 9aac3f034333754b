//! Authentication by team keys: which requests are forwarded, and how the others are refused.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use shallottide::auth::AuthService;
use shallottide::kernel::{Context, Outbox, Service};
use shallottide::message::{
    CallArrived, Message, ReplyTo, UnauthenticatedCall, UnauthenticatedTicketRequest,
};
use shallottide::view::ConfigView;
use shallottide_types::call::{CallHead, ReplyEvent, Target, TraceContext};
use shallottide_types::cases;
use shallottide_types::clock::ManualClock;
use shallottide_types::id::{Incarnation, StoreIndex};
use shallottide_types::peer::NodeInfo;
use shallottide_types::record::{Document, KeyHash, Record};
use shallottide_types::refusal::{Ran, RefusalKind};

const KEY: &str = "depot-key";

fn config() -> ConfigView {
    let hash = KeyHash::of(KEY);
    let toml = format!(
        "kind = \"team\"\nschema = 1\nid = \"depot\"\nkey_hashes = [\"{hash}\"]\n\
         rate = \"1/s\"\nmax_in_flight = 1"
    );
    let document = Document::from_toml(&toml).unwrap();
    let mut config = config_without_teams();
    config.insert(Record::from_document(&document).unwrap());
    config
}

/// Loaded records, none of which is a team's any more.
fn config_without_teams() -> ConfigView {
    ConfigView {
        index: StoreIndex(7),
        ..ConfigView::default()
    }
}

fn context(config: ConfigView) -> Context {
    let me = NodeInfo {
        node: "node-1".parse().unwrap(),
        incarnation: Incarnation(1),
        domain: "jkpg".parse().unwrap(),
        address: "127.0.0.1:1".parse().unwrap(),
        stopping: false,
    };
    let cx = Context::new(Arc::new(ManualClock::default()), me);
    cx.publish_config(config);
    cx
}

fn presented(key: Option<&str>) -> UnauthenticatedCall {
    let head = CallHead {
        id: "call-1".parse().unwrap(),
        team: "unknown".parse().unwrap(),
        target: Target::Service("bookings".parse().unwrap()),
        method: "POST".into(),
        path: "/".into(),
        content_type: None,
        key: None,
        stream: false,
        prefix: None,
        time_left: Duration::from_secs(1),
        trace: TraceContext::default(),
    };
    UnauthenticatedCall {
        key: key.map(KeyHash::of),
        call: CallArrived {
            reply_to: ReplyTo::Front(1),
            head,
            body: Bytes::new(),
            slot: None,
            resume_from: 0,
        },
    }
}

fn answer(config: ConfigView, key: Option<&str>) -> Message {
    answer_to(presented(key).into(), config)
}

fn answer_to(message: Message, config: ConfigView) -> Message {
    let mut out = Outbox::default();
    AuthService.handle(message, &context(config), &mut out);
    let mut sent = out.take();
    assert_eq!(sent.len(), 1);
    sent.remove(0).1
}

#[test]
fn valid_key_gives_the_team() {
    let Message::CallArrived(call) = answer(config(), Some(KEY)) else {
        panic!("the call was not forwarded");
    };
    assert_eq!(call.head.team.as_str(), "depot");
}

fn tickets(key: Option<&str>) -> Message {
    let presented = UnauthenticatedTicketRequest {
        reply_to: ReplyTo::Front(1),
        key: key.map(KeyHash::of),
        count: 3,
    };
    presented.into()
}

#[test]
fn tickets_are_for_the_team_of_the_key() {
    let Message::MintTickets(wanted) = answer_to(tickets(Some(KEY)), config()) else {
        panic!("the request was not forwarded");
    };
    assert_eq!((wanted.team.as_str(), wanted.count), ("depot", 3));
}

fn check_both_refused(config: ConfigView, key: Option<&str>, kind: RefusalKind) {
    check_refused(answer(config.clone(), key), kind);
    check_refused(answer_to(tickets(key), config), kind);
}

fn check_refused(message: Message, kind: RefusalKind) {
    let Message::Reply(reply) = message else {
        panic!("the call was forwarded");
    };
    let ReplyEvent::Fail(refusal) = reply.event else {
        panic!("no refusal");
    };
    assert_eq!((refusal.kind, refusal.ran), (kind, Ran::No));
}

cases! {
    check_both_refused;
    no_key: config(), None, RefusalKind::Unauthorized;
    unknown_key: config(), Some("other"), RefusalKind::Unauthorized;
    // Guards against callers that are told to retry for ever once the last team was removed.
    key_after_the_last_team_was_removed: config_without_teams(), Some(KEY), RefusalKind::Unauthorized;
    no_key_after_the_last_team_was_removed: config_without_teams(), None, RefusalKind::Unauthorized;
    key_before_any_record_is_known: ConfigView::default(), Some(KEY), RefusalKind::NoUpstream;
}

#[test]
fn refused_call_with_an_idempotency_key_may_have_run_elsewhere() {
    let mut presented = presented(Some(KEY));
    presented.call.head.key = Some("booking-1".parse().unwrap());
    let mut out = Outbox::default();
    let cx = context(ConfigView::default());
    AuthService.handle(presented.into(), &cx, &mut out);
    let Some((_, Message::Reply(reply))) = out.take().pop() else {
        panic!("the call was forwarded");
    };
    let ReplyEvent::Fail(refusal) = reply.event else {
        panic!("no refusal");
    };
    assert_eq!(refusal.ran, Ran::Unknown);
}
