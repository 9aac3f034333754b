//! Splits a stream of server-sent events into complete events.

use bytes::{Buf, Bytes, BytesMut};
use shallottide_types::event_stream::{BYTE_ORDER_MARK, Boundary, EventScanner, ids};

/// Largest part of a stream that is buffered until an event is complete, in bytes.
const MAX_BUFFERED_BYTES: usize = 256 << 10;

/// Buffers bytes until an event is complete.
///
/// Comments alone are no event: they are buffered, and returned with the next one.
#[derive(Debug, Default)]
pub struct EventSplitter {
    scanner: EventScanner,
    buffered: BytesMut,
    /// Length of the buffered bytes that hold only complete comments.
    comments: usize,
    /// Whether events or comments were returned.
    has_returned: bool,
    /// Whether a byte order mark is left out, as the stream continues another one.
    is_resumed: bool,
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
    /// Length of the byte order mark with which `bytes` begin.
    mark: usize,
}

impl WholeEvents {
    fn new(bytes: Bytes, is_first: bool) -> Self {
        let has_mark = is_first && bytes.starts_with(BYTE_ORDER_MARK);
        let mark = if has_mark { BYTE_ORDER_MARK.len() } else { 0 };
        let mut ids = ids(&bytes[mark..]);
        let first_id = ids.next();
        let last_id = ids.last().or(first_id);
        Self {
            bytes,
            last_id,
            first_id,
            mark,
        }
    }

    /// Returns the bytes without a byte order mark.
    #[must_use]
    pub fn text(&self) -> &[u8] {
        &self.bytes[self.mark..]
    }
}

impl EventSplitter {
    /// Creates the splitter of a stream that continues another one.
    #[must_use]
    pub fn resumed() -> Self {
        Self {
            is_resumed: true,
            ..Self::default()
        }
    }

    /// Adds bytes; returns the events that are complete now.
    pub fn push(&mut self, bytes: &Bytes) -> Option<WholeEvents> {
        let (mut end, mut has_event) = (0, false);
        for (position, byte) in (self.buffered.len() + 1..).zip(bytes) {
            match self.scanner.scan(*byte) {
                Boundary::None => continue,
                Boundary::Event => has_event = true,
                Boundary::Comments | Boundary::Same => {}
            }
            end = position;
        }
        if !has_event {
            self.buffered.extend_from_slice(bytes);
            self.comments = self.comments.max(end);
            return None;
        }
        self.comments = 0;
        let complete = if self.buffered.is_empty() {
            self.buffered.extend_from_slice(&bytes[end..]);
            bytes.slice(..end)
        } else {
            self.buffered.extend_from_slice(bytes);
            self.buffered.split_to(end).freeze()
        };
        Some(self.whole_events(complete))
    }

    /// Takes the comments that end a stream, if nothing else is buffered.
    pub fn take_last_comments(&mut self) -> Option<WholeEvents> {
        if self.buffered.is_empty() || self.buffered.len() > self.comments {
            return None;
        }
        self.comments = 0;
        let comments = self.buffered.split().freeze();
        Some(self.whole_events(comments))
    }

    /// Returns events, the first of which may begin with the stream's byte order mark.
    fn whole_events(&mut self, bytes: Bytes) -> WholeEvents {
        let is_first = !std::mem::replace(&mut self.has_returned, true);
        let mut events = WholeEvents::new(bytes, is_first);
        if self.is_resumed {
            events.bytes.advance(std::mem::take(&mut events.mark));
        }
        events
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
