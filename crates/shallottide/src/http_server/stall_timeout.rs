//! Write time-out for connections whose client stops reading its answer.

use std::future::Future;
use std::io;
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::time::{Instant, Sleep, sleep};

/// Wraps a connection so that a write fails if it stays blocked for longer than the time-out.
pub(super) struct StallTimeout<Io> {
    io: Io,
    timeout: Duration,
    /// Expires when a write has been blocked for `timeout`; meaningful while `blocked`.
    timer: Pin<Box<Sleep>>,
    /// Whether the latest write is blocked.
    blocked: bool,
}

impl<Io> StallTimeout<Io> {
    pub(super) fn new(io: Io, timeout: Duration) -> Self {
        Self {
            io,
            timeout,
            timer: Box::pin(sleep(timeout)),
            blocked: false,
        }
    }

    /// Turns the result of a write into an error if writes have been blocked for too long.
    fn check_stall<T>(
        &mut self,
        cx: &mut Context<'_>,
        written: Poll<io::Result<T>>,
    ) -> Poll<io::Result<T>> {
        if written.is_ready() {
            self.blocked = false;
            return written;
        }
        if !self.blocked {
            self.blocked = true;
            self.timer.as_mut().reset(Instant::now() + self.timeout);
        }
        ready!(self.timer.as_mut().poll(cx));
        Poll::Ready(Err(io::ErrorKind::TimedOut.into()))
    }
}

impl<Io: AsyncRead + Unpin> AsyncRead for StallTimeout<Io> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.io).poll_read(cx, buf)
    }
}

impl<Io: AsyncWrite + Unpin> AsyncWrite for StallTimeout<Io> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.io).poll_write(cx, buf);
        self.check_stall(cx, written)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let flushed = Pin::new(&mut self.io).poll_flush(cx);
        self.check_stall(cx, flushed)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.io).poll_shutdown(cx)
    }
}
