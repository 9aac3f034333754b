//! Control loop for the groups of one failure domain.

mod engine_counts;
mod forming_group;
mod health_tracker;
mod plan;
mod retiring_group;
mod staging_tracker;

pub use engine_counts::EngineCounts;

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use shallottide_types::id::{ModelId, ServiceId, StoreIndex, UpstreamId};

use super::{ControllerOptions, LoadRateLimiter, Order};
use crate::adapter::{EngineReport, OrderOutcome};
use crate::catalog::EngineFacts;
use crate::upstream::{Formation, GroupState, Membership, Upstream};
use crate::view::ClusterView;
use forming_group::FormingGroup;
use health_tracker::HealthTracker;
use plan::{Reservation, to_candidate};
use retiring_group::{RetireReason, RetiringGroup};
use staging_tracker::StagingTracker;

/// Time after which an order without an answer is no longer carried out.
const LATE_ORDER_TIME: Duration = Duration::from_secs(14);
/// Fraction of the operators' limit on loads that controllers use.
const LOAD_FRACTION: f64 = 0.9;

/// An action that the controller requests of its caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Send an order; report its outcome under the same number.
    Order {
        /// The recipient.
        to: Box<Upstream>,
        /// Number of the order.
        number: u64,
        /// The order.
        order: Order,
    },
    /// Request an upstream's report.
    Probe(Box<Upstream>),
}

/// An order that was sent, and its outcome once known.
#[derive(Debug, Clone, Copy)]
struct SentOrder {
    number: u64,
    at: Instant,
    outcome: Option<OrderOutcome>,
}

impl SentOrder {
    /// Time after which an order without a definite outcome is resent.
    const RETRY_AFTER: Duration = Duration::from_millis(1_500);
    /// Time after which a refused order is resent.
    const RETRY_REFUSED_AFTER: Duration = Duration::from_millis(250);

    fn is_due(&self, now: Instant) -> bool {
        let age = now.saturating_duration_since(self.at);
        match self.outcome {
            Some(OrderOutcome::Refused | OrderOutcome::Misdirected) => {
                age >= Self::RETRY_REFUSED_AFTER
            }
            Some(OrderOutcome::Accepted | OrderOutcome::Unknown) | None => age >= Self::RETRY_AFTER,
        }
    }
}

fn is_due(sent: Option<&SentOrder>, now: Instant) -> bool {
    sent.is_none_or(|sent| sent.is_due(now))
}

/// A group whose head is open.
#[derive(Debug, Clone)]
struct ActiveGroup {
    members: BTreeMap<usize, UpstreamId>,
    /// Start time of each member when the group was formed or adopted.
    start_times: BTreeMap<UpstreamId, u64>,
    model: ModelId,
    service: ServiceId,
}

/// Forms, opens and ends the groups of one failure domain.
///
/// Three invariants hold even if orders are lost or late:
/// - A head opens only after every member has reported ready under the formation.
/// - A member joins another group only once the head of its previous group can no longer serve.
/// - Epochs, which name formations, are never reused.
#[derive(Debug)]
pub struct Controller {
    options: ControllerOptions,
    /// Position of this node's claim in the store; its fencing token is the high bits of epochs.
    claim: StoreIndex,
    /// Claims in earlier eras of the store, under which this controller has formed groups.
    earlier_claims: Vec<StoreIndex>,
    formation_count: u64,
    order_count: u64,
    load_limiter: LoadRateLimiter,
    health: HealthTracker,
    serving: BTreeMap<Formation, ActiveGroup>,
    forming: BTreeMap<Formation, FormingGroup>,
    retiring: BTreeMap<Formation, RetiringGroup>,
    /// Formations whose members may join other groups, and since when.
    released: BTreeMap<Formation, Instant>,
    /// Joins without an answer, by recipient: the formation, and when the order was sent.
    unresolved_joins: BTreeMap<UpstreamId, (Formation, Instant)>,
    /// Members of formations that late orders alone may open again, and since when no such order is
    /// sent.
    may_reopen: BTreeMap<Formation, (Vec<UpstreamId>, Instant)>,
    started_at: Instant,
    staging: StagingTracker,
    reservation: Option<Reservation>,
    /// Number of upstreams that the domain of a new deployment has, and since when it is unchanged.
    settling: (usize, Instant),
    actions: Vec<Action>,
}

impl Controller {
    /// Creates the controller of a claim.
    ///
    /// `first_start` states that no previous controller can have ordered loads.
    #[must_use]
    pub fn new(
        options: ControllerOptions,
        claim: StoreIndex,
        first_start: bool,
        now: Instant,
    ) -> Self {
        let load_limiter = LoadRateLimiter::new(options.load_window);
        let load_limiter = if first_start {
            load_limiter
        } else {
            load_limiter.assuming_full_window(now)
        };
        Self {
            options,
            claim,
            earlier_claims: Vec::new(),
            formation_count: 0,
            order_count: 0,
            load_limiter,
            health: HealthTracker::default(),
            serving: BTreeMap::new(),
            forming: BTreeMap::new(),
            retiring: BTreeMap::new(),
            released: BTreeMap::new(),
            unresolved_joins: BTreeMap::new(),
            may_reopen: BTreeMap::new(),
            started_at: now,
            staging: StagingTracker::default(),
            reservation: None,
            settling: (0, now),
            actions: Vec::new(),
        }
    }

    /// Returns the store revision of the claim under which it acts.
    #[must_use]
    pub fn claim(&self) -> StoreIndex {
        self.claim
    }

    /// Goes on under a claim in a later era of the store.
    ///
    /// Only if no other controller can have acted since the claim before.
    pub fn continue_under(&mut self, claim: StoreIndex) {
        let earlier = std::mem::replace(&mut self.claim, claim);
        self.earlier_claims.push(earlier);
    }

    /// Sets [`ControllerOptions::large_deployment`], as nodes come and go.
    pub fn set_large_deployment(&mut self, large_deployment: bool) {
        self.options.large_deployment = large_deployment;
    }

    /// Returns whether it waits for an outcome and should be ticked often.
    #[must_use]
    pub fn is_busy(&self) -> bool {
        !self.forming.is_empty() || !self.retiring.is_empty() || self.health.is_probing()
    }

    /// Records the outcome of an order.
    pub fn record_order_outcome(&mut self, number: u64, outcome: OrderOutcome, now: Instant) {
        for (formation, group) in &mut self.forming {
            group.record_order_outcome(number, outcome, &mut self.load_limiter, now);
            if outcome == OrderOutcome::Unknown
                && let Some(member) = group.recipient_of_join(number)
            {
                let unresolved = (formation.clone(), now);
                self.unresolved_joins.insert(member.clone(), unresolved);
            }
            if outcome == OrderOutcome::Unknown && group.may_reopen() {
                let members = group.members.clone();
                self.may_reopen.insert(formation.clone(), (members, now));
            }
        }
        for group in self.retiring.values_mut() {
            group.record_order_outcome(number, outcome);
        }
        self.staging
            .record_order_outcome(number, outcome, &mut self.load_limiter);
    }

    /// Records the result of a probe: the report, or `None` if no answer came.
    pub fn record_probe_result(
        &mut self,
        to: &UpstreamId,
        report: Option<EngineReport>,
        now: Instant,
    ) {
        self.health.record_probe_result(to, report, now);
    }

    /// Records that a probe ended without showing anything of its upstream: this node may not reach it.
    pub fn record_probe_abandoned(&mut self, to: &UpstreamId) {
        self.health.record_probe_abandoned(to);
    }

    /// Records that requests to a head fail or stall, so that its members are probed.
    pub fn suspect(&mut self, head: &UpstreamId, now: Instant) {
        self.health.suspect(head, now);
    }

    /// Compares the view with the plan and returns the actions to take.
    ///
    /// `work` is the requested work by model; `before_traffic` lifts the limits on loads.
    pub fn tick(
        &mut self,
        view: &ClusterView,
        work: Option<&BTreeMap<ModelId, Duration>>,
        before_traffic: bool,
        now: Instant,
    ) -> Vec<Action> {
        self.health.observe(view);
        self.unresolved_joins
            .retain(|_, (_, at)| now.saturating_duration_since(*at) < LATE_ORDER_TIME);
        self.may_reopen
            .retain(|_, (_, at)| now.saturating_duration_since(*at) < LATE_ORDER_TIME);
        let Some(catalog) = &view.catalog else {
            return Vec::new();
        };
        self.adopt(view, now);
        self.check_serving(view, now);
        self.advance_retiring(view, now);
        for (id, service) in &catalog.services {
            if let Some(engine) = &service.engine {
                let limits = self.load_limits(view, id, engine, before_traffic);
                self.advance_forming(view, id, limits, now);
                self.plan(view, id, engine, (work, before_traffic), now);
                self.advance_forming(view, id, limits, now);
                self.stage(view, id, engine, (work, limits), now);
            }
        }
        std::mem::take(&mut self.actions)
    }

    /// Takes over formations of a previous controller.
    fn adopt(&mut self, view: &ClusterView, now: Instant) {
        let mut unconfirmed = Vec::new();
        self.released
            .retain(|formation, _| view.formations.contains_key(formation));
        self.retire_reopened(view, now);
        for (formation, members) in &view.formations {
            let is_tracked = self.serving.contains_key(formation)
                || self.forming.contains_key(formation)
                || self.retiring.contains_key(formation)
                || self.released.contains_key(formation);
            let mut known_members = members.values().filter_map(|id| view.upstreams.get(id));
            let is_in_domain =
                known_members.any(|known| known.upstream.domain == self.options.domain);
            if is_tracked || !is_in_domain {
                continue;
            }
            let head = members.get(&0).and_then(|id| self.health.latest(id, view));
            let state = head.map(|head| state_in(head, formation));
            match (head, state) {
                (Some(head), Some(Some(GroupState::Open))) => {
                    tracing::info!(%formation, head = %head.id, "group adopted");
                    let group = ActiveGroup {
                        members: members.clone(),
                        start_times: self.health.start_times(members.values(), view),
                        model: head.model.clone().unwrap_or_else(unknown_model),
                        service: head.service.clone(),
                    };
                    self.serving.insert(formation.clone(), group);
                }
                (Some(head), Some(None | Some(GroupState::Broken))) => {
                    if self.health.is_confirmed(&head.id, view, now) {
                        self.release(formation.clone(), members, view, now);
                    } else {
                        unconfirmed.push(head.id.clone());
                    }
                }
                _ => {
                    let group =
                        RetiringGroup::new(members.clone(), RetireReason::PreviousController, None);
                    tracing::info!(%formation, reason = %RetireReason::PreviousController, "group retiring");
                    self.retiring.insert(formation.clone(), group);
                }
            }
        }
        for id in unconfirmed {
            self.probe(&id, now);
        }
    }

    fn check_serving(&mut self, view: &ClusterView, now: Instant) {
        let formations: Vec<_> = self.serving.keys().cloned().collect();
        for formation in formations {
            let group = &self.serving[&formation];
            // Includes members that became known after the group was adopted.
            let members = view
                .formations
                .get(&formation)
                .unwrap_or(&group.members)
                .clone();
            let retire_reason = self.retire_reason(&formation, group, &members, view, now);
            let Some(reason) = retire_reason else {
                continue;
            };
            if reason == RetireReason::HeadLeft
                && members
                    .get(&0)
                    .is_some_and(|head| !self.confirm(head, view, now))
            {
                continue;
            }
            self.serving.remove(&formation);
            tracing::info!(%formation, %reason, index = %view.index, "group retiring");
            if reason == RetireReason::HeadLeft {
                self.release(formation, &members, view, now);
            } else {
                self.retiring
                    .insert(formation, RetiringGroup::new(members, reason, Some(now)));
            }
        }
    }

    fn retire_reason(
        &self,
        formation: &Formation,
        group: &ActiveGroup,
        members: &BTreeMap<usize, UpstreamId>,
        view: &ClusterView,
        now: Instant,
    ) -> Option<RetireReason> {
        let head_id = members.get(&0)?;
        if !view.upstreams.contains_key(head_id) {
            return Some(RetireReason::HeadEntryMissing);
        }
        let head = self.health.latest(head_id, view)?;
        match state_in(head, formation) {
            None | Some(GroupState::Broken) => return Some(RetireReason::HeadLeft),
            Some(GroupState::Open) => {}
            Some(_) => return Some(RetireReason::HeadClosed),
        }
        for id in members.values() {
            let Some(member) = self.health.latest(id, view) else {
                if self.health.is_lost(id, view, &self.options, now) {
                    return Some(RetireReason::MemberLost);
                }
                continue;
            };
            let has_restarted = group
                .start_times
                .get(id)
                .is_some_and(|born| *born != member.born);
            if has_restarted || state_in(member, formation).is_none() {
                return Some(RetireReason::MemberLeft);
            }
            if self.health.is_lost(id, view, &self.options, now) {
                return Some(RetireReason::MemberLost);
            }
            if member.draining {
                return Some(RetireReason::MemberDraining);
            }
        }
        None
    }

    fn load_limits(
        &self,
        view: &ClusterView,
        service: &ServiceId,
        engine: &EngineFacts,
        before_traffic: bool,
    ) -> LoadLimits {
        if before_traffic {
            return LoadLimits {
                per_window: usize::MAX,
                at_once: usize::MAX,
            };
        }
        let engines = view
            .upstreams
            .values()
            .filter(|k| k.upstream.service == *service);
        let (mut total, mut in_domain) = (0_u32, 0_u32);
        for known in engines {
            total += 1;
            in_domain += u32::from(known.upstream.domain == self.options.domain);
        }
        let fraction = f64::from(in_domain) / f64::from(total.max(1));
        let window = self.options.load_window.as_secs_f64();
        let per_window = f64::from(engine.loads_per_second) * window * fraction * LOAD_FRACTION;
        LoadLimits {
            per_window: floor_to_usize(per_window).max(1),
            at_once: floor_to_usize((f64::from(engine.loads_at_once) * fraction).ceil()).max(1),
        }
    }

    fn send(&mut self, to: &Upstream, order: Order, now: Instant) -> SentOrder {
        self.order_count += 1;
        self.actions.push(Action::Order {
            to: Box::new(to.clone()),
            number: self.order_count,
            order,
        });
        SentOrder {
            number: self.order_count,
            at: now,
            outcome: None,
        }
    }
}

/// Limits on weight loads of one domain; both are `usize::MAX` before the first traffic.
#[derive(Debug, Clone, Copy)]
struct LoadLimits {
    /// Loads that may start per window.
    per_window: usize,
    /// Loads that may run concurrently.
    at_once: usize,
}

/// Returns an upstream's state in a formation, or `None` if it is not a member.
fn state_in(upstream: &Upstream, formation: &Formation) -> Option<GroupState> {
    let is_in = |m: &&Membership| m.formation == *formation;
    upstream.membership.as_ref().filter(is_in).map(|m| m.state)
}

/// Returns the placeholder model of a group whose head does not name one.
fn unknown_model() -> ModelId {
    "unknown".parse().expect("a valid id")
}

#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
fn floor_to_usize(value: f64) -> usize {
    value.max(0.0) as usize
}
