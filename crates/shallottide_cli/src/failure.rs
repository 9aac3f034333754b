//! Why a command could not do its work.

use std::path::PathBuf;

use shallottide::platform_client::PlatformOptionsError;
use shallottide_types::platform::PlatformError;
use shallottide_types::record::RecordError;

use crate::exit::Exit;

/// Why a command could not do its work.
#[derive(Debug, thiserror::Error)]
pub(crate) enum Failure {
    /// A file can't be read.
    #[error("{path}: {source}: check the name and the file's permissions", path = path.display())]
    File {
        /// The file.
        path: PathBuf,
        /// Why.
        source: std::io::Error,
    },
    /// A file holds no settings.
    #[error(
        "settings {path}: {message}\nallowed keys: platform = [\"http://HOST:PORT\"], nodes = [\"IP:PORT\"], operator = \"NAME\", token = \"TEXT\", platform_token = \"TEXT\", settle_timeout = \"10s\"",
        path = path.display()
    )]
    Settings {
        /// The file.
        path: PathBuf,
        /// What is wrong, naming key and value.
        message: String,
    },
    /// A platform address of the settings can't be used.
    #[error("settings {path}: {source}", path = path.display())]
    PlatformAddress {
        /// The file.
        path: PathBuf,
        /// What is wrong.
        source: PlatformOptionsError,
    },
    /// The settings name no operator.
    #[error("settings {path} have no operator: add operator = \"YOUR-NAME\"", path = path.display())]
    NoOperator {
        /// The file.
        path: PathBuf,
    },
    /// A record is not valid.
    #[error("{path}: {source}", path = path.display())]
    Record {
        /// The file.
        path: PathBuf,
        /// What is wrong.
        source: RecordError,
    },
    /// The demo failed.
    #[error("demo: {0}")]
    Demo(#[from] shallottide_demo::DemoError),
    /// An argument is not valid.
    #[error("{0}")]
    Argument(String),
    /// There is no such record.
    #[error("no record {0}: see `shallottide list` for those there are")]
    Missing(String),
    /// The platform could not be read.
    #[error(transparent)]
    Platform(#[from] PlatformError),
    /// The platform could not be written to.
    #[error("nothing was written: {0}")]
    NotWritten(PlatformError),
}

impl Failure {
    /// Returns the exit code.
    pub(crate) fn exit(&self) -> Exit {
        match self {
            Self::Platform(_) | Self::NotWritten(_) => Exit::PlatformUnreachable,
            _ => Exit::BadInput,
        }
    }

    /// Wraps an error of one argument.
    pub(crate) fn argument(error: impl std::fmt::Display) -> Self {
        Self::Argument(error.to_string())
    }
}
