//! Splits a stream of bytes into frames.

use super::CodecError;
use super::message_bytes::{LENGTH_BYTES, MAX_MESSAGE_BYTES};

/// Takes chunks of a stream and gives its whole messages.
#[derive(Debug, Default)]
pub struct FrameReader {
    /// Bytes not yet given out. Invariant: at most one frame and the last chunk.
    buf: Vec<u8>,
}

impl FrameReader {
    /// Adds a chunk. Call [`FrameReader::next_message`] until it gives nothing before the next.
    pub fn push(&mut self, chunk: &[u8]) {
        self.buf.extend_from_slice(chunk);
    }

    /// Takes the next whole message out, ready for [`decode`](super::decode).
    ///
    /// # Errors
    /// [`CodecError::TooLong`] as soon as the length is known; the stream is of no more use.
    pub fn next_message(&mut self) -> Result<Option<Vec<u8>>, CodecError> {
        let Some((length, rest)) = self.buf.split_first_chunk::<LENGTH_BYTES>() else {
            return Ok(None);
        };
        let len = u32::from_be_bytes(*length) as usize;
        if len > MAX_MESSAGE_BYTES {
            return Err(CodecError::TooLong(len));
        }
        if rest.len() < len {
            return Ok(None);
        }
        let message = rest[..len].to_vec();
        self.buf.drain(..LENGTH_BYTES + len);
        Ok(Some(message))
    }

    /// Tells whether no part of a message is left, so that the stream may end here.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.buf.is_empty()
    }
}
