//! The secret that all entry VMs share.

use std::fmt;
use std::time::Duration;

use hmac::{Hmac, Mac};
use sha2::Sha256;

use super::PeerStamp;

/// Why a key or a peer's proof was refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum PeerKeyError {
    /// The secret is too short to be safe.
    #[error(
        "peer secret has {0} bytes: write at least {min} random bytes, the same on all nodes",
        min = PeerKey::MIN_SECRET_BYTES
    )]
    TooShort(usize),
    /// The proof is not of the right form, or not by this key, or for other content.
    #[error("peer's proof is not valid: check that all nodes have the same peer secret")]
    WrongTag,
    /// The proof is too old or from the future.
    #[error("peer's clock differs by {0:?}: set the clocks of both nodes")]
    ClockDiffers(Duration),
}

/// The secret by which peers prove that they belong.
#[derive(Clone)]
pub struct PeerKey {
    mac: Hmac<Sha256>,
}

impl fmt::Debug for PeerKey {
    /// Keeps the secret out of logs.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("PeerKey")
    }
}

impl PeerKey {
    /// Shortest secret in bytes.
    pub const MIN_SECRET_BYTES: usize = 16;

    /// Creates a key from the secret of the settings.
    ///
    /// # Errors
    /// [`PeerKeyError::TooShort`].
    pub fn new(secret: &[u8]) -> Result<Self, PeerKeyError> {
        if secret.len() < Self::MIN_SECRET_BYTES {
            return Err(PeerKeyError::TooShort(secret.len()));
        }
        let mac = Hmac::new_from_slice(secret).map_err(|_| PeerKeyError::TooShort(secret.len()))?;
        Ok(Self { mac })
    }

    /// Signs a stamp; the tag is 64 hex digits of HMAC-SHA256.
    #[must_use]
    pub fn sign(&self, stamp: &PeerStamp) -> String {
        let tag = self.mac_of(stamp).finalize().into_bytes();
        format!("{tag:x}")
    }

    /// Checks a peer's tag in constant time, and its time against `now`, both since 1970.
    ///
    /// # Errors
    /// [`PeerKeyError::WrongTag`] or [`PeerKeyError::ClockDiffers`].
    pub fn verify(
        &self,
        stamp: &PeerStamp,
        tag: &str,
        now: Duration,
        allowed_difference: Duration,
    ) -> Result<(), PeerKeyError> {
        let tag = read_hex(tag).ok_or(PeerKeyError::WrongTag)?;
        self.mac_of(stamp)
            .verify_slice(&tag)
            .map_err(|_| PeerKeyError::WrongTag)?;
        let difference = now.abs_diff(stamp.sent_at);
        if difference > allowed_difference {
            return Err(PeerKeyError::ClockDiffers(difference));
        }
        Ok(())
    }

    fn mac_of(&self, stamp: &PeerStamp) -> Hmac<Sha256> {
        self.mac.clone().chain_update(stamp.to_bytes())
    }
}

fn read_hex(text: &str) -> Option<Vec<u8>> {
    if !text.len().is_multiple_of(2) || !text.bytes().all(|b| b.is_ascii_hexdigit()) {
        return None;
    }
    (0..text.len())
        .step_by(2)
        .map(|i| u8::from_str_radix(&text[i..i + 2], 16).ok())
        .collect()
}
