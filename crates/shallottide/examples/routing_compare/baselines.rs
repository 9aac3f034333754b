//! Baseline routing policies.

use std::collections::BTreeMap;

use shallottide::admission::RequestOutcome;
use shallottide::groups::rendezvous;
use shallottide::kernel::Context;
use shallottide::routing::{Route, RouteQuery, Router};
use shallottide_types::peer::{NodeInfo, Slot};
use shallottide_types::refusal::{Ran, Refusal, RefusalKind};

use super::{GROUPS, slot};

/// Chooses groups in turn.
pub(super) struct RoundRobin {
    pub(super) next: usize,
    pub(super) dispatcher: NodeInfo,
}

impl Router for RoundRobin {
    fn route(&mut self, query: &RouteQuery<'_>, _: &Context) -> Result<Route, Refusal> {
        for _ in 0..GROUPS {
            self.next = (self.next + 1) % GROUPS;
            if !query.tried.contains(&slot(self.next)) {
                return Ok(peer_route(slot(self.next), &self.dispatcher));
            }
        }
        Err(overloaded())
    }

    fn record_start(&mut self, _: &Route, _: &Context) {}

    fn record_finish(&mut self, _: &Route, _: &RequestOutcome, _: &Context) {}
}

/// Chooses the group with the fewest requests in flight from this node.
pub(super) struct LeastInFlight {
    pub(super) in_flight: BTreeMap<Slot, u32>,
    pub(super) dispatcher: NodeInfo,
}

impl Router for LeastInFlight {
    fn route(&mut self, query: &RouteQuery<'_>, _: &Context) -> Result<Route, Refusal> {
        let key = rendezvous::hash(query.head.id.as_str());
        let open = (0..GROUPS)
            .map(slot)
            .filter(|slot| !query.tried.contains(slot));
        let least = open.min_by_key(|slot| {
            let count = self.in_flight.get(slot).copied().unwrap_or(0);
            (count, rendezvous::weight(key, &format!("{slot:?}")))
        });
        least
            .map(|slot| peer_route(slot, &self.dispatcher))
            .ok_or_else(overloaded)
    }

    fn record_start(&mut self, route: &Route, _: &Context) {
        if let Route::Peer { slot, .. } = route {
            *self.in_flight.entry(slot.clone()).or_default() += 1;
        }
    }

    fn record_finish(&mut self, route: &Route, _: &RequestOutcome, _: &Context) {
        if let Route::Peer { slot, .. } = route {
            *self.in_flight.entry(slot.clone()).or_default() -= 1;
        }
    }
}

pub(super) fn peer_route(slot: Slot, dispatcher: &NodeInfo) -> Route {
    let node = dispatcher.clone();
    Route::Peer { slot, node }
}

pub(super) fn overloaded() -> Refusal {
    Refusal::new(RefusalKind::Overloaded, Ran::No, "full")
}
