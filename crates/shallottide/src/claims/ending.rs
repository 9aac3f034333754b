//! How claims end: recorded, or given back when their calls won't run.

use shallottide_types::peer::{ClaimEnd, ClaimOutcome, ClaimRequest};

use super::ClaimService;
use super::held::Held;
use super::job::Task;
use super::request::Request;
use crate::kernel::{Context, Outbox};
use crate::message::ClaimedCallEnded;

impl ClaimService {
    /// Handles the end of a call.
    pub(super) fn on_done(&mut self, done: ClaimedCallEnded, cx: &Context, out: &mut Outbox) {
        let is_held = |held: &Held| held.claim == done.claim;
        if self.held.get(&done.call).is_some_and(is_held) {
            let held = self.held.remove(&done.call);
            self.record_held(held, done.end, cx, out);
        } else if let Some(token) = self.waiting.remove(&done.call) {
            self.abandon(token, cx, out);
        }
    }

    /// Gives up a claim whose call ended before the answer: what may be written is given back.
    fn abandon(&mut self, token: u64, cx: &Context, out: &mut Outbox) {
        let Some((request, _)) = self.remove_request(token) else {
            return;
        };
        self.give_up(token, &request, cx);
        self.give_back_unknown(&request, cx, out);
    }

    /// Frees the key of a claim that may be written for a call that won't run.
    pub(super) fn give_back_unknown(&mut self, request: &Request, cx: &Context, out: &mut Outbox) {
        if let Task::Claim(claimed) = &request.task {
            let held = self.held(claimed, cx);
            self.record_held(Some(held), ClaimEnd::NotRun, cx, out);
        }
    }

    /// Remembers a claim that a writer may still write.
    pub(super) fn give_up(&mut self, token: u64, request: &Request, cx: &Context) {
        if request.asked.is_empty() {
            return;
        }
        if let Some(held) = self.held_by(request, cx) {
            self.given_up.insert(token, held);
        }
    }

    /// Returns what a request may hold.
    pub(super) fn held_by(&self, request: &Request, cx: &Context) -> Option<Held> {
        match &request.task {
            Task::Claim(claimed) => Some(self.held(claimed, cx)),
            Task::End(_) => None,
        }
    }

    fn held(&self, claimed: &ClaimRequest, cx: &Context) -> Held {
        Held {
            claim: claimed.claim,
            holder: claimed.call.clone(),
            ticket: claimed.ticket.clone(),
            until: cx.now() + claimed.time_left + self.options.outcome_timeout,
        }
    }

    /// Gives back a claim that was granted after it was given up.
    pub(super) fn give_back(&mut self, token: u64, cx: &Context, out: &mut Outbox) {
        let held = self.given_up.remove(&token);
        self.record_held(held, ClaimEnd::NotRun, cx, out);
    }

    fn record_held(&mut self, held: Option<Held>, end: ClaimEnd, cx: &Context, out: &mut Outbox) {
        let Some(held) = held else {
            return;
        };
        let token = self.tokens.next(cx);
        let patience = match (&held.ticket, &end) {
            (Some(_), ClaimEnd::NotRun) => self.options.tickets.give_back_timeout,
            _ => self.options.outcome_timeout,
        };
        let outcome = ClaimOutcome {
            token,
            claim: held.claim,
            call: held.holder,
            end,
            ticket: held.ticket,
        };
        let (now, task) = (cx.now(), Task::End(outcome));
        let request = Request::new(None, task, now, now + patience);
        self.submit(token, request, cx, out);
    }
}
