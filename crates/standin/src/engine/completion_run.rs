//! Runs one completion.

use std::io;
use std::sync::{Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

use shallottide_types::synthetic::expected_token;

use super::completion_request::{CompletionRequest, Interface};
use super::engine_faults::EngineFaults;
use super::engine_model::{EngineModel, RefusalReason, Run};
use super::run_table::RunTable;
use crate::fault_counter::{OTHER_REQUEST_ID, consume_fault};
use crate::http::{EventStream, Exchange, Reply};

/// Longest sleep of a run between two checks that it is still active.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// State shared by all runs of an engine.
pub(super) struct EngineShared {
    /// State machine of the engine.
    pub(super) model: Mutex<EngineModel>,
    /// Active and counted runs.
    pub(super) runs: Mutex<RunTable>,
    /// Current fault switches.
    pub(super) faults: Mutex<EngineFaults>,
}

impl EngineShared {
    /// Locks the engine's state.
    pub(super) fn model(&self) -> MutexGuard<'_, EngineModel> {
        self.model.lock().expect("no holder panics")
    }

    /// Locks the runs.
    pub(super) fn runs(&self) -> MutexGuard<'_, RunTable> {
        self.runs.lock().expect("no holder panics")
    }

    /// Locks the fault switches.
    pub(super) fn faults(&self) -> MutexGuard<'_, EngineFaults> {
        self.faults.lock().expect("no holder panics")
    }
}

/// The run was interrupted by the group's failure, a cancellation or the caller's disconnect.
struct Interrupted;

/// One completion that the engine has accepted.
pub(super) struct CompletionRun<'a> {
    shared: &'a EngineShared,
    request: CompletionRequest,
    interface: Interface,
    prompt: String,
    request_id: String,
    run: Run,
    number: u64,
}

/// Handles one completion request.
pub(super) fn complete(
    shared: &EngineShared,
    exchange: Exchange,
    request: CompletionRequest,
    interface: Interface,
) {
    let request_id = exchange.request_id();
    let queued = shared.model().queue(Instant::now());
    let run = match queued {
        Ok(run) => run,
        Err(reason) => return respond_refusal(shared, exchange, reason, &request_id),
    };
    let number = shared.runs().begin(&request_id);
    let completion = CompletionRun {
        shared,
        prompt: request.prompt(),
        request,
        interface,
        request_id,
        run,
        number,
    };
    completion.respond(exchange);
    shared.runs().end(number);
}

fn respond_refusal(
    shared: &EngineShared,
    exchange: Exchange,
    reason: RefusalReason,
    request_id: &str,
) {
    let message = reason.to_string();
    let reply = match reason {
        RefusalReason::NotReady => Reply::not_run(message, request_id),
        RefusalReason::ColdOverload => {
            // The engine failed while working on the request, so it counts as a run.
            let run = shared.runs().begin(request_id);
            shared.runs().end(run);
            Reply::error(500, message).header("X-Request-Id", request_id)
        }
    };
    exchange.respond(&reply);
}

impl CompletionRun<'_> {
    fn respond(&self, exchange: Exchange) {
        if self.wait_for_slot(&exchange).is_err() {
            self.shared.model().leave_queue(Instant::now());
            return exchange.close();
        }
        if self.request.stream {
            self.respond_stream(exchange);
        } else {
            self.respond_full(exchange);
        }
        self.shared.model().end(Instant::now());
    }

    fn wait_for_slot(&self, exchange: &Exchange) -> Result<(), Interrupted> {
        while !self.shared.model().start(Instant::now()) {
            thread::sleep(POLL_INTERVAL);
            self.check(exchange.is_caller_disconnected())?;
        }
        Ok(())
    }

    /// Fails if the run was cancelled, its caller disconnected or its group was lost.
    fn check(&self, caller_disconnected: bool) -> Result<(), Interrupted> {
        let cancelled = self.shared.runs().is_cancelled(self.number);
        if cancelled || caller_disconnected || !self.shared.model().is_run_active(self.run) {
            return Err(Interrupted);
        }
        Ok(())
    }

    /// Sleeps for `time`, and longer while responses are frozen after `generated` tokens.
    /// Polls, so that an interruption ends the sleep early.
    fn sleep_while_active(
        &self,
        time: Duration,
        generated: u64,
        caller_disconnected: impl Fn() -> bool,
    ) -> Result<(), Interrupted> {
        let end = Instant::now() + time;
        loop {
            self.check(caller_disconnected())?;
            let left = end.saturating_duration_since(Instant::now());
            let frozen = self.is_frozen(generated);
            if left.is_zero() && !frozen {
                return Ok(());
            }
            let step = if frozen {
                POLL_INTERVAL
            } else {
                left.min(POLL_INTERVAL)
            };
            thread::sleep(step);
        }
    }

    fn is_frozen(&self, generated: u64) -> bool {
        let faults = self.shared.faults();
        faults.freeze && generated >= faults.freeze_after
    }

    fn generate_token(
        &self,
        generated: u64,
        caller_disconnected: impl Fn() -> bool,
    ) -> Result<(), Interrupted> {
        let time = self.shared.model().token_time(Instant::now());
        let time = time * self.shared.faults().slowdown.max(1);
        self.sleep_while_active(time, generated, caller_disconnected)?;
        self.shared.model().record_token();
        Ok(())
    }

    /// Waits for the prefill time of the prompt plus the `delay_ms` fault switch.
    fn delay_first_token(&self, exchange: &Exchange) -> Result<(), Interrupted> {
        let prefill = self.shared.model().prefill(&self.prompt);
        let delay = prefill + Duration::from_millis(self.shared.faults().delay_ms);
        self.sleep_while_active(delay, 0, || exchange.is_caller_disconnected())
    }

    fn response_head(&self, status: u16, content_type: &str) -> Reply {
        let wrong = consume_fault(&mut self.shared.faults().wrong_request_id);
        let id = if wrong {
            OTHER_REQUEST_ID
        } else {
            &self.request_id
        };
        Reply {
            status,
            headers: vec![
                ("Content-Type", content_type.into()),
                ("X-Request-Id", id.into()),
            ],
            body: Vec::new(),
        }
    }

    fn respond_full(&self, exchange: Exchange) {
        let text = self
            .delay_first_token(&exchange)
            .and_then(|()| self.generate_text(&exchange));
        let Ok(text) = text else {
            return exchange.close();
        };
        let body = self
            .request
            .full_response(self.interface, &self.request_id, &text);
        let mut reply = self.response_head(200, "application/json");
        reply.body = body.to_string().into_bytes();
        if consume_fault(&mut self.shared.faults().cut_streams) {
            return exchange.respond_truncated(&reply);
        }
        exchange.respond(&reply);
    }

    fn generate_text(&self, exchange: &Exchange) -> Result<String, Interrupted> {
        let mut text = String::new();
        for i in 0..self.request.max_tokens {
            self.generate_token(i, || exchange.is_caller_disconnected())?;
            text += &expected_token(&self.prompt, i);
        }
        Ok(text)
    }

    fn respond_stream(&self, exchange: Exchange) {
        if self.delay_first_token(&exchange).is_err() {
            return exchange.close();
        }
        let resume_from = exchange.header("X-Resume-From");
        let resume_from = resume_from.and_then(|text| text.parse().ok()).unwrap_or(0);
        let cut_after = self.take_stream_cut();
        let mut stream = exchange.stream(&self.response_head(200, "text/event-stream"));
        match self.send_tokens(&mut stream, resume_from, cut_after) {
            Ok(()) => stream.end(),
            Err(_) => stream.cut(),
        }
    }

    fn take_stream_cut(&self) -> Option<u64> {
        let mut faults = self.shared.faults();
        let cut = consume_fault(&mut faults.cut_streams);
        cut.then_some(faults.cut_after)
    }

    fn send_tokens(
        &self,
        stream: &mut EventStream,
        resume_from: u64,
        cut_after: Option<u64>,
    ) -> Result<(), Interrupted> {
        let sent = |result: io::Result<()>| result.map_err(|_| Interrupted);
        for i in resume_from..self.request.max_tokens {
            if cut_after == Some(i - resume_from) {
                return Err(Interrupted);
            }
            self.generate_token(i - resume_from, || stream.is_caller_disconnected())?;
            let event = self
                .request
                .event(self.interface, &self.request_id, &self.prompt, i);
            sent(stream.send(&event))?;
        }
        if cut_after.is_some() {
            return Err(Interrupted);
        }
        sent(stream.send("[DONE]"))
    }
}
