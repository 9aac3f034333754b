//! Position in the history of the platform's store.

use std::fmt;
use std::num::ParseIntError;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

use crate::id::StoreEra;

/// Low bits of a [`StoreIndex`], which hold the store's own index.
const REVISION_BITS: u32 = 48;
/// Mask of these bits.
const REVISION_MASK: u64 = (1 << REVISION_BITS) - 1;

/// Position in the history of the platform's store: its era in the high bits, and in the low ones the
/// index that it gave to a change.
///
/// Later changes have higher positions, even though a store that was restored from an older copy gives
/// its indexes out again. A store that states no era stays in era 0, where positions equal its indexes.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct StoreIndex(pub u64);

impl StoreIndex {
    /// Returns the position of the store's index `revision` in an era.
    ///
    /// Revisions have up to 48 bits, eras up to 16.
    #[must_use]
    pub const fn new(era: StoreEra, revision: u64) -> Self {
        Self((era.0 << REVISION_BITS) | (revision & REVISION_MASK))
    }

    /// Returns the era.
    #[must_use]
    pub fn era(self) -> StoreEra {
        StoreEra(self.0 >> REVISION_BITS)
    }

    /// Returns the store's own index, which calls to the store take.
    #[must_use]
    pub fn revision(self) -> u64 {
        self.0 & REVISION_MASK
    }

    /// Returns the position that follows this one in its era.
    #[must_use]
    pub fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

/// Writes the store's index; behind `ERA.` if the store states eras.
impl fmt::Display for StoreIndex {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let era = self.era();
        if era != StoreEra(0) {
            write!(f, "{era}.")?;
        }
        self.revision().fmt(f)
    }
}

impl FromStr for StoreIndex {
    type Err = ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let (era, revision) = text.split_once('.').unwrap_or(("0", text));
        Ok(Self::new(era.parse()?, revision.parse()?))
    }
}
