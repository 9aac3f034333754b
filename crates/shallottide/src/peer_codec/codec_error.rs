//! Errors of decoding peer messages.

use super::{MAX_MESSAGE_BYTES, PROTOCOL_VERSION};

/// Why bytes from a peer can't be decoded.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum CodecError {
    /// The message has no version byte.
    #[error("peer message is empty: check that the address is a peer port")]
    Empty,
    /// The message has another protocol version than [`PROTOCOL_VERSION`].
    #[error(
        "peer uses protocol version {0}, this node {PROTOCOL_VERSION}: install the same release on both"
    )]
    Version(u8),
    /// The message has more than [`MAX_MESSAGE_BYTES`] bytes.
    #[error(
        "peer message has {0} bytes, more than the limit of {MAX_MESSAGE_BYTES}: send smaller messages"
    )]
    TooLong(usize),
    /// The bytes don't decode as the expected type.
    #[error("failed to decode peer message ({0}): check that both nodes run the same release")]
    Malformed(String),
    /// Bytes remain after the decoded message.
    #[error("peer message has {0} bytes after its end: check that both nodes run the same release")]
    Trailing(usize),
}
