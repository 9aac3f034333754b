//! Encodes and decodes single messages.

use bincode::config::{Configuration, Limit, LittleEndian, Varint, standard};
use serde::Serialize;
use serde::de::DeserializeOwned;

use super::CodecError;

/// First byte of every message.
pub const PROTOCOL_VERSION: u8 = 1;

/// Largest message in bytes, with its version byte.
pub const MAX_MESSAGE_BYTES: usize = 16 << 20;

/// Size of a frame's length prefix.
pub(super) const LENGTH_BYTES: usize = 4;

/// Largest message body whose decoding is limited to [`SMALL_DECODED_BYTES`].
const SMALL_MESSAGE_BYTES: usize = 64 << 10;

/// Memory that decoding a small message may take: a one-byte varint can become a 16-byte integer.
const SMALL_DECODED_BYTES: usize = 16 * SMALL_MESSAGE_BYTES;

/// Memory that decoding any message may take. Large messages are mostly bodies, which don't grow.
const MAX_DECODED_BYTES: usize = 4 * MAX_MESSAGE_BYTES;

/// Encodes a message.
///
/// # Panics
/// If the type contains something that bincode can't encode, such as an internally tagged enum.
#[must_use]
pub fn encode<T: Serialize>(message: &T) -> Vec<u8> {
    let mut bytes = vec![PROTOCOL_VERSION];
    bincode::serde::encode_into_std_write(message, &mut bytes, standard())
        .expect("peer messages are encodable, and writes to a Vec don't fail");
    bytes
}

/// Encodes a message as one frame of a stream.
///
/// # Errors
/// [`CodecError::TooLong`] if the message has more than [`MAX_MESSAGE_BYTES`] bytes.
pub fn encode_frame<T: Serialize>(message: &T) -> Result<Vec<u8>, CodecError> {
    let bytes = encode(message);
    let len = u32::try_from(bytes.len())
        .ok()
        .filter(|_| bytes.len() <= MAX_MESSAGE_BYTES)
        .ok_or(CodecError::TooLong(bytes.len()))?;
    Ok([&len.to_be_bytes(), bytes.as_slice()].concat())
}

/// Decodes a message that spans all of `bytes`.
///
/// # Errors
/// Any [`CodecError`], if the bytes are not the encoding of a `T`.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, CodecError> {
    if bytes.len() > MAX_MESSAGE_BYTES {
        return Err(CodecError::TooLong(bytes.len()));
    }
    match bytes {
        [] => Err(CodecError::Empty),
        [PROTOCOL_VERSION, body @ ..] if body.len() <= SMALL_MESSAGE_BYTES => {
            decode_body(body, standard().with_limit::<SMALL_DECODED_BYTES>())
        }
        [PROTOCOL_VERSION, body @ ..] => {
            decode_body(body, standard().with_limit::<MAX_DECODED_BYTES>())
        }
        [version, ..] => Err(CodecError::Version(*version)),
    }
}

fn decode_body<T: DeserializeOwned, const LIMIT: usize>(
    body: &[u8],
    config: Configuration<LittleEndian, Varint, Limit<LIMIT>>,
) -> Result<T, CodecError> {
    let (message, used) = bincode::serde::decode_from_slice(body, config)
        .map_err(|e| CodecError::Malformed(e.to_string()))?;
    match body.len() - used {
        0 => Ok(message),
        rest => Err(CodecError::Trailing(rest)),
    }
}
