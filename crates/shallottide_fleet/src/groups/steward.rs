//! Keeps the groups of one failure domain formed.

mod build;
mod health;
mod retire;
mod stage;

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use shallottide_types::id::{DomainId, FabricId, ModelId, ServiceId, StoreIndex, UpstreamId};

use super::planner::{Candidate, PlannedGroup, Serving, Standing, choose_group, choose_swap};
use super::{LoadPace, Order, StewardOptions};
use crate::border::OrderOutcome;
use crate::catalog::EngineFacts;
use crate::upstream::{Formation, GroupState, Membership, Upstream};
use crate::view::FleetView;
use build::Build;
use health::HealthBook;
use retire::{Reason, Retire};
use stage::Stages;

/// Bits of an epoch that count the formations of one steward.
const EPOCH_BITS: u32 = 16;
/// Part of the operators' bound on loads that stewards use.
const LOAD_PART: f64 = 0.9;
/// Time for which a fabric domain's free upstreams are kept for the model that groups ended for.
const SWAP_TIME: Duration = Duration::from_secs(5);

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

/// A fabric domain whose free upstreams are kept for a model.
#[derive(Debug, Clone)]
struct Reserved {
    fabric: FabricId,
    model: ModelId,
    until: Instant,
}

/// Forms, opens and ends the groups of one failure domain.
///
/// Three promises hold whatever orders are lost or late: a head opens only when every member has
/// reported itself ready under the formation; a member joins another group only once the head of
/// its last one can no longer serve; formations are named by epochs that never come again.
#[derive(Debug)]
pub struct Steward {
    options: StewardOptions,
    /// The revision of this node's claim; the high part of its epochs.
    claim: StoreIndex,
    formed: u64,
    orders: u64,
    pace: LoadPace,
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

impl Steward {
    /// Creates the steward of a claim.
    ///
    /// `first_start` says that no predecessor can have ordered loads.
    #[must_use]
    pub fn new(
        options: StewardOptions,
        claim: StoreIndex,
        first_start: bool,
        now: Instant,
    ) -> Self {
        let pace = LoadPace::new(options.load_window);
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
    pub fn order_ended(&mut self, number: u64, outcome: OrderOutcome, now: Instant) {
        for build in self.builds.values_mut() {
            build.order_ended(number, outcome, &mut self.pace, now);
        }
        for retire in self.retiring.values_mut() {
            retire.order_ended(number, outcome);
        }
        self.stages.order_ended(number, outcome, &mut self.pace);
    }

    /// Notes how a probe ended: the report, or nothing when none came.
    pub fn probe_ended(&mut self, to: &UpstreamId, report: Option<Upstream>, now: Instant) {
        self.health.probe_ended(to, report, now);
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
        view: &FleetView,
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
    fn adopt(&mut self, view: &FleetView, now: Instant) {
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

    fn check_serving(&mut self, view: &FleetView, now: Instant) {
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
        view: &FleetView,
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
        view: &FleetView,
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

    /// Forms groups of what is free.
    fn plan(
        &mut self,
        view: &FleetView,
        service: &ServiceId,
        engine: &EngineFacts,
        (work, before_traffic): (Option<&BTreeMap<ModelId, Duration>>, bool),
        now: Instant,
    ) {
        let mut standings = self.standings(view, service, engine, work);
        let mut free = self.free(view, service, now);
        // A load would keep the other members waiting; weights are staged first.
        free.retain(|c| before_traffic || c.is_warm());
        self.keep_confirmed(&mut free, view, now);
        if !before_traffic {
            self.swap(view, service, (&standings, &free), now);
        }
        let swap = self
            .reserved
            .clone()
            .filter(|reserved| now < reserved.until);
        let (reserved, mut free): (Vec<_>, Vec<_>) = free
            .into_iter()
            .partition(|c| swap.as_ref().is_some_and(|swap| swap.fabric == c.fabric));
        let wanted = standings
            .iter()
            .find(|s| swap.as_ref().is_some_and(|swap| swap.model == s.model));
        let wanted = wanted.cloned();
        if let Some(group) = choose_group(wanted.as_slice(), &reserved, before_traffic) {
            self.reserved = None;
            self.begin(&group, view, service, now);
            return;
        }
        while let Some(group) = choose_group(&standings, &free, before_traffic) {
            free.retain(|candidate| !group.members.contains(&candidate.upstream));
            if let Some(standing) = standings.iter_mut().find(|s| s.model == group.model) {
                standing.has += group.members.len();
            }
            self.begin(&group, view, service, now);
        }
    }

    /// Ends groups for the sake of a model that needs their upstreams more.
    fn swap(
        &mut self,
        view: &FleetView,
        service: &ServiceId,
        (standings, free): (&[Standing], &[Candidate]),
        now: Instant,
    ) {
        let is_paused = self.reserved.as_ref().is_some_and(|swap| now < swap.until);
        if is_paused {
            return;
        }
        let serving: Vec<_> = self.swappable(view, service);
        let Some(swap) = choose_swap(standings, free, &serving) else {
            return;
        };
        if !self.is_poorest(view, service, &swap.model) {
            return;
        }
        for formation in swap.ends {
            let Some(group) = self.serving.remove(&formation) else {
                continue;
            };
            tracing::info!(
                %formation, model = %group.model, reason = %Reason::Swap, for_model = %swap.model,
                standings = ?standings, "group retires"
            );
            let retire = Retire::new(group.members, Reason::Swap, Some(now));
            self.retiring.insert(formation, retire);
        }
        self.reserved = Some(Reserved {
            fabric: swap.fabric,
            model: swap.model,
            until: now + SWAP_TIME,
        });
    }

    /// Keeps the upstreams that have confirmed themselves, in fabric domains where all have that
    /// answer; planning with a part of them would break up what belongs together.
    fn keep_confirmed(&mut self, free: &mut Vec<Candidate>, view: &FleetView, now: Instant) {
        let mut awaited = BTreeSet::new();
        free.retain(|candidate| {
            let is_confirmed = self.confirm(&candidate.upstream, view, now);
            if !is_confirmed && !self.health.is_silent(&candidate.upstream) {
                awaited.insert(candidate.fabric.clone());
            }
            is_confirmed
        });
        free.retain(|candidate| !awaited.contains(&candidate.fabric));
    }

    /// Tells whether no other failure domain has fewer groups of a model; only that one's steward
    /// ends groups for it, as all see the same need.
    fn is_poorest(&self, view: &FleetView, service: &ServiceId, model: &ModelId) -> bool {
        let groups = groups_by_domain(view, service, model);
        let own = groups.get(&self.options.domain).copied().unwrap_or(0);
        let domains: BTreeSet<_> = view
            .upstreams
            .values()
            .filter(|known| known.upstream.service == *service)
            .map(|known| &known.upstream.domain)
            .filter(|domain| !view.evacuated.contains(*domain))
            .collect();
        domains.into_iter().all(|domain| {
            let others = groups.get(domain).copied().unwrap_or(0);
            (own, &self.options.domain) <= (others, domain)
        })
    }

    /// Returns the groups that could end for another model, in fabric domains where no other ends.
    fn swappable(&self, view: &FleetView, service: &ServiceId) -> Vec<Serving<Formation>> {
        let ending = self.retiring.values().flat_map(Retire::members);
        let awaited: BTreeSet<_> = ending
            .filter_map(|id| self.health.fact(id, view)?.fabric.clone())
            .collect();
        let groups = self.serving.iter().filter(|(_, g)| g.service == *service);
        let serving = groups.filter_map(|(formation, group)| {
            let head = view.upstreams.get(group.members.get(&0)?)?;
            let members = group.members.values();
            Some(Serving {
                key: formation.clone(),
                model: group.model.clone(),
                fabric: head.upstream.fabric.clone()?,
                members: members
                    .filter_map(|id| candidate(self.health.fact(id, view)?))
                    .collect(),
            })
        });
        serving
            .filter(|group| !awaited.contains(&group.fabric))
            .collect()
    }

    /// Returns how each model stands over all failure domains, as its callers can go to any.
    fn standings(
        &self,
        view: &FleetView,
        service: &ServiceId,
        engine: &EngineFacts,
        work: Option<&BTreeMap<ModelId, Duration>>,
    ) -> Vec<Standing> {
        let seconds = |model: &ModelId| {
            work.and_then(|work| work.get(model))
                .map_or(0.0, Duration::as_secs_f64)
        };
        let of_model = |facts: &crate::catalog::ModelFacts| {
            let size = f64::from(u32::try_from(facts.size).unwrap_or(u32::MAX));
            seconds(&facts.model) * size
        };
        let total: f64 = engine.models.iter().map(of_model).sum();
        let standing = |facts: &crate::catalog::ModelFacts| {
            let share = f64::from(facts.share_permille) / 1000.0;
            let asked = if total > 0.0 {
                of_model(facts) / total
            } else {
                share
            };
            let is_here = |model: &ModelId, at: &ServiceId| *model == facts.model && at == service;
            let serving = self
                .serving
                .values()
                .filter(|g| is_here(&g.model, &g.service));
            let builds = self
                .builds
                .values()
                .filter(|b| is_here(&b.model, &b.service));
            let here = serving.map(|g| g.members.len()).sum::<usize>()
                + builds.map(|b| b.members.len()).sum::<usize>();
            let elsewhere: usize = groups_by_domain(view, service, &facts.model)
                .iter()
                .filter(|(domain, _)| ***domain != self.options.domain)
                .map(|(_, groups)| groups * facts.size)
                .sum();
            Standing {
                model: facts.model.clone(),
                size: facts.size.max(1),
                // Half the operators' share keeps a model in place that is not asked for now.
                weight: f64::midpoint(asked, share),
                has: here + elsewhere,
            }
        };
        engine.models.iter().map(standing).collect()
    }

    /// Returns the upstreams that are in no group, as far as is known.
    fn free(&self, view: &FleetView, service: &ServiceId, now: Instant) -> Vec<Candidate> {
        let free_one = |(id, known): (&UpstreamId, &crate::view::Known)| {
            let upstream = self.health.fact(id, view)?;
            let usable = upstream.service == *service
                && upstream.domain == self.options.domain
                && !upstream.draining
                && known.lapsed.is_none()
                && !self.health.is_lost(id, view, &self.options, now);
            let taken = self.builds.values().any(|b| b.members.contains(id));
            let is_free = usable && !taken && self.may_leave(upstream);
            is_free.then(|| candidate(upstream)).flatten()
        };
        view.upstreams.iter().filter_map(free_one).collect()
    }

    /// Tells whether an upstream's last group can no longer serve.
    fn may_leave(&self, upstream: &Upstream) -> bool {
        upstream
            .membership
            .as_ref()
            .is_none_or(|m| self.freed.contains(&m.formation))
    }

    fn begin(&mut self, group: &PlannedGroup, view: &FleetView, service: &ServiceId, now: Instant) {
        self.formed += 1;
        let epoch = (self.claim.0 << EPOCH_BITS) | self.formed;
        let formation = Formation {
            group: format!("g{epoch}")
                .parse()
                .expect("letters and digits only"),
            epoch,
        };
        tracing::info!(
            %formation, model = %group.model, members = ?names(&group.members),
            index = %view.index, "group planned"
        );
        let build = Build::new(
            group,
            service,
            self.health.births(group.members.iter(), view),
            now,
        );
        self.builds.insert(formation, build);
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

/// Counts the groups that serve a model, by failure domain.
fn groups_by_domain<'a>(
    view: &'a FleetView,
    service: &ServiceId,
    model: &ModelId,
) -> BTreeMap<&'a DomainId, usize> {
    let mut groups = BTreeMap::new();
    for head in view.serving(service, Some(model)) {
        if let Some(known) = view.upstreams.get(head) {
            *groups.entry(&known.upstream.domain).or_default() += 1;
        }
    }
    groups
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

/// Describes an engine for the planner; nothing for a plain upstream.
fn candidate(upstream: &Upstream) -> Option<Candidate> {
    Some(Candidate {
        upstream: upstream.id.clone(),
        fabric: upstream.fabric.clone()?,
        loaded: upstream.model.clone(),
        staged: upstream.staged.clone(),
    })
}

fn names(members: &[UpstreamId]) -> Vec<&str> {
    members.iter().map(UpstreamId::as_str).collect()
}

/// Stands for the model of a group whose head does not name one.
fn unknown_model() -> ModelId {
    "unknown".parse().expect("a valid id")
}

#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
fn floor(value: f64) -> usize {
    value.max(0.0) as usize
}
