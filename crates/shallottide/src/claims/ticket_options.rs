//! Limits of tickets.

use std::time::Duration;

/// Limits of tickets.
#[derive(Debug, Clone)]
pub struct TicketOptions {
    /// Most tickets that one request mints.
    pub max_mint: usize,
    /// Most tickets that a node remembers; when full, it mints no more.
    pub max_tickets: usize,
    /// Most of them for one team, so that no team takes the room of all.
    pub max_team_tickets: usize,
    /// How long after its minting a ticket may be used.
    pub lifetime: Duration,
    /// Most bytes of answers that a node keeps for tickets.
    pub max_answer_bytes: usize,
    /// How long a ticket that was not used after all is offered back to its minter.
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
