//! Buffering of a call's answer over its attempts.

use bytes::Bytes;
use shallottide_types::call::{ReplyEvent, ReplyHead};
use shallottide_types::peer::ClaimEnd;

/// Content type of event streams, which parameters may follow.
const EVENT_STREAM: &str = "text/event-stream";

/// Error of an event that does not fit the answer so far.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub(super) enum AnswerError {
    /// Data or end arrived before the head.
    #[error("the answer has no head")]
    NoHead,
    /// A second head arrived in one attempt.
    #[error("the answer has two heads")]
    SecondHead,
    /// The resumed answer has another status or content type than the part already sent.
    #[error("the resumed answer has another status or content type")]
    Differs,
}

/// Collects the events of a call's attempts and decides when they are sent to the receiver.
///
/// A buffered answer is sent at its end, or from the point where it exceeds the buffer.
#[derive(Debug)]
pub(super) struct AnswerBuffer {
    /// Status and headers of the current attempt.
    head: Option<ReplyHead>,
    /// Status and headers sent to the receiver; `None` before they were sent.
    sent_head: Option<ReplyHead>,
    /// Number of body parts sent to the receiver.
    sent_parts: u64,
    /// Remaining buffer space in bytes; `None` when parts are sent immediately.
    buffer_left: Option<usize>,
    /// Parts not sent yet.
    unsent: Vec<Bytes>,
    /// Body to record with the claim; `None` if not requested or too large.
    recorded_body: Option<Vec<u8>>,
    /// Maximum size in bytes of the recorded body.
    max_recorded_bytes: usize,
}

impl AnswerBuffer {
    /// Creates an empty answer that buffers up to `buffer` bytes, or none.
    pub(super) fn new(buffer: Option<usize>) -> Self {
        Self {
            head: None,
            sent_head: None,
            sent_parts: 0,
            buffer_left: buffer,
            unsent: Vec::new(),
            recorded_body: None,
            max_recorded_bytes: 0,
        }
    }

    /// Enables recording the body for the claim, if it is not larger than `max_bytes`.
    pub(super) fn record_body(&mut self, max_bytes: usize) {
        self.max_recorded_bytes = max_bytes;
        self.recorded_body = Some(Vec::new());
    }

    /// Returns the number of body parts sent to the receiver.
    pub(super) fn sent_parts(&self) -> u64 {
        self.sent_parts
    }

    /// Returns whether another attempt may go on after the parts sent: an event stream has as many
    /// parts as events, other bodies have parts of any size.
    pub(super) fn can_resume(&self) -> bool {
        let head = self.sent_head.as_ref();
        let is_stream = head.is_some_and(|head| head.content_type.starts_with(EVENT_STREAM));
        self.sent_parts == 0 || is_stream
    }

    /// Discards the parts of the current attempt that were not sent to the receiver.
    pub(super) fn restart(&mut self) {
        self.head = None;
        if self.sent_parts == 0 {
            self.unsent.clear();
            self.recorded_body = self.recorded_body.take().map(|_| Vec::new());
        }
    }

    pub(super) fn on_head(&mut self, head: ReplyHead) -> Result<Vec<ReplyEvent>, AnswerError> {
        if self.head.is_some() {
            return Err(AnswerError::SecondHead);
        }
        if self.sent_head.as_ref().is_some_and(|sent| *sent != head) {
            return Err(AnswerError::Differs);
        }
        self.head = Some(head);
        Ok(self.send_head_if_unbuffered())
    }

    pub(super) fn on_data(&mut self, data: Bytes) -> Result<Vec<ReplyEvent>, AnswerError> {
        if self.head.is_none() {
            return Err(AnswerError::NoHead);
        }
        self.record(&data);
        self.buffer_left = self
            .buffer_left
            .and_then(|left| left.checked_sub(data.len()));
        self.unsent.push(data);
        if self.buffer_left.is_some() {
            return Ok(Vec::new());
        }
        let mut events = self.send_head_if_unbuffered();
        events.extend(self.flush());
        Ok(events)
    }

    pub(super) fn on_end(&mut self) -> Result<Vec<ReplyEvent>, AnswerError> {
        if self.head.is_none() {
            return Err(AnswerError::NoHead);
        }
        self.buffer_left = None;
        let mut events = self.send_head_if_unbuffered();
        events.extend(self.flush());
        events.push(ReplyEvent::End);
        Ok(events)
    }

    /// Returns the outcome to record for the claim. Call after the end event.
    pub(super) fn outcome(&mut self) -> ClaimEnd {
        let Some(head) = self.head.take() else {
            return ClaimEnd::Unknown;
        };
        ClaimEnd::Ran {
            status: head.status,
            content_type: head.content_type,
            body: self.recorded_body.take().map(Bytes::from),
        }
    }

    fn send_head_if_unbuffered(&mut self) -> Vec<ReplyEvent> {
        if self.buffer_left.is_some() || self.sent_head.is_some() {
            return Vec::new();
        }
        self.sent_head.clone_from(&self.head);
        let head = self.head.clone();
        head.map(ReplyEvent::Head).into_iter().collect()
    }

    fn flush(&mut self) -> Vec<ReplyEvent> {
        let parts = std::mem::take(&mut self.unsent);
        self.sent_parts += parts.len() as u64;
        parts.into_iter().map(ReplyEvent::Data).collect()
    }

    fn record(&mut self, data: &Bytes) {
        let max = self.max_recorded_bytes;
        if let Some(body) = &mut self.recorded_body {
            body.extend_from_slice(data);
        }
        self.recorded_body = self.recorded_body.take().filter(|body| body.len() <= max);
    }
}
