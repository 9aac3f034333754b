//! Which upstream a call goes to.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use shallottide_types::call::CallHead;
use shallottide_types::id::DomainId;
use shallottide_types::peer::{NodeInfo, Slot};
use shallottide_types::refusal::Refusal;

use crate::admission::RequestOutcome;
use crate::kernel::Context;

mod candidate;
mod other_domains;
mod routing_options;
mod slot_health;
mod slot_router;
mod traffic;
mod upstream_rules;

pub use routing_options::RoutingOptions;
pub use slot_router::SlotRouter;

/// Chooses where a call goes.
pub trait Router {
    /// Chooses a slot, and who dispatches to it.
    ///
    /// # Errors
    /// A refusal with `Ran::No` when no upstream may serve the call.
    fn route(&mut self, query: &RouteQuery<'_>, cx: &Context) -> Result<Route, Refusal>;

    /// Learns that a call was sent along a route.
    fn record_start(&mut self, route: &Route, cx: &Context);

    /// Learns how a call went that was sent along a route.
    fn record_finish(&mut self, route: &Route, finished: &RequestOutcome, cx: &Context);
}

/// What a route is wanted for.
#[derive(Debug, Clone, Copy)]
pub struct RouteQuery<'a> {
    /// The call.
    pub head: &'a CallHead,
    /// A peer's choice, when the call was forwarded here; only that slot will do.
    pub forwarded_slot: Option<&'a Slot>,
    /// Slots that already refused or failed this call.
    pub tried: &'a BTreeSet<Slot>,
    /// Failure domains that already refused or failed this call as a whole.
    pub tried_domains: &'a BTreeSet<DomainId>,
    /// Whether the call was forwarded here and must stay in this failure domain.
    pub own_domain_only: bool,
}

/// Where a call goes.
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
    /// Another failure domain is asked to choose.
    Domain {
        /// A node of that failure domain.
        node: NodeInfo,
    },
}
