//! Routing by load, with affinity for prefix caches and avoidance of stragglers.

use std::collections::BTreeMap;
use std::time::Duration;

use shallottide_types::peer::Slot;
use shallottide_types::refusal::{Ran, Refusal, RefusalKind};

use super::candidate::{Candidate, FULL_LOAD, placed_slots};
use super::slot_health::SlotHealth;
use super::upstream_rules::{self, UpstreamRules};
use super::{Route, RouteQuery, Router, RoutingOptions, other_domains};
use crate::admission::RequestOutcome;
use crate::groups::rendezvous;
use crate::kernel::Context;

/// Suggested retry delay after a refusal because all slots are full.
const RETRY_FULL: Duration = Duration::from_millis(500);

/// Suggested retry delay after a refusal because no slot is ready.
const RETRY_NOT_READY: Duration = Duration::from_secs(2);

/// Routes calls to the slots of this failure domain, and to other domains where records allow it.
#[derive(Debug)]
pub struct SlotRouter {
    options: RoutingOptions,
    health: BTreeMap<Slot, SlotHealth>,
}

impl SlotRouter {
    /// Creates a router that has routed no call yet.
    #[must_use]
    pub fn new(options: RoutingOptions) -> Self {
        Self {
            options,
            health: BTreeMap::new(),
        }
    }

    fn candidates(
        &self,
        query: &RouteQuery<'_>,
        rules: UpstreamRules,
        cx: &Context,
    ) -> Vec<Candidate> {
        let placed = placed_slots(query.head, cx).into_iter();
        let untried = placed.filter(|placed| !query.tried.contains(&placed.slot));
        let candidates = untried.filter_map(|placed| {
            let health = self.health.get(&placed.slot);
            placed.candidate(rules, health, &self.options, cx)
        });
        candidates.collect()
    }

    /// Returns the best candidate.
    ///
    /// Candidates of the preferred generation come first, then those that are not full, not in
    /// back-off and no stragglers. Among equals, the least loaded of a sample is chosen, or the
    /// prefix's preferred slot if its load is close to that.
    fn select_best(&self, query: &RouteQuery<'_>, candidates: &[Candidate]) -> Option<Candidate> {
        let bound = straggler_bound(candidates, self.options.straggler_factor);
        let class = |c: &Candidate| {
            let straggler = c.mean_first_byte.is_some_and(|mean| mean > bound);
            (
                !c.is_preferred_generation,
                c.is_full,
                c.is_avoided,
                straggler,
            )
        };
        let first = candidates.iter().map(class).min()?;
        let equals = candidates.iter().filter(|c| class(c) == first);
        let equals: Vec<&Candidate> = equals.collect();
        let mut sample = equals.clone();
        let call_hash = rendezvous::hash(query.head.id.as_str());
        rendezvous::sort(call_hash, &mut sample, |c| slot_name(&c.slot));
        // All nodes see the same summaries, so all would overload the least loaded slot at once.
        sample.truncate(self.options.sample_size);
        let least = sample.into_iter().min_by_key(|c| c.load)?;
        let preferred = query.head.prefix.and_then(|prefix| {
            let weight = |c: &&&Candidate| rendezvous::weight(prefix, slot_name(&c.slot));
            equals.iter().max_by_key(weight)
        });
        let slack = FULL_LOAD * u64::from(self.options.affinity_slack_percent) / 100;
        let near = |c: &&&Candidate| c.load <= least.load + slack && c.load <= FULL_LOAD;
        Some(preferred.filter(near).copied().unwrap_or(least).clone())
    }

    /// Routes a call that a peer forwarded for a slot: to that slot, or a refusal.
    fn route_forwarded(
        &self,
        slot: &Slot,
        query: &RouteQuery<'_>,
        rules: UpstreamRules,
        cx: &Context,
    ) -> Result<Route, Refusal> {
        let placed = placed_slots(query.head, cx);
        let placed = placed.into_iter().find(|placed| placed.slot == *slot);
        let health = self.health.get(slot);
        let candidate = placed.and_then(|p| p.candidate(rules, health, &self.options, cx));
        let me = cx.me().node;
        let address = candidate
            .filter(|candidate| candidate.dispatcher == me)
            .and_then(|candidate| candidate.address);
        let slot = slot.clone();
        match address {
            Some(address) => Ok(Route::Local { slot, address }),
            None => Err(not_ready_refusal(
                "the chosen upstream is not ready here: retry",
            )),
        }
    }

    /// Routes to another failure domain if the records allow it, or refuses.
    fn route_to_other_domain(
        query: &RouteQuery<'_>,
        rules: UpstreamRules,
        refusal: Refusal,
        cx: &Context,
    ) -> Result<Route, Refusal> {
        if query.own_domain_only || !rules.other_domains {
            return Err(refusal);
        }
        let node = other_domains::choose(query, cx);
        node.map(|node| Route::Domain { node }).ok_or(refusal)
    }
}

impl Router for SlotRouter {
    fn route(&mut self, query: &RouteQuery<'_>, cx: &Context) -> Result<Route, Refusal> {
        let config = cx.config();
        let me = cx.me();
        let rules = upstream_rules::read(query.head, &config)?;
        if config.is_out(&me.domain) {
            let message = format!("failure domain {} is out: call another one", me.domain);
            return Self::route_to_other_domain(query, rules, not_ready_refusal(message), cx);
        }
        if let Some(slot) = query.forwarded_slot {
            return self.route_forwarded(slot, query, rules, cx);
        }
        let candidates = self.candidates(query, rules, cx);
        let Some(best) = self.select_best(query, &candidates) else {
            let refusal = no_candidate_refusal(query);
            return Self::route_to_other_domain(query, rules, refusal, cx);
        };
        if best.is_full && query.tried.len() >= self.options.max_full_tries {
            return Self::route_to_other_domain(query, rules, full_refusal(), cx);
        }
        route_to(best, cx)
    }

    fn record_start(&mut self, route: &Route, cx: &Context) {
        if let Some(slot) = slot_of(route) {
            let health = self.health.entry(slot.clone()).or_default();
            health.record_start(cx.now());
        }
    }

    fn record_finish(&mut self, route: &Route, outcome: &RequestOutcome, cx: &Context) {
        if let Some(slot) = slot_of(route) {
            let health = self.health.entry(slot.clone()).or_default();
            health.record_finish(outcome, cx.now());
        }
    }
}

fn route_to(candidate: Candidate, cx: &Context) -> Result<Route, Refusal> {
    let slot = candidate.slot;
    if candidate.dispatcher == cx.me().node {
        let address = candidate.address;
        let address =
            address.ok_or_else(|| not_ready_refusal("the upstream's address is not known yet"))?;
        return Ok(Route::Local { slot, address });
    }
    let members = cx.members();
    let node = members.alive_node(&candidate.dispatcher).cloned();
    let node =
        node.ok_or_else(|| not_ready_refusal("the upstream's dispatcher is not alive: retry"))?;
    Ok(Route::Peer { slot, node })
}

fn slot_of(route: &Route) -> Option<&Slot> {
    match route {
        Route::Local { slot, .. } | Route::Peer { slot, .. } => Some(slot),
        Route::Domain { .. } => None,
    }
}

fn slot_name(slot: &Slot) -> &str {
    match slot {
        Slot::Group(group) => group.as_str(),
        Slot::Service(upstream) => upstream.as_str(),
    }
}

/// Returns the time to the first byte above which a slot is a straggler: a multiple of the median.
fn straggler_bound(candidates: &[Candidate], factor: u32) -> Duration {
    let means = candidates.iter().filter_map(|c| c.mean_first_byte);
    let mut means: Vec<Duration> = means.collect();
    means.sort_unstable();
    let median = means.get(means.len().saturating_sub(1) / 2).copied();
    median.map_or(Duration::MAX, |median| median * factor)
}

fn not_ready_refusal(message: impl Into<String>) -> Refusal {
    Refusal::new(RefusalKind::NoUpstream, Ran::No, message).retry_after(RETRY_NOT_READY)
}

fn full_refusal() -> Refusal {
    let message = "every upstream for this call is full: retry later";
    Refusal::new(RefusalKind::Overloaded, Ran::No, message).retry_after(RETRY_FULL)
}

fn no_candidate_refusal(query: &RouteQuery<'_>) -> Refusal {
    if query.tried.is_empty() {
        return not_ready_refusal("no upstream for this call is ready: retry later");
    }
    let message = "all upstreams that may serve this call were tried: retry later";
    Refusal::new(RefusalKind::Overloaded, Ran::No, message).retry_after(RETRY_FULL)
}
