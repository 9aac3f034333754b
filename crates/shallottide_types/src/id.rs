//! Validated ids of nodes, VMs, records, calls and writes.

use crate::macros::{number_ids, text_ids};
pub use crate::store_index::StoreIndex;

/// Maximum length of an id in bytes.
pub const MAX_ID_BYTES: usize = 128;

/// Error of parsing an id that breaks the naming rule.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error(
    "{kind} {text:?} is not valid: use 1 to {MAX_ID_BYTES} letters, digits, '-', '_', '.' or ':'"
)]
pub struct IdError {
    /// Name of the id type that was expected.
    pub kind: &'static str,
    /// The rejected text, truncated to [`MAX_ID_BYTES`] characters.
    pub text: String,
}

/// Checks an id against the naming rule.
///
/// # Errors
/// [`IdError`] when the text is empty, too long or contains a character that is not allowed.
pub(crate) fn check(kind: &'static str, text: &str) -> Result<(), IdError> {
    let allowed = |b: u8| b.is_ascii_alphanumeric() || b"-_.:".contains(&b);
    if (1..=MAX_ID_BYTES).contains(&text.len()) && text.bytes().all(allowed) {
        return Ok(());
    }
    let text = text.chars().take(MAX_ID_BYTES).collect();
    Err(IdError { kind, text })
}

text_ids! {
    /// One node (the process on an entry VM), as named in its settings.
    NodeId,
    /// One VM that runs a model engine.
    VmId,
    /// One destination of requests: an engine VM or a server of a plain service.
    UpstreamId,
    /// One failure domain.
    DomainId,
    /// One region, which holds several failure domains.
    RegionId,
    /// One fabric domain; only VMs inside the same one can form a group.
    FabricId,
    /// One team of callers.
    TeamId,
    /// One model's public name; also the id of its model-group record.
    ModelId,
    /// One plain service's name.
    ServiceId,
    /// One group of VMs that together serve a copy of a model.
    GroupId,
    /// The id of one caller's request, unique over all entry VMs.
    CallId,
    /// A caller's key for a call that may run at most once.
    IdempotencyKey,
    /// One operator.
    OperatorId,
    /// One change that an operator requested. Identifies the change's write in the store after
    /// the response to the write was lost.
    ChangeId,
}

number_ids! {
    /// Number of one start of a process; a higher number is a later start.
    Incarnation,
    /// Number of a ticket among those minted during one start of an entry VM.
    TicketNumber,
    /// Digest of what makes a call the same one when it comes again under another id: its team,
    /// target, method, path and body.
    CallDigest,
    /// One attempt to run a call on one upstream.
    AttemptId,
    /// Revision of one record or value; each write increments it by one.
    Revision,
    /// Number sent with every order to an engine, which can reject an order whose number is lower
    /// than one it has seen. It is the number of a placement write or, in `shallottide_fleet`, the
    /// revision of the controller's claim.
    FencingToken,
    /// Number of times that the platform's store was restored from an older copy of itself. Each time
    /// it gives indexes, leases and their ids out again that it gave before.
    StoreEra,
}
