//! Settings file: addresses of the platform and of entry nodes, access tokens, the operator.

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

/// Settings file that is read if `--settings` is not given.
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
    /// Recorded in every change; only commands that write need it.
    operator: Option<OperatorId>,
    /// How long to try to find out the outcome of a write whose answer was lost.
    #[serde(default = "default_settle_timeout", with = "duration_text")]
    settle_timeout: Duration,
    /// Bearer token of the operators' ports.
    #[serde(default)]
    pub(crate) token: Secret,
    /// Access token of the platform.
    #[serde(default)]
    platform_token: Secret,
    /// Path of this file, for error messages.
    #[serde(skip)]
    path: PathBuf,
}

fn default_settle_timeout() -> Duration {
    WriteOptions::default().settle_timeout
}

impl Settings {
    /// Reads the settings from `path`, or from `shallottide.toml` in the working directory.
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

    /// Creates a client for the platform's addresses.
    pub(crate) fn platform(&self) -> Result<ConsulPlatform, Failure> {
        let options = PlatformOptions::default()
            .addresses(self.platform.iter().cloned())
            .token(self.platform_token.clone());
        ConsulPlatform::new(options).map_err(|source| Failure::PlatformAddress {
            path: self.path.clone(),
            source,
        })
    }

    /// Returns the options of writers on the platform.
    pub(crate) fn write_options(&self) -> WriteOptions {
        WriteOptions {
            settle_timeout: self.settle_timeout,
            ..WriteOptions::default()
        }
    }

    /// Returns the operator, or an error if the settings name none.
    pub(crate) fn operator(&self) -> Result<OperatorId, Failure> {
        self.operator.clone().ok_or_else(|| Failure::NoOperator {
            path: self.path.clone(),
        })
    }
}
