//! Groups that are being formed.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use shallottide_types::id::{ModelId, ServiceId, UpstreamId};

use super::{Asked, Controller, Group, LoadBounds, Reason, Retire, candidate, is_due, state_in};
use crate::border::OrderOutcome;
use crate::groups::planner::Warmth;
use crate::groups::{LoadRateLimiter, Order, PlannedGroup};
use crate::upstream::{Formation, GroupState, Upstream};
use crate::view::ClusterView;

/// Refused joins of one member after which a formation is given up.
const MAX_REFUSALS: u32 = 4;

/// The join of one member.
#[derive(Debug)]
struct Join {
    asked: Asked,
    /// Whether it begins a weight load.
    is_load: bool,
    refusals: u32,
}

/// A group that is being formed.
#[derive(Debug)]
pub(super) struct Build {
    pub(super) model: ModelId,
    pub(super) service: ServiceId,
    /// The head first.
    pub(super) members: Vec<UpstreamId>,
    born: BTreeMap<UpstreamId, u64>,
    joins: BTreeMap<UpstreamId, Join>,
    open: Option<Asked>,
    since: Instant,
}

/// What becomes of a build.
enum Progress {
    Goes,
    Serves,
    Fails(&'static str),
}

impl Build {
    pub(super) fn new(
        group: &PlannedGroup,
        service: &ServiceId,
        born: BTreeMap<UpstreamId, u64>,
        now: Instant,
    ) -> Self {
        Self {
            model: group.model.clone(),
            service: service.clone(),
            members: group.members.clone(),
            born,
            joins: BTreeMap::new(),
            open: None,
            since: now,
        }
    }

    pub(super) fn record_order_outcome(
        &mut self,
        number: u64,
        outcome: OrderOutcome,
        pace: &mut LoadRateLimiter,
        now: Instant,
    ) {
        for join in self.joins.values_mut().filter(|j| j.asked.number == number) {
            join.asked.outcome = Some(outcome);
            match outcome {
                OrderOutcome::Refused | OrderOutcome::Misdirected => join.refusals += 1,
                OrderOutcome::Unknown if join.is_load => pace.unresolved(),
                _ => {}
            }
        }
        if let Some(open) = self.open.as_mut().filter(|open| open.number == number) {
            open.outcome = Some(outcome);
        }
        let _ = now;
    }

    /// Returns the number of loads that were ordered and have not ended.
    fn loading(&self, view: &ClusterView, formation: &Formation) -> usize {
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

    fn is_reborn(&self, upstream: &Upstream) -> bool {
        self.born
            .get(&upstream.id)
            .is_some_and(|born| *born != upstream.born)
    }
}

impl Controller {
    pub(super) fn advance_builds(
        &mut self,
        view: &ClusterView,
        service: &ServiceId,
        bounds: LoadBounds,
        now: Instant,
    ) {
        let mut loading: usize = self.builds.iter().map(|(f, b)| b.loading(view, f)).sum();
        let formations: Vec<_> = self.builds.keys().cloned().collect();
        for formation in formations {
            let Some(mut build) = self.builds.remove(&formation) else {
                continue;
            };
            if build.service != *service {
                self.builds.insert(formation, build);
                continue;
            }
            match self.advance_build(&formation, &mut build, view, (bounds, &mut loading), now) {
                Progress::Goes => {
                    self.builds.insert(formation, build);
                }
                Progress::Serves => self.build_serves(formation, build, now),
                Progress::Fails(why) => self.build_fails(formation, &build, why, now),
            }
        }
    }

    fn build_serves(&mut self, formation: Formation, build: Build, now: Instant) {
        tracing::info!(
            %formation, model = %build.model,
            took_ms = millis(now.saturating_duration_since(build.since)),
            "group serves"
        );
        let group = Group {
            members: build.members.into_iter().enumerate().collect(),
            born: build.born,
            model: build.model,
            service: build.service,
        };
        self.serving.insert(formation, group);
    }

    fn build_fails(&mut self, formation: Formation, build: &Build, why: &str, now: Instant) {
        tracing::info!(%formation, model = %build.model, why, "formation given up");
        for join in build.joins.values().filter(|join| join.is_load) {
            if join.asked.outcome == Some(OrderOutcome::Unknown) {
                self.pace.resolved(now);
            }
        }
        if build.open.is_some() {
            let members = build.members.iter().cloned().enumerate().collect();
            let retire = Retire::new(members, Reason::NotOpened, Some(now));
            self.retiring.insert(formation, retire);
        } else {
            // Its head was never told to open, so nothing can serve under it.
            self.freed.insert(formation);
        }
    }

    fn advance_build(
        &mut self,
        formation: &Formation,
        build: &mut Build,
        view: &ClusterView,
        (bounds, loading): (LoadBounds, &mut usize),
        now: Instant,
    ) -> Progress {
        let mut ready = 0;
        for id in build.members.clone() {
            if !view.upstreams.contains_key(&id) {
                return Progress::Fails("a member has no entry");
            }
            let Some(upstream) = self.health.fact(&id, view).cloned() else {
                return Progress::Fails("a member has no entry");
            };
            if upstream.draining {
                return Progress::Fails("a member leaves");
            }
            if build.is_reborn(&upstream) {
                return Progress::Fails("a member started again");
            }
            if self.health.is_lost(&id, view, &self.options, now) {
                return Progress::Fails("a member is lost");
            }
            match state_in(&upstream, formation) {
                Some(GroupState::Ready | GroupState::Open) => {
                    ready += 1;
                    self.join_resolved(build, &id, now);
                    continue;
                }
                Some(GroupState::Joining) => {
                    self.join_resolved(build, &id, now);
                    continue;
                }
                Some(GroupState::Closing | GroupState::Broken) => {
                    return Progress::Fails("a member reports another state");
                }
                None => {}
            }
            if let Some(why) = self.join(formation, build, &upstream, (bounds, loading), now) {
                return Progress::Fails(why);
            }
        }
        if ready < build.members.len() {
            return Progress::Goes;
        }
        let Some(head) = self.health.fact(&build.members[0], view).cloned() else {
            return Progress::Goes;
        };
        if state_in(&head, formation) == Some(GroupState::Open) {
            return Progress::Serves;
        }
        if is_due(build.open.as_ref(), now) {
            build.open = Some(self.send(&head, Order::Open(formation.clone()), now));
        }
        Progress::Goes
    }

    fn join_resolved(&mut self, build: &mut Build, id: &UpstreamId, now: Instant) {
        if let Some(join) = build.joins.get_mut(id)
            && join.is_load
            && join.asked.outcome == Some(OrderOutcome::Unknown)
        {
            join.asked.outcome = Some(OrderOutcome::Accepted);
            self.pace.resolved(now);
        }
    }

    /// Sends a join that is due; returns why the formation can't go on, if it can't.
    fn join(
        &mut self,
        formation: &Formation,
        build: &mut Build,
        to: &Upstream,
        (bounds, loading): (LoadBounds, &mut usize),
        now: Instant,
    ) -> Option<&'static str> {
        let old = build.joins.get(&to.id);
        if !is_due(old.map(|join| &join.asked), now) {
            return None;
        }
        let refusals = old.map_or(0, |join| join.refusals);
        if refusals >= MAX_REFUSALS {
            return Some("a member refuses to join");
        }
        let is_load = warmth(to, &build.model) == Warmth::Cold;
        let is_first = old.is_none();
        if is_load && is_first {
            if *loading >= bounds.at_once || !self.pace.allows(bounds.per_window, now) {
                return None;
            }
            self.pace.begun(now);
            *loading += 1;
        }
        if let Some(join) = old
            && join.is_load
            && join.asked.outcome == Some(OrderOutcome::Unknown)
        {
            self.pace.resolved(now);
        }
        let order = Order::Join {
            formation: formation.clone(),
            model: build.model.clone(),
            members: build.members.clone(),
        };
        let join = Join {
            asked: self.send(to, order, now),
            is_load,
            refusals,
        };
        build.joins.insert(to.id.clone(), join);
        None
    }
}

fn warmth(upstream: &Upstream, model: &ModelId) -> Warmth {
    candidate(upstream).map_or(Warmth::Cold, |candidate| candidate.warmth(model))
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
