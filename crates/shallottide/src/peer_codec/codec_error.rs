//! Why bytes from a peer can't be read.

use super::{MAX_MESSAGE_BYTES, PROTOCOL_VERSION};

/// Why bytes from a peer can't be read.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum CodecError {
    /// There is not even a version byte.
    #[error("peer message is empty: check that the address is a peer port")]
    Empty,
    /// The peer speaks another protocol version.
    #[error(
        "peer speaks protocol version {0}, this node {PROTOCOL_VERSION}: bring both to the same release"
    )]
    Version(u8),
    /// The message is longer than allowed.
    #[error("peer message of {0} bytes is longer than {MAX_MESSAGE_BYTES}: send less at once")]
    TooLong(usize),
    /// The bytes are no message of the wanted type.
    #[error("peer message can't be read ({0}): check that both nodes run the same release")]
    Malformed(String),
    /// Bytes follow the message.
    #[error("peer message has {0} bytes after its end: check that both nodes run the same release")]
    Trailing(usize),
}
