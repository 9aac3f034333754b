//! Which groups a steward forms and ends for what callers ask.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use shallottide_types::id::{DomainId, FabricId, ModelId, ServiceId, UpstreamId};

use super::Controller;
use super::build::Build;
use super::retire::{Reason, Retire};
use crate::catalog::EngineFacts;
use crate::groups::planner::{
    Candidate, PlannedGroup, ServingGroup, Standing, choose_group, choose_swap,
};
use crate::upstream::{Formation, Upstream};
use crate::view::ClusterView;

/// Bits of an epoch that count the formations of one steward.
const EPOCH_BITS: u32 = 16;
/// Time for which a fabric domain's free upstreams are kept for the model that groups ended for.
const SWAP_TIME: Duration = Duration::from_secs(5);

/// A fabric domain whose free upstreams are kept for a model.
#[derive(Debug, Clone)]
pub(super) struct Reserved {
    fabric: FabricId,
    model: ModelId,
    until: Instant,
}

impl Controller {
    /// Forms groups of what is free.
    pub(super) fn plan(
        &mut self,
        view: &ClusterView,
        service: &ServiceId,
        engine: &EngineFacts,
        (work, before_traffic): (Option<&BTreeMap<ModelId, Duration>>, bool),
        now: Instant,
    ) {
        let mut standings = self.standings(view, service, engine, work);
        let mut free = self.free(view, service, now);
        for candidate in &mut free {
            if self.stages.is_going(&candidate.upstream) {
                candidate.staged.clear();
            }
        }
        // A load would keep the other members waiting; weights are staged first.
        free.retain(|c| before_traffic || c.is_warm());
        self.keep_confirmed(&mut free, view, now);
        // The operators' shares alone are no reason to end a group that serves.
        if !before_traffic && work.is_some() {
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
        view: &ClusterView,
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
    fn keep_confirmed(&mut self, free: &mut Vec<Candidate>, view: &ClusterView, now: Instant) {
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
    fn is_poorest(&self, view: &ClusterView, service: &ServiceId, model: &ModelId) -> bool {
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
    fn swappable(&self, view: &ClusterView, service: &ServiceId) -> Vec<ServingGroup<Formation>> {
        let ending = self.retiring.values().flat_map(Retire::members);
        let awaited: BTreeSet<_> = ending
            .filter_map(|id| self.health.fact(id, view)?.fabric.clone())
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
                    .filter_map(|id| candidate(self.health.fact(id, view)?))
                    .collect(),
            })
        });
        serving
            .filter(|group| !awaited.contains(&group.fabric))
            .collect()
    }

    /// Returns how each model stands over all failure domains, as its callers can go to any.
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
    pub(super) fn free(
        &self,
        view: &ClusterView,
        service: &ServiceId,
        now: Instant,
    ) -> Vec<Candidate> {
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

    fn begin(
        &mut self,
        group: &PlannedGroup,
        view: &ClusterView,
        service: &ServiceId,
        now: Instant,
    ) {
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

/// Describes an engine for the planner; nothing for a plain upstream.
pub(super) fn candidate(upstream: &Upstream) -> Option<Candidate> {
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
