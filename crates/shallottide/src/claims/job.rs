//! Jobs queued for a partition.

use std::net::SocketAddr;
use std::time::Instant;

use shallottide_types::peer::{ClaimAnswer, ClaimId, ClaimOutcome, ClaimRequest};
use shallottide_types::ticket::Ticket;

use crate::view::MemberView;

/// Clock readings and the member view that one decision is based on.
#[derive(Debug, Clone, Copy)]
pub(super) struct Snapshot<'a> {
    /// Monotonic time, for timeouts.
    pub(super) now: Instant,
    /// Seconds since 1970, for stored times.
    pub(super) unix_s: u64,
    /// All known nodes.
    pub(super) members: &'a MemberView,
}

/// A claim to make or an outcome to record.
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

    /// Returns the ticket, if the key is one.
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

/// The sender of a job, which gets its answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Requester {
    /// A request of this node, by token.
    Local(u64),
    /// A peer's address and the token of its request.
    Peer(SocketAddr, u64),
}

/// A task queued for its partition.
#[derive(Debug, Clone)]
pub(super) struct Job {
    pub(super) requester: Requester,
    pub(super) task: Task,
    pub(super) enqueued_at: Instant,
    pub(super) deadline: Instant,
    /// Sequence number within the partition, set when the job is queued.
    pub(super) number: u64,
    /// Whether a write that contained the job may have taken effect although its answer was lost.
    pub(super) maybe_written: bool,
}

impl Job {
    /// Creates a job without a sequence number; the partition assigns it.
    pub(super) fn new(
        requester: Requester,
        task: Task,
        enqueued_at: Instant,
        deadline: Instant,
    ) -> Self {
        Self {
            requester,
            task,
            enqueued_at,
            deadline,
            number: 0,
            maybe_written: false,
        }
    }

    /// Returns the answer to send. `NotClaimed` becomes `Unknown` if an earlier write of the claim
    /// may have taken effect.
    pub(super) fn into_answer(self, answer: ClaimAnswer) -> JobAnswer {
        match answer {
            ClaimAnswer::NotClaimed if self.maybe_written => (self.requester, ClaimAnswer::Unknown),
            answer => (self.requester, answer),
        }
    }
}

/// The answer to a job and its receiver.
pub(super) type JobAnswer = (Requester, ClaimAnswer);
