//! The platform's key-value service and VM list.
//!
//! [`MemoryPlatform`] runs in process; [`PlatformServer`] serves it over HTTP.

mod call_counts;
mod memory_platform;
mod platform_faults;
mod platform_options;
mod platform_server;
mod rate_limiter;
mod rest;
mod store;
mod vm_list;

pub use call_counts::{CallCounts, CallKind};
pub use memory_platform::{MemoryPlatform, PlatformCopy};
pub use platform_faults::PlatformFaults;
pub use platform_options::PlatformOptions;
pub use platform_server::PlatformServer;
pub use rest::PlatformControl;
