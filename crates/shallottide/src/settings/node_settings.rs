//! Everything one entry VM is told by its settings file.

use std::net::SocketAddr;
use std::time::Duration;

use compact_str::CompactString;
use serde::Deserialize;
use shallottide_types::duration_text;
use shallottide_types::id::{DomainId, NodeId, RegionId};
use shallottide_types::record::KeyHash;
use shallottide_types::secret::Secret;

use super::Limits;

/// One entry VM's settings, as read from TOML.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct NodeSettings {
    /// This node's id, unique over all entry VMs.
    pub node: NodeId,
    /// Its failure domain.
    pub failure_domain: DomainId,
    /// Its region.
    pub region: RegionId,
    /// Address that callers connect to.
    pub callers: SocketAddr,
    /// Address that other entry VMs connect to.
    pub peers: SocketAddr,
    /// Address that operators connect to.
    pub operators: SocketAddr,
    /// Base addresses of the platform, such as `http://10.0.0.1:8500`. At least one.
    pub platform: Vec<String>,
    /// Access token of the platform, when it asks for one.
    #[serde(default)]
    pub platform_token: Secret,
    /// Secret shared by all entry VMs, at least 16 characters.
    pub peer_key: Secret,
    /// SHA-256 hashes of the operators' tokens. At least one.
    pub operator_tokens: Vec<KeyHash>,
    /// Peer addresses to try at the start besides those the platform lists.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// Bounds on callers.
    #[serde(default)]
    pub limits: Limits,
    /// Where logs go.
    #[serde(default)]
    pub log: LogSettings,
    /// Where metrics go.
    #[serde(default)]
    pub metrics: MetricsSettings,
    /// How a planned stop goes.
    #[serde(default)]
    pub stop: StopSettings,
}

/// Where logs go.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LogSettings {
    /// Filter such as `info` or `shallottide=debug`.
    pub filter: CompactString,
    /// File to append to; standard error when absent.
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

/// Where metrics go.
#[derive(Debug, Clone, Default, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct MetricsSettings {
    /// UDP address of a statsd server; no metrics are sent when absent.
    pub statsd: Option<SocketAddr>,
}

/// How a planned stop goes.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct StopSettings {
    /// Time from readiness turning 503 until listeners close, for the balancer to notice.
    #[serde(with = "duration_text")]
    pub notice: Duration,
    /// Longest time for calls in flight to end.
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
