//! Checks that an answer is whole and the caller's own.

use serde::Deserialize;
use shallottide_types::refusal::{Ran, RefusalKind};
use shallottide_types::synthetic::{expected_text, expected_token};

use crate::outcome::Outcome;

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

/// What one event of a stream means.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Verdict {
    /// The next token.
    Token,
    /// The answer is whole.
    Done,
    /// The call ends here.
    Ended(Outcome),
}

/// Checks a stream event by event.
#[derive(Debug)]
pub struct StreamCheck<'a> {
    prompt: &'a str,
    max_tokens: u64,
    seen: u64,
    done: bool,
}

impl<'a> StreamCheck<'a> {
    /// Starts to check the answer to a prompt.
    #[must_use]
    pub fn new(prompt: &'a str, max_tokens: u64) -> Self {
        Self {
            prompt,
            max_tokens,
            seen: 0,
            done: false,
        }
    }

    /// Checks the data of the next event.
    pub fn event(&mut self, data: &str) -> Verdict {
        if self.done {
            return wrong(format!("event after the end: {data}"));
        }
        if data == DONE {
            return self.end_event();
        }
        let Ok(event) = serde_json::from_str::<Event>(data) else {
            return wrong(format!("event can't be read: {data}"));
        };
        if let Some(error) = event.error {
            return Verdict::Ended(Outcome::Refused {
                kind: error.kind,
                ran: error.ran,
                in_stream: true,
            });
        }
        self.token(event.choices.first().map_or("", |c| c.text.as_str()))
    }

    fn token(&mut self, text: &str) -> Verdict {
        let expected = expected_token(self.prompt, self.seen);
        if self.seen == self.max_tokens || text != expected {
            return wrong(format!("token {} is {text:?}", self.seen));
        }
        self.seen += 1;
        Verdict::Token
    }

    fn end_event(&mut self) -> Verdict {
        if self.seen < self.max_tokens {
            return wrong(format!("ended after {} tokens", self.seen));
        }
        self.done = true;
        Verdict::Done
    }

    /// Judges a stream whose body ended as its framing says.
    #[must_use]
    pub fn end(&self) -> Outcome {
        if !self.done {
            return self.cut();
        }
        Outcome::Whole {
            body: String::new(),
        }
    }

    /// Judges a stream whose body broke off.
    #[must_use]
    pub fn cut(&self) -> Outcome {
        Outcome::Cut(format!("stream cut after {} tokens", self.seen))
    }
}

fn wrong(reason: String) -> Verdict {
    Verdict::Ended(Outcome::Wrong(reason))
}

/// Judges the body of a completion that isn't streamed.
#[must_use]
pub fn judge_completion(prompt: &str, max_tokens: u64, body: &str) -> Outcome {
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

/// Judges the body of a service's answer, which names the key of its call.
pub(crate) fn judge_service(key: &str, body: &str) -> Outcome {
    let answer = serde_json::from_str::<serde_json::Value>(body).unwrap_or_default();
    if answer["key"] == key {
        let body = body.into();
        Outcome::Whole { body }
    } else {
        Outcome::Wrong(format!("answer to key {}", answer["key"]))
    }
}

/// Judges an answer whose status isn't a success.
#[must_use]
pub fn judge_refusal(status: u16, body: &str) -> Outcome {
    match serde_json::from_str::<ErrorAnswer>(body) {
        Ok(answer) => Outcome::Refused {
            kind: answer.error.kind,
            ran: answer.error.ran,
            in_stream: false,
        },
        Err(_) => Outcome::Malformed { status },
    }
}

/// Tells whether an answer to a call made again, or the two answers together, show a second run.
pub(crate) fn shows_second_run(first: &Outcome, again: &Outcome) -> bool {
    let Outcome::Whole { body: again } = again else {
        return false;
    };
    let answer = serde_json::from_str::<serde_json::Value>(again).unwrap_or_default();
    let ran_again = answer["run"].as_u64().is_some_and(|run| run > 1);
    let differs = matches!(first, Outcome::Whole { body: first } if first != again);
    ran_again || differs
}
