//! Routing: chooses the upstream of each call.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use shallottide_types::call::CallHead;
use shallottide_types::id::DomainId;
use shallottide_types::peer::{NodeInfo, Slot};
use shallottide_types::refusal::Refusal;

use crate::admission::RequestOutcome;
use crate::kernel::Context;

mod candidate;
mod generations;
mod other_domains;
mod routing_options;
mod slot_health;
mod slot_router;
mod upstream_rules;

pub use routing_options::RoutingOptions;
pub use slot_router::SlotRouter;

/// Chooses the route of each call.
pub trait Router {
    /// Chooses a slot and the node that dispatches to it.
    ///
    /// # Errors
    /// A refusal with `Ran::No` when no upstream may serve the call.
    fn route(&mut self, query: &RouteQuery<'_>, cx: &Context) -> Result<Route, Refusal>;

    /// Records that a call was sent along a route.
    fn record_start(&mut self, route: &Route, cx: &Context);

    /// Records the outcome of a call that was sent along a route.
    fn record_finish(&mut self, route: &Route, outcome: &RequestOutcome, cx: &Context);
}

/// A call and the constraints on its route.
#[derive(Debug, Clone, Copy)]
pub struct RouteQuery<'a> {
    /// The call.
    pub head: &'a CallHead,
    /// Slot that a peer chose before it forwarded the call to this node; no other slot may be used.
    pub forwarded_slot: Option<&'a Slot>,
    /// Slots that already refused or failed this call.
    pub tried: &'a BTreeSet<Slot>,
    /// Failure domains that already refused or failed this call as a whole.
    pub tried_domains: &'a BTreeSet<DomainId>,
    /// Whether the call was forwarded here and must stay in this failure domain.
    pub own_domain_only: bool,
}

/// Route of a call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Route {
    /// This node dispatches to the slot.
    Local {
        /// The slot.
        slot: Slot,
        /// Address of its rank-0 engine or its server.
        address: SocketAddr,
    },
    /// Another node of this failure domain dispatches to the slot.
    Peer {
        /// The slot.
        slot: Slot,
        /// Its dispatcher.
        node: NodeInfo,
    },
    /// Another failure domain chooses the slot.
    Domain {
        /// A node of that failure domain.
        node: NodeInfo,
    },
}
