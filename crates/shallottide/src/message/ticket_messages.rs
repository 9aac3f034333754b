//! Messages about the minting of tickets.

use shallottide_types::id::TeamId;
use shallottide_types::record::KeyHash;

use super::ReplyTo;

/// Asks for tickets with a key that was not looked up yet.
#[derive(Debug, Clone)]
pub struct UnauthenticatedTicketRequest {
    /// Where the tickets go.
    pub reply_to: ReplyTo,
    /// Hash of the bearer key.
    pub key: Option<KeyHash>,
    /// How many tickets.
    pub count: usize,
}

/// Asks for tickets of a known team.
#[derive(Debug, Clone)]
pub struct MintTickets {
    /// Where the tickets go.
    pub reply_to: ReplyTo,
    /// The team that may use them.
    pub team: TeamId,
    /// How many tickets.
    pub count: usize,
}
