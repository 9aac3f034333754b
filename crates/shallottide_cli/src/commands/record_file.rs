//! Record files.

use std::path::{Path, PathBuf};

use shallottide_types::record::{Document, Record};

use crate::failure::Failure;

/// A valid record and the file that it was read from.
pub(super) struct RecordFile {
    pub(super) path: PathBuf,
    pub(super) document: Document,
    pub(super) record: Record,
}

impl RecordFile {
    /// Reads and validates a TOML file.
    pub(super) fn read(path: &Path) -> Result<Self, Failure> {
        let text = std::fs::read_to_string(path).map_err(|source| Failure::File {
            path: path.to_owned(),
            source,
        })?;
        let invalid = |source| Failure::Record {
            path: path.to_owned(),
            source,
        };
        let document = Document::from_toml(&text).map_err(invalid)?;
        let record = Record::from_document(&document).map_err(invalid)?;
        Ok(Self {
            path: path.to_owned(),
            document,
            record,
        })
    }

    /// Reads all files, or returns the first error.
    pub(super) fn read_all(paths: &[PathBuf]) -> Result<Vec<Self>, Failure> {
        if paths.is_empty() {
            return Err(Failure::argument("no file is named: name record files"));
        }
        paths.iter().map(|path| Self::read(path)).collect()
    }
}
