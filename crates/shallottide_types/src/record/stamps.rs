//! Stamps: the fields of a document that identify the change that wrote it.
//!
//! Readers accept any value in these fields, so that a record stays valid whatever another
//! program wrote there.

use serde_json::Value;

use super::{Document, RecordError};
use crate::id::{ChangeId, OperatorId, Revision};

/// Maximum number of changes that a document lists.
const MAX_RECENT_CHANGES: usize = 8;

impl Document {
    /// Name of the field with the ids of the latest changes, newest last.
    pub const RECENT_CHANGES: &'static str = "recent_changes";

    /// All fields that a write sets automatically.
    pub(super) const STAMPS: [&'static str; 4] = [
        Self::REVISION,
        Self::CHANGE,
        Self::OPERATOR,
        Self::RECENT_CHANGES,
    ];

    /// Returns the valid ids among the latest changes, newest last.
    #[must_use]
    pub fn recent_changes(&self) -> Vec<ChangeId> {
        let listed = self.fields.get(Self::RECENT_CHANGES);
        listed
            .and_then(Value::as_array)
            .into_iter()
            .flatten()
            .filter_map(|id| id.as_str()?.parse().ok())
            .collect()
    }

    /// Sets the stamps for a change that writes this document over `stored`, and returns the new
    /// revision.
    ///
    /// # Errors
    /// [`RecordError::Range`] when the revision has its maximum value.
    pub fn stamp(
        &mut self,
        stored: Option<&Self>,
        change: &ChangeId,
        operator: &OperatorId,
    ) -> Result<Revision, RecordError> {
        let before = stored.map_or(Revision(0), Self::revision);
        let revision = before.0.checked_add(1).map(Revision);
        let revision = revision.ok_or(RecordError::Range {
            kind: self.kind()?,
            field: Self::REVISION,
            remedy: "it is at its highest: delete the record and write it again".into(),
        })?;
        let mut recent = stored.map(Self::recent_changes).unwrap_or_default();
        recent.push(change.clone());
        let old = recent.len().saturating_sub(MAX_RECENT_CHANGES);
        let recent: Vec<_> = recent[old..].iter().map(ChangeId::as_str).collect();
        self.set(Self::RECENT_CHANGES, recent);
        self.set(Self::REVISION, revision.0);
        self.set(Self::CHANGE, change.as_str());
        self.set(Self::OPERATOR, operator.as_str());
        Ok(revision)
    }

    /// Returns whether two documents are equal apart from their stamps.
    #[must_use]
    pub fn has_same_content(&self, other: &Self) -> bool {
        self.without_stamps() == other.without_stamps()
    }

    /// Returns the document without its stamps.
    #[must_use]
    pub fn without_stamps(&self) -> Self {
        let mut document = self.clone();
        for stamp in Self::STAMPS {
            document.fields.remove(stamp);
        }
        document
    }
}
