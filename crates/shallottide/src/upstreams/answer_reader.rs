//! Reads an answer's body and tells whether it is whole.

use std::io::Read;

use bytes::{Bytes, BytesMut};

/// Bytes read at a time.
const READ_BYTES: usize = 16 << 10;

/// Longest server-sent event in bytes.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// The event that ends a stream.
const DONE_EVENT: &[u8] = b"data: [DONE]";

/// Why a body is not whole.
#[derive(Debug, thiserror::Error)]
pub(super) enum AnswerError {
    /// The connection failed or went silent.
    #[error("the upstream's answer stopped: {0}")]
    Io(#[from] std::io::Error),
    /// Fewer bytes came than the upstream announced.
    #[error("the upstream announced {announced} bytes and sent {got}")]
    Short {
        /// Announced length.
        announced: u64,
        /// Bytes that came.
        got: u64,
    },
    /// The stream ended without its last event.
    #[error("the upstream's stream ended without its last event")]
    NoDone,
    /// One event is too long.
    #[error("the upstream sent an event of more than {MAX_EVENT_BYTES} bytes")]
    EventTooLong,
    /// Nothing tells where the answer ends.
    #[error("the upstream's answer has neither a length nor chunks: its end can't be checked")]
    NoFraming,
}

/// Passes a plain body on in parts and checks its length.
pub(super) fn read_plain(
    mut body: impl Read,
    announced: Option<u64>,
    mut pass: impl FnMut(Bytes),
) -> Result<(), AnswerError> {
    let mut buf = vec![0; READ_BYTES];
    let mut got = 0;
    loop {
        let n = body.read(&mut buf)?;
        if n == 0 {
            break;
        }
        got += n as u64;
        pass(Bytes::copy_from_slice(&buf[..n]));
    }
    match announced {
        Some(announced) if announced != got => Err(AnswerError::Short { announced, got }),
        _ => Ok(()),
    }
}

/// Passes a stream on event by event, its last event included, and checks that this came.
pub(super) fn read_events(
    mut body: impl Read,
    mut pass: impl FnMut(Bytes),
) -> Result<(), AnswerError> {
    let mut buf = vec![0; READ_BYTES];
    let mut pending = BytesMut::new();
    loop {
        let n = body.read(&mut buf)?;
        if n == 0 {
            return Err(AnswerError::NoDone);
        }
        pending.extend_from_slice(&buf[..n]);
        while let Some(end) = event_end(&pending) {
            let event = pending.split_to(end).freeze();
            let done = event.starts_with(DONE_EVENT);
            pass(event);
            if done {
                return Ok(());
            }
        }
        if pending.len() > MAX_EVENT_BYTES {
            return Err(AnswerError::EventTooLong);
        }
    }
}

/// Returns the length of the first event with its blank line.
fn event_end(pending: &[u8]) -> Option<usize> {
    let lf = pending
        .windows(2)
        .position(|w| w == b"\n\n")
        .map(|at| at + 2);
    let crlf = pending
        .windows(4)
        .position(|w| w == b"\r\n\r\n")
        .map(|at| at + 4);
    match (lf, crlf) {
        (Some(lf), Some(crlf)) => Some(lf.min(crlf)),
        (lf, crlf) => lf.or(crlf),
    }
}
