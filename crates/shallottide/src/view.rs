//! Views that one service publishes and all others read.

mod config_view;
mod fleet_view;
mod member_view;
mod placement_view;

pub use config_view::ConfigView;
pub use fleet_view::{FleetView, TimedReport};
pub use member_view::{DispatcherLoad, MemberView, NodeState};
pub use placement_view::PlacementView;
