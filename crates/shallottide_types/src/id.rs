//! Checked ids of nodes, VMs, records, calls and writes.

use crate::macros::{number_ids, text_ids};

/// Longest id in bytes.
pub const MAX_ID_BYTES: usize = 128;

/// An id that breaks the naming rule.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error(
    "{kind} {text:?} is not valid: use 1 to {MAX_ID_BYTES} letters, digits, '-', '_', '.' or ':'"
)]
pub struct IdError {
    /// Which id type was asked for.
    pub kind: &'static str,
    /// The rejected text, cut to [`MAX_ID_BYTES`] characters.
    pub text: String,
}

/// Checks one id against the naming rule.
///
/// # Errors
/// [`IdError`] when the text is empty, too long or holds another character.
pub(crate) fn check(kind: &'static str, text: &str) -> Result<(), IdError> {
    let allowed = |b: u8| b.is_ascii_alphanumeric() || b"-_.:".contains(&b);
    if (1..=MAX_ID_BYTES).contains(&text.len()) && text.bytes().all(allowed) {
        return Ok(());
    }
    let text = text.chars().take(MAX_ID_BYTES).collect();
    Err(IdError { kind, text })
}

text_ids! {
    /// One entry VM's process, as named in its settings.
    NodeId,
    /// One VM that runs a model engine.
    VmId,
    /// What requests are sent to: an engine VM or a plain service's server.
    UpstreamId,
    /// One failure domain.
    DomainId,
    /// One region, which holds several failure domains.
    RegionId,
    /// One fabric domain, inside which VMs can form a group.
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
    /// One change an operator asked for; finds a write whose answer was lost.
    ChangeId,
}

number_ids! {
    /// Counts the starts of one process; a higher number is a later start.
    Incarnation,
    /// Counts the tickets of one start of an entry VM.
    TicketNumber,
    /// One try at running a call on one upstream.
    AttemptId,
    /// The revision of one record or value, raised by one with every write.
    Revision,
    /// The number of a placement write, sent with every order to an engine.
    FencingToken,
    /// The platform's index of its latest change.
    StoreIndex,
}
