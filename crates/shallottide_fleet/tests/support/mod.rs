//! Test support: sample catalogs and upstreams, and simulated engines that carry out orders.

#![allow(dead_code, unused_imports, reason = "each test file uses a part")]

mod claim_store;
mod crashing_parts;
mod cut_scenario;
mod cut_simulation;
mod engines;
mod first_events;
mod limited_upstreams;
mod node_links;
mod restored_store;
mod sample;
mod sim_seeds;

pub(crate) use claim_store::{ClaimDay, GrantedTime, claim_nodes};
pub(crate) use crashing_parts::{Disturbance, Scenario, Simulation};
pub(crate) use cut_scenario::{
    CutOutcome, CutScenario, LinkFailure, SimConnectionFailure, SimService, large_service, ms,
    small_service,
};
pub(crate) use cut_simulation::play_cut;
pub(crate) use engines::{Engines, Faults, options};
pub(crate) use first_events::{Fleet, SLOTS, kind, median};
pub(crate) use limited_upstreams::{LimitScenario, NodeFault, play_limits};
pub(crate) use restored_store::RestoredDay;
pub(crate) use sample::{
    catalog, engine_upstream, id, lease, member, node_options, plain_upstream, view_of,
};
pub(crate) use sim_seeds::sim_seeds;
