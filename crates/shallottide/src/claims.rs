//! Claims of idempotency keys, so that a call that must not be repeated runs at most once.
//!
//! All claims are stored in a fixed number of partition values in the platform and changed by
//! compare-and-swap. Any node may write any partition; the preferred writer of each only avoids
//! contention and batches many claims into one write.
//!
//! Tickets are a second kind of key: the node that minted a ticket grants it from memory, without
//! the platform.

mod claim_counts;
mod claim_entry;
mod claim_options;
mod claim_service;
mod codec;
mod held_claim;
mod job;
mod minted_ticket;
mod old_claims;
mod outcomes;
mod partition;
mod partition_round;
mod recent_claims;
mod relaying;
mod request;
mod ticket_options;
mod ticket_tracker;
mod ticketing;
mod token_source;
mod writer_choice;

pub use claim_counts::ClaimCounts;
pub use claim_options::ClaimOptions;
pub use claim_service::ClaimService;
pub use ticket_options::TicketOptions;
