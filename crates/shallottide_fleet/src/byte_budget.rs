//! Limits the bytes that bodies in transfer may hold over all connections of a node.

use std::cell::Cell;
use std::rc::Rc;

/// Bytes that may be buffered at the same time.
#[derive(Debug)]
pub struct ByteBudget {
    limit: usize,
    /// Never above `limit`.
    used: Cell<usize>,
}

/// Bytes taken from a budget; given back when dropped.
#[derive(Debug)]
pub struct Reservation {
    budget: Rc<ByteBudget>,
    bytes: usize,
}

impl ByteBudget {
    /// Creates a budget of `limit` bytes.
    #[must_use]
    pub fn new(limit: usize) -> Rc<Self> {
        Rc::new(Self {
            limit,
            used: Cell::new(0),
        })
    }

    /// Starts a reservation of no bytes.
    #[must_use]
    pub fn reserve(self: &Rc<Self>) -> Reservation {
        Reservation {
            budget: self.clone(),
            bytes: 0,
        }
    }

    /// Returns the bytes in use.
    #[must_use]
    pub fn used(&self) -> usize {
        self.used.get()
    }
}

impl Reservation {
    /// Takes more bytes; returns whether the budget had them.
    #[must_use]
    pub fn grow(&mut self, bytes: usize) -> bool {
        let used = self.budget.used.get().saturating_add(bytes);
        if used > self.budget.limit {
            return false;
        }
        self.budget.used.set(used);
        self.bytes += bytes;
        true
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        let used = self.budget.used.get();
        self.budget.used.set(used.saturating_sub(self.bytes));
    }
}
