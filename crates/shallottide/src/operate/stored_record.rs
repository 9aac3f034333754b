//! Stored records, valid or not.

use std::time::Duration;

use shallottide_types::id::StoreIndex;
use shallottide_types::platform::{Platform, PlatformError};
use shallottide_types::record::{Document, Record, RecordError, RecordKind};

use crate::view::ConfigView;

/// One stored record.
#[derive(Debug, Clone)]
pub struct StoredRecord {
    /// Platform key.
    pub key: String,
    /// Store index of its last change.
    pub index: StoreIndex,
    /// The document and the record in its newest schema, or why they can't be read.
    pub content: Result<(Document, Record), RecordError>,
}

/// Reads all records, or those of one kind.
///
/// # Errors
/// Any [`PlatformError`].
pub fn stored_records(
    platform: &dyn Platform,
    kind: Option<RecordKind>,
) -> Result<Vec<StoredRecord>, PlatformError> {
    let prefix = kind.map_or(Document::KEY_PREFIX.into(), |kind| kind.store_key(""));
    let listing = platform.list(&prefix, None, Duration::ZERO)?;
    let record = |entry: shallottide_types::platform::Entry| StoredRecord {
        content: parse(&entry.value),
        key: entry.key,
        index: entry.index,
    };
    Ok(listing.entries.into_iter().map(record).collect())
}

/// Collects the valid records into a view.
#[must_use]
pub fn records_in_force(stored: &[StoredRecord]) -> ConfigView {
    let mut view = ConfigView::default();
    for record in stored {
        view.index = view.index.max(record.index);
        if let Ok((_, record)) = &record.content {
            view.insert(record.clone());
        }
    }
    view
}

fn parse(value: &[u8]) -> Result<(Document, Record), RecordError> {
    let document = Document::from_json(value)?;
    let record = Record::from_document(&document)?;
    Ok((document, record))
}
