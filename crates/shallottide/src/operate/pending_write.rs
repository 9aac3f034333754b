//! A write whose fate is read back from the store.

use shallottide_types::id::{ChangeId, Revision, StoreIndex};
use shallottide_types::platform::{Entry, Precondition};
use shallottide_types::record::Document;

use super::outcome::{Applied, Stamp};

/// A write by compare-and-swap, and what it replaces.
#[derive(Debug)]
pub(super) struct PendingWrite {
    pub(super) key: String,
    pub(super) value: Vec<u8>,
    pub(super) change: ChangeId,
    /// Store index replaced; absent for a new record.
    pub(super) base_index: Option<StoreIndex>,
    /// Revision replaced; 0 for a new record. The write sets the next one.
    pub(super) base_revision: Revision,
}

/// What the store says about a write.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum Fate {
    /// The store is as before: the write has not taken effect, but may still be on its way.
    Open,
    /// The write took effect.
    Landed(Applied),
    /// Another write took its place; this one never took effect and can't any more.
    Beaten(Stamp),
    /// The store has changed so far that nothing can be told.
    Untraceable(Option<Stamp>),
}

impl PendingWrite {
    pub(super) fn expect(&self) -> Precondition {
        self.base_index
            .map_or(Precondition::Absent, Precondition::Index)
    }

    pub(super) fn revision(&self) -> Revision {
        self.base_revision.next()
    }

    /// Tells the write's fate from what is stored now.
    pub(super) fn fate(&self, entry: Option<&Entry>) -> Fate {
        if entry.map(|entry| entry.index) == self.base_index {
            return Fate::Open;
        }
        let Some(entry) = entry else {
            return Fate::Untraceable(None);
        };
        let Ok(document) = Document::from_json(&entry.value) else {
            return Fate::Untraceable(None);
        };
        if let Some(applied) = landed(&document, entry.index, &self.change) {
            return Fate::Landed(applied);
        }
        if self.is_covered_by(&document) {
            Fate::Beaten(Stamp::of(&document))
        } else {
            Fate::Untraceable(Some(Stamp::of(&document)))
        }
    }

    /// Tells whether a document lists every change since the base.
    fn is_covered_by(&self, document: &Document) -> bool {
        let newer = document.revision().0.checked_sub(self.base_revision.0);
        let listed = document.recent_changes().len() as u64;
        // A direct successor needs no list: it stands where this write would stand.
        newer.is_some_and(|newer| newer == 1 || (newer > 1 && newer <= listed))
    }
}

/// Finds a change among the latest ones of a stored document.
pub(super) fn landed(document: &Document, index: StoreIndex, change: &ChangeId) -> Option<Applied> {
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
