//! Splits a stream of server-sent events into complete events.

use bytes::{Bytes, BytesMut};

/// Largest part of a stream that is buffered until an event is complete, in bytes.
const MAX_BUFFERED_BYTES: usize = 256 << 10;

/// Buffers bytes until an event is complete.
///
/// Comments alone are no event: they are buffered, and returned with the next one.
#[derive(Debug, Default)]
pub struct EventSplitter {
    buffered: BytesMut,
    /// Length of the buffered bytes that hold only complete comments.
    comments: usize,
}

/// Complete events, with the first and the last id among them.
#[derive(Debug, PartialEq, Eq)]
pub struct WholeEvents {
    /// The bytes of one or more complete events.
    pub bytes: Bytes,
    /// The last event id in `bytes`, if any.
    pub last_id: Option<u64>,
    /// The first event id in `bytes`, if any.
    pub first_id: Option<u64>,
}

impl EventSplitter {
    /// Adds bytes; returns the events that are complete now.
    pub fn push(&mut self, bytes: &Bytes) -> Option<WholeEvents> {
        let complete = if self.buffered.is_empty() {
            let end = end_of_last_event(bytes).unwrap_or(0);
            if has_fields(&bytes[..end]) {
                self.buffered.extend_from_slice(&bytes[end..]);
                bytes.slice(..end)
            } else {
                self.buffered.extend_from_slice(bytes);
                self.comments = end;
                return None;
            }
        } else {
            // The first byte of a terminator may have been buffered before.
            let searched = self.buffered.len().saturating_sub(1).max(self.comments);
            self.buffered.extend_from_slice(bytes);
            let end = searched + end_of_last_event(&self.buffered[searched..])?;
            if !has_fields(&self.buffered[self.comments..end]) {
                self.comments = end;
                return None;
            }
            self.comments = 0;
            self.buffered.split_to(end).freeze()
        };
        let mut ids = ids_of(&complete);
        let first_id = ids.next();
        let last_id = ids.last().or(first_id);
        Some(WholeEvents {
            bytes: complete,
            last_id,
            first_id,
        })
    }

    /// Takes the comments that end a stream, if nothing else is buffered.
    pub fn take_last_comments(&mut self) -> Option<WholeEvents> {
        if self.buffered.is_empty() || self.buffered.len() > self.comments {
            return None;
        }
        self.comments = 0;
        Some(WholeEvents {
            bytes: self.buffered.split().freeze(),
            last_id: None,
            first_id: None,
        })
    }

    /// Returns whether any bytes are buffered.
    #[must_use]
    pub fn has_part(&self) -> bool {
        !self.buffered.is_empty()
    }

    /// Returns whether more is buffered than any event may need.
    #[must_use]
    pub fn is_overlong(&self) -> bool {
        self.buffered.len() > MAX_BUFFERED_BYTES
    }
}

fn end_of_last_event(bytes: &[u8]) -> Option<usize> {
    (2..=bytes.len())
        .rev()
        .find(|&end| &bytes[end - 2..end] == b"\n\n")
}

/// Returns whether any line is neither empty nor a comment.
fn has_fields(events: &[u8]) -> bool {
    let mut lines = events.split(|&b| b == b'\n');
    lines.any(|line| !line.is_empty() && line[0] != b':')
}

/// Returns the ids of complete events, in order.
pub(crate) fn ids_of(events: &[u8]) -> impl Iterator<Item = u64> + '_ {
    events.split(|&b| b == b'\n').filter_map(|line| {
        let value = line.strip_prefix(b"id:")?;
        std::str::from_utf8(value).ok()?.trim().parse().ok()
    })
}
