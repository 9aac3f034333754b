//! A claim that this node may hold.

use std::time::Instant;

use shallottide_types::id::CallId;
use shallottide_types::peer::ClaimId;
use shallottide_types::ticket::Ticket;

/// A claim that may be written for this node.
#[derive(Debug)]
pub(super) struct Held {
    pub(super) claim: ClaimId,
    /// The call's name in the claim; no other request of any start has the same.
    pub(super) holder: CallId,
    /// The ticket used as the key.
    pub(super) ticket: Option<Ticket>,
    /// When it is forgotten here; the claim itself then expires.
    pub(super) until: Instant,
}
