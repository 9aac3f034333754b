//! A change that an operator requests.

use shallottide_types::data;
use shallottide_types::id::{ChangeId, OperatorId, Revision};

data! {
    /// A change that an operator requests.
    pub struct Change {
        /// Identifies the change when it is read back. Invariant: unique; a retry of the same change
        /// uses the same id.
        pub id: ChangeId,
        /// The operator who requests the change.
        pub operator: OperatorId,
        /// The only revision that the change may replace, where 0 means that there is no record yet;
        /// absent if it may replace any.
        pub if_revision: Option<Revision>,
    }
}

impl Change {
    /// Creates a change that replaces any stored revision.
    #[must_use]
    pub fn new(id: ChangeId, operator: OperatorId) -> Self {
        Self {
            id,
            operator,
            if_revision: None,
        }
    }

    /// Restricts the change to one stored revision; `None` allows any.
    #[must_use]
    pub fn if_revision(mut self, revision: Option<Revision>) -> Self {
        self.if_revision = revision;
        self
    }
}
