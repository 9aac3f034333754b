//! The state of one call.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use bytes::Bytes;
use shallottide_types::call::CallHead;
use shallottide_types::id::DomainId;
use shallottide_types::peer::{ClaimId, Slot};
use shallottide_types::refusal::{Ran, Refusal};

use super::answer_buffer::AnswerBuffer;
use super::attempt::Attempt;
use crate::message::ReplyTo;
use crate::routing::Route;

/// Whether a call may be sent again after an attempt that may have run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Repeat {
    /// It may run at most once, or the node that forwarded it decides about repeats.
    Never,
    /// It may run again until a part of the body is sent to the receiver.
    BeforeBody,
    /// As [`Repeat::BeforeBody`], and an interrupted stream may resume after the sent parts.
    Resume,
}

/// State of a call's claim.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Claim {
    /// The call needs no claim.
    NotNeeded,
    /// Requested and not answered yet.
    Waiting(ClaimId),
    /// Granted: only this call may run.
    Held(ClaimId),
}

/// One call in flight.
#[derive(Debug)]
pub(super) struct Call {
    pub(super) reply_to: ReplyTo,
    pub(super) head: CallHead,
    pub(super) body: Bytes,
    /// The slot chosen by the peer that forwarded the call.
    pub(super) chosen_slot: Option<Slot>,
    /// Number of stream events delivered before the call was forwarded to this node.
    pub(super) resume_from: u64,
    pub(super) deadline: Instant,
    pub(super) repeat: Repeat,
    pub(super) claim: Claim,
    /// Whether the receiver still waits for the answer. Invariant: nothing is sent once false.
    pub(super) has_receiver: bool,
    /// Slots excluded from routing after a refusal or failure.
    pub(super) tried: BTreeSet<Slot>,
    /// Failure domains excluded from routing after a refusal or failure.
    pub(super) tried_domains: BTreeSet<DomainId>,
    /// Number of attempts sent to an upstream or peer.
    pub(super) attempts: u32,
    /// Number of routes refused before an attempt was sent, by admission or a retry budget.
    pub(super) local_tries: u32,
    /// Highest value over all attempts so far.
    pub(super) ran: Ran,
    /// The latest failure, reported if no route is left.
    pub(super) last_refusal: Option<Refusal>,
    pub(super) answer: AnswerBuffer,
    /// The attempt in flight, if any.
    pub(super) attempt: Option<Attempt>,
}

impl Call {
    /// Returns whether a peer forwarded the call; the peer is then responsible for it.
    pub(super) fn is_from_peer(&self) -> bool {
        matches!(self.reply_to, ReplyTo::Peer(_))
    }

    /// Returns the time until the deadline, zero if it has passed.
    pub(super) fn time_left(&self, now: Instant) -> Duration {
        self.deadline.saturating_duration_since(now)
    }

    /// Returns whether the call's rules allow another attempt after one that ended as `ran`.
    pub(super) fn may_repeat_after(&self, ran: Ran) -> bool {
        if ran == Ran::No {
            return true;
        }
        match self.repeat {
            Repeat::Never => false,
            Repeat::BeforeBody => self.answer.sent_parts() == 0,
            Repeat::Resume => self.answer.can_resume(),
        }
    }

    /// Excludes a route that refused or failed from further routing of this call.
    pub(super) fn exclude(&mut self, route: &Route) {
        match route {
            Route::Local { slot, .. } | Route::Peer { slot, .. } => {
                self.tried.insert(slot.clone());
            }
            Route::Domain { node } => {
                self.tried_domains.insert(node.domain.clone());
            }
        }
    }
}
