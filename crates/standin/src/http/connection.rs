//! A relayed connection.

use std::io::{Read, Write};
use std::net::{Shutdown, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};

const BUFFER_BYTES: usize = 16 * 1024;

/// A relayed connection: the caller's socket and the socket to the server behind the gate.
#[derive(Debug)]
pub(super) struct Connection {
    caller: TcpStream,
    server: TcpStream,
    muted: AtomicBool,
    caller_disconnected: AtomicBool,
}

impl Connection {
    /// Creates a relay between two sockets.
    pub(super) fn new(caller: TcpStream, server: TcpStream) -> Self {
        Self {
            caller,
            server,
            muted: AtomicBool::new(false),
            caller_disconnected: AtomicBool::new(false),
        }
    }

    /// Returns whether the caller has closed its side or lost the connection.
    pub(super) fn is_caller_disconnected(&self) -> bool {
        self.caller_disconnected.load(Ordering::Relaxed)
    }

    /// Discards all further bytes in both directions without closing.
    pub(super) fn mute(&self) {
        self.muted.store(true, Ordering::Relaxed);
    }

    /// Closes both sockets immediately; bytes in flight may be lost.
    pub(super) fn close(&self) {
        self.caller_disconnected.store(true, Ordering::Relaxed);
        let _ = self.caller.shutdown(Shutdown::Both);
        let _ = self.server.shutdown(Shutdown::Both);
    }

    /// Closes the caller's socket after relaying what the server has written so far.
    pub(super) fn close_after_written(&self) {
        let _ = self.server.shutdown(Shutdown::Read);
    }

    /// Relays the caller's bytes until the caller closes its side.
    pub(super) fn relay_requests(&self) {
        self.copy(&self.caller, &self.server);
        self.caller_disconnected.store(true, Ordering::Relaxed);
        let _ = self.server.shutdown(Shutdown::Write);
    }

    /// Relays the server's bytes until the server closes its side or a write to the caller fails.
    pub(super) fn relay_responses(&self) {
        self.copy(&self.server, &self.caller);
        if !self.muted.load(Ordering::Relaxed) {
            self.close();
        }
    }

    fn copy(&self, mut from: &TcpStream, mut to: &TcpStream) {
        let mut buf = vec![0; BUFFER_BYTES];
        loop {
            let read = from.read(&mut buf).unwrap_or_default();
            if read == 0 {
                return;
            }
            let muted = self.muted.load(Ordering::Relaxed);
            if !muted && to.write_all(&buf[..read]).is_err() {
                return;
            }
        }
    }
}
