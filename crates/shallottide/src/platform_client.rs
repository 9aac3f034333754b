//! The platform's key-value service and VM list over HTTP.

mod consul_platform;
mod http_call;
mod platform_options;
mod wire;

pub use consul_platform::ConsulPlatform;
pub use platform_options::{PlatformOptions, PlatformOptionsError};
