//! The service that runs calls.

use shallottide_types::call::ReplyEvent;
use shallottide_types::id::AttemptId;
use shallottide_types::refusal::{Ran, Refusal, RefusalKind};

use super::CallOptions;
use super::call::Call;
use super::call_table::CallTable;
use super::claiming::{outlives_receiver, report_claim_refused};
use super::crashing_calls::CrashingCalls;
use super::refusals;
use super::retry_budget::RetryBudget;
use crate::admission::Admission;
use crate::kernel::{Context, Name, Outbox, Service, names};
use crate::message::{CancelAttempt, Message, Reply, ReplyTo};
use crate::routing::{Route, Router};

/// Runs calls from callers and peers.
///
/// Each call gets `Head`, any number of `Data` and one `End` or `Fail`, or a single `Fail`. Each
/// permit acquired from the [`Admission`] is released exactly once.
pub struct CallService {
    pub(super) options: CallOptions,
    pub(super) router: Box<dyn Router>,
    pub(super) admission: Box<dyn Admission>,
    pub(super) calls: CallTable,
    pub(super) budget: RetryBudget,
    pub(super) crashing: CrashingCalls,
    pub(super) last_attempt: AttemptId,
    pub(super) stopping: bool,
}

impl CallService {
    /// Creates the service.
    #[must_use]
    pub fn new(
        options: CallOptions,
        router: Box<dyn Router>,
        admission: Box<dyn Admission>,
    ) -> Self {
        Self {
            calls: CallTable::new(options.counts.clone()),
            budget: RetryBudget::new(&options),
            crashing: CrashingCalls::default(),
            last_attempt: AttemptId::default(),
            stopping: false,
            options,
            router,
            admission,
        }
    }

    /// Closes the attempt in flight and releases its permit or forward count.
    pub(super) fn close_attempt(&mut self, call: &mut Call, complete: bool, cx: &Context) {
        let Some(attempt) = call.attempt.take() else {
            return;
        };
        let finished = attempt.finished(complete);
        match &attempt.route {
            Route::Local { slot, .. } => {
                self.admission.release(slot, &call.head.team, &finished, cx);
            }
            Route::Peer { .. } | Route::Domain { .. } => self.options.counts.forward_ended(),
        }
        self.router.record_finish(&attempt.route, &finished, cx);
    }

    /// Cancels the attempt in flight at its adapter and closes it.
    pub(super) fn cancel_attempt(&mut self, call: &mut Call, cx: &Context, out: &mut Outbox) {
        send_cancel(call, out);
        self.close_attempt(call, false, cx);
    }

    fn on_call_gone(&mut self, reply_to: ReplyTo, cx: &Context, out: &mut Outbox) {
        let Some((number, mut call)) = self.calls.take_by_reply(reply_to) else {
            return;
        };
        call.has_receiver = false;
        if outlives_receiver(&call) {
            self.calls.put(number, call);
            return;
        }
        self.cancel_attempt(&mut call, cx, out);
        report_claim_refused(&call, Ran::No, out);
    }

    fn on_tick(&mut self, cx: &Context, out: &mut Outbox) {
        self.admission.tick(cx);
        let loads = self.admission.loads(cx);
        out.send(names::MEMBERS, Message::OwnLoads(loads));
        let now = cx.now();
        for number in self.calls.select(|call| call.deadline <= now) {
            if let Some(call) = self.calls.take(number) {
                self.on_deadline(call, cx, out);
            }
        }
        let is_idle = |call: &Call| call.attempt.as_ref().is_some_and(|a| a.is_idle(now));
        for number in self.calls.select(is_idle) {
            if let Some(call) = self.calls.take(number) {
                self.on_idle_timeout(number, call, cx, out);
            }
        }
    }

    fn on_deadline(&mut self, mut call: Call, cx: &Context, out: &mut Outbox) {
        let message = "the deadline passed: retry with more time";
        let mut refusal = refusals::rejected(RefusalKind::DeadlineExceeded, message);
        if call.attempt.is_some() {
            refusal.ran = Ran::Unknown;
            self.cancel_attempt(&mut call, cx, out);
        }
        refuse(call, refusal, out);
    }
}

/// Sends the adapter a cancellation of the attempt in flight, if any.
pub(super) fn send_cancel(call: &Call, out: &mut Outbox) {
    if let Some(attempt) = &call.attempt {
        let cancel = CancelAttempt {
            attempt: attempt.id,
        };
        out.send(attempt.adapter(), cancel);
    }
}

/// Ends a call with a refusal.
pub(super) fn refuse(mut call: Call, refusal: Refusal, out: &mut Outbox) {
    let refusal = refusals::final_refusal(&call, refusal);
    report_claim_refused(&call, refusal.ran, out);
    reply(&mut call, ReplyEvent::Fail(refusal), out);
}

/// Sends one event to the call's receiver, if it is still connected and the answer has not ended.
pub(super) fn reply(call: &mut Call, event: ReplyEvent, out: &mut Outbox) {
    if !call.has_receiver {
        return;
    }
    call.has_receiver = !matches!(event, ReplyEvent::End | ReplyEvent::Fail(_));
    send_reply(call.reply_to, event, out);
}

/// Sends one event of an answer to the adapter of its receiver.
pub(super) fn send_reply(reply_to: ReplyTo, event: ReplyEvent, out: &mut Outbox) {
    let to = match reply_to {
        ReplyTo::Front(_) => names::FRONT,
        ReplyTo::Peer(_) => names::PEERS,
    };
    out.send(to, Reply { reply_to, event });
}

impl Service for CallService {
    fn name(&self) -> Name {
        names::CALLS
    }

    fn handle(&mut self, message: Message, cx: &Context, out: &mut Outbox) {
        match message {
            Message::CallArrived(arrived) => self.on_arrived(arrived, cx, out),
            Message::ReceiverDisconnected(reply_to) => self.on_call_gone(reply_to, cx, out),
            Message::Attempt(id, event) => self.on_attempt(id, event, cx, out),
            Message::ClaimReply(claim_reply) => self.on_claim_reply(claim_reply, cx, out),
            Message::PeerReceived(received) => self.on_peer_report(&received.msg, cx, out),
            Message::Tick => self.on_tick(cx, out),
            Message::Stop => self.stopping = true,
            _ => {}
        }
    }
}
