//! What this node asks of a partition's writer.

use std::collections::BTreeSet;
use std::time::Instant;

use shallottide_types::id::{CallId, NodeId};
use shallottide_types::peer::ClaimAnswer;

use super::job::Task;

/// Who a request is with.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum Via {
    /// The preferred writer.
    Peer(NodeId),
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
    /// When it was given to whom it is with.
    pub(super) since: Instant,
    /// The writers that were asked.
    pub(super) asked: Vec<NodeId>,
    /// The writers that did not say they won't write.
    pub(super) open: BTreeSet<NodeId>,
    pub(super) deadline: Instant,
}

impl Request {
    /// Creates a request that nobody was asked for yet.
    pub(super) fn new(call: Option<CallId>, task: Task, since: Instant, deadline: Instant) -> Self {
        Self {
            call,
            task,
            via: Via::Direct,
            since,
            asked: Vec::new(),
            open: BTreeSet::new(),
            deadline,
        }
    }

    /// Notes that a writer is asked.
    pub(super) fn ask(&mut self, node: &NodeId, since: Instant) {
        let node = node.clone();
        if !self.asked.contains(&node) {
            self.asked.push(node.clone());
        }
        self.open.insert(node.clone());
        self.via = Via::Peer(node);
        self.since = since;
    }

    /// Returns the answer for the call: a claim that a writer may still write is not surely
    /// unwritten.
    pub(super) fn truthful(&self, answer: ClaimAnswer) -> ClaimAnswer {
        match answer {
            ClaimAnswer::NotClaimed if !self.open.is_empty() => ClaimAnswer::Unknown,
            answer => answer,
        }
    }
}
