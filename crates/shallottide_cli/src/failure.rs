//! Errors of commands.

use std::path::PathBuf;

use shallottide::platform_client::PlatformOptionsError;
use shallottide_types::platform::PlatformError;
use shallottide_types::record::RecordError;

use crate::exit::Exit;

/// Reason why a command failed.
#[derive(Debug, thiserror::Error)]
pub(crate) enum Failure {
    /// A file can't be read.
    #[error("{path}: {source}: check the name and the file's permissions", path = path.display())]
    File {
        path: PathBuf,
        source: std::io::Error,
    },
    /// The settings file can't be parsed.
    #[error(
        "settings {path}: {message}\nallowed keys: platform = [\"http://HOST:PORT\"], nodes = [\"IP:PORT\"], operator = \"NAME\", token = \"TEXT\", platform_token = \"TEXT\", settle_timeout = \"10s\"",
        path = path.display()
    )]
    Settings {
        path: PathBuf,
        /// Description of the fault, with its key and value.
        message: String,
    },
    /// A platform address in the settings is invalid.
    #[error("settings {path}: {source}", path = path.display())]
    PlatformAddress {
        path: PathBuf,
        source: PlatformOptionsError,
    },
    /// The settings name no operator.
    #[error("settings {path}: no operator: add operator = \"YOUR-NAME\"", path = path.display())]
    NoOperator { path: PathBuf },
    /// A record is not valid.
    #[error("{path}: {source}", path = path.display())]
    Record { path: PathBuf, source: RecordError },
    /// The demo failed.
    #[error("demo: {0}")]
    Demo(#[from] shallottide_demo::DemoError),
    /// An argument is not valid.
    #[error("{0}")]
    Argument(String),
    /// The requested record does not exist. Holds its store key.
    #[error("no record {0}: run `shallottide list` to see the stored records")]
    Missing(String),
    /// The platform could not be read.
    #[error(transparent)]
    Platform(#[from] PlatformError),
    /// The platform failed and nothing was written.
    #[error("nothing was written: {0}")]
    NotWritten(PlatformError),
}

impl Failure {
    pub(crate) fn exit(&self) -> Exit {
        match self {
            Self::Platform(_) | Self::NotWritten(_) => Exit::PlatformUnreachable,
            _ => Exit::BadInput,
        }
    }

    /// Creates a [`Failure::Argument`] from an error about an argument.
    pub(crate) fn argument(error: impl std::fmt::Display) -> Self {
        Self::Argument(error.to_string())
    }
}
