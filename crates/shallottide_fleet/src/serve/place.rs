//! Finding a place for a call, and waiting for one.

use std::rc::Rc;
use std::time::Instant;

use shallottide_types::id::ServiceId;
use tokio::sync::Notify;

use super::call::Call;
use super::node::{Node, State};
use super::send::Work;
use crate::balance::{Choice, Need, NoPlace};
use crate::wait_queue::Ticket;

/// Part of a route's target latency for which a request may wait for a place; a longer wait made
/// most answers late.
const WAIT_PART: f64 = 0.05;
/// Requests beyond its slots that an engine's head may have waiting.
const ENGINE_QUEUE: u32 = 2;
/// Requests beyond its slots that a plain service's upstream may have waiting.
const PLAIN_QUEUE: u32 = 8;
/// Part of a plain service's connections that nodes use together.
const CONNECTION_PART: f64 = 0.85;

impl Call {
    /// Waits for a place at an upstream, as long as the answer can be on time.
    pub(super) async fn place(&mut self) -> Result<(Choice, Work), NoPlace> {
        let must_wait = self.node.state.borrow().waiting.len(&self.what) > 0;
        if !must_wait {
            match self.try_place() {
                Err(NoPlace::Full) => {}
                other => return other,
            }
        }
        let wait = self.route.target_latency.mul_f64(WAIT_PART);
        let until = self.outgoing.deadline.min(self.node.now() + wait);
        self.wait_until(until).await
    }

    async fn wait_until(&self, until: Instant) -> Result<(Choice, Work), NoPlace> {
        let waker = Rc::new(Notify::new());
        let place = Waiting::enter(self, until, &waker);
        let until = tokio::time::Instant::from_std(until);
        loop {
            if self.node.state.borrow().waiting.is_first(place.ticket) {
                match self.try_place() {
                    Err(NoPlace::Full) => {}
                    other => return other,
                }
            }
            if tokio::time::timeout_at(until, waker.notified())
                .await
                .is_err()
            {
                return Err(NoPlace::Full);
            }
        }
    }

    fn try_place(&self) -> Result<(Choice, Work), NoPlace> {
        let node = &self.node;
        let now = node.now();
        let mut state = node.state.borrow_mut();
        let state = &mut *state;
        let is_engine = self.model.is_some();
        let need = Need {
            service: &self.service,
            model: self.model.as_ref(),
            domains: self.domains.as_ref(),
            tried: &self.tried,
            queue: if is_engine { ENGINE_QUEUE } else { PLAIN_QUEUE },
        };
        let own = (&node.options.node, &node.options.domain);
        let choice =
            state
                .loads
                .choose(&need, &state.view, &state.cold, own, now, rand::random())?;
        if !node
            .pool
            .has_room(&choice.upstream, connection_share(state, &self.service))
        {
            return Err(NoPlace::Full);
        }
        state.loads.started(&choice.upstream);
        if choice.cold {
            state.cold.sent(&choice.upstream, now);
        }
        tracing::info!(
            call = %self.outgoing.id, upstream = %choice.upstream, load = choice.load,
            candidates = choice.candidates, cold = choice.cold, attempt = self.attempts + 1,
            entry_age_ms = u64::try_from(choice.entry_age.as_millis()).unwrap_or(u64::MAX),
            index = %state.view.index, "sent to upstream"
        );
        let work = Work::begin(node, choice.upstream.clone());
        Ok((choice, work))
    }
}

/// Returns how many connections to one upstream this node may have open.
fn connection_share(state: &State, service: &ServiceId) -> u32 {
    let catalog = state.view.catalog.as_ref();
    let most = catalog
        .and_then(|catalog| catalog.services.get(service))
        .map_or(u32::MAX, |service| service.max_connections);
    let nodes = u32::try_from(state.nodes()).unwrap_or(u32::MAX);
    let part = f64::from(most) * CONNECTION_PART / f64::from(nodes);
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    let part = part as u32;
    part.max(1)
}

/// A place in the waiting room, left when dropped.
struct Waiting {
    node: Rc<Node>,
    ticket: Ticket,
}

impl Waiting {
    fn enter(call: &Call, wanted_by: Instant, waker: &Rc<Notify>) -> Self {
        let node = &call.node;
        let mut state = node.state.borrow_mut();
        let ticket = state.waiting.enter(&call.what, call.priority, wanted_by);
        state.wakers.insert(ticket, waker.clone());
        node.metrics.count("waited", &call.what);
        Self {
            node: node.clone(),
            ticket,
        }
    }
}

impl Drop for Waiting {
    fn drop(&mut self) {
        let mut state = self.node.state.borrow_mut();
        state.waiting.leave(self.ticket);
        state.wakers.remove(&self.ticket);
        drop(state);
        self.node.wake_waiting();
    }
}
