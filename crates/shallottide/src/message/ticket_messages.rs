//! Messages about minting tickets.

use shallottide_types::id::TeamId;
use shallottide_types::record::KeyHash;

use super::ReplyTo;

/// A request for tickets whose bearer key has not been looked up yet.
#[derive(Debug, Clone)]
pub struct UnauthenticatedTicketRequest {
    /// Receiver of the tickets.
    pub reply_to: ReplyTo,
    /// Hash of the bearer key; `None` if the caller sent none.
    pub key: Option<KeyHash>,
    /// Number of tickets.
    pub count: usize,
}

/// Mints tickets for an authenticated team.
#[derive(Debug, Clone)]
pub struct MintTickets {
    /// Receiver of the tickets.
    pub reply_to: ReplyTo,
    /// Team that may use the tickets.
    pub team: TeamId,
    /// Number of tickets.
    pub count: usize,
}
