//! Keeps the groups of one failure domain formed.

mod build;
mod engine_counts;
mod health;
mod plan;
mod retire;
mod stage;

pub use engine_counts::EngineCounts;

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use shallottide_types::id::{ModelId, ServiceId, StoreIndex, UpstreamId};

use super::{ControllerOptions, LoadRateLimiter, Order};
use crate::border::OrderOutcome;
use crate::catalog::EngineFacts;
use crate::upstream::{Formation, GroupState, Membership, Upstream};
use crate::view::ClusterView;
use build::Build;
use health::HealthBook;
use plan::{Reserved, candidate};
use retire::{Reason, Retire};
use stage::Stages;

/// Part of the operators' bound on loads that stewards use.
const LOAD_PART: f64 = 0.9;

/// What the steward wants done.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Send an order; its outcome is told with the same number.
    Order {
        /// To whom.
        to: Box<Upstream>,
        /// Number of the order.
        number: u64,
        /// The order.
        order: Order,
    },
    /// Ask an upstream for its report.
    Probe(Box<Upstream>),
}

/// An order that was sent.
#[derive(Debug, Clone, Copy)]
struct Asked {
    number: u64,
    at: Instant,
    outcome: Option<OrderOutcome>,
}

impl Asked {
    /// Time after which an order without a clear outcome is sent again.
    const RETRY: Duration = Duration::from_millis(1_500);
    /// Time after which a refused order is sent again.
    const RETRY_REFUSED: Duration = Duration::from_millis(250);

    fn is_due(&self, now: Instant) -> bool {
        let age = now.saturating_duration_since(self.at);
        match self.outcome {
            Some(OrderOutcome::Refused | OrderOutcome::Misdirected) => age >= Self::RETRY_REFUSED,
            Some(OrderOutcome::Accepted | OrderOutcome::Unknown) | None => age >= Self::RETRY,
        }
    }
}

fn is_due(asked: Option<&Asked>, now: Instant) -> bool {
    asked.is_none_or(|asked| asked.is_due(now))
}

/// A group that serves.
#[derive(Debug, Clone)]
struct Group {
    members: BTreeMap<usize, UpstreamId>,
    born: BTreeMap<UpstreamId, u64>,
    model: ModelId,
    service: ServiceId,
}

/// Forms, opens and ends the groups of one failure domain.
///
/// Three promises hold whatever orders are lost or late: a head opens only when every member has
/// reported itself ready under the formation; a member joins another group only once the head of
/// its last one can no longer serve; formations are named by epochs that never come again.
#[derive(Debug)]
pub struct Controller {
    options: ControllerOptions,
    /// The revision of this node's claim; the high part of its epochs.
    claim: StoreIndex,
    formed: u64,
    orders: u64,
    pace: LoadRateLimiter,
    health: HealthBook,
    serving: BTreeMap<Formation, Group>,
    builds: BTreeMap<Formation, Build>,
    retiring: BTreeMap<Formation, Retire>,
    /// Formations whose members may join others.
    freed: BTreeSet<Formation>,
    stages: Stages,
    reserved: Option<Reserved>,
    actions: Vec<Action>,
}

impl Controller {
    /// Creates the steward of a claim.
    ///
    /// `first_start` says that no predecessor can have ordered loads.
    #[must_use]
    pub fn new(
        options: ControllerOptions,
        claim: StoreIndex,
        first_start: bool,
        now: Instant,
    ) -> Self {
        let pace = LoadRateLimiter::new(options.load_window);
        let pace = if first_start {
            pace
        } else {
            pace.after_predecessor(now)
        };
        Self {
            options,
            claim,
            formed: 0,
            orders: 0,
            pace,
            health: HealthBook::default(),
            serving: BTreeMap::new(),
            builds: BTreeMap::new(),
            retiring: BTreeMap::new(),
            freed: BTreeSet::new(),
            stages: Stages::default(),
            reserved: None,
            actions: Vec::new(),
        }
    }

    /// Returns the revision of the claim that it acts under.
    #[must_use]
    pub fn claim(&self) -> StoreIndex {
        self.claim
    }

    /// Tells whether it waits for something, so that it should look often.
    #[must_use]
    pub fn is_busy(&self) -> bool {
        !self.builds.is_empty() || !self.retiring.is_empty() || self.health.is_probing()
    }

    /// Notes how an order ended.
    pub fn record_order_outcome(&mut self, number: u64, outcome: OrderOutcome, now: Instant) {
        for build in self.builds.values_mut() {
            build.record_order_outcome(number, outcome, &mut self.pace, now);
        }
        for retire in self.retiring.values_mut() {
            retire.record_order_outcome(number, outcome);
        }
        self.stages
            .record_order_outcome(number, outcome, &mut self.pace);
    }

    /// Notes how a probe ended: the report, or nothing when none came.
    pub fn record_probe_result(&mut self, to: &UpstreamId, report: Option<Upstream>, now: Instant) {
        self.health.record_probe_result(to, report, now);
    }

    /// Notes that requests to a head fail or stall.
    pub fn suspect(&mut self, head: &UpstreamId, now: Instant) {
        self.health.suspect(head, now);
    }

    /// Looks at the fleet and returns what is to be done.
    ///
    /// `work` is what callers ask of each model; `before_traffic` lifts the bound on loads.
    pub fn tick(
        &mut self,
        view: &ClusterView,
        work: Option<&BTreeMap<ModelId, Duration>>,
        before_traffic: bool,
        now: Instant,
    ) -> Vec<Action> {
        self.health.note(view);
        let Some(catalog) = &view.catalog else {
            return Vec::new();
        };
        self.adopt(view, now);
        self.check_serving(view, now);
        self.advance_retiring(view, now);
        for (id, service) in &catalog.services {
            if let Some(engine) = &service.engine {
                let bounds = self.load_bounds(view, id, engine, before_traffic);
                self.advance_builds(view, id, bounds, now);
                self.plan(view, id, engine, (work, before_traffic), now);
                self.advance_builds(view, id, bounds, now);
                self.stage(view, id, engine, (work, bounds), now);
            }
        }
        std::mem::take(&mut self.actions)
    }

    /// Takes over formations that another steward made.
    fn adopt(&mut self, view: &ClusterView, now: Instant) {
        let mut unconfirmed = Vec::new();
        self.freed
            .retain(|formation| view.formations.contains_key(formation));
        for (formation, members) in &view.formations {
            let known = self.serving.contains_key(formation)
                || self.builds.contains_key(formation)
                || self.retiring.contains_key(formation)
                || self.freed.contains(formation);
            let mut facts = members.values().filter_map(|id| view.upstreams.get(id));
            let is_mine = facts.any(|known| known.upstream.domain == self.options.domain);
            if known || !is_mine {
                continue;
            }
            let head = members.get(&0).and_then(|id| self.health.fact(id, view));
            let state = head.map(|head| state_in(head, formation));
            match (head, state) {
                (Some(head), Some(Some(GroupState::Open))) => {
                    tracing::info!(%formation, head = %head.id, "group adopted");
                    let group = Group {
                        members: members.clone(),
                        born: self.health.births(members.values(), view),
                        model: head.model.clone().unwrap_or_else(unknown_model),
                        service: head.service.clone(),
                    };
                    self.serving.insert(formation.clone(), group);
                }
                (Some(head), Some(None | Some(GroupState::Broken))) => {
                    if self.health.is_confirmed(&head.id, view, now) {
                        self.freed.insert(formation.clone());
                    } else {
                        unconfirmed.push(head.id.clone());
                    }
                }
                _ => {
                    let retire = Retire::new(members.clone(), Reason::Predecessor, None);
                    tracing::info!(%formation, reason = %Reason::Predecessor, "group retires");
                    self.retiring.insert(formation.clone(), retire);
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
            // Members learned after the group was adopted.
            let members = view
                .formations
                .get(&formation)
                .unwrap_or(&group.members)
                .clone();
            let verdict = self.verdict(&formation, group, &members, view, now);
            let Some(reason) = verdict else {
                continue;
            };
            if reason == Reason::HeadMoved
                && members
                    .get(&0)
                    .is_some_and(|head| !self.confirm(head, view, now))
            {
                continue;
            }
            self.serving.remove(&formation);
            tracing::info!(%formation, %reason, index = %view.index, "group retires");
            if reason == Reason::HeadMoved {
                self.freed.insert(formation);
            } else {
                self.retiring
                    .insert(formation, Retire::new(members, reason, Some(now)));
            }
        }
    }

    fn verdict(
        &self,
        formation: &Formation,
        group: &Group,
        members: &BTreeMap<usize, UpstreamId>,
        view: &ClusterView,
        now: Instant,
    ) -> Option<Reason> {
        let head_id = members.get(&0)?;
        if !view.upstreams.contains_key(head_id) {
            return Some(Reason::HeadGone);
        }
        let head = self.health.fact(head_id, view)?;
        match state_in(head, formation) {
            None | Some(GroupState::Broken) => return Some(Reason::HeadMoved),
            Some(GroupState::Open) => {}
            Some(_) => return Some(Reason::Closed),
        }
        for id in members.values() {
            let Some(fact) = self.health.fact(id, view) else {
                if self.health.is_lost(id, view, &self.options, now) {
                    return Some(Reason::MemberLost);
                }
                continue;
            };
            let reborn = group.born.get(id).is_some_and(|born| *born != fact.born);
            if reborn || state_in(fact, formation).is_none() {
                return Some(Reason::MemberMoved);
            }
            if self.health.is_lost(id, view, &self.options, now) {
                return Some(Reason::MemberLost);
            }
            if fact.draining {
                return Some(Reason::MemberLeaves);
            }
        }
        None
    }

    fn load_bounds(
        &self,
        view: &ClusterView,
        service: &ServiceId,
        engine: &EngineFacts,
        before_traffic: bool,
    ) -> LoadBounds {
        if before_traffic {
            return LoadBounds {
                per_window: usize::MAX,
                at_once: usize::MAX,
            };
        }
        let engines = view
            .upstreams
            .values()
            .filter(|k| k.upstream.service == *service);
        let (mut all, mut here) = (0_u32, 0_u32);
        for known in engines {
            all += 1;
            here += u32::from(known.upstream.domain == self.options.domain);
        }
        let part = f64::from(here) / f64::from(all.max(1));
        let window = self.options.load_window.as_secs_f64();
        let per_window = f64::from(engine.loads_per_second) * window * part * LOAD_PART;
        LoadBounds {
            per_window: floor(per_window).max(1),
            at_once: floor((f64::from(engine.loads_at_once) * part).ceil()).max(1),
        }
    }

    fn send(&mut self, to: &Upstream, order: Order, now: Instant) -> Asked {
        self.orders += 1;
        self.actions.push(Action::Order {
            to: Box::new(to.clone()),
            number: self.orders,
            order,
        });
        Asked {
            number: self.orders,
            at: now,
            outcome: None,
        }
    }
}

/// Bounds on weight loads of one domain.
#[derive(Debug, Clone, Copy)]
struct LoadBounds {
    per_window: usize,
    at_once: usize,
}

/// Returns where an upstream stands in a formation, or nothing when it is not in it.
fn state_in(upstream: &Upstream, formation: &Formation) -> Option<GroupState> {
    let is_in = |m: &&Membership| m.formation == *formation;
    upstream.membership.as_ref().filter(is_in).map(|m| m.state)
}

/// Stands for the model of a group whose head does not name one.
fn unknown_model() -> ModelId {
    "unknown".parse().expect("a valid id")
}

#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
fn floor(value: f64) -> usize {
    value.max(0.0) as usize
}
