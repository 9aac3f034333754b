//! A write whose result is read back from the store.

use shallottide_types::id::{ChangeId, Revision, StoreIndex};
use shallottide_types::platform::{Entry, Precondition};
use shallottide_types::record::Document;

use super::outcome::{Applied, Stamp};

/// A compare-and-swap write, and the version that it replaces.
#[derive(Debug)]
pub(super) struct PendingWrite {
    pub(super) key: String,
    pub(super) value: Vec<u8>,
    pub(super) change: ChangeId,
    /// Store index of the replaced version; absent for a new record.
    pub(super) base_index: Option<StoreIndex>,
    /// Replaced revision; 0 for a new record. The write sets the next one.
    pub(super) base_revision: Revision,
}

/// State of a write, as far as the stored record shows it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum WriteState {
    /// The stored record is unchanged: the write has not taken effect, but still may.
    Pending,
    /// The write took effect.
    Applied(Applied),
    /// Another change replaced the base revision: the write did not take effect and can't any more.
    Conflicted(Stamp),
    /// The record changed, and no longer shows whether the write took effect.
    Unknown(Option<Stamp>),
}

impl PendingWrite {
    pub(super) fn expect(&self) -> Precondition {
        self.base_index
            .map_or(Precondition::Absent, Precondition::Index)
    }

    pub(super) fn revision(&self) -> Revision {
        self.base_revision.next()
    }

    /// Determines the state of the write from the stored entry.
    pub(super) fn state(&self, entry: Option<&Entry>) -> WriteState {
        if entry.map(|entry| entry.index) == self.base_index {
            return WriteState::Pending;
        }
        let Some(entry) = entry else {
            return WriteState::Unknown(None);
        };
        let Ok(document) = Document::from_json(&entry.value) else {
            return WriteState::Unknown(None);
        };
        if let Some(applied) = find_applied(&document, entry.index, &self.change) {
            return WriteState::Applied(applied);
        }
        if self.has_full_history(&document) {
            WriteState::Conflicted(Stamp::of(&document))
        } else {
            WriteState::Unknown(Some(Stamp::of(&document)))
        }
    }

    /// Returns whether a document lists every change since the base revision.
    fn has_full_history(&self, document: &Document) -> bool {
        let newer = document.revision().0.checked_sub(self.base_revision.0);
        let listed = document.recent_changes().len() as u64;
        // The next revision needs no list: this write would have had that revision itself.
        newer.is_some_and(|newer| newer == 1 || (newer > 1 && newer <= listed))
    }
}

/// Finds a change among the `recent_changes` of a stored document.
pub(super) fn find_applied(
    document: &Document,
    index: StoreIndex,
    change: &ChangeId,
) -> Option<Applied> {
    let recent = document.recent_changes();
    let position = recent.iter().rposition(|listed| listed == change)?;
    let later = (recent.len() - 1 - position) as u64;
    let revision = Revision(document.revision().0.saturating_sub(later));
    Some(Applied {
        revision,
        index: Some(index),
        superseded: (later > 0).then(|| Stamp::of(document)),
    })
}
