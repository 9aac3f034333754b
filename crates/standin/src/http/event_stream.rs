//! A stream of server-sent events.

use std::io::{self, Write};
use std::sync::Arc;

use chunked_transfer::Encoder;

use super::connection::Connection;

/// The connection to the caller; the end of the stream can be suppressed.
struct Output {
    writer: Box<dyn Write + Send>,
    /// Set when the stream is cut, so that the encoder's last chunk isn't sent.
    discard: bool,
}

impl Write for Output {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        if self.discard {
            return Ok(buf.len());
        }
        self.writer.write(buf)
    }

    fn flush(&mut self) -> io::Result<()> {
        self.writer.flush()
    }
}

impl Drop for Output {
    fn drop(&mut self) {
        // `Encoder` writes its last chunk in its own `drop`, which runs before this one.
        let _ = self.writer.flush();
    }
}

/// A chunked response of server-sent events; each event is flushed immediately.
pub(crate) struct EventStream {
    out: Encoder<Output>,
    connection: Arc<Connection>,
}

impl EventStream {
    pub(super) fn new(writer: Box<dyn Write + Send>, connection: Arc<Connection>) -> Self {
        let discard = false;
        Self {
            out: Encoder::new(Output { writer, discard }),
            connection,
        }
    }

    /// Sends one event.
    pub(crate) fn send(&mut self, data: &str) -> io::Result<()> {
        write!(self.out, "data: {data}\n\n")?;
        self.out.flush()?;
        self.out.get_mut().flush()
    }

    /// Returns whether the caller has closed its side.
    pub(crate) fn is_caller_disconnected(&self) -> bool {
        self.connection.is_caller_disconnected()
    }

    /// Ends the stream with its last chunk.
    pub(crate) fn end(self) {
        drop(self);
    }

    /// Closes the connection without the last chunk.
    pub(crate) fn cut(mut self) {
        self.out.get_mut().discard = true;
        self.connection.close_after_written();
    }
}
