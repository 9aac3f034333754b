//! Checks that an answer is complete and belongs to its call.

use serde::Deserialize;
use shallottide_types::refusal::{Ran, RefusalKind};
use shallottide_types::synthetic::{expected_text, expected_token};

use crate::outcome::Outcome;

/// Data of the last event of a stream.
const DONE: &str = "[DONE]";

#[derive(Debug, Deserialize)]
struct Event {
    #[serde(default)]
    choices: Vec<Choice>,
    error: Option<ErrorBody>,
}

#[derive(Debug, Deserialize)]
struct Choice {
    #[serde(default)]
    text: String,
}

#[derive(Debug, Deserialize)]
struct ErrorAnswer {
    error: ErrorBody,
}

#[derive(Debug, Deserialize)]
struct ErrorBody {
    kind: RefusalKind,
    ran: Ran,
}

/// Result of checking one event of a stream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Verdict {
    /// The event is the expected next token.
    Token,
    /// The event ends the stream after all expected tokens.
    Done,
    /// The event decides the outcome of the call: a refusal or a wrong event.
    Ended(Outcome),
}

/// Checks a streamed completion event by event.
#[derive(Debug)]
pub struct StreamChecker<'a> {
    prompt: &'a str,
    max_tokens: u64,
    /// Number of tokens received so far.
    token_count: u64,
    done: bool,
}

impl<'a> StreamChecker<'a> {
    /// Creates a checker for the answer to a prompt.
    #[must_use]
    pub fn new(prompt: &'a str, max_tokens: u64) -> Self {
        Self {
            prompt,
            max_tokens,
            token_count: 0,
            done: false,
        }
    }

    /// Checks the data of the next event.
    pub fn check_event(&mut self, data: &str) -> Verdict {
        if self.done {
            return wrong(format!("event after the end: {data}"));
        }
        if data == DONE {
            return self.check_done();
        }
        let Ok(event) = serde_json::from_str::<Event>(data) else {
            return wrong(format!("event can't be parsed: {data}"));
        };
        if let Some(error) = event.error {
            return Verdict::Ended(Outcome::Refused {
                kind: error.kind,
                ran: error.ran,
                in_stream: true,
            });
        }
        self.check_token(event.choices.first().map_or("", |c| c.text.as_str()))
    }

    fn check_token(&mut self, text: &str) -> Verdict {
        let expected = expected_token(self.prompt, self.token_count);
        if self.token_count == self.max_tokens || text != expected {
            return wrong(format!("token {} is {text:?}", self.token_count));
        }
        self.token_count += 1;
        Verdict::Token
    }

    fn check_done(&mut self) -> Verdict {
        if self.token_count < self.max_tokens {
            return wrong(format!("ended after {} tokens", self.token_count));
        }
        self.done = true;
        Verdict::Done
    }

    /// Returns the outcome of a stream whose body ended as its framing announced.
    #[must_use]
    pub fn finish(&self) -> Outcome {
        if !self.done {
            return self.cut();
        }
        Outcome::Whole {
            body: String::new(),
        }
    }

    /// Returns the outcome of a stream whose body broke off.
    #[must_use]
    pub fn cut(&self) -> Outcome {
        Outcome::Cut(format!("stream cut after {} tokens", self.token_count))
    }
}

fn wrong(reason: String) -> Verdict {
    Verdict::Ended(Outcome::Wrong(reason))
}

/// Returns the outcome of a completion that isn't streamed, from its body.
#[must_use]
pub fn classify_completion(prompt: &str, max_tokens: u64, body: &str) -> Outcome {
    let event = serde_json::from_str::<Event>(body);
    let text = event
        .ok()
        .and_then(|event| event.choices.into_iter().next());
    let text = text.map(|choice| choice.text);
    if text.as_deref() == Some(&expected_text(prompt, max_tokens)) {
        let body = String::new();
        Outcome::Whole { body }
    } else {
        Outcome::Wrong(format!("completion is {text:?}"))
    }
}

/// Returns the outcome of a service call, from the body of its answer, which repeats the
/// idempotency key of the call.
pub(crate) fn classify_service_answer(key: &str, body: &str) -> Outcome {
    let answer = serde_json::from_str::<serde_json::Value>(body).unwrap_or_default();
    if answer["key"] == key {
        let body = body.into();
        Outcome::Whole { body }
    } else {
        Outcome::Wrong(format!("answer to key {}", answer["key"]))
    }
}

/// Returns the outcome of a call, from an answer with an error status.
#[must_use]
pub fn classify_refusal(status: u16, body: &str) -> Outcome {
    match serde_json::from_str::<ErrorAnswer>(body) {
        Ok(answer) => Outcome::Refused {
            kind: answer.error.kind,
            ran: answer.error.ran,
            in_stream: false,
        },
        Err(_) => Outcome::Malformed { status },
    }
}

/// Returns whether the answer to a repeated call shows that its key ran twice: the answer counts more
/// than one run, or differs from the first answer.
pub(crate) fn shows_second_run(first: &Outcome, repeated: &Outcome) -> bool {
    let Outcome::Whole { body: repeated } = repeated else {
        return false;
    };
    let answer = serde_json::from_str::<serde_json::Value>(repeated).unwrap_or_default();
    let ran_again = answer["run"].as_u64().is_some_and(|run| run > 1);
    let differs = matches!(first, Outcome::Whole { body: first } if first != repeated);
    ran_again || differs
}
