//! Counts a border's open connections and closes the border gracefully.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use tokio::sync::watch;

/// Lets connections in until it is closed; a cheap cloneable handle.
#[derive(Debug, Clone)]
pub struct ConnectionGate {
    limit: usize,
    open: Arc<AtomicUsize>,
    closed: watch::Sender<bool>,
}

/// One open connection; leaves when dropped.
#[derive(Debug)]
pub struct ConnectionPermit {
    open: Arc<AtomicUsize>,
}

impl ConnectionGate {
    /// Creates an open gate for at most `limit` connections at a time.
    #[must_use]
    pub fn new(limit: usize) -> Self {
        Self {
            limit,
            open: Arc::default(),
            closed: watch::Sender::new(false),
        }
    }

    /// Lets one connection in, or nothing when there are as many as allowed.
    #[must_use]
    pub fn try_acquire(&self) -> Option<ConnectionPermit> {
        let more = |open| (open < self.limit).then_some(open + 1);
        self.open
            .fetch_update(Ordering::AcqRel, Ordering::Acquire, more)
            .ok()?;
        Some(ConnectionPermit {
            open: self.open.clone(),
        })
    }

    /// Returns the number of open connections.
    #[must_use]
    pub fn open_connections(&self) -> usize {
        self.open.load(Ordering::Acquire)
    }

    /// Closes the gate: listeners end, connections end after what they have begun.
    pub fn close(&self) {
        self.closed.send_replace(true);
    }

    /// Tells whether the gate was closed.
    #[must_use]
    pub fn is_closed(&self) -> bool {
        *self.closed.borrow()
    }

    /// Waits until the gate is closed.
    pub async fn wait_closed(&self) {
        let mut closed = self.closed.subscribe();
        // The sender lives as long as this handle, so the wait can't fail.
        let _ = closed.wait_for(|closed| *closed).await;
    }
}

impl Drop for ConnectionPermit {
    fn drop(&mut self) {
        self.open.fetch_sub(1, Ordering::AcqRel);
    }
}
