//! The data that a peer signs.

use std::net::SocketAddr;
use std::time::Duration;

use sha2::{Digest, Sha256};
use shallottide_types::id::NodeId;

/// The signed facts of a message: sender, receiver, send time and body.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SigningInput {
    /// The node that sends the message.
    pub sender: NodeId,
    /// Address of the receiver's peer port, so that no other node accepts the message.
    pub receiver: SocketAddr,
    /// Unix time by the sender's clock.
    pub sent_at: Duration,
    /// SHA-256 of the body.
    pub body_digest: [u8; 32],
}

impl SigningInput {
    /// Creates the data to sign for a body.
    #[must_use]
    pub fn new(sender: NodeId, receiver: SocketAddr, sent_at: Duration, body: &[u8]) -> Self {
        Self {
            sender,
            receiver,
            sent_at,
            body_digest: Sha256::digest(body).into(),
        }
    }

    /// Returns the bytes to sign. Fields are separated by a newline, which none of them contains.
    pub(super) fn to_bytes(&self) -> Vec<u8> {
        let Self {
            sender, receiver, ..
        } = self;
        let sent_ms = self.sent_at.as_millis();
        let mut bytes = format!("{sender}\n{receiver}\n{sent_ms}\n").into_bytes();
        bytes.extend_from_slice(&self.body_digest);
        bytes
    }
}
