//! Selects an upstream for a call, and queues the call while all upstreams are full.

use std::rc::Rc;
use std::time::{Duration, Instant};

use shallottide_types::id::ServiceId;
use tokio::sync::Notify;

use super::call::Call;
use super::node::{Node, State};
use super::send::InFlightGuard;
use crate::balance::{Choice, Need, NoPlace, SampleInput, SendLimits};
use crate::load_keys::Kind;
use crate::view::KnownUpstream;
use crate::wait_queue::Ticket;

/// Longest time in the wait queue, as a fraction of the route's target latency; a longer wait made
/// most responses late.
const MAX_WAIT_FRACTION: f64 = 0.05;
/// Requests beyond its slots that may wait at an engine group's head.
const ENGINE_QUEUE_LIMIT: u32 = 2;
/// Requests beyond its slots that may wait at an upstream of a plain service.
const PLAIN_QUEUE_LIMIT: u32 = 8;
/// Time of a first event between the upstream's answer at this node and the caller, and of the call
/// before it was sent, with a new connection: three ways of some milliseconds and the node's own work.
const CALLER_ALLOWANCE: Duration = Duration::from_millis(20);
/// Fraction of an upstream's connection limit that all nodes use together.
const CONNECTION_FRACTION: f64 = 0.85;

impl Call {
    /// Selects an upstream, waiting in the queue while all are full and the response can be on time.
    pub(super) async fn select_upstream(&mut self) -> Result<(Choice, InFlightGuard), NoPlace> {
        if let Some(kind) = self.sampled_kind() {
            return self.select_engine(&kind);
        }
        let has_queue = self.node.state.borrow().waiting.len(&self.queue_key) > 0;
        if !has_queue {
            match self.try_select() {
                Err(NoPlace::Full) => {}
                other => return other,
            }
        }
        let max_wait = self.route.target_latency.mul_f64(MAX_WAIT_FRACTION);
        let until = self.request.deadline.min(self.node.now() + max_wait);
        self.wait_for_capacity(until).await
    }

    async fn wait_for_capacity(&self, until: Instant) -> Result<(Choice, InFlightGuard), NoPlace> {
        let waker = Rc::new(Notify::new());
        let entry = QueueEntry::new(self, until, &waker);
        let until = tokio::time::Instant::from_std(until);
        loop {
            if self.node.state.borrow().waiting.is_first(entry.ticket) {
                match self.try_select() {
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

    fn try_select(&self) -> Result<(Choice, InFlightGuard), NoPlace> {
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
            queue: if is_engine {
                ENGINE_QUEUE_LIMIT
            } else {
                PLAIN_QUEUE_LIMIT
            },
        };
        let own = (&node.options.node, &node.options.domain);
        let limits = SendLimits {
            cold: &state.cold,
            named: &state.named_limits,
            cooldowns: &state.cooldowns,
            departures: &state.departures,
        };
        let choice = if self.model.is_some() && state.has_shared_samples() {
            self.choose_by_samples(state, &need, limits, now)?
        } else {
            let draw = rand::random();
            state
                .loads
                .choose(&need, &state.view, limits, own, now, draw)?
        };
        if !node
            .pool
            .has_room(&choice.upstream, connection_share(state, &self.service))
        {
            return Err(NoPlace::Full);
        }
        state.loads.started(&choice.upstream);
        state.board.started(choice.lifetime);
        if choice.cold {
            state.cold.sent(&choice.upstream, now);
        }
        state.named_limits.sent(choice.lifetime, now);
        tracing::info!(
            call = %self.request.id, upstream = %choice.upstream, load = choice.load,
            on_time_load = choice.on_time_load,
            load_age_ms = choice.load_age.map(|age| u64::try_from(age.as_millis()).unwrap_or(u64::MAX)),
            candidates = choice.candidates, cold = choice.cold, attempt = self.attempts + 1,
            entry_age_ms = u64::try_from(choice.entry_age.as_millis()).unwrap_or(u64::MAX),
            index = %state.view.index, "sent to upstream"
        );
        let in_flight = InFlightGuard::new(node, &choice);
        Ok((choice, in_flight))
    }
}

impl Call {
    /// Returns the kind of a call to an engine whose load nodes tell each other.
    fn sampled_kind(&self) -> Option<Kind> {
        let model = self.model.clone()?;
        let is_sampled = self.node.state.borrow().has_shared_samples();
        is_sampled.then(|| (self.service.clone(), model))
    }

    /// Selects an engine by the loads that engines stated in their answers.
    ///
    /// Does not wait: each choice accounts for the calls of all nodes, and a second one for the same
    /// call would admit more of them than there is room for.
    fn select_engine(&mut self, kind: &Kind) -> Result<(Choice, InFlightGuard), NoPlace> {
        if self.is_over_share.is_none() {
            self.is_over_share = Some(self.has_used_share(kind));
        }
        let selected = self.try_select();
        let now = self.node.now();
        let state = &mut *self.node.state.borrow_mut();
        let mut shares = self.node.team_shares.borrow_mut();
        match &selected {
            Ok(_) => {
                state.returns.record_admitted(kind, now);
                if self.is_returning {
                    state.returns.record_returned_admitted(kind, now);
                }
                shares.record_admitted(kind, self.request.team.as_deref(), self.work, now);
            }
            Err(NoPlace::Full) => shares.record_refused_for_room(kind, now),
            Err(_) => {}
        }
        selected
    }

    /// Returns whether the call's team has used its share of room that is short.
    fn has_used_share(&self, kind: &Kind) -> bool {
        let now = self.node.now();
        let team = self.request.team.as_deref();
        let state = &mut *self.node.state.borrow_mut();
        if self.is_returning {
            state.returns.record_returned(kind, now);
        } else {
            state.returns.record_arrival(kind, now);
        }
        let mut shares = self.node.team_shares.borrow_mut();
        shares.set_node_count(state.node_count());
        shares.record_arrival(kind, team, self.work, now);
        let decision = shares.decide(kind, team, now);
        if !decision.is_allowed {
            self.node
                .metrics
                .count("over_share", team.unwrap_or_default());
            tracing::info!(
                call = %self.request.id, team, share = decision.share, usage = decision.usage,
                demand = decision.demand, capacity = decision.capacity,
                nodes = decision.nodes_heard,
                age_ms = u64::try_from(decision.age.as_millis()).unwrap_or(u64::MAX),
                "team has used its share"
            );
        }
        !decision.is_allowed
    }

    /// Books the time at which the caller of a refused call should return; `None` if calls of its kind
    /// are not scheduled.
    pub(super) fn book_return(&mut self) -> Option<Duration> {
        let kind = self.sampled_kind()?;
        let now = self.node.now();
        let work = Duration::from_secs_f64(self.work);
        let state = &mut *self.node.state.borrow_mut();
        state.returns.record_refused(&kind, now);
        state.demand.record_refused(&kind.1, work, now);
        let time_left = self.request.deadline.saturating_duration_since(now);
        let rank = state.call_classes.rank(&kind, self.priority);
        let draw = rand::random();
        let booking = state.returns.book(&kind, rank, time_left, draw, now);
        tracing::info!(
            call = %self.request.id, backlog = booking.backlog, rate = booking.rate,
            fits = booking.is_expected_to_fit, "return booked"
        );
        Some(booking.retry_after)
    }

    /// Chooses an engine by the loads that engines stated in their answers.
    fn choose_by_samples(
        &self,
        state: &State,
        need: &Need<'_>,
        limits: SendLimits<'_>,
        now: Instant,
    ) -> Result<Choice, NoPlace> {
        let options = &self.node.options;
        let kind = (
            self.service.clone(),
            self.model.clone().ok_or(NoPlace::None)?,
        );
        let target = self.route.target_latency;
        let elapsed = now.saturating_duration_since(self.first_sent);
        let class = state
            .call_classes
            .classify(&kind, self.priority, target, elapsed, self.attempts > 0)
            .over_share(self.is_over_share == Some(true));
        let tightest = state.call_classes.tightest_target(&kind).unwrap_or(target);
        let time_left = tightest.saturating_sub(CALLER_ALLOWANCE);
        let prompt = state.capacity.typical_prompt(&kind);
        let on_time_load = |known: &KnownUpstream| {
            let upstream = &known.upstream;
            let is_other_domain = upstream.domain != options.domain;
            state.capacity.on_time_load(
                &kind,
                known.lifetime(),
                upstream.slots,
                prompt,
                is_other_domain,
                time_left,
                now,
            )
        };
        let input = SampleInput {
            board: &state.board,
            class,
            residence: state.call_classes.residence(&kind),
            draw: rand::random(),
            on_time_load: &on_time_load,
        };
        let own = (&options.node, &options.domain);
        state
            .loads
            .choose_by_samples(need, &state.view, limits, own, &input, now)
    }
}

/// Returns how many connections to one upstream this node may have open; at least 1.
pub(super) fn connection_share(state: &State, service: &ServiceId) -> u32 {
    let catalog = state.view.catalog.as_ref();
    let limit = catalog
        .and_then(|catalog| catalog.services.get(service))
        .map_or(u32::MAX, |service| service.max_connections);
    let nodes = u32::try_from(state.node_count()).unwrap_or(u32::MAX);
    let share = f64::from(limit) * CONNECTION_FRACTION / f64::from(nodes);
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    let share = share as u32;
    share.max(1)
}

/// A call's entry in the wait queue; removed when dropped.
struct QueueEntry {
    node: Rc<Node>,
    ticket: Ticket,
}

impl QueueEntry {
    fn new(call: &Call, until: Instant, waker: &Rc<Notify>) -> Self {
        let node = &call.node;
        let mut state = node.state.borrow_mut();
        let ticket = if state.has_shared_samples() {
            let team = call.request.team.as_deref();
            state
                .waiting
                .enter_for_team(&call.queue_key, team, call.priority, until)
        } else {
            state.waiting.enter(&call.queue_key, call.priority, until)
        };
        state.wakers.insert(ticket, waker.clone());
        node.metrics.count("waited", &call.queue_key);
        Self {
            node: node.clone(),
            ticket,
        }
    }
}

impl Drop for QueueEntry {
    fn drop(&mut self) {
        let mut state = self.node.state.borrow_mut();
        state.waiting.leave(self.ticket);
        state.wakers.remove(&self.ticket);
        drop(state);
        self.node.wake_waiting();
    }
}
