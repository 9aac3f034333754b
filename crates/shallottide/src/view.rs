//! Read-only snapshots, each published by one service and read by all others.

mod config_view;
mod engine_view;
mod member_view;
mod placement_view;

pub use config_view::ConfigView;
pub use engine_view::{EngineView, TimedReport};
pub use member_view::{DispatcherLoad, MemberView, NodeState};
pub use placement_view::PlacementView;
