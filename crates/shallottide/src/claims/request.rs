//! What this node asks of a partition's writer.

use std::time::Instant;

use shallottide_types::id::{CallId, NodeId};

use super::job::Task;

/// Who a request is with.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum Via {
    /// The preferred writer.
    Peer {
        /// The writer.
        node: NodeId,
        /// When it was asked.
        since: Instant,
    },
    /// This node's own partition queue.
    Direct,
}

/// A claim or outcome of a call that this node answers for.
#[derive(Debug)]
pub(super) struct Request {
    /// The call that waits for the claim; `None` for an outcome.
    pub(super) call: Option<CallId>,
    pub(super) task: Task,
    pub(super) via: Via,
    /// The preferred writer that was asked, also after it was given up.
    pub(super) relayed_to: Option<NodeId>,
    pub(super) deadline: Instant,
    /// Whether someone may have written the claim, or still may.
    pub(super) tainted: bool,
}
