//! Stand-ins for the platform, model engines and plain services.
//!
//! Tests and the demo use them in place of the real ones; the daemon never depends on them.
//!
//! - [`engine`]: a member of a group of VMs.
//! - [`http`]: where a stand-in listens.
//! - [`platform`]: the key-value service and VM list, in process or over HTTP.
//! - [`service`]: a server of a plain service.
//! - [`wire`]: a stretch of network that can fail.

mod planned;

pub mod engine;
pub mod http;
pub mod platform;
pub mod service;
pub mod wire;
