//! The HMAC key that all entry VMs share.

use std::fmt;
use std::time::Duration;

use hmac::{Hmac, Mac};
use sha2::Sha256;

use super::SigningInput;

/// Why a secret or a peer's tag was refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum PeerKeyError {
    /// The secret has fewer than [`PeerKey::MIN_SECRET_BYTES`] bytes.
    #[error(
        "peer secret has {0} bytes: use at least {min} random bytes, the same on all nodes",
        min = PeerKey::MIN_SECRET_BYTES
    )]
    TooShort(usize),
    /// The tag is malformed, made with another key, or made for other content.
    #[error("peer's tag is not valid: check that all nodes have the same peer secret")]
    WrongTag,
    /// The send time differs too much from this node's clock, in either direction.
    #[error("peer's clock differs by {0:?}: synchronize the clocks of both nodes")]
    ClockSkew(Duration),
}

/// The HMAC key by which entry VMs authenticate each other.
#[derive(Clone)]
pub struct PeerKey {
    mac: Hmac<Sha256>,
}

impl fmt::Debug for PeerKey {
    /// Leaves out the secret, so that it never reaches a log.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("PeerKey")
    }
}

impl PeerKey {
    /// Shortest accepted secret in bytes.
    pub const MIN_SECRET_BYTES: usize = 16;

    /// Creates a key from the secret of the settings.
    ///
    /// # Errors
    /// [`PeerKeyError::TooShort`] below [`PeerKey::MIN_SECRET_BYTES`].
    pub fn new(secret: &[u8]) -> Result<Self, PeerKeyError> {
        if secret.len() < Self::MIN_SECRET_BYTES {
            return Err(PeerKeyError::TooShort(secret.len()));
        }
        let mac = Hmac::new_from_slice(secret).map_err(|_| PeerKeyError::TooShort(secret.len()))?;
        Ok(Self { mac })
    }

    /// Signs an input; the tag is 64 hex digits of HMAC-SHA256.
    #[must_use]
    pub fn sign(&self, input: &SigningInput) -> String {
        let tag = self.mac_for(input).finalize().into_bytes();
        format!("{tag:x}")
    }

    /// Verifies a peer's tag in constant time and its send time against `now` (Unix time).
    ///
    /// # Errors
    /// [`PeerKeyError::WrongTag`] or [`PeerKeyError::ClockSkew`].
    pub fn verify(
        &self,
        input: &SigningInput,
        tag: &str,
        now: Duration,
        max_clock_skew: Duration,
    ) -> Result<(), PeerKeyError> {
        let tag = decode_hex(tag).ok_or(PeerKeyError::WrongTag)?;
        self.mac_for(input)
            .verify_slice(&tag)
            .map_err(|_| PeerKeyError::WrongTag)?;
        let difference = now.abs_diff(input.sent_at);
        if difference > max_clock_skew {
            return Err(PeerKeyError::ClockSkew(difference));
        }
        Ok(())
    }

    fn mac_for(&self, input: &SigningInput) -> Hmac<Sha256> {
        self.mac.clone().chain_update(input.to_bytes())
    }
}

fn decode_hex(text: &str) -> Option<Vec<u8>> {
    if !text.len().is_multiple_of(2) || !text.bytes().all(|b| b.is_ascii_hexdigit()) {
        return None;
    }
    (0..text.len())
        .step_by(2)
        .map(|i| u8::from_str_radix(&text[i..i + 2], 16).ok())
        .collect()
}
