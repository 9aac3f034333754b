//! Outcomes of operators' changes.

use std::fmt;

use shallottide_types::data;
use shallottide_types::id::{ChangeId, OperatorId, Revision, StoreIndex};
use shallottide_types::record::{Document, RecordError};

/// The outcome of an operator's change.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Outcome {
    /// The change was written, exactly once.
    Applied(Applied),
    /// The stored record already has this content; nothing was written.
    Unchanged {
        /// Stored revision.
        revision: Revision,
        /// Store index of the record.
        index: StoreIndex,
    },
    /// Another change was written first; this one was not written and won't be.
    Conflict(Conflict),
    /// It is unknown whether the change was written, and it may still be.
    Unclear(Unclear),
    /// The record is not valid; nothing was written.
    Refused(RecordError),
    /// The record to change doesn't exist; nothing was written.
    Missing {
        /// Platform key of the record.
        key: String,
    },
}

data! {
    /// A change that was written.
    pub struct Applied {
        /// Revision that the change wrote.
        pub revision: Revision,
        /// Store index at which the change is in force; absent when it could not be read.
        pub index: Option<StoreIndex>,
        /// The latest change, if another change was already written after this one.
        pub superseded: Option<Stamp>,
    }

    /// The origin of a stored record's revision.
    pub struct Stamp {
        /// The revision.
        pub revision: Revision,
        /// The operator who wrote it, if the record says so.
        pub operator: Option<OperatorId>,
        /// The change that wrote it, if the record says so.
        pub change: Option<ChangeId>,
    }
}

/// Another change was written first.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{}: read the record, then apply again", conflict_text(self))]
pub struct Conflict {
    /// Platform key.
    pub key: String,
    /// Revision that the change was made for.
    pub expected: Revision,
    /// The stored revision; absent if there is none or it could not be read.
    pub stored: Option<Stamp>,
}

/// A change whose result could not be read back.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error(
    "change {change} may have been written, or may still be: apply it again with this change id, which writes it at most once"
)]
pub struct Unclear {
    /// Platform key.
    pub key: String,
    /// The change; the record lists it in `recent_changes` once it is written.
    pub change: ChangeId,
}

impl Stamp {
    /// Returns the stamp of a stored document.
    #[must_use]
    pub fn of(document: &Document) -> Self {
        Self {
            revision: document.revision(),
            operator: document.operator(),
            change: document.change(),
        }
    }
}

impl fmt::Display for Stamp {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            revision,
            operator,
            change,
        } = self;
        match change {
            Some(change) => write!(f, "change {change}")?,
            None => f.write_str("a change without id")?,
        }
        if let Some(operator) = operator {
            write!(f, " of operator {operator}")?;
        }
        write!(f, " (revision {revision})")
    }
}

fn conflict_text(conflict: &Conflict) -> String {
    let expected = conflict.expected;
    match &conflict.stored {
        Some(stamp) => {
            format!("{stamp} came before this one, which was made for revision {expected}")
        }
        None => format!("the record is not at revision {expected}, which this change was made for"),
    }
}
