//! Sets up logs as JSON lines.

use std::fs::OpenOptions;
use std::sync::Mutex;

use tracing_subscriber::EnvFilter;
use tracing_subscriber::fmt::writer::BoxMakeWriter;

use crate::settings::LogSettings;

/// Why logs can't be set up.
#[derive(Debug, thiserror::Error)]
pub enum LoggingError {
    /// The filter can't be read.
    #[error("log.filter {filter:?} is not valid ({source}): write a level such as \"info\"")]
    Filter {
        /// The filter.
        filter: String,
        /// What is wrong.
        source: tracing_subscriber::filter::ParseError,
    },
    /// The file can't be opened.
    #[error("log.file {file:?} can't be opened ({source}): check the path and its permissions")]
    File {
        /// The file.
        file: String,
        /// What the system said.
        source: std::io::Error,
    },
}

/// Sends all logs of this process, panics too, as JSON lines to a file or standard error.
///
/// Does nothing when logs were set up before.
///
/// # Errors
/// [`LoggingError`] naming the setting and the remedy.
pub fn init_logging(settings: &LogSettings) -> Result<(), LoggingError> {
    let filter = EnvFilter::try_new(&settings.filter).map_err(|source| LoggingError::Filter {
        filter: settings.filter.to_string(),
        source,
    })?;
    let subscriber = tracing_subscriber::fmt()
        .json()
        .flatten_event(true)
        .with_env_filter(filter)
        .with_writer(writer(settings)?)
        .finish();
    // A second node in the same process keeps the first one's logs.
    let _ = tracing::subscriber::set_global_default(subscriber);
    std::panic::set_hook(Box::new(|panic| tracing::error!(%panic, "thread panicked")));
    Ok(())
}

fn writer(settings: &LogSettings) -> Result<BoxMakeWriter, LoggingError> {
    let Some(file) = &settings.file else {
        return Ok(BoxMakeWriter::new(std::io::stderr));
    };
    let opened = OpenOptions::new().create(true).append(true).open(file);
    let opened = opened.map_err(|source| LoggingError::File {
        file: file.clone(),
        source,
    })?;
    Ok(BoxMakeWriter::new(Mutex::new(opened)))
}
