//! Operators' changes: writes records and reports where they are in force.
//!
//! - [`ChangeWriter`] writes a record by compare-and-swap and returns a typed [`Outcome`].
//! - [`Rollout`] reports in which failure domains a change is in force.
//! - [`review`] finds likely mistakes in valid records.

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
pub use domain_summary::{DomainSummary, summarize_domains};
pub use node_status::{InvalidRecord, NodeStatus, PeerStatus};
pub use outcome::{Applied, Conflict, Outcome, Stamp, Unclear};
pub use pause::{Pause, SystemPause};
pub use rollout::{DomainRollout, Rollout, RolloutState};
pub use stored_record::{StoredRecord, records_in_force, stored_records};
pub use warning::{Warning, review, review_change};
