//! Splits a server-sent event stream into whole events.

use bytes::{Bytes, BytesMut};

/// Largest event held back until it is whole, in bytes.
const MAX_EVENT: usize = 1 << 20;

/// Holds back the bytes of an event until its end has arrived.
#[derive(Debug, Default)]
pub struct EventSplitter {
    held: BytesMut,
}

/// Whole events, and the id of the last of them.
#[derive(Debug, PartialEq, Eq)]
pub struct WholeEvents {
    /// The bytes of one or more whole events.
    pub bytes: Bytes,
    /// The last id among them.
    pub last_id: Option<u64>,
    /// The first id among them.
    pub first_id: Option<u64>,
}

impl EventSplitter {
    /// Adds bytes; returns the events that are whole now.
    pub fn push(&mut self, bytes: &Bytes) -> Option<WholeEvents> {
        let whole = if self.held.is_empty() {
            let end = end_of_last_event(bytes).unwrap_or(0);
            self.held.extend_from_slice(&bytes[end..]);
            bytes.slice(..end)
        } else {
            self.held.extend_from_slice(bytes);
            let end = end_of_last_event(&self.held).unwrap_or(0);
            self.held.split_to(end).freeze()
        };
        if whole.is_empty() {
            return None;
        }
        let mut ids = ids_of(&whole);
        let first_id = ids.next();
        let last_id = ids.last().or(first_id);
        Some(WholeEvents {
            bytes: whole,
            last_id,
            first_id,
        })
    }

    /// Tells whether part of an event is held.
    #[must_use]
    pub fn has_part(&self) -> bool {
        !self.held.is_empty()
    }

    /// Tells whether the held part is larger than any event may be.
    #[must_use]
    pub fn is_overlong(&self) -> bool {
        self.held.len() > MAX_EVENT
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
