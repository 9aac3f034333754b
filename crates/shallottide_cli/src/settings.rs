//! Where the platform and the entry nodes are, and who the operator is.

use std::fmt;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use serde::Deserialize;
use shallottide::operate::WriteOptions;
use shallottide::platform_client::{ConsulPlatform, PlatformOptions};
use shallottide_types::duration_text;
use shallottide_types::id::OperatorId;

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
    pub(crate) token: Token,
    /// The file itself.
    #[serde(skip)]
    path: PathBuf,
}

/// A bearer token, which is never printed.
#[derive(Clone, Default, Deserialize)]
#[serde(transparent)]
pub(crate) struct Token(String);

impl Token {
    /// Returns the value of the `Authorization` header, if there is a token.
    pub(crate) fn header(&self) -> Option<String> {
        (!self.0.is_empty()).then(|| format!("Bearer {}", self.0))
    }
}

impl fmt::Debug for Token {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Token(..)")
    }
}

/// Names the line, and shows it unless it may hold the token.
fn error_text(text: &str, error: &toml::de::Error) -> String {
    let message = error.message();
    let Some(span) = error.span() else {
        return message.into();
    };
    let before = text.get(..span.start).unwrap_or(text);
    let number = before.matches('\n').count();
    let line = text.lines().nth(number).unwrap_or_default();
    let shown = if line.contains("token") {
        "token"
    } else {
        line
    };
    format!("line {}: {shown}: {message}", number + 1)
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
            message: error_text(&text, &e),
        })?;
        Ok(Self { path, ..settings })
    }

    /// Creates the platform client.
    pub(crate) fn platform(&self) -> Result<ConsulPlatform, Failure> {
        let options = PlatformOptions::default().addresses(self.platform.iter().cloned());
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
