//! Chooses the least loaded slot, with care for prefix caches and stragglers.

use std::collections::BTreeMap;
use std::time::Duration;

use shallottide_types::peer::Slot;
use shallottide_types::refusal::{Ran, Refusal, RefusalKind};

use super::candidate::{Candidate, FULL, placed_slots};
use super::slot_health::SlotHealth;
use super::upstream_rules::{self, UpstreamRules};
use super::{Route, RouteQuery, Router, RoutingOptions, other_domains};
use crate::admission::Finished;
use crate::groups::rendezvous;
use crate::kernel::Context;

/// When a caller may try again after a refusal because all slots are full.
const RETRY_FULL: Duration = Duration::from_millis(500);

/// When a caller may try again after a refusal because no slot is ready.
const RETRY_NOT_READY: Duration = Duration::from_secs(2);

/// Routes calls over the slots of this failure domain, and to others where records allow.
#[derive(Debug)]
pub struct SlotRouter {
    options: RoutingOptions,
    health: BTreeMap<Slot, SlotHealth>,
}

impl SlotRouter {
    /// Creates a router that has sent nothing yet.
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
        let open = placed.filter(|placed| !query.tried.contains(&placed.slot));
        let candidates = open.filter_map(|placed| {
            let health = self.health.get(&placed.slot);
            placed.candidate(rules, health, &self.options, cx)
        });
        candidates.collect()
    }

    /// Returns the best of the candidates: of the wanted generation, not avoided, least loaded.
    fn best(&self, query: &RouteQuery<'_>, candidates: &[Candidate]) -> Option<Candidate> {
        let bound = straggler_bound(candidates, self.options.straggler_factor);
        let class = |c: &Candidate| {
            let straggler = c.usual_first_byte.is_some_and(|usual| usual > bound);
            (!c.wanted, c.full, c.avoided, straggler)
        };
        let first = candidates.iter().map(class).min()?;
        let equals = candidates.iter().filter(|c| class(c) == first);
        let equals: Vec<&Candidate> = equals.collect();
        let mut sample = equals.clone();
        let call = rendezvous::hash(query.head.id.as_str());
        rendezvous::sort(call, &mut sample, |c| name(&c.slot));
        // All nodes see the same summaries: the least loaded of all would be flooded by all.
        sample.truncate(self.options.choices);
        let least = sample.into_iter().min_by_key(|c| c.load)?;
        let preferred = query.head.prefix.and_then(|prefix| {
            let weight = |c: &&&Candidate| rendezvous::weight(prefix, name(&c.slot));
            equals.iter().max_by_key(weight)
        });
        let slack = FULL * u64::from(self.options.affinity_slack_percent) / 100;
        let near = |c: &&&Candidate| c.load <= least.load + slack && c.load <= FULL;
        Some(preferred.filter(near).copied().unwrap_or(least).clone())
    }

    /// Answers a peer's choice: that slot or nothing.
    fn chosen(
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
            None => Err(not_ready("the chosen upstream is not ready here: retry")),
        }
    }

    /// Turns to another failure domain, or refuses.
    fn elsewhere(
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
            return Self::elsewhere(query, rules, not_ready(message), cx);
        }
        if let Some(slot) = query.chosen {
            return self.chosen(slot, query, rules, cx);
        }
        let candidates = self.candidates(query, rules, cx);
        let Some(best) = self.best(query, &candidates) else {
            let refusal = none_left(query);
            return Self::elsewhere(query, rules, refusal, cx);
        };
        if best.full && query.tried.len() >= self.options.full_tries {
            return Self::elsewhere(query, rules, full(), cx);
        }
        route_to(best, cx)
    }

    fn started(&mut self, route: &Route, cx: &Context) {
        if let Some(slot) = slot_of(route) {
            let health = self.health.entry(slot.clone()).or_default();
            health.started(cx.now());
        }
    }

    fn finished(&mut self, route: &Route, finished: &Finished, cx: &Context) {
        if let Some(slot) = slot_of(route) {
            let health = self.health.entry(slot.clone()).or_default();
            health.finished(finished, cx.now());
        }
    }
}

fn route_to(candidate: Candidate, cx: &Context) -> Result<Route, Refusal> {
    let slot = candidate.slot;
    if candidate.dispatcher == cx.me().node {
        let address = candidate.address;
        let address =
            address.ok_or_else(|| not_ready("the upstream's address is not known yet"))?;
        return Ok(Route::Local { slot, address });
    }
    let members = cx.members();
    let node = members.alive_node(&candidate.dispatcher).cloned();
    let node = node.ok_or_else(|| not_ready("the upstream's dispatcher is not alive: retry"))?;
    Ok(Route::Peer { slot, node })
}

fn slot_of(route: &Route) -> Option<&Slot> {
    match route {
        Route::Local { slot, .. } | Route::Peer { slot, .. } => Some(slot),
        Route::Domain { .. } => None,
    }
}

fn name(slot: &Slot) -> &str {
    match slot {
        Slot::Group(group) => group.as_str(),
        Slot::Service(upstream) => upstream.as_str(),
    }
}

/// Returns the first-byte time above which a slot is a straggler: a multiple of the median.
fn straggler_bound(candidates: &[Candidate], factor: u32) -> Duration {
    let usual = candidates.iter().filter_map(|c| c.usual_first_byte);
    let mut usual: Vec<Duration> = usual.collect();
    usual.sort_unstable();
    let median = usual.get(usual.len().saturating_sub(1) / 2).copied();
    median.map_or(Duration::MAX, |median| median * factor)
}

fn not_ready(message: impl Into<String>) -> Refusal {
    Refusal::new(RefusalKind::NoUpstream, Ran::No, message).retry_after(RETRY_NOT_READY)
}

fn full() -> Refusal {
    let message = "every upstream for this call is full: retry later";
    Refusal::new(RefusalKind::Overloaded, Ran::No, message).retry_after(RETRY_FULL)
}

fn none_left(query: &RouteQuery<'_>) -> Refusal {
    if query.tried.is_empty() {
        return not_ready("no upstream for this call is ready: retry later");
    }
    let message = "all upstreams that may serve this call were tried: retry later";
    Refusal::new(RefusalKind::Overloaded, Ran::No, message).retry_after(RETRY_FULL)
}
