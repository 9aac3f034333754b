//! Limits the bytes that a node holds for callers and upstreams, over all connections.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use bytes::Bytes;
use tokio::sync::Notify;

/// Bytes that may be held at the same time.
#[derive(Debug)]
pub struct ByteBudget {
    /// In bytes.
    limit: usize,
    /// In bytes; above `limit` only by what [`Reservation::grow_beyond`] took.
    used: AtomicUsize,
    /// Notified when bytes are given back.
    released: Notify,
}

/// Bytes taken from a budget; given back when dropped.
#[derive(Debug)]
pub struct Reservation {
    budget: Arc<ByteBudget>,
    bytes: usize,
}

impl ByteBudget {
    /// Creates a budget of `limit` bytes.
    #[must_use]
    pub fn new(limit: usize) -> Arc<Self> {
        Arc::new(Self {
            limit,
            used: AtomicUsize::new(0),
            released: Notify::new(),
        })
    }

    /// Starts a reservation of no bytes.
    #[must_use]
    pub fn reserve(self: &Arc<Self>) -> Reservation {
        Reservation {
            budget: self.clone(),
            bytes: 0,
        }
    }

    /// Returns the bytes in use.
    #[must_use]
    pub fn used(&self) -> usize {
        self.used.load(Ordering::Relaxed)
    }

    /// Returns the bytes that may be in use.
    #[must_use]
    pub fn limit(&self) -> usize {
        self.limit
    }

    /// Returns the bytes that are not in use.
    #[must_use]
    pub fn free(&self) -> usize {
        self.limit.saturating_sub(self.used())
    }

    /// Waits until less than `used` bytes are in use, or `timeout` has passed; returns whether less are.
    pub(crate) async fn wait_for_release(&self, used: usize, timeout: Duration) -> bool {
        let released = async {
            loop {
                let released = self.released.notified();
                tokio::pin!(released);
                released.as_mut().enable();
                if self.used() < used {
                    return;
                }
                released.await;
            }
        };
        tokio::time::timeout(timeout, released).await.is_ok()
    }
}

impl Reservation {
    /// Takes more bytes; returns whether the budget had them.
    #[must_use]
    pub fn grow(&mut self, bytes: usize) -> bool {
        let take = |used: usize| {
            let used = used.checked_add(bytes)?;
            (used <= self.budget.limit).then_some(used)
        };
        let order = Ordering::Relaxed;
        let is_taken = self.budget.used.fetch_update(order, order, take).is_ok();
        if is_taken {
            self.bytes += bytes;
        }
        is_taken
    }

    /// Takes more bytes, waiting up to `timeout` until the budget has them; returns whether it had.
    #[must_use]
    pub async fn grow_within(&mut self, bytes: usize, timeout: Duration) -> bool {
        if timeout.is_zero() {
            return self.grow(bytes);
        }
        let grown = async {
            loop {
                let used = self.budget.used();
                if self.grow(bytes) {
                    return;
                }
                let budget = self.budget.clone();
                budget.wait_for_release(used, Duration::MAX).await;
            }
        };
        tokio::time::timeout(timeout, grown).await.is_ok()
    }

    /// Takes more bytes, even if the budget has too few.
    pub fn grow_beyond(&mut self, bytes: usize) {
        self.budget.used.fetch_add(bytes, Ordering::Relaxed);
        self.bytes += bytes;
    }

    /// Gives back some of the bytes.
    pub fn shrink(&mut self, bytes: usize) {
        let bytes = bytes.min(self.bytes);
        self.bytes -= bytes;
        self.budget.used.fetch_sub(bytes, Ordering::Relaxed);
        self.budget.released.notify_waiters();
    }

    /// Returns the bytes that are taken.
    #[must_use]
    pub fn bytes(&self) -> usize {
        self.bytes
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.shrink(self.bytes);
    }
}

/// Bytes with the reservations that last as long as they are held.
struct Reserved<T> {
    bytes: Vec<u8>,
    _reservation: T,
}

impl<T> AsRef<[u8]> for Reserved<T> {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

/// Returns bytes whose reservations end when the last clone or slice of them is dropped.
pub(crate) fn attach<T: Send + 'static>(bytes: Vec<u8>, reservation: T) -> Bytes {
    Bytes::from_owner(Reserved {
        bytes,
        _reservation: reservation,
    })
}
