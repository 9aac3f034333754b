//! JSON log lines on standard output that never block the node.

use std::io::{self, Write};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use tracing_subscriber::fmt::MakeWriter;

/// Bytes that may wait to be written; further lines are dropped and counted.
const MAX_HELD: usize = 256 * 1024;
/// Time that lines are gathered before they are written.
const GATHER: Duration = Duration::from_millis(150);

static HELD: Mutex<Vec<u8>> = Mutex::new(Vec::new());
static DROPPED: AtomicU64 = AtomicU64::new(0);

struct Gatherer;

impl Write for Gatherer {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        let mut held = HELD.lock().unwrap_or_else(PoisonError::into_inner);
        if held.len() + line.len() > MAX_HELD {
            DROPPED.fetch_add(1, Ordering::Relaxed);
        } else {
            held.extend_from_slice(line);
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

#[derive(Debug, Clone, Copy)]
struct Gather;

impl<'a> MakeWriter<'a> for Gather {
    type Writer = Gatherer;

    fn make_writer(&'a self) -> Gatherer {
        Gatherer
    }
}

/// Writes what is held when dropped, as the last act of a process.
#[derive(Debug)]
pub struct LogGuard {
    stop: Option<SyncSender<()>>,
    writer: Option<std::thread::JoinHandle<()>>,
}

impl Drop for LogGuard {
    fn drop(&mut self) {
        self.stop = None;
        if let Some(writer) = self.writer.take() {
            // A writer that panicked has nothing left to write.
            let _ = writer.join();
        }
    }
}

/// Sends all log lines of this process to standard output, by a thread of their own.
///
/// # Errors
/// Those of starting the thread.
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
        .with_writer(Gather)
        .finish();
    // A second node in the same process keeps the first one's logs.
    let _ = tracing::subscriber::set_global_default(subscriber);
    std::panic::set_hook(Box::new(|panic| tracing::error!(%panic, "thread panicked")));
    Ok(LogGuard {
        stop: Some(stop),
        writer: Some(writer),
    })
}

/// Returns how many lines were dropped because too many waited.
#[must_use]
pub(super) fn dropped() -> u64 {
    DROPPED.load(Ordering::Relaxed)
}

fn write_until(stopped: &Receiver<()>) {
    let mut told = 0;
    loop {
        let ends = stopped.recv_timeout(GATHER) != Err(std::sync::mpsc::RecvTimeoutError::Timeout);
        let lines = std::mem::take(&mut *HELD.lock().unwrap_or_else(PoisonError::into_inner));
        if !lines.is_empty() {
            // There is nowhere to report a closed standard output.
            let _ = io::stdout().lock().write_all(&lines);
        }
        let dropped = dropped();
        if dropped > told {
            told = dropped;
            tracing::warn!(dropped, "log lines dropped");
        }
        if ends {
            return;
        }
    }
}
