//! Encoding of a partition's stored values.

use serde::Serialize;
use serde::de::DeserializeOwned;

/// Maximum size of a value that is decoded, in bytes.
const MAX_VALUE_BYTES: usize = 2 << 20;

/// Format version: first byte of every value. Any other value is refused.
const FORMAT: u8 = 1;

/// Error of decoding a stored value.
#[derive(Debug, thiserror::Error)]
pub(super) enum CodecError {
    /// The value was written by another program version.
    #[error("claims value has format {0}, expected {FORMAT}: run one program version, then retry")]
    Format(u8),
    /// The bytes are empty or cannot be decoded.
    #[error("claims value cannot be decoded ({0}): restore it from the platform's backup")]
    Malformed(String),
}

pub(super) fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    let config = bincode::config::standard();
    bincode::serde::encode_to_vec((FORMAT, value), config).expect("plain data can be encoded")
}

pub(super) fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, CodecError> {
    match bytes.first() {
        Some(&FORMAT) => {}
        Some(&other) => return Err(CodecError::Format(other)),
        None => return Err(CodecError::Malformed("empty".into())),
    }
    let config = bincode::config::standard().with_limit::<MAX_VALUE_BYTES>();
    let (value, _) = bincode::serde::decode_from_slice(&bytes[1..], config)
        .map_err(|e| CodecError::Malformed(e.to_string()))?;
    Ok(value)
}
