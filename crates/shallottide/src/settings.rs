//! The daemon's settings file: what it holds and how it is checked.

mod limits;
mod loader;
mod node_settings;

pub use limits::Limits;
pub use loader::{SettingsError, load};
pub use node_settings::{LogSettings, MetricsSettings, NodeSettings, StopSettings};
