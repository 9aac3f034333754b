//! Groups of VMs: which VMs form them, orders to their engines, and what these report.
//!
//! Each failure domain has one [`Placement`](shallottide_types::placement::Placement) in the
//! platform. The node that holds the controller lease plans it ([`PlacementPlanner`]) and swaps it;
//! all nodes of the domain learn it from one watcher and from each other.

mod alive_nodes;
mod controller;
mod controller_lease;
mod group_options;
mod group_service;
mod member_index;
mod order_book;
mod parts;
mod placement_copy;
mod placement_store;
mod planner;

mod report_book;
mod slow_members;
mod vm_directory;

pub use group_options::GroupOptions;
pub use group_service::GroupService;
pub use planner::{PlacementPlanner, PlanInput};
pub use shallottide_types::rendezvous;
