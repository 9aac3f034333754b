//! Pending requests of this node to partition writers and minters.

use std::collections::BTreeSet;
use std::time::Instant;

use shallottide_types::id::{CallId, NodeId};
use shallottide_types::peer::ClaimAnswer;

use super::job::Task;

/// Where a request currently waits.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum Recipient {
    /// At a partition's preferred writer or a ticket's minter.
    Peer(NodeId),
    /// In this node's own partition queue.
    LocalQueue,
}

/// A pending claim or outcome of a call that this node accepted.
#[derive(Debug)]
pub(super) struct Request {
    /// The call that waits for the claim; `None` for an outcome.
    pub(super) call: Option<CallId>,
    pub(super) task: Task,
    pub(super) recipient: Recipient,
    /// When the request was sent to its current recipient.
    pub(super) sent_at: Instant,
    /// Nodes that the request was sent to.
    pub(super) contacted: Vec<NodeId>,
    /// Writers that may still write the claim: they received it and did not answer `NotClaimed`.
    pub(super) possible_writers: BTreeSet<NodeId>,
    pub(super) deadline: Instant,
}

impl Request {
    /// Creates a request that was not sent to any node yet.
    pub(super) fn new(
        call: Option<CallId>,
        task: Task,
        sent_at: Instant,
        deadline: Instant,
    ) -> Self {
        Self {
            call,
            task,
            recipient: Recipient::LocalQueue,
            sent_at,
            contacted: Vec::new(),
            possible_writers: BTreeSet::new(),
            deadline,
        }
    }

    /// Records that the request is sent to a node.
    pub(super) fn record_recipient(&mut self, node: &NodeId, sent_at: Instant) {
        let node = node.clone();
        if !self.contacted.contains(&node) {
            self.contacted.push(node.clone());
        }
        self.possible_writers.insert(node.clone());
        self.recipient = Recipient::Peer(node);
        self.sent_at = sent_at;
    }

    /// Returns the answer to report to the call.
    ///
    /// `NotClaimed` becomes `Unknown` while another writer may still write the claim.
    pub(super) fn answer_for_call(&self, answer: ClaimAnswer) -> ClaimAnswer {
        match answer {
            ClaimAnswer::NotClaimed if !self.possible_writers.is_empty() => ClaimAnswer::Unknown,
            answer => answer,
        }
    }
}
