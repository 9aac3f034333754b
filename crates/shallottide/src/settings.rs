//! The daemon's settings file: what it holds and how it is checked.

mod limits;
mod loader;
mod node_settings;
mod toml_error_text;

pub use limits::Limits;
pub use loader::{SettingsError, load};
pub use node_settings::{LogSettings, MetricsSettings, NodeSettings, StopSettings};
pub use toml_error_text::toml_error_text;
