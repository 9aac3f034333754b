//! One relayed connection.

use std::io::{Read, Write};
use std::net::{Shutdown, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};

const BUFFER_BYTES: usize = 16 * 1024;

/// One connection: the caller's socket and the one to the server behind the gate.
#[derive(Debug)]
pub(super) struct Connection {
    caller: TcpStream,
    server: TcpStream,
    muted: AtomicBool,
    caller_gone: AtomicBool,
}

impl Connection {
    /// Joins two sockets.
    pub(super) fn new(caller: TcpStream, server: TcpStream) -> Self {
        Self {
            caller,
            server,
            muted: AtomicBool::new(false),
            caller_gone: AtomicBool::new(false),
        }
    }

    /// Tells whether the caller has closed its side or lost the connection.
    pub(super) fn is_caller_gone(&self) -> bool {
        self.caller_gone.load(Ordering::Relaxed)
    }

    /// Drops all bytes from now on, in both directions, without closing.
    pub(super) fn mute(&self) {
        self.muted.store(true, Ordering::Relaxed);
    }

    /// Closes both sockets at once; bytes under way may be lost.
    pub(super) fn close(&self) {
        self.caller_gone.store(true, Ordering::Relaxed);
        let _ = self.caller.shutdown(Shutdown::Both);
        let _ = self.server.shutdown(Shutdown::Both);
    }

    /// Closes towards the caller after the bytes that the server has written so far.
    pub(super) fn close_after_written(&self) {
        let _ = self.server.shutdown(Shutdown::Read);
    }

    /// Relays the caller's bytes until its side ends.
    pub(super) fn relay_requests(&self) {
        self.copy(&self.caller, &self.server);
        self.caller_gone.store(true, Ordering::Relaxed);
        let _ = self.server.shutdown(Shutdown::Write);
    }

    /// Relays the server's bytes until its side ends or the caller takes no more.
    pub(super) fn relay_answers(&self) {
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
