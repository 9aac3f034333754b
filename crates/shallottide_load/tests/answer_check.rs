//! Classification of answers as whole, cut, wrong or refused.

use shallottide_load::{Outcome, StreamChecker, Verdict, classify_completion, classify_refusal};
use shallottide_types::cases;
use shallottide_types::refusal::{Ran, RefusalKind};
use shallottide_types::synthetic::{expected_text, expected_token};

const PROMPT: &str = "p";
const TOKENS: u64 = 2;

fn token(i: u64) -> String {
    let text = expected_token(PROMPT, i);
    format!(r#"{{"choices":[{{"text":"{text}"}}]}}"#)
}

fn done() -> String {
    "[DONE]".into()
}

/// Returns the name of the outcome of a stream of these events.
fn outcome_of(events: &[String]) -> &'static str {
    let mut checker = StreamChecker::new(PROMPT, TOKENS);
    for event in events {
        if let Verdict::Ended(outcome) = checker.check_event(event) {
            return name(&outcome);
        }
    }
    name(&checker.finish())
}

fn name(outcome: &Outcome) -> &'static str {
    match outcome {
        Outcome::Whole { .. } => "whole",
        Outcome::Refused { .. } => "refused",
        Outcome::Malformed { .. } => "malformed",
        Outcome::Cut(_) => "cut",
        Outcome::Wrong(_) => "wrong",
        Outcome::NoAnswer(_) => "no answer",
    }
}

fn check_stream(events: &[String], expected: &str) {
    assert_eq!(outcome_of(events), expected);
}

cases! {
    check_stream;
    whole: &[token(0), token(1), done()], "whole";
    empty: &[], "cut";
    without_done: &[token(0), token(1)], "cut";
    done_before_last_token: &[token(0), done()], "wrong";
    tokens_out_of_order: &[token(1), token(0), done()], "wrong";
    token_missing: &[token(1), done()], "wrong";
    token_repeated: &[token(0), token(0), token(1), done()], "wrong";
    token_too_many: &[token(0), token(1), token(2), done()], "wrong";
    event_after_done: &[token(0), token(1), done(), token(1)], "wrong";
    not_json: &["x".into()], "wrong";
    error_event: &[
        token(0),
        r#"{"error":{"kind":"upstream_failed","message":"m","ran":"unknown"}}"#.into(),
    ], "refused";
}

#[test]
fn completion_of_another_prompt_is_wrong() {
    let body = |text: String| format!(r#"{{"choices":[{{"text":"{text}"}}]}}"#);
    let own = body(expected_text(PROMPT, TOKENS));
    assert_eq!(name(&classify_completion(PROMPT, TOKENS, &own)), "whole");
    let other = body(expected_text("q", TOKENS));
    assert_eq!(name(&classify_completion(PROMPT, TOKENS, &other)), "wrong");
}

#[test]
fn error_without_a_parsable_body_is_malformed() {
    let body = r#"{"error":{"kind":"overloaded","message":"m","ran":"no"}}"#;
    let refused = Outcome::Refused {
        kind: RefusalKind::Overloaded,
        ran: Ran::No,
        in_stream: false,
    };
    assert_eq!(classify_refusal(503, body), refused);
    assert_eq!(
        classify_refusal(500, ""),
        Outcome::Malformed { status: 500 }
    );
}
