//! Orders to engines.

use std::fmt;

use shallottide_types::id::{ModelId, UpstreamId};

use crate::upstream::Formation;

/// A control order to one engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Order {
    /// Become a member of a group.
    Join {
        /// Formation that the engine joins.
        formation: Formation,
        /// The model that the group serves.
        model: ModelId,
        /// All members, the head first.
        members: Vec<UpstreamId>,
        /// Number of orders that the engine had accepted by the report that this one relies on. It
        /// rejects the order after any other, so that one carried out late changes nothing that the
        /// report did not show.
        order_count: Option<u64>,
    },
    /// Head only: begin to serve.
    Open(Formation),
    /// Head only: end the running requests and return to ready.
    Close {
        /// Formation that stops serving.
        formation: Formation,
        /// Whether to cancel running requests instead of letting them finish.
        preempt: bool,
    },
    /// Stop being a member.
    Leave(Formation),
    /// Load weights onto the VM ahead of time, so that a later join of that model is faster.
    Stage(ModelId),
}

impl Order {
    /// Returns the formation that the order concerns; `None` for staging.
    #[must_use]
    pub fn formation(&self) -> Option<&Formation> {
        match self {
            Self::Join { formation, .. }
            | Self::Open(formation)
            | Self::Close { formation, .. }
            | Self::Leave(formation) => Some(formation),
            Self::Stage(_) => None,
        }
    }
}

impl fmt::Display for Order {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Join {
                formation, model, ..
            } => write!(f, "join {formation} of {model}"),
            Self::Open(formation) => write!(f, "open {formation}"),
            Self::Close {
                formation,
                preempt: false,
            } => write!(f, "close {formation}"),
            Self::Close {
                formation,
                preempt: true,
            } => write!(f, "preempt {formation}"),
            Self::Leave(formation) => write!(f, "leave {formation}"),
            Self::Stage(model) => write!(f, "stage {model}"),
        }
    }
}
