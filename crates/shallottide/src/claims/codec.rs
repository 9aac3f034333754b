//! The stored form of a partition's values.

use serde::Serialize;
use serde::de::DeserializeOwned;

/// Longest value that is read, in bytes.
const MAX_VALUE_BYTES: usize = 2 << 20;

/// First byte of every value; a reader refuses any other.
const FORMAT: u8 = 1;

/// Why a stored value can't be used.
#[derive(Debug, thiserror::Error)]
pub(super) enum CodecError {
    /// Another program version wrote it.
    #[error("claims value has format {0}, not {FORMAT}: run one program version, then retry")]
    Format(u8),
    /// The bytes are not a value.
    #[error("claims value can't be read ({0}): restore it from the platform's backup")]
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
