//! How much of a call's answer the receiver has.

use bytes::Bytes;
use shallottide_types::call::{ReplyEvent, ReplyHead};
use shallottide_types::peer::ClaimEnd;

/// An event that doesn't fit the answer so far.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub(super) enum OutOfOrder {
    /// Data or an end before the head.
    #[error("the answer has no head")]
    NoHead,
    /// A second head in one attempt.
    #[error("the answer has two heads")]
    SecondHead,
    /// A resumed answer with another status.
    #[error("the resumed answer has another status")]
    OtherStatus,
}

/// Collects the events of the attempts and decides what the receiver gets.
///
/// An answer that is held back goes out whole at its end or when it outgrows the buffer.
#[derive(Debug)]
pub(super) struct Answer {
    /// Status and headers of the attempt in flight.
    head: Option<ReplyHead>,
    /// Status of the head that the receiver has.
    sent_status: Option<u16>,
    /// Body parts that the receiver has.
    sent_parts: u64,
    /// Bytes that may still be held back; `None` when parts go out at once.
    room: Option<usize>,
    held: Vec<Bytes>,
    /// Body for the claim's record; `None` when not wanted or too large.
    kept: Option<Vec<u8>>,
    max_kept: usize,
}

impl Answer {
    /// Creates an empty answer, held back up to `buffer` bytes when given.
    pub(super) fn new(buffer: Option<usize>) -> Self {
        Self {
            head: None,
            sent_status: None,
            sent_parts: 0,
            room: buffer,
            held: Vec::new(),
            kept: None,
            max_kept: 0,
        }
    }

    /// Keeps the body for the claim's record, when it is no larger.
    pub(super) fn keep_body(&mut self, max_bytes: usize) {
        self.max_kept = max_bytes;
        self.kept = Some(Vec::new());
    }

    /// Returns the number of body parts that the receiver has.
    pub(super) fn sent_parts(&self) -> u64 {
        self.sent_parts
    }

    /// Forgets what the attempt in flight brought and the receiver doesn't have.
    pub(super) fn restart(&mut self) {
        self.head = None;
        if self.sent_parts == 0 {
            self.held.clear();
            self.kept = self.kept.take().map(|_| Vec::new());
        }
    }

    pub(super) fn on_head(&mut self, head: ReplyHead) -> Result<Vec<ReplyEvent>, OutOfOrder> {
        if self.head.is_some() {
            return Err(OutOfOrder::SecondHead);
        }
        if self.sent_status.is_some_and(|sent| sent != head.status) {
            return Err(OutOfOrder::OtherStatus);
        }
        self.head = Some(head);
        Ok(self.send_head_if_open())
    }

    pub(super) fn on_data(&mut self, data: Bytes) -> Result<Vec<ReplyEvent>, OutOfOrder> {
        if self.head.is_none() {
            return Err(OutOfOrder::NoHead);
        }
        self.keep(&data);
        self.room = self.room.and_then(|room| room.checked_sub(data.len()));
        self.held.push(data);
        if self.room.is_some() {
            return Ok(Vec::new());
        }
        let mut events = self.send_head_if_open();
        events.extend(self.flush());
        Ok(events)
    }

    pub(super) fn on_end(&mut self) -> Result<Vec<ReplyEvent>, OutOfOrder> {
        if self.head.is_none() {
            return Err(OutOfOrder::NoHead);
        }
        self.room = None;
        let mut events = self.send_head_if_open();
        events.extend(self.flush());
        events.push(ReplyEvent::End);
        Ok(events)
    }

    /// Returns the outcome to record after the end.
    pub(super) fn outcome(&mut self) -> ClaimEnd {
        let Some(head) = self.head.take() else {
            return ClaimEnd::Unknown;
        };
        ClaimEnd::Ran {
            status: head.status,
            content_type: head.content_type,
            body: self.kept.take().map(Bytes::from),
        }
    }

    fn send_head_if_open(&mut self) -> Vec<ReplyEvent> {
        if self.room.is_some() || self.sent_status.is_some() {
            return Vec::new();
        }
        let head = self.head.clone();
        self.sent_status = head.as_ref().map(|head| head.status);
        head.map(ReplyEvent::Head).into_iter().collect()
    }

    fn flush(&mut self) -> Vec<ReplyEvent> {
        let held = std::mem::take(&mut self.held);
        self.sent_parts += held.len() as u64;
        held.into_iter().map(ReplyEvent::Data).collect()
    }

    fn keep(&mut self, data: &Bytes) {
        let max = self.max_kept;
        if let Some(kept) = &mut self.kept {
            kept.extend_from_slice(data);
        }
        self.kept = self.kept.take().filter(|kept| kept.len() <= max);
    }
}
