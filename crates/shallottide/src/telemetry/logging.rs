//! Initializes logging as JSON lines.

use std::fs::OpenOptions;
use std::sync::Mutex;

use tracing_subscriber::EnvFilter;
use tracing_subscriber::fmt::writer::BoxMakeWriter;

use crate::settings::LogSettings;

/// Why logging can't be initialized.
#[derive(Debug, thiserror::Error)]
pub enum LoggingError {
    /// The filter can't be parsed.
    #[error("log.filter {filter:?} is not valid ({source}): write a level such as \"info\"")]
    Filter {
        /// Filter from the settings.
        filter: String,
        /// Error of the parser.
        source: tracing_subscriber::filter::ParseError,
    },
    /// The file can't be opened.
    #[error("log.file {file:?} can't be opened ({source}): check the path and its permissions")]
    File {
        /// Path from the settings.
        file: String,
        /// Error of the operating system.
        source: std::io::Error,
    },
}

/// Writes all logs of this process, including panics, as JSON lines to a file or standard error.
///
/// Keeps an already installed logger.
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
    // A second node in the same process uses the logger of the first.
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
