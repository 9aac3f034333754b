//! Operators' changes: writing records, and seeing where they are in force.
//!
//! - [`ChangeWriter`] writes one record by compare-and-swap and tells a typed [`Outcome`].
//! - [`Rollout`] says in which failure domains a change is in force.
//! - [`review`] finds what is likely a mistake although the record is valid.

mod change;
mod change_writer;
mod domain_summary;
mod node_status;
mod outcome;
mod pause;
mod pending_write;
mod rollout;
mod stored_record;
mod warning;

pub use change::Change;
pub use change_writer::{ChangeWriter, WriteOptions};
pub use domain_summary::{DomainSummary, summaries};
pub use node_status::{InvalidRecord, NodeStatus, PeerStatus};
pub use outcome::{Applied, Conflict, Outcome, Stamp, Unclear};
pub use pause::{Pause, SystemPause};
pub use rollout::{DomainRollout, Rollout, RolloutState};
pub use stored_record::{StoredRecord, records_in_force, stored_records};
pub use warning::{Warning, review, review_change};
