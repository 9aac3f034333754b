//! Names under which services and adapters are registered with the kernel.

use std::fmt;

/// Address of a service or adapter within one kernel.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Name(pub &'static str);

impl fmt::Display for Name {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.0)
    }
}

/// Service: configuration records in force.
pub const CONFIG: Name = Name("config");
/// Service: cluster membership of entry VMs and the loads they report.
pub const MEMBERS: Name = Name("members");
/// Service: forms groups of VMs, assigns dispatchers and sends orders to engines.
pub const GROUPS: Name = Name("groups");
/// Service: authenticates callers by mapping their keys to teams.
pub const AUTH: Name = Name("auth");
/// Service: runs callers' requests.
pub const CALLS: Name = Name("calls");
/// Service: claims idempotency keys.
pub const CLAIMS: Name = Name("claims");
/// Service: builds the status page for operators.
pub const STATUS: Name = Name("status");
/// Service: sends gauges to the metrics server.
pub const GAUGES: Name = Name("gauges");
/// Adapter: connections from callers.
pub const FRONT: Name = Name("front");
/// Adapter: connections to and from other entry VMs.
pub const PEERS: Name = Name("peers");
/// Adapter: runs attempts on upstreams.
pub const UPSTREAMS: Name = Name("upstreams");
/// Adapter: sends orders to engines and reads their reports.
pub const ENGINES: Name = Name("engines");
/// Adapter: calls to the platform's key-value service and VM list.
pub const PLATFORM: Name = Name("platform");
/// Adapter: connections from operators.
pub const OPERATORS: Name = Name("operators");
