//! Limits the calls that a node accepts from other nodes.

/// Calls in flight, own and relayed, up to which a node accepts relayed ones, for each thousandth of
/// a core.
const CALLS_PER_CAPACITY: u32 = 1;
/// Smallest limit on the calls in flight.
const MIN_CALLS: u32 = 16;

/// Counts the calls that other nodes relayed to this one, so that its own callers are not starved.
#[derive(Debug, Clone, Default)]
pub struct RelayLimit {
    in_flight: u32,
}

impl RelayLimit {
    /// Accepts a relayed call unless this node has enough calls; returns whether it did.
    ///
    /// `own_in_flight` counts the calls of this node's own callers, and `capacity` is its share of a
    /// processor, in thousandths of a core.
    pub fn try_begin(&mut self, own_in_flight: u32, capacity: u32) -> bool {
        let limit = capacity.saturating_mul(CALLS_PER_CAPACITY).max(MIN_CALLS);
        let is_accepted = self.in_flight.saturating_add(own_in_flight) < limit;
        self.in_flight += u32::from(is_accepted);
        is_accepted
    }

    /// Records that an accepted call has ended.
    pub fn end(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    /// Returns how many accepted calls are in flight.
    #[must_use]
    pub fn in_flight(&self) -> u32 {
        self.in_flight
    }
}
