//! Settings of one entry VM.

use std::net::SocketAddr;
use std::time::Duration;

use compact_str::CompactString;
use serde::Deserialize;
use shallottide_types::duration_text;
use shallottide_types::id::{DomainId, NodeId, RegionId};
use shallottide_types::record::KeyHash;
use shallottide_types::secret::Secret;

use super::Limits;

/// Settings of one entry VM, as read from TOML.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct NodeSettings {
    /// Id of this node, unique among all entry VMs.
    pub node: NodeId,
    /// Failure domain of this node.
    pub failure_domain: DomainId,
    /// Region of this node.
    pub region: RegionId,
    /// Listening address for callers.
    pub callers: SocketAddr,
    /// Listening address for other entry VMs.
    pub peers: SocketAddr,
    /// Listening address for operators.
    pub operators: SocketAddr,
    /// Base addresses of the platform, such as `http://10.0.0.1:8500`. At least one.
    pub platform: Vec<String>,
    /// Access token of the platform; empty if the platform requires none.
    #[serde(default)]
    pub platform_token: Secret,
    /// Secret shared by all entry VMs, at least 16 characters.
    pub peer_key: Secret,
    /// SHA-256 hashes of the operators' tokens. At least one.
    pub operator_tokens: Vec<KeyHash>,
    /// Addresses of peers to contact at the start, besides those that the platform lists.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// Limits on callers.
    #[serde(default)]
    pub limits: Limits,
    /// Destination and filter of logs.
    #[serde(default)]
    pub log: LogSettings,
    /// Destination of metrics.
    #[serde(default)]
    pub metrics: MetricsSettings,
    /// Timing of a graceful stop.
    #[serde(default)]
    pub stop: StopSettings,
}

/// Destination and filter of logs.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LogSettings {
    /// Filter such as `info` or `shallottide=debug`.
    pub filter: CompactString,
    /// File to append to; standard error if absent.
    pub file: Option<String>,
}

impl Default for LogSettings {
    fn default() -> Self {
        Self {
            filter: "info".into(),
            file: None,
        }
    }
}

/// Destination of metrics.
#[derive(Debug, Clone, Default, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct MetricsSettings {
    /// UDP address of a statsd server; no metrics are sent if absent.
    pub statsd: Option<SocketAddr>,
}

/// Timing of a graceful stop.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct StopSettings {
    /// Time from the readiness probe turning 503 until listeners close, in which the load balancer
    /// is to notice.
    #[serde(with = "duration_text")]
    pub notice: Duration,
    /// Longest wait for calls in flight to finish.
    #[serde(with = "duration_text")]
    pub deadline: Duration,
}

impl Default for StopSettings {
    fn default() -> Self {
        Self {
            notice: Duration::from_secs(5),
            deadline: Duration::from_mins(3),
        }
    }
}
