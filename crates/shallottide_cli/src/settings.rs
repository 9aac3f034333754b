//! Where the platform and the entry nodes are, and who the operator is.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use serde::Deserialize;
use shallottide::operate::WriteOptions;
use shallottide::platform_client::{ConsulPlatform, PlatformOptions};
use shallottide::settings::toml_error_text;
use shallottide_types::duration_text;
use shallottide_types::id::OperatorId;
use shallottide_types::secret::Secret;

use crate::failure::Failure;

/// Settings file read when none is named.
const DEFAULT_PATH: &str = "shallottide.toml";

/// The settings file.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Settings {
    /// Base addresses of the platform.
    platform: Vec<String>,
    /// Operators' ports of entry nodes, at least one for each failure domain.
    #[serde(default)]
    pub(crate) nodes: Vec<SocketAddr>,
    /// Who writes changes.
    operator: Option<OperatorId>,
    /// How long a write whose answer was lost is followed.
    #[serde(default = "default_settle_timeout", with = "duration_text")]
    settle_timeout: Duration,
    /// Bearer token of the operators' ports.
    #[serde(default)]
    pub(crate) token: Secret,
    /// Access token of the platform.
    #[serde(default)]
    platform_token: Secret,
    /// The file itself.
    #[serde(skip)]
    path: PathBuf,
}

fn default_settle_timeout() -> Duration {
    WriteOptions::default().settle_timeout
}

impl Settings {
    /// Reads the named file, or the usual one.
    pub(crate) fn read(path: Option<&Path>) -> Result<Self, Failure> {
        let path = path.unwrap_or(Path::new(DEFAULT_PATH)).to_owned();
        let text = std::fs::read_to_string(&path).map_err(|source| Failure::File {
            path: path.clone(),
            source,
        })?;
        let settings = toml::from_str::<Self>(&text).map_err(|e| Failure::Settings {
            path: path.clone(),
            message: toml_error_text(&text, &e),
        })?;
        Ok(Self { path, ..settings })
    }

    /// Creates the platform client.
    pub(crate) fn platform(&self) -> Result<ConsulPlatform, Failure> {
        let options = PlatformOptions::default()
            .addresses(self.platform.iter().cloned())
            .token(self.platform_token.clone());
        ConsulPlatform::new(options).map_err(|source| Failure::PlatformAddress {
            path: self.path.clone(),
            source,
        })
    }

    /// Returns how writes are followed.
    pub(crate) fn write_options(&self) -> WriteOptions {
        WriteOptions {
            settle_timeout: self.settle_timeout,
            ..WriteOptions::default()
        }
    }

    /// Returns the operator, whom every change needs.
    pub(crate) fn operator(&self) -> Result<OperatorId, Failure> {
        self.operator.clone().ok_or_else(|| Failure::NoOperator {
            path: self.path.clone(),
        })
    }
}
