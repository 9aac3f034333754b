//! Reads an answer's body and checks that it is complete.

use std::io::Read;

use bytes::{Buf, Bytes, BytesMut};
use serde_json::{Map, Value};
use shallottide_types::event_stream::{BYTE_ORDER_MARK, Boundary, EventScanner, fields};

/// Size of the read buffer in bytes.
const READ_BUFFER_BYTES: usize = 16 << 10;

/// Largest accepted server-sent event in bytes.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// Start of the data of the event that ends a stream.
const DONE: &[u8] = b"[DONE]";

/// Why a body is incomplete or can't be checked.
#[derive(Debug, thiserror::Error)]
pub(super) enum AnswerError {
    /// The connection failed, or no data arrived within the idle timeout.
    #[error("the upstream's answer stopped: {0}")]
    Io(#[from] std::io::Error),
    /// The body's size differs from the announced length.
    #[error("the upstream announced {content_length} bytes and sent {received}")]
    LengthMismatch {
        /// The announced length.
        content_length: u64,
        /// Bytes received.
        received: u64,
    },
    /// The stream ended without the `[DONE]` event.
    #[error("the upstream's stream ended without its last event")]
    MissingDone,
    /// The answer to a request to resume a stream holds something other than its events.
    #[error("the upstream sent an error, or no event, in place of the stream's next one")]
    NotContinued,
    /// An event is longer than `MAX_EVENT_BYTES`.
    #[error("the upstream sent an event of more than {MAX_EVENT_BYTES} bytes")]
    EventTooLong,
    /// The headers don't say where the answer ends.
    #[error("the upstream's answer has neither a length nor chunks: its end can't be checked")]
    UnknownLength,
}

/// Passes a plain body to `on_part` as it arrives and checks its length.
pub(super) fn read_plain(
    mut body: impl Read,
    content_length: Option<u64>,
    mut on_part: impl FnMut(Bytes),
) -> Result<(), AnswerError> {
    let mut buf = vec![0; READ_BUFFER_BYTES];
    let mut received = 0;
    loop {
        let n = body.read(&mut buf)?;
        if n == 0 {
            break;
        }
        received += n as u64;
        on_part(Bytes::copy_from_slice(&buf[..n]));
    }
    match content_length {
        Some(content_length) if content_length != received => Err(AnswerError::LengthMismatch {
            content_length,
            received,
        }),
        _ => Ok(()),
    }
}

/// Passes a stream to `on_event` event by event, including `[DONE]`, and checks that `[DONE]`
/// arrived. If the stream `is_resumed`, its caller has a part of it, so that an error does not pass.
pub(super) fn read_events(
    mut body: impl Read,
    is_resumed: bool,
    mut on_event: impl FnMut(Bytes),
) -> Result<(), AnswerError> {
    let mut buf = vec![0; READ_BUFFER_BYTES];
    let mut scanner = EventScanner::default();
    let mut pending = BytesMut::new();
    let mut position = 0;
    let mut is_start = true;
    loop {
        let n = body.read(&mut buf)?;
        if n == 0 {
            return Err(AnswerError::MissingDone);
        }
        pending.extend_from_slice(&buf[..n]);
        while let Some(byte) = pending.get(position) {
            position += 1;
            if !matches!(scanner.scan(*byte), Boundary::Event | Boundary::Comments) {
                continue;
            }
            if *byte == b'\r' && pending.get(position) == Some(&b'\n') {
                scanner.scan(b'\n');
                position += 1;
            }
            let mut event = pending.split_to(std::mem::take(&mut position)).freeze();
            let has_mark = std::mem::take(&mut is_start) && event.starts_with(BYTE_ORDER_MARK);
            let mark = if has_mark { BYTE_ORDER_MARK.len() } else { 0 };
            let done = is_done(&event[mark..]);
            if is_resumed && !continues_stream(&event[mark..]) {
                return Err(AnswerError::NotContinued);
            }
            if is_resumed {
                event.advance(mark);
            }
            on_event(event);
            if done {
                return Ok(());
            }
        }
        if pending.len() > MAX_EVENT_BYTES {
            return Err(AnswerError::EventTooLong);
        }
    }
}

/// Returns whether an event is the one that ends a stream.
fn is_done(event: &[u8]) -> bool {
    let first = fields(event).next();
    first.is_some_and(|field| field.name == b"data" && field.value.starts_with(DONE))
}

/// Returns whether a block consists of fields and comments, and is no error.
fn continues_stream(event: &[u8]) -> bool {
    let mut data = Vec::new();
    for field in fields(event) {
        let value = field.value;
        match field.name {
            b"event" if value.trim_ascii() == b"error" => return false,
            b"data" => data.extend_from_slice(value),
            _ if field.is_defined() => {}
            _ => return false,
        }
    }
    !is_error_object(&data)
}

fn is_error_object(data: &[u8]) -> bool {
    let object = serde_json::from_slice::<Map<String, Value>>(data).unwrap_or_default();
    object.get("error").is_some_and(|error| !error.is_null())
}
