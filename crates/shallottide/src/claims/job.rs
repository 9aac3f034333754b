//! Work that waits for a partition.

use std::net::SocketAddr;
use std::time::Instant;

use shallottide_types::peer::{ClaimAnswer, ClaimId, ClaimOutcome, ClaimRequest};
use shallottide_types::ticket::Ticket;

use crate::view::MemberView;

/// When something is decided, and what is known of the nodes then.
#[derive(Debug, Clone, Copy)]
pub(super) struct Moment<'a> {
    /// Monotonic time, for timeouts.
    pub(super) now: Instant,
    /// Seconds since 1970, for what outlives a node.
    pub(super) unix_s: u64,
    /// The known nodes.
    pub(super) members: &'a MemberView,
}

/// A claim or the end of one.
#[derive(Debug, Clone)]
pub(super) enum Task {
    /// Claim a key.
    Claim(ClaimRequest),
    /// Record how a claimed call ended.
    End(ClaimOutcome),
}

impl Task {
    pub(super) fn claim(&self) -> ClaimId {
        match self {
            Self::Claim(request) => request.claim,
            Self::End(outcome) => outcome.claim,
        }
    }

    /// Returns the ticket that is used as the key.
    pub(super) fn ticket(&self) -> Option<&Ticket> {
        match self {
            Self::Claim(request) => request.ticket.as_ref(),
            Self::End(outcome) => outcome.ticket.as_ref(),
        }
    }

    pub(super) fn is_claim(&self) -> bool {
        matches!(self, Self::Claim(_))
    }
}

/// Who gets the answer to a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Asker {
    /// This node's request with that token.
    Local(u64),
    /// A peer's request with that token.
    Peer(SocketAddr, u64),
}

/// One task that waits for its partition.
#[derive(Debug, Clone)]
pub(super) struct Job {
    pub(super) asker: Asker,
    pub(super) task: Task,
    pub(super) asked_at: Instant,
    pub(super) deadline: Instant,
    /// Counts the jobs of its partition.
    pub(super) number: u64,
    /// Whether a write that held it may have taken effect.
    pub(super) tainted: bool,
}

impl Job {
    /// Creates a job; its partition numbers it.
    pub(super) fn new(asker: Asker, task: Task, asked_at: Instant, deadline: Instant) -> Self {
        Self {
            asker,
            task,
            asked_at,
            deadline,
            number: 0,
            tainted: false,
        }
    }

    /// Answers the job. A claim in a lost write is not surely unwritten.
    pub(super) fn answered(self, answer: ClaimAnswer) -> Answered {
        match answer {
            ClaimAnswer::NotClaimed if self.tainted => (self.asker, ClaimAnswer::Unknown),
            answer => (self.asker, answer),
        }
    }
}

/// The answer to a job.
pub(super) type Answered = (Asker, ClaimAnswer);
