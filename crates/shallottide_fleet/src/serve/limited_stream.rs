//! A connection's byte stream with a limit on bytes that complete no part of a message.

use std::cell::Cell;
use std::io::{Error, ErrorKind, IoSlice, Result};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// Bytes that a peer may send before the next part of its message is complete: a head, or some data
/// of a body. Bounds endless heads, interim responses, chunk sizes and trailers.
const MAX_UNFINISHED_BYTES: usize = 64 << 10;

/// The bytes that a connection may still receive before a part of a message is complete.
#[derive(Debug, Clone)]
pub(super) struct ReadAllowance(Rc<Cell<usize>>);

impl Default for ReadAllowance {
    fn default() -> Self {
        Self(Rc::new(Cell::new(MAX_UNFINISHED_BYTES)))
    }
}

impl ReadAllowance {
    /// Records that a request is sent, or that a part of its response is complete.
    pub(super) fn renew(&self) {
        self.0.set(MAX_UNFINISHED_BYTES);
    }
}

/// A TCP stream whose reads fail once its allowance is used up.
#[derive(Debug)]
pub(super) struct LimitedStream {
    stream: TcpStream,
    allowance: ReadAllowance,
}

impl LimitedStream {
    pub(super) fn new(stream: TcpStream, allowance: ReadAllowance) -> Self {
        Self { stream, allowance }
    }
}

impl AsyncRead for LimitedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<Result<()>> {
        let left = self.allowance.0.get();
        if left == 0 {
            let message = "too many bytes without a complete part of a response";
            return Poll::Ready(Err(Error::new(ErrorKind::InvalidData, message)));
        }
        let before = buf.filled().len();
        let result = Pin::new(&mut self.stream).poll_read(cx, buf);
        let read = buf.filled().len() - before;
        self.allowance.0.set(left.saturating_sub(read));
        result
    }
}

impl AsyncWrite for LimitedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
