//! Routing and sending of attempts.

use std::time::Duration;

use shallottide_types::call::CallHead;
use shallottide_types::peer::{ForwardedCall, NodeInfo, Slot};
use shallottide_types::refusal::{Refusal, RefusalKind};

use super::CallService;
use super::attempt::Attempt;
use super::call::Call;
use super::call_service::refuse;
use super::call_table::CallNumber;
use super::refusals::{self, not_run, rejected};
use crate::kernel::{Context, Outbox};
use crate::message::{Dispatch, Forward};
use crate::routing::{Route, RouteQuery};

impl CallService {
    /// Sends the next attempt of a call, or refuses the call if no route is available.
    pub(super) fn advance(
        &mut self,
        number: CallNumber,
        mut call: Call,
        cx: &Context,
        out: &mut Outbox,
    ) {
        match self.find_route(&mut call, cx) {
            Ok(route) => {
                self.send_attempt(&mut call, route, cx, out);
                self.calls.put(number, call);
            }
            Err(refusal) => {
                let reported = call.last_refusal.take().unwrap_or(refusal);
                refuse(call, reported, out);
            }
        }
    }

    /// Finds a route and reserves it; for a local route, a permit of its slot is acquired.
    fn find_route(&mut self, call: &mut Call, cx: &Context) -> Result<Route, Refusal> {
        if call.deadline <= cx.now() {
            let message = "the deadline passed before the call was sent: retry with more time";
            return Err(rejected(RefusalKind::DeadlineExceeded, message));
        }
        while call.local_tries < self.options.max_local_tries {
            let route = self.query_router(call, cx)?;
            match self.reserve_route(call, &route, cx) {
                Ok(()) => return Ok(route),
                Err(refusal) if is_final(call, &refusal) => return Err(refusal),
                Err(refusal) => drop(call.last_refusal.get_or_insert(refusal)),
            }
            call.local_tries += 1;
            call.exclude(&route);
        }
        let message = "every upstream tried is full: retry later";
        Err(not_run(
            RefusalKind::Overloaded,
            message,
            self.options.retry_after,
        ))
    }

    /// Reserves a route: takes a retry from its slot's budget if the attempt is a retry, and for a
    /// local route acquires a permit from the admission.
    fn reserve_route(&mut self, call: &Call, route: &Route, cx: &Context) -> Result<(), Refusal> {
        let is_retry = call.attempts > 0;
        if is_retry && slot_of(route).is_some_and(|slot| !self.budget.take_at(slot)) {
            let message = "the upstream has had too many retries: retry later";
            let wait = self.options.retry_after;
            return Err(not_run(RefusalKind::Overloaded, message, wait));
        }
        match route {
            Route::Local { slot, .. } => self.admission.acquire(slot, &call.head.team, cx),
            Route::Peer { .. } | Route::Domain { .. } => Ok(()),
        }
    }

    fn query_router(&mut self, call: &Call, cx: &Context) -> Result<Route, Refusal> {
        let query = RouteQuery {
            head: &call.head,
            forwarded_slot: call.chosen_slot.as_ref(),
            tried: &call.tried,
            tried_domains: &call.tried_domains,
            own_domain_only: call.is_from_peer(),
        };
        let route = self.router.route(&query, cx)?;
        if is_allowed(&route, call) {
            return Ok(route);
        }
        let message = "this node does not dispatch to the chosen upstream: choose again";
        Err(rejected(RefusalKind::NoUpstream, message))
    }

    fn send_attempt(&mut self, call: &mut Call, route: Route, cx: &Context, out: &mut Outbox) {
        self.last_attempt = self.last_attempt.next();
        if call.attempts == 0 {
            self.budget.first_attempt(slot_of(&route));
        }
        call.attempts += 1;
        self.router.record_start(&route, cx);
        let now = cx.now();
        let idle_timeout = self.idle_timeout(call, &route);
        let attempt = Attempt::new(self.last_attempt, route, now, idle_timeout);
        let head = CallHead {
            time_left: call.time_left(now),
            ..call.head.clone()
        };
        self.send_to_adapter(call, &attempt, head, out);
        call.attempt = Some(attempt);
    }

    fn send_to_adapter(&self, call: &Call, attempt: &Attempt, head: CallHead, out: &mut Outbox) {
        let resume_from = call.resume_from + call.answer.sent_parts();
        match &attempt.route {
            Route::Local { address, .. } => {
                let dispatch = Dispatch {
                    attempt: attempt.id,
                    address: *address,
                    head,
                    body: call.body.clone(),
                    resume_from,
                    idle_timeout: attempt.idle_timeout,
                };
                out.send(attempt.adapter(), dispatch);
            }
            Route::Peer { slot, node } => {
                self.options.counts.forward_started();
                let slot = Some(slot.clone());
                let forward = forward(call, attempt, node, slot, head, resume_from);
                out.send(attempt.adapter(), forward);
            }
            Route::Domain { node } => {
                self.options.counts.forward_started();
                let forward = forward(call, attempt, node, None, head, resume_from);
                out.send(attempt.adapter(), forward);
            }
        }
    }

    fn idle_timeout(&self, call: &Call, route: &Route) -> Duration {
        let timeout = if call.head.stream {
            self.options.stream_idle_timeout
        } else {
            self.options.answer_idle_timeout
        };
        // The node nearest to the upstream has to time out first: its report names the cause of
        // the failure.
        let hops = match route {
            Route::Local { .. } => 0,
            Route::Peer { .. } => 1,
            Route::Domain { .. } => 2,
        };
        timeout + self.options.hop_margin * hops
    }
}

fn slot_of(route: &Route) -> Option<&Slot> {
    match route {
        Route::Local { slot, .. } | Route::Peer { slot, .. } => Some(slot),
        Route::Domain { .. } => None,
    }
}

/// Returns whether a refusal ends the call: no other slot may be used or would accept it.
fn is_final(call: &Call, refusal: &Refusal) -> bool {
    call.chosen_slot.is_some() || !refusals::is_about_upstream(refusal.kind)
}

/// Returns whether a route uses the slot that a peer chose, and does not forward a call from a peer
/// to another failure domain, which could create a loop.
fn is_allowed(route: &Route, call: &Call) -> bool {
    match (&call.chosen_slot, route) {
        (Some(chosen), Route::Local { slot, .. }) => slot == chosen,
        (Some(_), _) => false,
        (None, Route::Domain { .. }) => !call.is_from_peer(),
        (None, _) => true,
    }
}

fn forward(
    call: &Call,
    attempt: &Attempt,
    node: &NodeInfo,
    slot: Option<Slot>,
    head: CallHead,
    resume_from: u64,
) -> Forward {
    let call = ForwardedCall {
        head,
        body: call.body.clone(),
        slot,
        resume_from,
    };
    Forward {
        attempt: attempt.id,
        node: node.clone(),
        call,
        idle_timeout: attempt.idle_timeout,
    }
}
