//! Stand-ins for the platform, model engines and plain services.
//!
//! Tests and the demo use them in place of the real systems; the daemon never depends on them.
//!
//! - [`engine`]: a member of a group of VMs.
//! - [`fault_proxy`]: a TCP proxy that a test can partition, freeze or close.
//! - [`http`]: listening address and connection limit of a stand-in.
//! - [`platform`]: the key-value service and VM list, in process or over HTTP.
//! - [`service`]: a server of a plain service.

mod fault_counter;

pub mod engine;
pub mod fault_proxy;
pub mod http;
pub mod platform;
pub mod service;
