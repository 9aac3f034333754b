//! Stand-ins for the platform, model engines and plain services.
//!
//! Tests and the demo use them in place of the real ones; the daemon never depends on them.
//!
//! - [`platform`]: the key-value service and VM list, in process or over HTTP.

pub mod platform;
