//! Groups of engines: which upstreams form them, and the orders sent to the engines.
//!
//! One node per failure domain runs its [`Controller`]. It plans from the [`ClusterView`] alone, so
//! a new controller needs no state of the previous one, only a higher epoch.

mod allocation;
mod controller;
mod controller_options;
mod demand;
mod demand_forecast;
mod formation_planner;
mod load_rate_limiter;
mod order;
mod scarcity;

pub use allocation::choose_groups;
pub use controller::{Action, Controller, EngineCounts};
pub use controller_options::ControllerOptions;
pub use demand::{Demand, DemandReport};
pub use demand_forecast::{MAX_REPORTED_MODELS, RECENT_DEMAND_VERSION, RecentDemandReport};
pub use formation_planner::{
    Candidate, PlannedGroup, PlannedLoads, ServingGroup, Standing, Swap, Warmth, choose_loads,
    choose_stage, choose_swap,
};
pub use load_rate_limiter::LoadRateLimiter;
pub use order::Order;
pub use scarcity::{choose_early_swap, choose_scarce_stage, choose_valuable_loads, scarcest_first};

use crate::upstream::{GroupState, Upstream};
use crate::view::ClusterView;

/// Returns whether no member of the head's group is known to have left it.
///
/// A missing entry does not count as leaving: the member may serve while it can't reach the store.
#[must_use]
pub fn has_all_members(head: &Upstream, view: &ClusterView) -> bool {
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
