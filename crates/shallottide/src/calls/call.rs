//! The state of one call.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use bytes::Bytes;
use shallottide_types::call::CallHead;
use shallottide_types::id::DomainId;
use shallottide_types::peer::{ClaimId, Slot};
use shallottide_types::refusal::{Ran, Refusal};

use super::answer::Answer;
use super::attempt::Attempt;
use crate::message::ReplyTo;
use crate::routing::Route;

/// Whether a call may be sent again after an attempt that may have run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Repeat {
    /// It may run at most once, or its first node decides.
    Never,
    /// It may run again while the receiver has no part of the body.
    BeforeBody,
    /// As [`Repeat::BeforeBody`], and a cut stream may resume behind what was delivered.
    Resume,
}

/// How far a call is with its claim.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Claim {
    /// It needs none.
    NotNeeded,
    /// Asked for, not answered.
    Waiting(ClaimId),
    /// Granted: this call alone may run.
    Held(ClaimId),
}

/// One call in flight.
#[derive(Debug)]
pub(super) struct Call {
    pub(super) reply_to: ReplyTo,
    pub(super) head: CallHead,
    pub(super) body: Bytes,
    /// The slot that a peer chose.
    pub(super) chosen: Option<Slot>,
    /// Stream events delivered before the call reached this node.
    pub(super) resume_from: u64,
    pub(super) deadline: Instant,
    pub(super) repeat: Repeat,
    pub(super) claim: Claim,
    /// Whether anyone still waits for the answer. Invariant: nothing is sent once this is false.
    pub(super) listening: bool,
    pub(super) tried: BTreeSet<Slot>,
    pub(super) tried_domains: BTreeSet<DomainId>,
    /// Attempts made over the network.
    pub(super) attempts: u32,
    /// Slots of this node that were asked for a place in vain.
    pub(super) local_tries: u32,
    /// The worst over all attempts so far.
    pub(super) ran: Ran,
    /// The latest failure, told when no route is left.
    pub(super) last_refusal: Option<Refusal>,
    pub(super) answer: Answer,
    /// The attempt in flight; at most one.
    pub(super) attempt: Option<Attempt>,
}

impl Call {
    /// Tells whether a peer sent the call here; the peer then answers for it.
    pub(super) fn is_from_peer(&self) -> bool {
        matches!(self.reply_to, ReplyTo::Peer(_))
    }

    /// Returns the time to the deadline.
    pub(super) fn time_left(&self, now: Instant) -> Duration {
        self.deadline.saturating_duration_since(now)
    }

    /// Tells whether another attempt keeps to the call's rules after one that ended as `ran`.
    pub(super) fn may_repeat_after(&self, ran: Ran) -> bool {
        if ran == Ran::No {
            return true;
        }
        match self.repeat {
            Repeat::Never => false,
            Repeat::BeforeBody => self.answer.sent_parts() == 0,
            Repeat::Resume => true,
        }
    }

    /// Excludes a route that refused or failed from the next choice.
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
