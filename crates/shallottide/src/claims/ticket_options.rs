//! Limits of tickets.

use std::time::Duration;

/// Limits of tickets.
#[derive(Debug, Clone)]
pub struct TicketOptions {
    /// Maximum number of tickets minted by one request.
    pub max_mint: usize,
    /// Maximum number of tickets a node keeps; when reached, it refuses to mint.
    pub max_tickets: usize,
    /// Maximum number of tickets kept for one team, so that no team can use up `max_tickets`.
    pub max_team_tickets: usize,
    /// How long after minting a ticket may be used.
    pub lifetime: Duration,
    /// Maximum total size in bytes of the recorded answers that a node keeps for tickets.
    pub max_answer_bytes: usize,
    /// How long a node tries to release an unused ticket at its minter.
    pub release_timeout: Duration,
}

impl Default for TicketOptions {
    fn default() -> Self {
        Self {
            max_mint: 256,
            max_tickets: 64 << 10,
            max_team_tickets: 16 << 10,
            lifetime: Duration::from_mins(10),
            max_answer_bytes: 16 << 20,
            release_timeout: Duration::from_secs(30),
        }
    }
}
