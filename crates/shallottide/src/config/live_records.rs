//! The records in force, parsed from their stored documents.

use std::collections::BTreeMap;

use shallottide_types::id::StoreIndex;
use shallottide_types::peer::RecordCopy;
use shallottide_types::record::{Document, Record, RecordError};

use crate::view::ConfigView;

/// Last valid version of each record.
#[derive(Debug, Clone, Default)]
pub struct LiveRecords {
    /// Last valid version by store key.
    records: BTreeMap<String, Record>,
    /// Why the latest document can't be used, by store key.
    invalid: BTreeMap<String, String>,
}

/// Why a stored document can't be put in force.
#[derive(Debug, thiserror::Error)]
enum DocumentError {
    #[error(transparent)]
    Record(#[from] RecordError),
    #[error("document belongs under the key {0:?}: store it there or correct its kind and id")]
    KeyMismatch(String),
}

impl LiveRecords {
    /// Puts a record or its deletion in force; if the document is invalid, the last valid version
    /// stays in force.
    pub fn apply(&mut self, copy: &RecordCopy) {
        self.invalid.remove(&copy.key);
        let Some(value) = &copy.value else {
            self.records.remove(&copy.key);
            return;
        };
        match parse(&copy.key, value) {
            Ok(record) => drop(self.records.insert(copy.key.clone(), record)),
            Err(error) => {
                tracing::warn!(key = copy.key, index = %copy.index, %error, "record not in force");
                self.invalid.insert(copy.key.clone(), error.to_string());
            }
        }
    }

    /// Builds the view of all records in force as of the store index `index`.
    #[must_use]
    pub fn view(&self, index: StoreIndex) -> ConfigView {
        let mut view = ConfigView {
            index,
            invalid: self.invalid.clone(),
            ..ConfigView::default()
        };
        for record in self.records.values() {
            view.insert(record.clone());
        }
        view
    }
}

fn parse(key: &str, value: &[u8]) -> Result<Record, DocumentError> {
    let record = Record::from_document(&Document::from_json(value)?)?;
    let own_key = record.store_key();
    if own_key != key {
        return Err(DocumentError::KeyMismatch(own_key));
    }
    Ok(record)
}
