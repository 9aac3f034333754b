//! JSON logging to standard output from a separate thread, so that a slow reader never blocks the
//! node.

use std::io::{self, Write};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use tracing_subscriber::fmt::MakeWriter;

/// Largest amount of buffered log lines, in bytes; further lines are dropped and counted.
const MAX_BUFFERED_BYTES: usize = 256 * 1024;
/// Interval at which buffered lines are written.
const FLUSH_INTERVAL: Duration = Duration::from_millis(150);

static BUFFER: Mutex<Vec<u8>> = Mutex::new(Vec::new());
static DROPPED: AtomicU64 = AtomicU64::new(0);

struct BufferWriter;

impl Write for BufferWriter {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        let mut buffer = BUFFER.lock().unwrap_or_else(PoisonError::into_inner);
        if buffer.len() + line.len() > MAX_BUFFERED_BYTES {
            DROPPED.fetch_add(1, Ordering::Relaxed);
        } else {
            buffer.extend_from_slice(line);
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

#[derive(Debug, Clone, Copy)]
struct MakeBufferWriter;

impl<'a> MakeWriter<'a> for MakeBufferWriter {
    type Writer = BufferWriter;

    fn make_writer(&'a self) -> BufferWriter {
        BufferWriter
    }
}

/// Writes the remaining log lines and stops the log thread when dropped.
#[derive(Debug)]
pub struct LogGuard {
    stop: Option<SyncSender<()>>,
    writer: Option<std::thread::JoinHandle<()>>,
}

impl Drop for LogGuard {
    fn drop(&mut self) {
        self.stop = None;
        if let Some(writer) = self.writer.take() {
            // After a panic of the writer nothing can be written any more.
            let _ = writer.join();
        }
    }
}

/// Sets up logging for this process; keep the guard until the process ends.
///
/// # Errors
/// The system's error when the log thread can't be started.
pub fn init_logs() -> io::Result<LogGuard> {
    let (stop, stopped) = sync_channel(0);
    let writer = std::thread::Builder::new()
        .name("logs".into())
        .spawn(move || write_until(&stopped))?;
    let subscriber = tracing_subscriber::fmt()
        .json()
        .flatten_event(true)
        .with_target(false)
        .with_max_level(tracing::Level::INFO)
        .with_writer(MakeBufferWriter)
        .finish();
    // A second node in the same process logs through the subscriber of the first.
    let _ = tracing::subscriber::set_global_default(subscriber);
    std::panic::set_hook(Box::new(|panic| tracing::error!(%panic, "thread panicked")));
    Ok(LogGuard {
        stop: Some(stop),
        writer: Some(writer),
    })
}

/// Returns how many lines were dropped because the buffer was full.
#[must_use]
pub(super) fn dropped() -> u64 {
    DROPPED.load(Ordering::Relaxed)
}

fn write_until(stopped: &Receiver<()>) {
    let mut reported = 0;
    loop {
        let is_stopping =
            stopped.recv_timeout(FLUSH_INTERVAL) != Err(std::sync::mpsc::RecvTimeoutError::Timeout);
        let lines = std::mem::take(&mut *BUFFER.lock().unwrap_or_else(PoisonError::into_inner));
        if !lines.is_empty() {
            // A closed standard output can't be reported anywhere.
            let _ = io::stdout().lock().write_all(&lines);
        }
        let dropped = dropped();
        if dropped > reported {
            reported = dropped;
            tracing::warn!(dropped, "log lines dropped");
        }
        if is_stopping {
            return;
        }
    }
}
