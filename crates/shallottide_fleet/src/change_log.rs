//! Recent changes that altered a node's view, for nodes that follow it.

use std::collections::BTreeMap;

use shallottide_types::id::StoreIndex;

use crate::view::Change;

/// Most changes that are kept; enough for some minutes when the store changes slowly.
const MAX_CHANGES: usize = 1_024;

/// Changes by the store revision that they bring a view to.
#[derive(Debug, Clone, Default)]
pub struct ChangeLog {
    /// All changes after this revision are kept.
    complete_after: StoreIndex,
    batches: BTreeMap<StoreIndex, Vec<Change>>,
    /// The number of changes over all batches.
    kept: usize,
}

impl ChangeLog {
    /// Drops all changes, as the view was replaced as a whole.
    pub fn reset(&mut self, index: StoreIndex) {
        *self = Self {
            complete_after: index,
            ..Self::default()
        };
    }

    /// Adds the changes that brought the view to a revision.
    pub fn push(&mut self, index: StoreIndex, changes: Vec<Change>) {
        if changes.is_empty() {
            return;
        }
        if changes.iter().any(is_catalog) {
            self.drop_catalogs();
        }
        self.kept += changes.len();
        self.batches.entry(index).or_default().extend(changes);
        while self.kept > MAX_CHANGES {
            let Some((index, dropped)) = self.batches.pop_first() else {
                break;
            };
            self.kept -= dropped.len();
            self.complete_after = index;
        }
    }

    /// Returns all changes after a revision, or `None` when some are no longer kept.
    #[must_use]
    pub fn since(&self, index: StoreIndex) -> Option<Vec<Change>> {
        (index >= self.complete_after).then(|| {
            let later = self.batches.range(index.next()..);
            later.flat_map(|(_, changes)| changes).cloned().collect()
        })
    }

    /// Returns whether a follower at a revision lacks any changes.
    #[must_use]
    pub fn has_updates(&self, index: StoreIndex) -> bool {
        let last = self.batches.last_key_value();
        index < self.complete_after || last.is_some_and(|(last, _)| *last > index)
    }

    /// Drops configurations that a newer one replaces: they are large, and only the newest counts.
    fn drop_catalogs(&mut self) {
        for changes in self.batches.values_mut() {
            changes.retain(|change| !is_catalog(change));
        }
        self.batches.retain(|_, changes| !changes.is_empty());
        self.kept = self.batches.values().map(Vec::len).sum();
    }
}

fn is_catalog(change: &Change) -> bool {
    matches!(change, Change::Catalog(_))
}
