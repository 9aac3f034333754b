//! Ends of claims: recording outcomes and releasing the claims of calls that will not run.

use shallottide_types::peer::{ClaimEnd, ClaimOutcome, ClaimRequest};

use super::ClaimService;
use super::held_claim::HeldClaim;
use super::job::Task;
use super::request::Request;
use crate::kernel::{Context, Outbox};
use crate::message::ClaimedCallEnded;

impl ClaimService {
    /// Records the outcome of a call that holds a claim, or cancels its pending claim.
    pub(super) fn on_claimed_call_ended(
        &mut self,
        ended: ClaimedCallEnded,
        cx: &Context,
        out: &mut Outbox,
    ) {
        let is_held = |held: &HeldClaim| held.claim == ended.claim;
        if self.held.get(&ended.call).is_some_and(is_held) {
            let held = self.held.remove(&ended.call);
            self.record_held(held, ended.end, cx, out);
        } else if let Some(token) = self.waiting.remove(&ended.call) {
            self.cancel_request(token, cx, out);
        }
    }

    /// Cancels the request of a call that ended before its claim was answered, and releases the
    /// claim in case it was written.
    fn cancel_request(&mut self, token: u64, cx: &Context, out: &mut Outbox) {
        let Some((request, _)) = self.remove_request(token) else {
            return;
        };
        self.track_abandoned(token, &request, cx);
        self.release_unconfirmed(&request, cx, out);
    }

    /// Releases a claim that may have been written for a call that will not run.
    pub(super) fn release_unconfirmed(
        &mut self,
        request: &Request,
        cx: &Context,
        out: &mut Outbox,
    ) {
        if let Task::Claim(claimed) = &request.task {
            let held = self.held_claim(claimed, cx);
            self.record_held(Some(held), ClaimEnd::NotRun, cx, out);
        }
    }

    /// Tracks a cancelled claim that a writer may still write.
    pub(super) fn track_abandoned(&mut self, token: u64, request: &Request, cx: &Context) {
        if request.contacted.is_empty() {
            return;
        }
        if let Some(held) = self.held_claim_of(request, cx) {
            self.abandoned.insert(token, held);
        }
    }

    /// Returns the claim that a request may hold; `None` for an outcome.
    pub(super) fn held_claim_of(&self, request: &Request, cx: &Context) -> Option<HeldClaim> {
        match &request.task {
            Task::Claim(claimed) => Some(self.held_claim(claimed, cx)),
            Task::End(_) => None,
        }
    }

    fn held_claim(&self, claimed: &ClaimRequest, cx: &Context) -> HeldClaim {
        HeldClaim {
            claim: claimed.claim,
            holder: claimed.call.clone(),
            ticket: claimed.ticket.clone(),
            expires_at: cx.now() + claimed.time_left + self.options.outcome_timeout,
        }
    }

    /// Releases a claim that was granted after it was abandoned.
    pub(super) fn release_abandoned(&mut self, token: u64, cx: &Context, out: &mut Outbox) {
        let held = self.abandoned.remove(&token);
        self.record_held(held, ClaimEnd::NotRun, cx, out);
    }

    fn record_held(
        &mut self,
        held: Option<HeldClaim>,
        end: ClaimEnd,
        cx: &Context,
        out: &mut Outbox,
    ) {
        let Some(held) = held else {
            return;
        };
        let token = self.tokens.next(cx);
        let timeout = match (&held.ticket, &end) {
            (Some(_), ClaimEnd::NotRun) => self.options.tickets.release_timeout,
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
        let request = Request::new(None, task, now, now + timeout);
        self.submit(token, request, cx, out);
    }
}
