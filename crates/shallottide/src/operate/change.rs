//! One change that an operator asks for.

use shallottide_types::data;
use shallottide_types::id::{ChangeId, OperatorId, Revision};

data! {
    /// One change that an operator asks for.
    pub struct Change {
        /// Finds the change again. Invariant: unique; a repeat of the same change keeps it.
        pub id: ChangeId,
        /// Who asks.
        pub operator: OperatorId,
        /// Revision that the change was made for; 0 for a record that doesn't exist.
        pub if_revision: Option<Revision>,
    }
}

impl Change {
    /// Creates a change that goes over whichever revision is stored.
    #[must_use]
    pub fn new(id: ChangeId, operator: OperatorId) -> Self {
        Self {
            id,
            operator,
            if_revision: None,
        }
    }

    /// Lets the change take effect only over one revision.
    #[must_use]
    pub fn if_revision(mut self, revision: Option<Revision>) -> Self {
        self.if_revision = revision;
        self
    }
}
