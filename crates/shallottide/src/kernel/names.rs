//! The names under which services and borders are registered.

use std::fmt;

/// The name of a service or border.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Name(pub &'static str);

impl fmt::Display for Name {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.0)
    }
}

/// Service: the operators' records in force.
pub const CONFIG: Name = Name("config");
/// Service: the entry VMs and their loads.
pub const MEMBERS: Name = Name("members");
/// Service: groups of VMs, dispatchers, orders to engines.
pub const GROUPS: Name = Name("groups");
/// Service: teams of callers' keys.
pub const AUTH: Name = Name("auth");
/// Service: callers' requests.
pub const CALLS: Name = Name("calls");
/// Service: claims of idempotency keys.
pub const CLAIMS: Name = Name("claims");
/// Service: the operators' status page.
pub const STATUS: Name = Name("status");
/// Service: gauges for the operators' metrics.
pub const GAUGES: Name = Name("gauges");
/// Border: connections from callers.
pub const FRONT: Name = Name("front");
/// Border: connections to and from entry VMs.
pub const PEERS: Name = Name("peers");
/// Border: calls to upstreams.
pub const UPSTREAMS: Name = Name("upstreams");
/// Border: orders to and reports from engines.
pub const ENGINES: Name = Name("engines");
/// Border: the platform's service.
pub const PLATFORM: Name = Name("platform");
/// Border: the operators' port.
pub const OPERATORS: Name = Name("operators");
