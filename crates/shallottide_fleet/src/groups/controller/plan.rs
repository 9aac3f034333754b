//! Choice of the groups that a controller forms and ends, from the requested work.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use shallottide_types::id::{DomainId, FabricId, ModelId, ServiceId, UpstreamId};

use super::forming_group::FormingGroup;
use super::retiring_group::{RetireReason, RetiringGroup};
use super::{Controller, LATE_ORDER_TIME};
use crate::catalog::EngineFacts;
use crate::domain_claims::fencing_token;
use crate::groups::allocation::choose_groups;
use crate::groups::formation_planner::{
    Candidate, PlannedGroup, ServingGroup, Standing, choose_swap,
};
use crate::groups::scarcity::choose_early_swap;
use crate::upstream::{Formation, Upstream};
use crate::view::ClusterView;

/// Low bits of an epoch, which count the formations of one controller.
const EPOCH_BITS: u32 = 16;
/// Weight of the operators' share beside the requested one; it keeps groups of a model that gets no
/// requests now.
const SHARE_WEIGHT: f64 = 0.5;
/// The same where swaps are cheap and demand is known from many calls: with half, a model with two thirds of
/// the work got 53 in 100 of the engines.
const LARGE_SHARE_WEIGHT: f64 = 0.1;
/// Time for which a fabric domain's free upstreams are reserved for the model of a swap.
const RESERVATION_TIME: Duration = Duration::from_secs(5);

/// Time without a change in the number of upstreams after which a new deployment forms groups.
const SETTLE_TIME: Duration = Duration::from_millis(1_200);

/// A fabric domain whose free upstreams are reserved for a model.
#[derive(Debug, Clone)]
pub(super) struct Reservation {
    fabric: FabricId,
    model: ModelId,
    until: Instant,
}

impl Reservation {
    /// Returns whether a fabric domain's free upstreams are reserved now.
    pub(super) fn holds(&self, fabric: &FabricId, now: Instant) -> bool {
        self.fabric == *fabric && now < self.until
    }
}

impl Controller {
    /// Forms groups of free upstreams.
    pub(super) fn plan(
        &mut self,
        view: &ClusterView,
        service: &ServiceId,
        engine: &EngineFacts,
        (work, before_traffic): (Option<&BTreeMap<ModelId, Duration>>, bool),
        now: Instant,
    ) {
        if before_traffic && !self.is_settled(view, service, now) {
            return;
        }
        self.probe_uncounted(view, service, now);
        let standings = self.standings(view, service, engine, work);
        let mut free = self.free_candidates(view, service, now);
        for candidate in &mut free {
            if self.staging.is_staging(&candidate.upstream) {
                candidate.staged.clear();
            }
        }
        // A load during the join would delay the other members, so weights are staged first.
        free.retain(|c| before_traffic || c.is_warm());
        let uncertain = self.fabrics_of_incomplete_groups(view, engine, now);
        let counts_orders = |c: &Candidate| self.health.order_count(&c.upstream).is_some();
        free.retain(|c| !uncertain.contains(&c.fabric) || counts_orders(c));
        // The operators' shares alone do not justify ending a serving group.
        if !before_traffic && work.is_some() {
            self.swap(view, service, (&standings, &free), now);
        }
        self.keep_confirmed(&standings, &mut free, before_traffic, view, now);
        let reservation = self
            .reservation
            .clone()
            .filter(|reservation| now < reservation.until);
        let (reserved, free): (Vec<_>, Vec<_>) = free
            .into_iter()
            .partition(|c| reservation.as_ref().is_some_and(|r| r.fabric == c.fabric));
        let reserved_standing = standings
            .iter()
            .find(|s| reservation.as_ref().is_some_and(|r| r.model == s.model));
        let reserved_standing = reserved_standing.cloned();
        let reserved = choose_groups(reserved_standing.as_slice(), &reserved, before_traffic);
        if let Some(group) = reserved.first() {
            self.reservation = None;
            self.begin_formation(group, view, service, now);
            return;
        }
        for group in choose_groups(&standings, &free, before_traffic) {
            self.begin_formation(&group, view, service, now);
        }
    }

    /// Returns whether no upstream has appeared or left for a while.
    ///
    /// The first groups are packed best once all upstreams of a new deployment are known.
    fn is_settled(&mut self, view: &ClusterView, service: &ServiceId, now: Instant) -> bool {
        let is_own = |known: &&crate::view::KnownUpstream| {
            known.upstream.service == *service && known.upstream.domain == self.options.domain
        };
        let count = view.upstreams.values().filter(is_own).count();
        let (old, since) = self.settling;
        if old != count {
            self.settling = (count, now);
            return false;
        }
        now.saturating_duration_since(since) >= SETTLE_TIME
    }

    /// Ends groups for a model that needs their upstreams more.
    fn swap(
        &mut self,
        view: &ClusterView,
        service: &ServiceId,
        (standings, free): (&[Standing], &[Candidate]),
        now: Instant,
    ) {
        let is_reserved = self
            .reservation
            .as_ref()
            .is_some_and(|reservation| now < reservation.until);
        if is_reserved {
            return;
        }
        let serving: Vec<_> = self.swap_candidates(view, service);
        let choose = if self.options.large_deployment {
            choose_early_swap
        } else {
            choose_swap
        };
        let Some(swap) = choose(standings, free, &serving) else {
            return;
        };
        if !self.has_fewest_groups(view, service, &swap.model) {
            return;
        }
        for formation in swap.ends {
            let Some(group) = self.serving.remove(&formation) else {
                continue;
            };
            tracing::info!(
                %formation, model = %group.model, reason = %RetireReason::Swap, for_model = %swap.model,
                standings = ?standings, "group retiring"
            );
            let retiring = RetiringGroup::new(group.members, RetireReason::Swap, Some(now));
            self.retiring.insert(formation, retiring);
        }
        self.reservation = Some(Reservation {
            fabric: swap.fabric,
            model: swap.model,
            until: now + RESERVATION_TIME,
        });
    }

    /// Keeps the upstreams of fabric domains that could form a group, if every responsive one is
    /// confirmed; probes those that are not.
    ///
    /// Planning with a part of them would split upstreams that belong together.
    fn keep_confirmed(
        &mut self,
        standings: &[Standing],
        free: &mut Vec<Candidate>,
        may_load: bool,
        view: &ClusterView,
        now: Instant,
    ) {
        free.retain(|c| {
            !self.health.is_unresponsive(&c.upstream) || self.confirm(&c.upstream, view, now)
        });
        // Only members of groups that would be formed now are worth a probe.
        let reserved = self.reservation.as_ref().map(|r| r.fabric.clone());
        let groups = choose_groups(standings, free, may_load);
        let members: BTreeSet<_> = groups.iter().flat_map(|group| &group.members).collect();
        let can_form: BTreeSet<_> = free
            .iter()
            .filter(|c| members.contains(&c.upstream) || reserved.as_ref() == Some(&c.fabric))
            .map(|c| c.fabric.clone())
            .collect();
        free.retain(|c| can_form.contains(&c.fabric));
        let mut blocked = BTreeSet::new();
        for candidate in free.iter() {
            if !self.confirm(&candidate.upstream, view, now) {
                blocked.insert(candidate.fabric.clone());
            }
        }
        free.retain(|candidate| !blocked.contains(&candidate.fabric));
    }

    /// Returns whether no other failure domain has fewer groups of a model; ties go to the lower
    /// id.
    ///
    /// All controllers see the same need, so only the one of that domain ends groups for it.
    fn has_fewest_groups(&self, view: &ClusterView, service: &ServiceId, model: &ModelId) -> bool {
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
            let count = groups.get(domain).copied().unwrap_or(0);
            (own, &self.options.domain) <= (count, domain)
        })
    }

    /// Returns the groups that could end for another model, in fabric domains where no group is
    /// ending.
    fn swap_candidates(
        &self,
        view: &ClusterView,
        service: &ServiceId,
    ) -> Vec<ServingGroup<Formation>> {
        let ending = self.retiring.values().flat_map(RetiringGroup::members);
        let blocked: BTreeSet<_> = ending
            .filter_map(|id| self.health.latest(id, view)?.fabric.clone())
            .collect();
        let groups = self.serving.iter().filter(|(_, g)| g.service == *service);
        let serving = groups.filter_map(|(formation, group)| {
            let head = view.upstreams.get(group.members.get(&0)?)?;
            let members = group.members.values();
            Some(ServingGroup {
                key: formation.clone(),
                model: group.model.clone(),
                fabric: head.upstream.fabric.clone()?,
                members: members
                    .filter_map(|id| to_candidate(self.health.latest(id, view)?))
                    .collect(),
            })
        });
        serving
            .filter(|group| !blocked.contains(&group.fabric))
            .collect()
    }

    /// Returns supply and demand of each model over all failure domains, as requests can go to any.
    pub(super) fn standings(
        &self,
        view: &ClusterView,
        service: &ServiceId,
        engine: &EngineFacts,
        work: Option<&BTreeMap<ModelId, Duration>>,
    ) -> Vec<Standing> {
        let seconds = |model: &ModelId| {
            work.and_then(|work| work.get(model))
                .map_or(0.0, Duration::as_secs_f64)
        };
        let weighted_work = |facts: &crate::catalog::ModelFacts| {
            let size = f64::from(u32::try_from(facts.size).unwrap_or(u32::MAX));
            seconds(&facts.model) * size
        };
        let total: f64 = engine.models.iter().map(weighted_work).sum();
        let share_weight = if self.options.large_deployment {
            LARGE_SHARE_WEIGHT
        } else {
            SHARE_WEIGHT
        };
        let standing = |facts: &crate::catalog::ModelFacts| {
            let share = f64::from(facts.share_permille) / 1000.0;
            let requested = if total > 0.0 {
                weighted_work(facts) / total
            } else {
                share
            };
            let matches_model =
                |model: &ModelId, at: &ServiceId| *model == facts.model && at == service;
            let serving = self
                .serving
                .values()
                .filter(|g| matches_model(&g.model, &g.service));
            let forming = self
                .forming
                .values()
                .filter(|g| matches_model(&g.model, &g.service));
            let here = serving.map(|g| g.members.len()).sum::<usize>()
                + forming.map(|g| g.members.len()).sum::<usize>();
            let elsewhere: usize = groups_by_domain(view, service, &facts.model)
                .iter()
                .filter(|(domain, _)| ***domain != self.options.domain)
                .map(|(_, groups)| groups * facts.size)
                .sum();
            Standing {
                model: facts.model.clone(),
                size: facts.size.max(1),
                weight: share_weight * share + (1.0 - share_weight) * requested,
                has: here + elsewhere,
            }
        };
        engine.models.iter().map(standing).collect()
    }

    /// Returns the usable upstreams that are in no group, as far as is known.
    pub(super) fn free_candidates(
        &self,
        view: &ClusterView,
        service: &ServiceId,
        now: Instant,
    ) -> Vec<Candidate> {
        let to_free_candidate = |(id, known): (&UpstreamId, &crate::view::KnownUpstream)| {
            let upstream = self.health.latest(id, view)?;
            let usable = upstream.service == *service
                && upstream.domain == self.options.domain
                && !upstream.draining
                && known.lapsed_at.is_none()
                && !self.health.is_lost(id, view, &self.options, now);
            let is_forming = self
                .forming
                .values()
                .any(|group| group.members.contains(id));
            let is_free = usable
                && !is_forming
                && self.may_leave(upstream, view)
                && !self.may_rejoin(upstream, now);
            is_free.then(|| to_candidate(upstream)).flatten()
        };
        view.upstreams
            .iter()
            .filter_map(to_free_candidate)
            .collect()
    }

    /// Probes the engines in no group whose number of orders matters, as late ones may come, and is not
    /// known.
    fn probe_uncounted(&mut self, view: &ClusterView, service: &ServiceId, now: Instant) {
        let is_new = now.saturating_duration_since(self.started_at) < LATE_ORDER_TIME;
        if !is_new && self.may_reopen.is_empty() {
            return;
        }
        let is_uncounted = |(id, known): &(&UpstreamId, &crate::view::KnownUpstream)| {
            let upstream = &known.upstream;
            upstream.service == *service
                && upstream.domain == self.options.domain
                && self.health.order_count(id).is_none()
                && self.may_leave(upstream, view)
        };
        let engines = view.upstreams.iter().filter(is_uncounted);
        let ids: Vec<_> = engines.map(|(id, _)| id.clone()).collect();
        for id in ids {
            self.probe(&id, now);
        }
    }

    /// Returns whether the group that an upstream was last in can no longer serve.
    pub(super) fn may_leave(&self, upstream: &Upstream, view: &ClusterView) -> bool {
        upstream.membership.as_ref().is_none_or(|m| {
            let since = self.released.get(&m.formation);
            since.is_some_and(|since| !self.may_have_reopened(&m.formation, *since, view))
        })
    }

    /// Returns the fabric domains in which an earlier controller's group lacks members that are known.
    ///
    /// Any upstream there may be the missing member, or become it when a late order is carried out.
    fn fabrics_of_incomplete_groups(
        &self,
        view: &ClusterView,
        engine: &EngineFacts,
        now: Instant,
    ) -> BTreeSet<FabricId> {
        let tracked = self.serving.keys().chain(self.retiring.keys());
        let earlier = tracked.filter(|formation| self.is_of_recent_predecessor(formation, now));
        let incomplete = earlier.filter_map(|formation| {
            let members = view.formations.get(formation)?;
            let any = members
                .values()
                .find_map(|id| self.health.latest(id, view))?;
            let model = any.model.as_ref().and_then(|model| engine.model(model));
            let is_complete = model.is_some_and(|facts| members.len() >= facts.size);
            (!is_complete).then(|| any.fabric.clone()).flatten()
        });
        incomplete.collect()
    }

    /// Returns whether orders of an earlier controller, whose outcomes are not known, may still be
    /// carried out for a formation.
    pub(super) fn is_of_recent_predecessor(&self, formation: &Formation, now: Instant) -> bool {
        let mut claims = self.earlier_claims.iter().chain([&self.claim]);
        let is_own = claims.any(|claim| formation.epoch >> EPOCH_BITS == fencing_token(*claim).0);
        !is_own && now.saturating_duration_since(self.started_at) < LATE_ORDER_TIME
    }

    /// Returns whether an order without an answer may still bring an upstream back into a group that
    /// has ended or is being ended, whose head may serve or be about to break.
    ///
    /// An engine that counts its orders rejects a join after any that its report did not show, so only
    /// those matter that have not left the group.
    fn may_rejoin(&self, upstream: &Upstream, now: Instant) -> bool {
        let id = &upstream.id;
        if self.health.order_count(id).is_some() {
            let membership = upstream.membership.as_ref();
            return membership.is_some_and(|m| self.may_reopen.contains_key(&m.formation));
        }
        let is_recent = |at: Instant| now.saturating_duration_since(at) < LATE_ORDER_TIME;
        let mut reopening = self.may_reopen.values();
        if reopening.any(|(members, _)| members.contains(id)) {
            return true;
        }
        let retiring = self.retiring.iter();
        let mut of_upstream = retiring.filter(|(_, group)| group.members().any(|m| m == id));
        of_upstream.any(|(formation, _)| {
            let unresolved = self.unresolved_joins.get(id);
            self.is_of_recent_predecessor(formation, now)
                || unresolved.is_some_and(|(joined, at)| joined == formation && is_recent(*at))
        })
    }

    fn begin_formation(
        &mut self,
        group: &PlannedGroup,
        view: &ClusterView,
        service: &ServiceId,
        now: Instant,
    ) {
        self.formation_count += 1;
        let epoch = (fencing_token(self.claim).0 << EPOCH_BITS) | self.formation_count;
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
        let forming = FormingGroup::new(
            group,
            service,
            self.health.start_times(group.members.iter(), view),
            now,
        );
        self.forming.insert(formation, forming);
    }
}

/// Counts the groups that serve a model, by failure domain.
fn groups_by_domain<'a>(
    view: &'a ClusterView,
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

/// Describes an engine for the planner; `None` for a plain upstream.
pub(super) fn to_candidate(upstream: &Upstream) -> Option<Candidate> {
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
