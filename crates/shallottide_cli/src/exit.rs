//! The exit codes that scripts can rely on.

use std::process::ExitCode;

/// How the command ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Exit {
    /// Everything was done.
    Done = 0,
    /// Bad arguments, settings or records; nothing was written.
    BadInput = 2,
    /// Another change was first.
    Conflict = 3,
    /// A change may have been written or not.
    Unclear = 4,
    /// The platform, or every node asked, can't be reached or gave no answer.
    PlatformUnreachable = 5,
    /// The change is written, but not known to be in force everywhere.
    NotInForce = 6,
}

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> Self {
        Self::from(exit as u8)
    }
}
