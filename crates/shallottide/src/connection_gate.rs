//! Connection limit and graceful shutdown of a listener.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use tokio::sync::watch;

/// Limits the number of open connections and signals shutdown to them; cheap to clone.
#[derive(Debug, Clone)]
pub struct ConnectionGate {
    limit: usize,
    open: Arc<AtomicUsize>,
    closed: watch::Sender<bool>,
}

/// Permit for one open connection, returned to the gate when dropped.
#[derive(Debug)]
pub struct ConnectionPermit {
    open: Arc<AtomicUsize>,
}

impl ConnectionGate {
    /// Creates an open gate for at most `limit` concurrent connections.
    #[must_use]
    pub fn new(limit: usize) -> Self {
        Self {
            limit,
            open: Arc::default(),
            closed: watch::Sender::new(false),
        }
    }

    /// Returns a permit for one connection, or `None` if the limit is reached.
    #[must_use]
    pub fn try_acquire(&self) -> Option<ConnectionPermit> {
        let next = |open| (open < self.limit).then_some(open + 1);
        self.open
            .fetch_update(Ordering::AcqRel, Ordering::Acquire, next)
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

    /// Closes the gate: listeners stop accepting, and connections close after their current
    /// request.
    pub fn close(&self) {
        self.closed.send_replace(true);
    }

    /// Returns whether the gate is closed.
    #[must_use]
    pub fn is_closed(&self) -> bool {
        *self.closed.borrow()
    }

    /// Waits until the gate is closed.
    pub async fn wait_closed(&self) {
        let mut closed = self.closed.subscribe();
        // `self` holds the sender, so the wait can't fail.
        let _ = closed.wait_for(|closed| *closed).await;
    }
}

impl Drop for ConnectionPermit {
    fn drop(&mut self) {
        self.open.fetch_sub(1, Ordering::AcqRel);
    }
}
