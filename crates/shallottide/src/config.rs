//! Configuration records: read from the platform, disseminated between nodes and put in force.

mod backoff;
mod config_options;
mod config_service;
mod live_records;
mod platform_watch;
mod record_replicator;
mod record_store;

pub(crate) use backoff::Backoff;
pub use config_options::ConfigOptions;
pub use config_service::ConfigService;
pub use live_records::LiveRecords;
pub use record_store::{ApplyOutcome, RecordStore};
