//! Tests the engine over HTTP.

mod client;

use std::net::SocketAddr;
use std::time::Duration;

use client::{events, get, header, json, post, put, wait_until};
use serde_json::{Value, json};
use shallottide_types::cases;
use shallottide_types::engine::{Assignment, EngineState, Order, OrderAction};
use shallottide_types::id::FencingToken;
use shallottide_types::synthetic::{expected_text, expected_token};
use standin::engine::{EngineFaults, EngineOptions, EngineServer};

const PROMPT: &str = "how many crates";

fn options() -> EngineOptions {
    EngineOptions {
        token_time: Duration::ZERO,
        load_time: Duration::ZERO,
        member_check_interval: Duration::from_millis(20),
        ..EngineOptions::default()
    }
}

fn order(
    engine: &EngineServer,
    fencing_token: u64,
    rank: u8,
    members: &[SocketAddr],
) -> client::Answer {
    let order = Order {
        fencing_token: FencingToken(fencing_token),
        action: OrderAction::Join(Assignment {
            group: "g1".parse().unwrap(),
            model: "m1".parse().unwrap(),
            formed: FencingToken(1),
            rank,
            members: members.to_vec(),
        }),
    };
    let body = serde_json::to_string(&order).unwrap();
    post(engine.address(), "/orders", "", &body)
}

/// Starts an engine that is the only member of its group and ready.
fn ready_engine() -> EngineServer {
    let engine = EngineServer::start(options()).unwrap();
    let ordered = order(&engine, 1, 0, &[engine.address()]);
    assert_eq!(ordered.unwrap().status(), 200);
    engine
}

fn complete(engine: &EngineServer, id: &str, stream: bool) -> client::Answer {
    let body = json!({"model": "m1", "prompt": PROMPT, "max_tokens": 5, "stream": stream});
    post(engine.address(), "/v1/completions", id, &body.to_string())
}

fn text(event: &str) -> String {
    let event: Value = serde_json::from_str(event).unwrap();
    event["choices"][0]["text"].as_str().unwrap().into()
}

fn expected(from: u64, to: u64) -> Vec<String> {
    let tokens = (from..to).map(|i| expected_token(PROMPT, i).into());
    tokens.collect()
}

#[test]
fn full_response_is_derived_from_the_prompt() {
    let engine = ready_engine();
    let answer = complete(&engine, "r1", false).unwrap();
    assert_eq!(header(&answer, "X-Request-Id").as_deref(), Some("r1"));
    assert!(header(&answer, "Content-Length").is_some());
    let body = json(Ok(answer));
    assert_eq!(body["choices"][0]["text"], expected_text(PROMPT, 5));
    let chat = json!({"messages": [{"role": "user", "content": PROMPT}], "max_tokens": 5});
    let chat = post(
        engine.address(),
        "/v1/chat/completions",
        "r2",
        &chat.to_string(),
    );
    let content = &json(chat)["choices"][0]["message"]["content"];
    assert_eq!(*content, expected_text(PROMPT, 5));
}

#[test]
fn cut_stream_resumes_at_the_requested_token() {
    let engine = ready_engine();
    engine.change_faults(|faults| (faults.cut_streams, faults.cut_after) = (1, 2));
    let cut: Vec<_> = events(complete(&engine, "r1", true).unwrap()).collect();
    let cut: Vec<_> = cut.iter().map(|event| text(event)).collect();
    assert_eq!(cut, expected(0, 2));
    let body = json!({"prompt": PROMPT, "max_tokens": 5, "stream": true}).to_string();
    let request = client::agent().post(format!("http://{}/v1/completions", engine.address()));
    let resumed = request.header("X-Resume-From", "2").send(body).unwrap();
    let mut resumed: Vec<_> = events(resumed).collect();
    assert_eq!(resumed.pop().as_deref(), Some("[DONE]"));
    let resumed: Vec<_> = resumed.iter().map(|event| text(event)).collect();
    assert_eq!(resumed, expected(2, 5));
}

#[test]
fn each_token_is_sent_immediately() {
    let engine = ready_engine();
    engine.change_faults(|faults| (faults.freeze, faults.freeze_after) = (true, 2));
    let mut stream = events(complete(&engine, "r1", true).unwrap());
    let early: Vec<_> = stream.by_ref().take(2).map(|event| text(&event)).collect();
    assert_eq!(early, expected(0, 2));
    engine.change_faults(|faults| faults.freeze = false);
    assert_eq!(stream.last().as_deref(), Some("[DONE]"));
}

#[test]
fn lost_member_cuts_streams_and_later_requests_do_not_run() {
    let rank_zero = EngineServer::start(options()).unwrap();
    let member = EngineServer::start(options()).unwrap();
    let members = [rank_zero.address(), member.address()];
    order(&rank_zero, 1, 0, &members).unwrap();
    let early = complete(&rank_zero, "early", true).unwrap();
    assert_eq!(header(&early, "X-Not-Run").as_deref(), Some("1"));
    order(&member, 1, 1, &members).unwrap();
    let to_member = complete(&member, "wrong-rank", true).unwrap();
    assert_eq!(header(&to_member, "X-Not-Run").as_deref(), Some("1"));
    wait_until("group ready", || {
        rank_zero.report().state == EngineState::Cold
    });
    rank_zero.change_faults(|faults| (faults.freeze, faults.freeze_after) = (true, 1));
    let mut stream = events(complete(&rank_zero, "r1", true).unwrap());
    assert!(stream.next().is_some());
    drop(member);
    assert_eq!(stream.next(), None, "cut without a final chunk");
    let refused = complete(&rank_zero, "r2", true).unwrap();
    assert_eq!(refused.status(), 503);
    assert_eq!(header(&refused, "X-Not-Run").as_deref(), Some("1"));
    assert_eq!(rank_zero.runs(), [("r1".to_owned(), 1)].into());
}

#[test]
fn stale_order_is_refused_with_the_highest_fencing_token() {
    let engine = ready_engine();
    order(&engine, 5, 0, &[engine.address()]).unwrap();
    let stale = order(&engine, 4, 0, &[engine.address()]).unwrap();
    assert_eq!(stale.status(), 409);
    assert_eq!(json(Ok(stale)), json!({"seen": 5}));
    let report = json(get(engine.address(), "/report"));
    assert_eq!(
        (&report["fence"], &report["state"]),
        (&json!(5), &json!("cold"))
    );
}

#[test]
fn cancelled_and_abandoned_runs_free_their_slots() {
    let engine = ready_engine();
    engine.change_faults(|faults| (faults.freeze, faults.freeze_after) = (true, 1));
    let cancelled = events(complete(&engine, "r1", true).unwrap());
    let abandoned = complete(&engine, "r2", true).unwrap();
    assert_eq!(engine.report().running, 2);
    let answer = post(engine.address(), "/cancel/r1", "", "").unwrap();
    assert_eq!(answer.status(), 200);
    assert_eq!(cancelled.count(), 1);
    drop(abandoned);
    wait_until("both ended", || engine.report().running == 0);
    let again = post(engine.address(), "/cancel/r1", "", "").unwrap();
    assert_eq!(again.status(), 404);
}

#[test]
fn restarted_engine_on_the_same_address_has_no_model() {
    let engine = ready_engine();
    let mut options = options();
    options.listen.address = engine.address();
    drop(engine);
    let engine = EngineServer::start(options).unwrap();
    assert_eq!(engine.report().state, EngineState::Idle);
    assert_eq!(complete(&engine, "r1", true).unwrap().status(), 503);
}

#[test]
fn control_sets_fault_switches_and_restarts() {
    let engine = ready_engine();
    let body = r#"{"faults":{"wrong_request_id":1},"turn_cold":true}"#;
    assert_eq!(json(put(engine.address(), "/control", body)), true);
    let answer = complete(&engine, "r1", false).unwrap();
    assert_ne!(header(&answer, "X-Request-Id").as_deref(), Some("r1"));
    let body = r#"{"restart":true}"#;
    assert_eq!(json(put(engine.address(), "/control", body)), true);
    assert_eq!(complete(&engine, "r2", false).unwrap().status(), 503);
    assert_eq!(json(get(engine.address(), "/report"))["incarnation"], 2);
    assert_eq!(
        json(get(engine.address(), "/control/runs")),
        json!({"r1": 1})
    );
}

/// Makes a streamed and a non-streamed call under a fault; `complete_response` is whether both
/// responses arrive completely.
fn check_fault(faults: &EngineFaults, complete_response: bool) {
    for stream in [true, false] {
        let engine = ready_engine();
        engine.change_faults(|set| *set = faults.clone());
        let body = complete(&engine, "r1", stream).and_then(|mut a| a.body_mut().read_to_string());
        assert_eq!(body.is_ok(), complete_response, "stream: {stream}");
        assert_eq!(engine.runs()["r1"], 1);
    }
}

cases! {
    check_fault;
    without_fault: &EngineFaults::default(), true;
    delayed: &EngineFaults { delay_ms: 1, ..EngineFaults::default() }, true;
    slowed_down: &EngineFaults { slowdown: 3, ..EngineFaults::default() }, true;
    cut_before_the_first_token: &EngineFaults { cut_streams: 1, ..EngineFaults::default() }, false;
    cut_before_done: &EngineFaults { cut_streams: 1, cut_after: 5, ..EngineFaults::default() }, false;
}

#[test]
fn all_members_of_a_group_warm_up() {
    let warm_up_tokens = 5;
    let start = || {
        let options = EngineOptions {
            warm_up_tokens,
            ..options()
        };
        EngineServer::start(options).unwrap()
    };
    let (rank_zero, member) = (start(), start());
    let members = [rank_zero.address(), member.address()];
    order(&member, 1, 1, &members).unwrap();
    order(&rank_zero, 1, 0, &members).unwrap();
    wait_until("group ready", || {
        rank_zero.report().state == EngineState::Cold
    });
    assert_eq!(complete(&rank_zero, "r1", false).unwrap().status(), 200);
    wait_until("member warm", || member.report().state == EngineState::Warm);
}
