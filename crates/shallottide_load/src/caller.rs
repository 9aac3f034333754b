//! Sends one call and classifies its answer.

use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use serde_json::json;
use shallottide_types::duration_text;
use ureq::http::Response;
use ureq::{Agent, Body, RequestBuilder};

use crate::answer_check::{
    StreamChecker, Verdict, classify_completion, classify_refusal, classify_service_answer,
};
use crate::load_options::LoadOptions;
use crate::outcome::{Outcome, Timing};

/// HTTP client with a connection pool.
pub(crate) struct Caller<'a> {
    options: &'a LoadOptions,
    agent: Agent,
}

impl<'a> Caller<'a> {
    /// Creates a caller with connections for `max_in_flight` calls, or without keep-alive if
    /// `new_connections` is set.
    pub(crate) fn new(options: &'a LoadOptions) -> Self {
        let max_idle = if options.new_connections {
            0
        } else {
            options.max_in_flight
        };
        let agent = Agent::config_builder()
            .http_status_as_error(false)
            .timeout_global(Some(options.timeout))
            .max_idle_connections(max_idle)
            .max_idle_connections_per_host(max_idle)
            .build()
            .into();
        Self { options, agent }
    }

    /// Requests a completion. Times are measured from `arrival`.
    pub(crate) fn complete(
        &self,
        target: SocketAddr,
        prompt: &str,
        arrival: Instant,
    ) -> (Outcome, Timing) {
        let body = json!({
            "model": self.options.model,
            "prompt": prompt,
            "max_tokens": self.options.max_tokens,
            "stream": self.options.stream,
        });
        let request = self.request(target, "/v1/completions");
        let answer = request.send(body.to_string());
        let mut timing = Timing::default();
        let outcome = match answer {
            Err(error) => Outcome::NoAnswer(error.to_string()),
            Ok(answer) if !answer.status().is_success() => read_refusal(answer),
            Ok(answer) if self.options.stream => {
                self.read_stream(answer, prompt, arrival, &mut timing)
            }
            Ok(answer) => {
                let tokens = self.options.max_tokens;
                read_whole(answer, |body| classify_completion(prompt, tokens, body))
            }
        };
        timing.whole = arrival.elapsed();
        (outcome, timing)
    }

    /// Calls the plain service. Times are measured from `arrival`.
    pub(crate) fn call_service(
        &self,
        target: SocketAddr,
        path: &str,
        key: &str,
        arrival: Instant,
    ) -> (Outcome, Timing) {
        let request = self.request(target, path).header("Idempotency-Key", key);
        let outcome = match request.send(json!({"call": key}).to_string()) {
            Err(error) => Outcome::NoAnswer(error.to_string()),
            Ok(answer) if !answer.status().is_success() => read_refusal(answer),
            Ok(answer) => read_whole(answer, |body| classify_service_answer(key, body)),
        };
        let timing = Timing {
            whole: arrival.elapsed(),
            ..Timing::default()
        };
        (outcome, timing)
    }

    fn request(&self, target: SocketAddr, path: &str) -> RequestBuilder<ureq::typestate::WithBody> {
        let request = self.agent.post(format!("http://{target}{path}"));
        let request = request.content_type("application/json");
        let request = match self.options.deadline {
            Some(time) => request.header("X-Timeout", duration_text::format(time)),
            None => request,
        };
        match &self.options.key {
            Some(key) => request.header("Authorization", format!("Bearer {key}")),
            None => request,
        }
    }

    fn read_stream(
        &self,
        answer: Response<Body>,
        prompt: &str,
        arrival: Instant,
        timing: &mut Timing,
    ) -> Outcome {
        let mut checker = StreamChecker::new(prompt, self.options.max_tokens);
        let lines = BufReader::new(answer.into_body().into_reader()).lines();
        let mut last = None;
        for line in lines {
            let Ok(line) = line else {
                return checker.cut();
            };
            let Some(data) = line.strip_prefix("data: ") else {
                continue;
            };
            match checker.check_event(data) {
                Verdict::Token => record_token(timing, &mut last, arrival.elapsed()),
                Verdict::Done => {}
                Verdict::Ended(outcome) => return outcome,
            }
        }
        checker.finish()
    }
}

fn record_token(timing: &mut Timing, last: &mut Option<Duration>, now: Duration) {
    match last.replace(now) {
        None => timing.first_token = Some(now),
        Some(last) => timing.between_tokens.push(now.saturating_sub(last)),
    }
}

fn read_refusal(mut answer: Response<Body>) -> Outcome {
    let status = answer.status().as_u16();
    let body = answer.body_mut().read_to_string();
    classify_refusal(status, &body.unwrap_or_default())
}

fn read_whole(mut answer: Response<Body>, classify: impl FnOnce(&str) -> Outcome) -> Outcome {
    match answer.body_mut().read_to_string() {
        Ok(body) => classify(&body),
        Err(error) => Outcome::Cut(error.to_string()),
    }
}
