//! Messages about callers' requests, their attempts and claims.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use shallottide_types::call::{CallHead, ReplyEvent, ReplyHead};
use shallottide_types::id::{AttemptId, CallId};
use shallottide_types::peer::{ClaimAnswer, ClaimEnd, ClaimId, ForwardedCall, NodeInfo, Slot};
use shallottide_types::record::KeyHash;
use shallottide_types::refusal::Refusal;
use shallottide_types::ticket::Ticket;

/// Where the answer of a call goes: a number that the border handed out.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum ReplyTo {
    /// A caller's connection, known to `FRONT`.
    Front(u64),
    /// A peer's stream, known to `PEERS`.
    Peer(u64),
}

/// A call that reached this node.
#[derive(Debug, Clone)]
pub struct CallArrived {
    /// Where its answer goes.
    pub reply_to: ReplyTo,
    /// The call. From `FRONT`, the team is already authenticated.
    pub head: CallHead,
    /// Its body.
    pub body: Bytes,
    /// From a peer: the slot the peer chose, which this node dispatches to.
    pub slot: Option<Slot>,
    /// From a peer: server-sent events already delivered.
    pub resume_from: u64,
}

/// A caller's call whose key was not looked up yet.
#[derive(Debug, Clone)]
pub struct UnauthenticatedCall {
    /// Hash of the bearer key.
    pub key: Option<KeyHash>,
    /// The call; its team is replaced by the key's.
    pub call: CallArrived,
}

/// Part of an answer.
#[derive(Debug, Clone)]
pub struct Reply {
    /// Where it goes.
    pub reply_to: ReplyTo,
    /// What goes there.
    pub event: ReplyEvent,
}

/// Runs a call on an upstream. The border sends it at most once and never retries.
#[derive(Debug, Clone)]
pub struct Dispatch {
    /// Names the attempt in all later messages; unique at this node.
    pub attempt: AttemptId,
    /// The upstream's address.
    pub address: SocketAddr,
    /// The call; its `time_left` counts from now.
    pub head: CallHead,
    /// Its body.
    pub body: Bytes,
    /// Server-sent events to skip, for resumed streams; sent as `X-Resume-From`.
    pub resume_from: u64,
    /// Longest wait for the next byte.
    pub idle_timeout: Duration,
}

/// Hands a call to another node.
#[derive(Debug, Clone)]
pub struct Forward {
    /// Names the attempt in all later messages; unique at this node.
    pub attempt: AttemptId,
    /// The node.
    pub node: NodeInfo,
    /// The call.
    pub call: ForwardedCall,
    /// Longest wait for the next frame.
    pub idle_timeout: Duration,
}

/// Drops an attempt; its later events are ignored.
#[derive(Debug, Clone, Copy)]
pub struct CancelAttempt {
    /// The attempt.
    pub attempt: AttemptId,
}

/// Progress of an attempt, in order: `Head`, any number of `Data`, then one of the ends.
#[derive(Debug, Clone)]
pub enum AttemptEvent {
    /// Status and headers; the upstream echoed the call's own id.
    Head(ReplyHead),
    /// Part of the body; in a stream one whole server-sent event with its blank line.
    Data(Bytes),
    /// The answer is complete by its own framing (length, last chunk, end-of-stream event).
    End,
    /// It failed.
    Failed(AttemptFailure),
}

/// Why an attempt failed, which decides what may be said and done next.
#[derive(Debug, Clone)]
pub enum AttemptFailure {
    /// No byte left for the upstream.
    NotSent(String),
    /// The upstream refused before running (503 with `X-Not-Run: 1`, or 409 for a stale group).
    NotRun(String),
    /// The call was sent; the answer was cut, late, malformed or another call's.
    Lost(String),
    /// A peer refused with its own reason.
    Refused(Refusal),
}

/// Asks for a claim before a call that may run at most once is dispatched.
#[derive(Debug, Clone)]
pub struct RequestClaim {
    /// The call that claims.
    pub call: CallId,
    /// Team and key, hashed.
    pub claim: ClaimId,
    /// Hash of method, path and body.
    pub digest: u64,
    /// How long the caller can wait for the claim.
    pub time_left: Duration,
    /// The key, when it is a ticket.
    pub ticket: Option<Ticket>,
}

/// Answers a claim.
#[derive(Debug, Clone)]
pub struct ClaimReply {
    /// The call that claimed.
    pub call: CallId,
    /// Team and key, hashed.
    pub claim: ClaimId,
    /// The answer.
    pub answer: ClaimAnswer,
}

/// Reports how a claimed call ended.
#[derive(Debug, Clone)]
pub struct ClaimedCallEnded {
    /// The call that holds the claim.
    pub call: CallId,
    /// Team and key, hashed.
    pub claim: ClaimId,
    /// How it ended.
    pub end: ClaimEnd,
}
