//! Groups of engines: which upstreams form them, and the orders that bring that about.
//!
//! One node of each failure domain is its [`Controller`]. It plans from the [`ClusterView`] alone, so a
//! new steward needs nothing from its predecessor but a higher epoch.

mod controller;
mod controller_options;
mod demand;
mod load_rate_limiter;
mod order;
mod planner;

pub use controller::{Action, Controller, EngineCounts};
pub use controller_options::ControllerOptions;
pub use demand::{Demand, DemandReport};
pub use load_rate_limiter::LoadRateLimiter;
pub use order::Order;
pub use planner::{
    Candidate, PlannedGroup, PlannedLoads, ServingGroup, Standing, Swap, Warmth, choose_group,
    choose_loads, choose_stage, choose_swap,
};

use crate::upstream::{GroupState, Upstream};
use crate::view::ClusterView;

/// Tells whether no member of a head's group is known to have left it.
///
/// A member without an entry says nothing: it may serve while it can't reach the store.
#[must_use]
pub fn is_whole(head: &Upstream, view: &ClusterView) -> bool {
    let Some(membership) = &head.membership else {
        return false;
    };
    let Some(members) = view.formations.get(&membership.formation) else {
        return true;
    };
    members.values().all(|id| {
        view.upstreams.get(id).is_none_or(|known| {
            known.upstream.membership.as_ref().is_some_and(|m| {
                m.formation == membership.formation
                    && matches!(m.state, GroupState::Ready | GroupState::Open)
            })
        })
    })
}
