//! Exit codes. Scripts rely on the numbers, so they must not change.

use std::process::ExitCode;

/// Exit code; if several apply, the highest is used.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Exit {
    /// The command succeeded.
    Done = 0,
    /// Bad arguments, settings or records; nothing was written.
    BadInput = 2,
    /// Another change to the record was written first.
    Conflict = 3,
    /// It is unknown whether a change was written.
    Unclear = 4,
    /// The platform, or every queried node, is unreachable or did not answer.
    PlatformUnreachable = 5,
    /// The change was written, but is not known to be in force everywhere.
    NotInForce = 6,
}

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> Self {
        Self::from(exit as u8)
    }
}
