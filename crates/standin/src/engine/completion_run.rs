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
use crate::http::{EventStream, Exchange, Reply};
use crate::planned::{OTHER_REQUEST_ID, take_one};

/// Longest sleep before a run looks again whether it goes on.
const STEP: Duration = Duration::from_millis(10);

/// What all runs of an engine share.
pub(super) struct EngineShared {
    /// The engine's state.
    pub(super) model: Mutex<EngineModel>,
    /// Its runs.
    pub(super) runs: Mutex<RunTable>,
    /// Its fault switches.
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

/// The run was cut: by the group's failure, a cancel or the caller's leaving.
struct Cut;

/// One completion that the engine has taken.
pub(super) struct CompletionRun<'a> {
    shared: &'a EngineShared,
    request: CompletionRequest,
    interface: Interface,
    prompt: String,
    request_id: String,
    run: Run,
    number: u64,
}

/// Answers one request for a completion.
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
        Err(refused) => return refuse(shared, exchange, refused, &request_id),
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
    completion.answer(exchange);
    shared.runs().end(number);
}

fn refuse(shared: &EngineShared, exchange: Exchange, refused: RefusalReason, request_id: &str) {
    let message = refused.to_string();
    let reply = match refused {
        RefusalReason::NotReady => Reply::not_run(message, request_id),
        RefusalReason::ColdOverload => {
            // It failed while working on the request, so it counts as a run.
            let run = shared.runs().begin(request_id);
            shared.runs().end(run);
            Reply::error(500, message).header("X-Request-Id", request_id)
        }
    };
    exchange.respond(&reply);
}

impl CompletionRun<'_> {
    fn answer(&self, exchange: Exchange) {
        if self.wait_for_place(&exchange).is_err() {
            self.shared.model().leave_queue(Instant::now());
            return exchange.close();
        }
        if self.request.stream {
            self.answer_stream(exchange);
        } else {
            self.answer_whole(exchange);
        }
        self.shared.model().end(Instant::now());
    }

    fn wait_for_place(&self, exchange: &Exchange) -> Result<(), Cut> {
        while !self.shared.model().start(Instant::now()) {
            thread::sleep(STEP);
            self.check(exchange.is_caller_gone())?;
        }
        Ok(())
    }

    /// Tells whether the run goes on.
    fn check(&self, caller_gone: bool) -> Result<(), Cut> {
        let cancelled = self.shared.runs().is_cancelled(self.number);
        if cancelled || caller_gone || !self.shared.model().is_run_active(self.run) {
            return Err(Cut);
        }
        Ok(())
    }

    /// Sleeps in steps and, while answers are frozen after `made` tokens, longer.
    fn pause(&self, time: Duration, made: u64, caller_gone: impl Fn() -> bool) -> Result<(), Cut> {
        let end = Instant::now() + time;
        loop {
            self.check(caller_gone())?;
            let left = end.saturating_duration_since(Instant::now());
            let frozen = self.is_frozen(made);
            if left.is_zero() && !frozen {
                return Ok(());
            }
            let step = if frozen { STEP } else { left.min(STEP) };
            thread::sleep(step);
        }
    }

    fn is_frozen(&self, made: u64) -> bool {
        let faults = self.shared.faults();
        faults.freeze && made >= faults.freeze_after
    }

    fn make_token(&self, made: u64, caller_gone: impl Fn() -> bool) -> Result<(), Cut> {
        let time = self.shared.model().token_time(Instant::now());
        let time = time * self.shared.faults().slowdown.max(1);
        self.pause(time, made, caller_gone)?;
        self.shared.model().record_token();
        Ok(())
    }

    /// Waits as long as the prompt takes and the switch says.
    fn delay(&self, exchange: &Exchange) -> Result<(), Cut> {
        let prefill = self.shared.model().prefill(&self.prompt);
        let delay = prefill + Duration::from_millis(self.shared.faults().delay_ms);
        self.pause(delay, 0, || exchange.is_caller_gone())
    }

    fn head(&self, status: u16, content_type: &str) -> Reply {
        let wrong = take_one(&mut self.shared.faults().wrong_request_id);
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

    fn answer_whole(&self, exchange: Exchange) {
        let text = self
            .delay(&exchange)
            .and_then(|()| self.make_text(&exchange));
        let Ok(text) = text else {
            return exchange.close();
        };
        let body = self.request.whole(self.interface, &self.request_id, &text);
        let mut reply = self.head(200, "application/json");
        reply.body = body.to_string().into_bytes();
        if take_one(&mut self.shared.faults().cut_streams) {
            return exchange.respond_cut(&reply);
        }
        exchange.respond(&reply);
    }

    fn make_text(&self, exchange: &Exchange) -> Result<String, Cut> {
        let mut text = String::new();
        for i in 0..self.request.max_tokens {
            self.make_token(i, || exchange.is_caller_gone())?;
            text += &expected_token(&self.prompt, i);
        }
        Ok(text)
    }

    fn answer_stream(&self, exchange: Exchange) {
        if self.delay(&exchange).is_err() {
            return exchange.close();
        }
        let resume_from = exchange.header("X-Resume-From");
        let resume_from = resume_from.and_then(|text| text.parse().ok()).unwrap_or(0);
        let cut_after = self.planned_cut();
        let mut stream = exchange.stream(&self.head(200, "text/event-stream"));
        match self.send_tokens(&mut stream, resume_from, cut_after) {
            Ok(()) => stream.end(),
            Err(_) => stream.cut(),
        }
    }

    fn planned_cut(&self) -> Option<u64> {
        let mut faults = self.shared.faults();
        let cut = take_one(&mut faults.cut_streams);
        cut.then_some(faults.cut_after)
    }

    fn send_tokens(
        &self,
        stream: &mut EventStream,
        resume_from: u64,
        cut_after: Option<u64>,
    ) -> Result<(), Cut> {
        let sent = |result: io::Result<()>| result.map_err(|_| Cut);
        for i in resume_from..self.request.max_tokens {
            if cut_after == Some(i - resume_from) {
                return Err(Cut);
            }
            self.make_token(i - resume_from, || stream.is_caller_gone())?;
            let event = self
                .request
                .event(self.interface, &self.request_id, &self.prompt, i);
            sent(stream.send(&event))?;
        }
        if cut_after.is_some() {
            return Err(Cut);
        }
        sent(stream.send("[DONE]"))
    }
}
