//! The records in force, read from their stored form.

use std::collections::BTreeMap;

use shallottide_types::id::StoreIndex;
use shallottide_types::peer::RecordCopy;
use shallottide_types::record::{Document, Record, RecordError};

use crate::view::ConfigView;

/// The last good form of each record.
#[derive(Debug, Clone, Default)]
pub struct LiveRecords {
    records: BTreeMap<String, Record>,
    invalid: BTreeMap<String, String>,
}

/// Why a stored document can't be used.
#[derive(Debug, thiserror::Error)]
enum LiveError {
    #[error(transparent)]
    Record(#[from] RecordError),
    #[error("document names itself {0:?}: store it under that key or correct its kind and id")]
    OtherKey(String),
}

impl LiveRecords {
    /// Puts one stored copy in force; an unusable one leaves the last good one in force.
    pub fn apply(&mut self, copy: &RecordCopy) {
        self.invalid.remove(&copy.key);
        let Some(value) = &copy.value else {
            self.records.remove(&copy.key);
            return;
        };
        match read(&copy.key, value) {
            Ok(record) => drop(self.records.insert(copy.key.clone(), record)),
            Err(error) => {
                tracing::warn!(key = copy.key, index = %copy.index, %error, "record not in force");
                self.invalid.insert(copy.key.clone(), error.to_string());
            }
        }
    }

    /// Builds the view of all records in force.
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

fn read(key: &str, value: &[u8]) -> Result<Record, LiveError> {
    let record = Record::from_document(&Document::from_json(value)?)?;
    let own_key = record.store_key();
    if own_key != key {
        return Err(LiveError::OtherKey(own_key));
    }
    Ok(record)
}
