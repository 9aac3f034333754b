//! Slots of this failure domain that may serve a call, and their estimated load.

use std::net::SocketAddr;
use std::time::Duration;

use shallottide_types::call::{CallHead, Target};
use shallottide_types::id::NodeId;
use shallottide_types::peer::Slot;
use shallottide_types::record::{Generation, UpstreamState};

use super::upstream_rules::{self, UpstreamRules};
use super::{RoutingOptions, slot_health::SlotHealth};
use crate::kernel::Context;

/// Load of a slot at its limit; loads are compared in thousandths of the limit.
pub(super) const FULL_LOAD: u64 = 1000;

/// A slot that may serve a call.
#[derive(Debug, Clone)]
pub(super) struct Candidate {
    pub(super) slot: Slot,
    pub(super) dispatcher: NodeId,
    /// Address of its rank-0 engine or its server, when known here.
    pub(super) address: Option<SocketAddr>,
    /// Whether the slot is of the generation that is preferred for the call.
    pub(super) is_preferred_generation: bool,
    /// Requests in flight by the latest count, including this call, in thousandths of the limit.
    pub(super) load: u64,
    /// Whether a recent summary of its dispatcher shows no free permit.
    pub(super) is_full: bool,
    /// Whether the slot is in back-off after failures.
    pub(super) is_avoided: bool,
    pub(super) mean_first_byte: Option<Duration>,
}

/// A slot whose readiness and load have not been evaluated yet.
#[derive(Debug)]
pub(super) struct PlacedSlot {
    pub(super) slot: Slot,
    address: Option<SocketAddr>,
    generation: Generation,
    cold_limit: u32,
    full_limit: u32,
}

/// Returns the slots of this failure domain that serve a call's target and are not leaving.
pub(super) fn placed_slots(head: &CallHead, cx: &Context) -> Vec<PlacedSlot> {
    let config = cx.config();
    let me = cx.me();
    let name = upstream_rules::target_name(&head.target);
    let upstreams = config.upstreams.values().filter(|record| {
        record.failure_domain == me.domain
            && record.service.as_str() == name
            && record.state == UpstreamState::Serving
    });
    let mut slots: Vec<PlacedSlot> = upstreams
        .map(|record| PlacedSlot {
            slot: Slot::Service(record.id.clone()),
            address: Some(record.address),
            generation: record.generation,
            cold_limit: record.cold_limit,
            full_limit: record.full_limit,
        })
        .collect();
    if let Target::Model(_) = &head.target {
        slots.extend(placed_groups(head, cx));
    }
    slots
}

fn placed_groups(head: &CallHead, cx: &Context) -> Vec<PlacedSlot> {
    let Target::Model(model) = &head.target else {
        return Vec::new();
    };
    let (config, placement, engines) = (cx.config(), cx.placement(), cx.engines());
    let record = config.models.get(model);
    let domain_placement = placement.domains.get(&cx.me().domain);
    let (Some(record), Some(domain_placement)) = (record, domain_placement) else {
        return Vec::new();
    };
    let groups = domain_placement
        .groups
        .iter()
        .filter(|(_, g)| g.model == *model);
    let leaving = |vm| engines.vms.get(vm).is_some_and(|vm| vm.leaving);
    groups
        .filter(|(_, group)| !group.members.iter().any(leaving))
        .map(|(id, group)| PlacedSlot {
            slot: Slot::Group(id.clone()),
            address: group
                .members
                .first()
                .and_then(|vm| engines.vms.get(vm))
                .map(|vm| vm.address),
            generation: Generation::New,
            cold_limit: record.cold_limit,
            full_limit: record.full_limit,
        })
        .collect()
}

impl PlacedSlot {
    /// Evaluates the slot's readiness and load; `None` if it can't serve now.
    pub(super) fn candidate(
        self,
        rules: UpstreamRules,
        health: Option<&SlotHealth>,
        options: &RoutingOptions,
        cx: &Context,
    ) -> Option<Candidate> {
        let is_preferred_generation = rules.preference(self.generation)?;
        let me = cx.me();
        let placement = cx.placement();
        let dispatcher = placement.dispatcher(&me.domain, &self.slot)?.clone();
        let is_local = dispatcher == me.node;
        if is_local && (self.address.is_none() || !self.is_complete(cx)) {
            return None;
        }
        if !is_local && cx.members().alive_node(&dispatcher).is_none() {
            return None;
        }
        let (in_flight, limit, is_recent) = self.load_and_limit(is_local, health, options, cx)?;
        let now = cx.now();
        Some(Candidate {
            load: (u64::from(in_flight) + 1) * FULL_LOAD / u64::from(limit.max(1)),
            is_full: is_recent && in_flight >= limit,
            is_avoided: health.is_some_and(|health| health.is_avoided(options, now)),
            mean_first_byte: health.and_then(SlotHealth::mean_first_byte),
            slot: self.slot,
            address: self.address,
            dispatcher,
            is_preferred_generation,
        })
    }

    fn is_complete(&self, cx: &Context) -> bool {
        let Slot::Group(id) = &self.slot else {
            return true;
        };
        let placement = cx.placement();
        let group = placement.domains.get(&cx.me().domain);
        let group = group.and_then(|placed| placed.groups.get(id));
        group.is_some_and(|group| cx.engines().is_complete(group, cx.now()))
    }

    /// Returns the requests in flight, the limit, and whether the dispatcher recently reported
    /// both; `None` if the dispatcher reports that the slot may not serve.
    fn load_and_limit(
        &self,
        is_local: bool,
        health: Option<&SlotHealth>,
        options: &RoutingOptions,
        cx: &Context,
    ) -> Option<(u32, u32, bool)> {
        let own = health.map_or(0, SlotHealth::in_flight);
        let members = cx.members();
        let placement = cx.placement();
        let dispatcher = placement.dispatcher(&cx.me().domain, &self.slot);
        let load = members.loads.get(&self.slot);
        let now = cx.now();
        let load = load.filter(|load| {
            let age = now.saturating_duration_since(load.received_at);
            Some(&load.node) == dispatcher && age < options.stale_after
        });
        let Some(load) = load else {
            // No recent summary: assume only the cold limit.
            return Some((own, self.cold_limit.min(self.full_limit), false));
        };
        if is_local {
            // All calls of the slot pass through this router, so its own count is used.
            let limit = load.load.limit.max(self.cold_limit);
            return Some((own, limit, false));
        }
        if load.load.limit == 0 {
            return None;
        }
        let counted = load.load.in_flight;
        let estimate = health.map_or(counted, |h| h.extrapolate(counted, load.received_at));
        Some((estimate.max(own), load.load.limit, true))
    }
}
