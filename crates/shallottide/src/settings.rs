//! The daemon's settings file: its contents and validation.

mod limits;
mod loader;
mod node_settings;
mod toml_error_text;

pub use limits::Limits;
pub use loader::{SettingsError, load};
pub use node_settings::{LogSettings, MetricsSettings, NodeSettings, StopSettings};
pub use toml_error_text::toml_error_text;
