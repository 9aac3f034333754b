//! A claim that this node may hold.

use std::time::Instant;

use shallottide_types::id::CallId;
use shallottide_types::peer::ClaimId;
use shallottide_types::ticket::Ticket;

/// A claim that may be stored on behalf of this node.
#[derive(Debug)]
pub(super) struct HeldClaim {
    pub(super) claim: ClaimId,
    /// Id that stands for the call in the stored claim; unique over all requests and incarnations.
    pub(super) holder: CallId,
    /// The ticket, if the key is one.
    pub(super) ticket: Option<Ticket>,
    /// Time at which this node stops tracking the claim; the stored claim then expires by its own
    /// deadline.
    pub(super) expires_at: Instant,
}
