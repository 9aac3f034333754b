//! Splits a byte stream into frames.

use super::CodecError;
use super::message_bytes::{LENGTH_BYTES, MAX_MESSAGE_BYTES};

/// Reassembles messages from the chunks of a stream of frames.
#[derive(Debug, Default)]
pub struct FrameReader {
    /// Bytes not yet returned. Invariant: at most one frame and the last chunk.
    buf: Vec<u8>,
}

impl FrameReader {
    /// Appends a chunk. Call [`FrameReader::next_message`] until it returns `None` before the
    /// next chunk, so that the buffer stays bounded.
    pub fn push(&mut self, chunk: &[u8]) {
        self.buf.extend_from_slice(chunk);
    }

    /// Removes and returns the next complete message, for [`decode`](super::decode).
    ///
    /// # Errors
    /// [`CodecError::TooLong`] as soon as the length is known; the stream can't be read further.
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

    /// Returns whether no partial message is buffered, so that the stream may end here.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.buf.is_empty()
    }
}
