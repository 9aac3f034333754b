//! HTTP client of the platform's key-value store and VM list.

mod consul_platform;
mod http_call;
mod platform_options;
mod wire;

pub use consul_platform::ConsulPlatform;
pub use platform_options::{PlatformOptions, PlatformOptionsError};
