//! Events of one stream that its caller has not read yet.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;

use crate::byte_budget::{ByteBudget, Reservation, attach};

/// Part of the unused budget that one stream may hold, as a divisor: one slow caller holds at most a
/// fifth of the budget, and n of them at most n / (n + 4), so that something is left for the next.
const FREE_DIVISOR: usize = 4;
/// Memory that buffered events take beyond their length, in bytes: the allocations that hold them,
/// their reservations and their place in the queue.
const CHUNK_OVERHEAD: usize = 256;

/// The caller has read nothing for some time while its stream held all that it may.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("the caller does not read")]
pub struct CallerStalled;

/// Limits the events that one stream holds for its caller.
#[derive(Debug)]
pub struct StreamBuffer {
    /// Budget of all streams of the node.
    budget: Arc<ByteBudget>,
    /// Counts what this stream holds of it.
    held: Arc<ByteBudget>,
}

impl StreamBuffer {
    /// Creates the buffer of a stream that shares a budget with others.
    #[must_use]
    pub fn new(budget: Arc<ByteBudget>) -> Self {
        Self {
            budget,
            held: ByteBudget::new(usize::MAX),
        }
    }

    /// Returns the bytes that the stream holds.
    #[must_use]
    pub fn held(&self) -> usize {
        self.held.used()
    }

    /// Returns a copy of `events` that counts as held until its last clone or slice is dropped; `None`
    /// if the stream may not hold them too. A stream that holds nothing may always hold more, so that
    /// slow callers do not delay others.
    #[must_use]
    pub fn try_hold(&self, events: &[u8]) -> Option<Bytes> {
        let size = events.len() + CHUNK_OVERHEAD;
        let held = self.held.used();
        if held > 0 && held + size > self.budget.free() / FREE_DIVISOR {
            return None;
        }
        let reserve = |budget: &Arc<ByteBudget>| -> Reservation {
            let mut reservation = budget.reserve();
            reservation.grow_beyond(size);
            reservation
        };
        // Copied, as a few bytes of a connection's read buffer keep all of it allocated.
        let reservations = (reserve(&self.budget), reserve(&self.held));
        Some(attach(events.to_vec(), reservations))
    }

    /// Holds events as [`Self::try_hold`] does, and waits until the caller has read enough of what is
    /// held already.
    ///
    /// # Errors
    /// [`CallerStalled`] when the caller reads nothing for `timeout`.
    pub async fn hold(&self, events: &[u8], timeout: Duration) -> Result<Bytes, CallerStalled> {
        loop {
            let held = self.held.used();
            if let Some(events) = self.try_hold(events) {
                return Ok(events);
            }
            if !self.held.wait_for_release(held, timeout).await {
                return Err(CallerStalled);
            }
        }
    }
}
