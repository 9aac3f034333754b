//! Groups that are being formed.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use shallottide_types::id::{ModelId, ServiceId, UpstreamId};

use super::{
    ActiveGroup, Controller, LoadLimits, RetireReason, RetiringGroup, SentOrder, is_due, state_in,
    to_candidate,
};
use crate::adapter::OrderOutcome;
use crate::groups::formation_planner::Warmth;
use crate::groups::{LoadRateLimiter, Order, PlannedGroup};
use crate::upstream::{Formation, GroupState, Upstream};
use crate::view::ClusterView;

/// Refused joins of one member after which a formation is abandoned.
const MAX_REFUSALS: u32 = 4;

/// The join order to one member.
#[derive(Debug)]
struct Join {
    sent: SentOrder,
    /// Whether it starts a weight load.
    is_load: bool,
    refusals: u32,
}

/// A group that is being formed.
#[derive(Debug)]
pub(super) struct FormingGroup {
    pub(super) model: ModelId,
    pub(super) service: ServiceId,
    /// All members, the head first.
    pub(super) members: Vec<UpstreamId>,
    /// Start time of each member when the group was planned.
    start_times: BTreeMap<UpstreamId, u64>,
    joins: BTreeMap<UpstreamId, Join>,
    open: Option<SentOrder>,
    /// Whether a join of the head ever got no answer.
    has_unresolved_head_join: bool,
    /// Whether an open ever got no answer.
    has_unresolved_open: bool,
    planned_at: Instant,
}

/// Result of one step of forming a group.
enum Progress {
    Pending,
    Serving,
    Failed(&'static str),
}

impl FormingGroup {
    pub(super) fn new(
        group: &PlannedGroup,
        service: &ServiceId,
        start_times: BTreeMap<UpstreamId, u64>,
        now: Instant,
    ) -> Self {
        Self {
            model: group.model.clone(),
            service: service.clone(),
            members: group.members.clone(),
            start_times,
            joins: BTreeMap::new(),
            open: None,
            has_unresolved_head_join: false,
            has_unresolved_open: false,
            planned_at: now,
        }
    }

    pub(super) fn record_order_outcome(
        &mut self,
        number: u64,
        outcome: OrderOutcome,
        load_limiter: &mut LoadRateLimiter,
        now: Instant,
    ) {
        for join in self.joins.values_mut().filter(|j| j.sent.number == number) {
            join.sent.outcome = Some(outcome);
            match outcome {
                OrderOutcome::Refused | OrderOutcome::Misdirected => join.refusals += 1,
                OrderOutcome::Unknown if join.is_load => load_limiter.record_unresolved(),
                _ => {}
            }
        }
        let is_unknown = outcome == OrderOutcome::Unknown;
        let is_of_head = self.recipient_of_join(number) == self.members.first();
        self.has_unresolved_head_join |= is_unknown && is_of_head;
        if let Some(open) = self.open.as_mut().filter(|open| open.number == number) {
            open.outcome = Some(outcome);
            self.has_unresolved_open |= is_unknown;
        }
        let _ = now;
    }

    /// Returns whether late orders alone may have the head join and open again after the group ended.
    pub(super) fn may_reopen(&self) -> bool {
        self.has_unresolved_head_join && self.has_unresolved_open
    }

    /// Returns the member that a join order was sent to.
    pub(super) fn recipient_of_join(&self, number: u64) -> Option<&UpstreamId> {
        let mut joins = self.joins.iter();
        joins.find_map(|(id, join)| (join.sent.number == number).then_some(id))
    }

    /// Returns the number of loads that were ordered and have not finished.
    fn count_loading(&self, view: &ClusterView, formation: &Formation) -> usize {
        let is_loading = |id: &UpstreamId| {
            view.upstreams
                .get(id)
                .is_none_or(|k| state_in(&k.upstream, formation) != Some(GroupState::Ready))
        };
        let joins = self.joins.iter();
        joins
            .filter(|(id, join)| join.is_load && is_loading(id))
            .count()
    }

    fn has_restarted(&self, upstream: &Upstream) -> bool {
        self.start_times
            .get(&upstream.id)
            .is_some_and(|born| *born != upstream.born)
    }
}

impl Controller {
    pub(super) fn advance_forming(
        &mut self,
        view: &ClusterView,
        service: &ServiceId,
        limits: LoadLimits,
        now: Instant,
    ) {
        let mut loading: usize = self
            .forming
            .iter()
            .map(|(formation, group)| group.count_loading(view, formation))
            .sum();
        let formations: Vec<_> = self.forming.keys().cloned().collect();
        for formation in formations {
            let Some(mut group) = self.forming.remove(&formation) else {
                continue;
            };
            if group.service != *service {
                self.forming.insert(formation, group);
                continue;
            }
            match self.advance_formation(&formation, &mut group, view, (limits, &mut loading), now)
            {
                Progress::Pending => {
                    self.forming.insert(formation, group);
                }
                Progress::Serving => self.complete_formation(formation, group, now),
                Progress::Failed(why) => self.abandon_formation(formation, &group, why, now),
            }
        }
    }

    fn complete_formation(&mut self, formation: Formation, group: FormingGroup, now: Instant) {
        tracing::info!(
            %formation, model = %group.model,
            took_ms = millis(now.saturating_duration_since(group.planned_at)),
            "group serving"
        );
        let active = ActiveGroup {
            members: group.members.into_iter().enumerate().collect(),
            start_times: group.start_times,
            model: group.model,
            service: group.service,
        };
        self.serving.insert(formation, active);
    }

    fn abandon_formation(
        &mut self,
        formation: Formation,
        group: &FormingGroup,
        why: &str,
        now: Instant,
    ) {
        tracing::info!(%formation, model = %group.model, why, "formation abandoned");
        for join in group.joins.values().filter(|join| join.is_load) {
            if join.sent.outcome == Some(OrderOutcome::Unknown) {
                self.load_limiter.record_resolved(now);
            }
        }
        if group.open.is_some() {
            let members = group.members.iter().cloned().enumerate().collect();
            let retiring = RetiringGroup::new(members, RetireReason::AbandonedAfterOpen, Some(now));
            self.retiring.insert(formation, retiring);
        } else {
            // The head never got an order to open, so nothing can serve under this formation.
            self.released.insert(formation, now);
        }
    }

    fn advance_formation(
        &mut self,
        formation: &Formation,
        group: &mut FormingGroup,
        view: &ClusterView,
        (limits, loading): (LoadLimits, &mut usize),
        now: Instant,
    ) -> Progress {
        let mut ready = 0;
        for id in group.members.clone() {
            if !view.upstreams.contains_key(&id) {
                return Progress::Failed("member has no entry");
            }
            let Some(upstream) = self.health.latest(&id, view).cloned() else {
                return Progress::Failed("member has no entry");
            };
            if upstream.draining {
                return Progress::Failed("member is draining");
            }
            if group.has_restarted(&upstream) {
                return Progress::Failed("member restarted");
            }
            if self.health.is_lost(&id, view, &self.options, now) {
                return Progress::Failed("member lost");
            }
            match state_in(&upstream, formation) {
                Some(GroupState::Ready | GroupState::Open) => {
                    ready += 1;
                    self.resolve_join(group, &id, now);
                    continue;
                }
                Some(GroupState::Joining) => {
                    self.resolve_join(group, &id, now);
                    continue;
                }
                Some(GroupState::Closing | GroupState::Broken) => {
                    return Progress::Failed("member is closing or broken");
                }
                None => {}
            }
            if !is_due(group.joins.get(&id).map(|join| &join.sent), now)
                || !self.has_answered_since_join(group, &id, view, now)
            {
                continue;
            }
            if !self.may_leave(&upstream, view) {
                return Progress::Failed("member is in another group");
            }
            if let Some(why) = self.join(formation, group, &upstream, (limits, loading), now) {
                return Progress::Failed(why);
            }
        }
        if ready < group.members.len() {
            return Progress::Pending;
        }
        let Some(head) = self.health.latest(&group.members[0], view).cloned() else {
            return Progress::Pending;
        };
        if state_in(&head, formation) == Some(GroupState::Open) {
            return Progress::Serving;
        }
        if is_due(group.open.as_ref(), now) {
            group.open = Some(self.send(&head, Order::Open(formation.clone()), now));
        }
        Progress::Pending
    }

    fn resolve_join(&mut self, group: &mut FormingGroup, id: &UpstreamId, now: Instant) {
        if let Some(join) = group.joins.get_mut(id)
            && join.is_load
            && join.sent.outcome == Some(OrderOutcome::Unknown)
        {
            join.sent.outcome = Some(OrderOutcome::Accepted);
            self.load_limiter.record_resolved(now);
        }
    }

    /// Returns whether a member's recent report, later than the last join sent to it, confirms its
    /// known membership; probes it if not.
    ///
    /// Late orders may have brought it into another group since.
    fn has_answered_since_join(
        &mut self,
        group: &FormingGroup,
        id: &UpstreamId,
        view: &ClusterView,
        now: Instant,
    ) -> bool {
        let joined_at = group.joins.get(id).map(|join| join.sent.at);
        let has_answered = joined_at.is_none_or(|at| self.health.report_since(id, at).is_some())
            && self.health.is_confirmed(id, view, now);
        if !has_answered {
            self.probe(id, now);
        }
        has_answered
    }

    /// Sends the join order, unless it would exceed the limits on loads; returns the reason if the
    /// formation has failed.
    fn join(
        &mut self,
        formation: &Formation,
        group: &mut FormingGroup,
        to: &Upstream,
        (limits, loading): (LoadLimits, &mut usize),
        now: Instant,
    ) -> Option<&'static str> {
        let old = group.joins.get(&to.id);
        let refusals = old.map_or(0, |join| join.refusals);
        if refusals >= MAX_REFUSALS {
            return Some("member refused to join");
        }
        let is_load = warmth(to, &group.model) == Warmth::Cold;
        let is_first_order = old.is_none();
        if is_load && is_first_order {
            if *loading >= limits.at_once || !self.load_limiter.allows(limits.per_window, now) {
                return None;
            }
            self.load_limiter.record_start(now);
            *loading += 1;
        }
        if let Some(join) = old
            && join.is_load
            && join.sent.outcome == Some(OrderOutcome::Unknown)
        {
            self.load_limiter.record_resolved(now);
        }
        let order = Order::Join {
            formation: formation.clone(),
            model: group.model.clone(),
            members: group.members.clone(),
            order_count: self.health.order_count(&to.id),
        };
        let join = Join {
            sent: self.send(to, order, now),
            is_load,
            refusals,
        };
        group.joins.insert(to.id.clone(), join);
        None
    }
}

fn warmth(upstream: &Upstream, model: &ModelId) -> Warmth {
    to_candidate(upstream).map_or(Warmth::Cold, |candidate| candidate.warmth(model))
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
