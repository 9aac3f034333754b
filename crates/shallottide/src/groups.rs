//! Formation of VM groups: placement planning, orders to engines, and engine reports.
//!
//! Each failure domain has one [`Placement`](shallottide_types::placement::Placement) in the
//! platform. The node that holds the controller lease plans it ([`PlacementPlanner`]) and
//! writes it with compare-and-swap. One node watches it at the platform; the others receive it
//! from their peers.

mod alive_nodes;
mod controller;
mod controller_lease;
mod group_options;
mod group_service;
mod member_index;
mod order_tracker;
mod peer_vm_lists;
mod placement_copy;
mod placement_planner;
mod placement_store;
mod report_tracker;
mod slow_members;
mod vm_directory;

pub use group_options::GroupOptions;
pub use group_service::GroupService;
pub use placement_planner::{PlacementPlanner, PlanInput};
pub use shallottide_types::rendezvous;
