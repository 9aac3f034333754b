//! Handling of progress, end and failure of attempts.

use std::time::Duration;

use shallottide_types::call::{ReplyEvent, Target};
use shallottide_types::id::AttemptId;
use shallottide_types::refusal::{Refusal, RefusalKind};

use super::CallService;
use super::answer_buffer::AnswerError;
use super::attempt::Attempt;
use super::call::Call;
use super::call_service::{refuse, reply, send_cancel};
use super::call_table::CallNumber;
use super::claiming::report_claim_ended;
use super::refusals;
use crate::kernel::{Context, Outbox};
use crate::message::{AttemptEvent, AttemptFailure};
use crate::routing::Route;

/// Lowest HTTP status of a server error.
const FIRST_SERVER_ERROR: u16 = 500;

impl CallService {
    /// Handles an event of an attempt; ignores events of attempts that are no longer in flight.
    pub(super) fn on_attempt(
        &mut self,
        id: AttemptId,
        event: AttemptEvent,
        cx: &Context,
        out: &mut Outbox,
    ) {
        let Some((number, mut call)) = self.calls.take_by_attempt(id) else {
            return;
        };
        if let AttemptEvent::Failed(failure) = event {
            self.on_failure(number, call, failure, true, cx, out);
            return;
        }
        if let AttemptEvent::RetryAfter(wait) = event {
            self.hold_slot(&call, wait, cx);
            self.calls.put(number, call);
            return;
        }
        if is_engine_error(&call, &event) {
            record_server_error(&mut call);
            if self.retry_engine_error(&mut call, cx, out) {
                self.advance(number, call, cx, out);
                return;
            }
        }
        let is_end = matches!(event, AttemptEvent::End);
        match take_event(&mut call, event, cx) {
            Ok(events) => {
                for event in events {
                    reply(&mut call, event, out);
                }
            }
            Err(error) => {
                self.abort_attempt(number, call, &error.to_string(), cx, out);
                return;
            }
        }
        if is_end {
            self.complete(call, cx, out);
        } else {
            self.calls.put(number, call);
        }
    }

    fn hold_slot(&mut self, call: &Call, wait: Duration, cx: &Context) {
        let route = call.attempt.as_ref().map(|attempt| &attempt.route);
        if let Some(Route::Local { slot, .. }) = route {
            self.admission.hold(slot, wait, cx);
        }
    }

    /// Fails an attempt that exceeded its idle timeout.
    pub(super) fn on_idle_timeout(
        &mut self,
        number: CallNumber,
        call: Call,
        cx: &Context,
        out: &mut Outbox,
    ) {
        self.abort_attempt(number, call, "nothing came within the timeout", cx, out);
    }

    fn abort_attempt(
        &mut self,
        number: CallNumber,
        call: Call,
        why: &str,
        cx: &Context,
        out: &mut Outbox,
    ) {
        send_cancel(&call, out);
        let failure = AttemptFailure::Lost(why.into());
        self.on_failure(number, call, failure, false, cx, out);
    }

    fn complete(&mut self, mut call: Call, cx: &Context, out: &mut Outbox) {
        let ok = call.attempt.as_ref().is_some_and(|a| !a.server_error);
        self.close_attempt(&mut call, ok, cx);
        if ok {
            self.report_answer(&call, cx, out);
        }
        let outcome = call.answer.outcome();
        report_claim_ended(&call, outcome, out);
    }

    /// Handles the end of an attempt without an answer; `is_crash` unless this node gave it up.
    fn on_failure(
        &mut self,
        number: CallNumber,
        mut call: Call,
        failure: AttemptFailure,
        is_crash: bool,
        cx: &Context,
        out: &mut Outbox,
    ) {
        let Some(attempt) = &call.attempt else {
            return;
        };
        let refusal = refusals::from_failure(failure, attempt);
        let route = attempt.route.clone();
        if is_crash && refusal.kind == RefusalKind::UpstreamFailed && !call.is_from_peer() {
            self.report_loss(&call, &route, cx, out);
        }
        self.close_attempt(&mut call, false, cx);
        call.exclude(&route);
        call.ran = call.ran.max(refusal.ran);
        call.answer.restart();
        if self.may_retry(&call, &refusal, cx) {
            call.last_refusal = Some(refusal);
            self.advance(number, call, cx, out);
        } else {
            refuse(call, refusal, out);
        }
    }

    /// Cancels an attempt that an engine answered with a server error and returns `true` if the
    /// call may be retried; otherwise the error is passed on as the answer.
    fn retry_engine_error(&mut self, call: &mut Call, cx: &Context, out: &mut Outbox) -> bool {
        let Some(attempt) = &call.attempt else {
            return false;
        };
        let why = "the engine answered with a server error".into();
        let refusal = refusals::from_failure(AttemptFailure::Lost(why), attempt);
        if !self.may_retry(call, &refusal, cx) {
            return false;
        }
        call.exclude(&attempt.route.clone());
        self.cancel_attempt(call, cx, out);
        call.ran = call.ran.max(refusal.ran);
        call.answer.restart();
        call.last_refusal = Some(refusal);
        true
    }

    fn may_retry(&mut self, call: &Call, refusal: &Refusal, cx: &Context) -> bool {
        call.may_repeat_after(refusal.ran)
            && call.chosen_slot.is_none()
            && refusals::is_about_upstream(refusal.kind)
            && call.attempts < self.options.max_attempts
            && call.deadline > cx.now()
            && !self.is_suspect(call)
            && self.budget.take()
    }
}

/// Returns whether the event is the head of a server error from a model engine.
fn is_engine_error(call: &Call, event: &AttemptEvent) -> bool {
    let AttemptEvent::Head(head) = event else {
        return false;
    };
    matches!(call.head.target, Target::Model(_)) && head.status >= FIRST_SERVER_ERROR
}

fn record_server_error(call: &mut Call) {
    if let Some(attempt) = &mut call.attempt {
        attempt.server_error = true;
    }
}

fn take_event(
    call: &mut Call,
    event: AttemptEvent,
    cx: &Context,
) -> Result<Vec<ReplyEvent>, AnswerError> {
    let now = cx.now();
    if let Some(attempt) = &mut call.attempt {
        record_event(attempt, &event, now);
    }
    match event {
        AttemptEvent::Head(head) => call.answer.on_head(head),
        AttemptEvent::Data(data) => call.answer.on_data(data),
        AttemptEvent::End => call.answer.on_end(),
        AttemptEvent::RetryAfter(_) | AttemptEvent::Failed(_) => Ok(Vec::new()),
    }
}

fn record_event(attempt: &mut Attempt, event: &AttemptEvent, now: std::time::Instant) {
    attempt.last_event_at = now;
    attempt.answer_started = true;
    if matches!(event, AttemptEvent::Data(_)) {
        attempt.record_data(now);
    }
}
