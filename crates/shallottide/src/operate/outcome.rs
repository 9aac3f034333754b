//! What became of an operator's change.

use std::fmt;

use shallottide_types::data;
use shallottide_types::id::{ChangeId, OperatorId, Revision, StoreIndex};
use shallottide_types::record::{Document, RecordError};

/// What became of an operator's change.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Outcome {
    /// It was written, once.
    Applied(Applied),
    /// The stored record says the same already; nothing was written.
    Unchanged {
        /// Stored revision.
        revision: Revision,
        /// Store index of the record.
        index: StoreIndex,
    },
    /// Another change was first; this one was not written and won't be.
    Conflict(Conflict),
    /// It may have been written, or may still be.
    Unclear(Unclear),
    /// The record is not valid; nothing was written.
    Refused(RecordError),
    /// There is no such record to change; nothing was written.
    Missing {
        /// Platform key looked at.
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
        /// A later change that went over it already.
        pub superseded: Option<Stamp>,
    }

    /// Who wrote a stored record.
    pub struct Stamp {
        /// Revision written.
        pub revision: Revision,
        /// The operator, if the record says so.
        pub operator: Option<OperatorId>,
        /// The change, if the record says so.
        pub change: Option<ChangeId>,
    }
}

/// Another change was first.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{}: read the record, then apply again", conflict_text(self))]
pub struct Conflict {
    /// Platform key.
    pub key: String,
    /// Revision that the change was made for.
    pub expected: Revision,
    /// What is stored; absent when it could not be read or nothing is.
    pub stored: Option<Stamp>,
}

/// A change whose fate could not be read back.
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
    /// Reads who wrote a document.
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
