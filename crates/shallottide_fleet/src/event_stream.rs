//! Splits a stream of server-sent events into complete events.

use bytes::{Bytes, BytesMut};

/// Largest part of an event that is buffered, in bytes.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// Buffers the bytes of an event until its end has arrived.
#[derive(Debug, Default)]
pub struct EventSplitter {
    buffered: BytesMut,
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
            self.buffered.extend_from_slice(&bytes[end..]);
            bytes.slice(..end)
        } else {
            self.buffered.extend_from_slice(bytes);
            let end = end_of_last_event(&self.buffered).unwrap_or(0);
            self.buffered.split_to(end).freeze()
        };
        if complete.is_empty() {
            return None;
        }
        let mut ids = ids_of(&complete);
        let first_id = ids.next();
        let last_id = ids.last().or(first_id);
        Some(WholeEvents {
            bytes: complete,
            last_id,
            first_id,
        })
    }

    /// Returns whether part of an event is buffered.
    #[must_use]
    pub fn has_part(&self) -> bool {
        !self.buffered.is_empty()
    }

    /// Returns whether the buffered part is larger than any event may be.
    #[must_use]
    pub fn is_overlong(&self) -> bool {
        self.buffered.len() > MAX_EVENT_BYTES
    }
}

fn end_of_last_event(bytes: &[u8]) -> Option<usize> {
    (2..=bytes.len())
        .rev()
        .find(|&end| &bytes[end - 2..end] == b"\n\n")
}

fn ids_of(events: &[u8]) -> impl Iterator<Item = u64> + '_ {
    events.split(|&b| b == b'\n').filter_map(|line| {
        let value = line.strip_prefix(b"id:")?;
        std::str::from_utf8(value).ok()?.trim().parse().ok()
    })
}
