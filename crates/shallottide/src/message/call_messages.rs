//! Messages about calls, their attempts and their claims.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use shallottide_types::call::{CallHead, ReplyEvent, ReplyHead};
use shallottide_types::id::{AttemptId, CallId};
use shallottide_types::peer::{ClaimAnswer, ClaimEnd, ClaimId, ForwardedCall, NodeInfo, Slot};
use shallottide_types::record::KeyHash;
use shallottide_types::refusal::Refusal;
use shallottide_types::ticket::Ticket;

/// Identifies the receiver of an answer by a number that its adapter assigned.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum ReplyTo {
    /// Connection of a caller, numbered by `FRONT`.
    Front(u64),
    /// Stream of a peer, numbered by `PEERS`.
    Peer(u64),
}

/// A call that arrived at this node from a caller or a peer.
#[derive(Debug, Clone)]
pub struct CallArrived {
    /// Receiver of the answer.
    pub reply_to: ReplyTo,
    /// The call without its body; its team is authenticated unless inside [`UnauthenticatedCall`].
    pub head: CallHead,
    /// Request body.
    pub body: Bytes,
    /// Slot that the forwarding peer chose and this node dispatches to; `None` for a caller's call.
    pub slot: Option<Slot>,
    /// Number of server-sent events that the forwarding peer has already delivered; 0 for a
    /// caller's call.
    pub resume_from: u64,
}

/// A caller's call whose bearer key has not been looked up yet.
#[derive(Debug, Clone)]
pub struct UnauthenticatedCall {
    /// Hash of the bearer key; `None` if the caller sent none.
    pub key: Option<KeyHash>,
    /// The call; authentication replaces its team by that of the key.
    pub call: CallArrived,
}

/// Part of an answer.
#[derive(Debug, Clone)]
pub struct Reply {
    /// Receiver of the answer.
    pub reply_to: ReplyTo,
    /// Next event of the answer.
    pub event: ReplyEvent,
}

/// Runs one attempt of a call on an upstream. The adapter sends it at most once and never retries.
#[derive(Debug, Clone)]
pub struct Dispatch {
    /// Identifies the attempt in all later messages; unique on this node.
    pub attempt: AttemptId,
    /// Address of the upstream.
    pub address: SocketAddr,
    /// The call; its `time_left` counts from the receipt of this message.
    pub head: CallHead,
    /// Request body.
    pub body: Bytes,
    /// Number of server-sent events to skip when a stream is resumed; sent as `X-Resume-From`.
    pub resume_from: u64,
    /// Longest wait for the next byte of the answer.
    pub idle_timeout: Duration,
}

/// Forwards a call to another node, which dispatches it.
#[derive(Debug, Clone)]
pub struct Forward {
    /// Identifies the attempt in all later messages; unique on this node.
    pub attempt: AttemptId,
    /// Node that receives the call.
    pub node: NodeInfo,
    /// Call as sent to the node.
    pub call: ForwardedCall,
    /// Longest wait for the next frame of the answer.
    pub idle_timeout: Duration,
}

/// Cancels an attempt; events that it still produces are ignored.
#[derive(Debug, Clone, Copy)]
pub struct CancelAttempt {
    /// Attempt to cancel.
    pub attempt: AttemptId,
}

/// Progress of an attempt, in order: `Head`, any number of `Data`, then `End` or
/// `Failed`.
#[derive(Debug, Clone)]
pub enum AttemptEvent {
    /// Status and headers; the upstream has echoed the id of this call.
    Head(ReplyHead),
    /// The upstream asks for no requests of this node for a time; its answer or a failure follows.
    RetryAfter(Duration),
    /// Part of the body; in a stream, one complete server-sent event with its blank line.
    Data(Bytes),
    /// The answer is complete by its own framing (length, last chunk, end-of-stream event).
    End,
    /// The attempt failed.
    Failed(AttemptFailure),
}

/// Why an attempt failed; decides whether the call may be retried and what is reported to the
/// caller.
#[derive(Debug, Clone)]
pub enum AttemptFailure {
    /// No byte was sent to the upstream.
    NotSent(String),
    /// The upstream refused before running (503 with `X-Not-Run: 1`, or 409 for a stale group).
    NotRun(String),
    /// The call was sent, but its answer was truncated, late, malformed or that of another call.
    Lost(String),
    /// The peer that the call was forwarded to refused it.
    Refused(Refusal),
}

/// Claims an idempotency key before a call that may run at most once is dispatched.
#[derive(Debug, Clone)]
pub struct RequestClaim {
    /// Call that requests the claim.
    pub call: CallId,
    /// Hash of team and key.
    pub claim: ClaimId,
    /// Hash of method, path and body.
    pub digest: u64,
    /// Time until the caller's deadline, which bounds the wait for the claim.
    pub time_left: Duration,
    /// The key in its parsed form if it is a ticket.
    pub ticket: Option<Ticket>,
}

/// Result of a claim.
#[derive(Debug, Clone)]
pub struct ClaimReply {
    /// Call that requested the claim.
    pub call: CallId,
    /// Hash of team and key.
    pub claim: ClaimId,
    /// Whether the claim was granted, and if not, why.
    pub answer: ClaimAnswer,
}

/// Reports how a claimed call ended.
#[derive(Debug, Clone)]
pub struct ClaimedCallEnded {
    /// Call that holds the claim.
    pub call: CallId,
    /// Hash of team and key.
    pub claim: ClaimId,
    /// Outcome of the call.
    pub end: ClaimEnd,
}
