//! Admission checks and rules of an arriving call.

use std::collections::BTreeSet;

use shallottide_types::call::{ReplyEvent, Target};
use shallottide_types::refusal::{Ran, Refusal, RefusalKind};
use shallottide_types::ticket::Ticket;

use super::CallService;
use super::answer_buffer::AnswerBuffer;
use super::call::{Call, Claim, Repeat};
use super::call_service::send_reply;
use super::claiming::{claim_id, request_claim};
use super::refusals::{not_run, rejected, with_unchecked_key};
use crate::kernel::{Context, Outbox};
use crate::message::{CallArrived, ReplyTo};

impl CallService {
    pub(super) fn on_arrived(&mut self, arrived: CallArrived, cx: &Context, out: &mut Outbox) {
        let rules = match self.rules_on_arrival(&arrived, cx) {
            Ok(rules) => rules,
            Err(refusal) => {
                send_reply(arrived.reply_to, ReplyEvent::Fail(refusal), out);
                return;
            }
        };
        let call = self.new_call(arrived, rules, cx);
        if let Some(refusal) = self
            .refusal_of_crashing(&call, cx)
            .filter(|_| !call.is_from_peer())
        {
            let refusal = match call.claim {
                Claim::NotNeeded => refusal,
                Claim::Waiting(_) | Claim::Held(_) => with_unchecked_key(refusal),
            };
            send_reply(call.reply_to, ReplyEvent::Fail(refusal), out);
            return;
        }
        let number = self.calls.next_number();
        match call.claim {
            Claim::Waiting(claim) => {
                request_claim(&call, claim, cx, out);
                self.calls.put(number, call);
            }
            Claim::NotNeeded | Claim::Held(_) => self.advance(number, call, cx, out),
        }
    }

    fn rules_on_arrival(&self, arrived: &CallArrived, cx: &Context) -> Result<Rules, Refusal> {
        let rules = rules_of(arrived, cx)?;
        match (self.refusal_on_arrival(arrived), rules.claim) {
            (None, _) => Ok(rules),
            (Some(refusal), Claim::NotNeeded) => Err(refusal),
            (Some(refusal), _) => Err(with_unchecked_key(refusal)),
        }
    }

    fn refusal_on_arrival(&self, arrived: &CallArrived) -> Option<Refusal> {
        let wait = self.options.retry_after;
        let from_caller = matches!(arrived.reply_to, ReplyTo::Front(_));
        if from_caller && self.stopping {
            let message = "this node is stopping: retry, another node will answer";
            return Some(not_run(RefusalKind::Stopping, message, wait));
        }
        if self.calls.len() >= self.options.max_in_flight {
            let message = "this node has too many calls in flight: retry later";
            return Some(not_run(RefusalKind::Overloaded, message, wait));
        }
        if from_caller && self.calls.has_id(&arrived.head.id) {
            let message = "a call with this request id is in flight: use a new id for each call";
            return Some(rejected(RefusalKind::BadRequest, message));
        }
        None
    }

    fn new_call(&self, arrived: CallArrived, rules: Rules, cx: &Context) -> Call {
        let is_buffered = !arrived.head.stream && matches!(arrived.reply_to, ReplyTo::Front(_));
        let mut answer = AnswerBuffer::new(is_buffered.then_some(self.options.buffer_bytes));
        if rules.claim != Claim::NotNeeded {
            answer.record_body(self.options.kept_body_bytes);
        }
        Call {
            reply_to: arrived.reply_to,
            deadline: cx.now() + arrived.head.time_left.min(self.options.max_time),
            head: arrived.head,
            body: arrived.body,
            chosen_slot: arrived.slot,
            resume_from: arrived.resume_from,
            repeat: rules.repeat,
            claim: rules.claim,
            has_receiver: true,
            tried: BTreeSet::new(),
            tried_domains: BTreeSet::new(),
            attempts: 0,
            local_tries: 0,
            ran: Ran::No,
            last_refusal: None,
            answer,
            attempt: None,
        }
    }
}

/// Repeat and claim rules of a call under the current configuration.
#[derive(Debug, Clone, Copy)]
struct Rules {
    repeat: Repeat,
    claim: Claim,
}

/// Returns the rules of a call.
///
/// Calls forwarded by a peer are neither claimed nor repeated here; the peer does both.
fn rules_of(arrived: &CallArrived, cx: &Context) -> Result<Rules, Refusal> {
    if matches!(arrived.reply_to, ReplyTo::Peer(_)) {
        return Ok(Rules {
            repeat: Repeat::Never,
            claim: Claim::NotNeeded,
        });
    }
    let repeat = repeat_of(arrived, cx)?;
    let head = &arrived.head;
    let is_model = matches!(head.target, Target::Model(_));
    match &head.key {
        Some(key) if is_model || repeat == Repeat::Never => {
            Ticket::from_key(key).map_err(|e| rejected(RefusalKind::BadRequest, &e.to_string()))?;
            Ok(Rules {
                repeat: Repeat::Never,
                claim: Claim::Waiting(claim_id(&head.team, key)),
            })
        }
        None if repeat == Repeat::Never => Err(rejected(
            RefusalKind::KeyRequired,
            "this call may run at most once: send an Idempotency-Key header",
        )),
        _ => Ok(Rules {
            repeat,
            claim: Claim::NotNeeded,
        }),
    }
}

fn repeat_of(arrived: &CallArrived, cx: &Context) -> Result<Repeat, Refusal> {
    let config = cx.config();
    let head = &arrived.head;
    match &head.target {
        Target::Model(model) => {
            let resumable = config.models.get(model).is_some_and(|r| r.resumable);
            if resumable && head.stream {
                return Ok(Repeat::Resume);
            }
            Ok(Repeat::BeforeBody)
        }
        Target::Service(service) => {
            let Some(record) = config.services.get(service) else {
                let message = format!("service {service} does not exist: check its name");
                let refusal = rejected(RefusalKind::NotFound, &message);
                // This node's configuration may be older than that of a node that already ran a
                // call with this key.
                let has_key = head.key.is_some();
                return Err(if has_key {
                    with_unchecked_key(refusal)
                } else {
                    refusal
                });
            };
            if record.is_repeatable(&head.method, &head.path) {
                return Ok(Repeat::BeforeBody);
            }
            Ok(Repeat::Never)
        }
    }
}
