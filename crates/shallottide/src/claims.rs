//! Claims of idempotency keys, so that a call that may not be repeated runs at most once.
//!
//! All claims live in a fixed number of partition values in the platform, changed by
//! compare-and-swap. Any node may write any partition; that each has a preferred writer only
//! avoids contention and lets one write carry many claims.
//!
//! Tickets are keys of another kind: the node that minted one grants it from memory, without the
//! platform.

mod claim_counts;
mod claim_entry;
mod claim_options;
mod claim_service;
mod codec;
mod ending;
mod held;
mod job;
mod minted_ticket;
mod old_claims;
mod partition;
mod partition_round;
mod recent_claims;
mod relaying;
mod request;
mod ticket_book;
mod ticket_options;
mod ticketing;
mod token_source;
mod writer_choice;

pub use claim_counts::ClaimCounts;
pub use claim_options::ClaimOptions;
pub use claim_service::ClaimService;
pub use ticket_options::TicketOptions;
