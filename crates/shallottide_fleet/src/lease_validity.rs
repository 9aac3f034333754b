//! How long this node may act on a claim that hangs on its lease.

use std::time::Duration;

/// Time by which a node stops before its lease can end; covers the way of an order.
const MARGIN: Duration = Duration::from_millis(300);

/// The validity of one lease, in the time since the VM started, which counts suspended time.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct LeaseValidity {
    /// Until when the lease surely holds.
    valid_until: Duration,
}

impl LeaseValidity {
    /// Notes a renewal that was sent at `sent` and confirmed.
    pub fn renewed(&mut self, sent: Duration, ttl: Duration) {
        self.valid_until = self.valid_until.max(sent + ttl);
    }

    /// Notes that the lease has ended.
    pub fn ended(&mut self) {
        self.valid_until = Duration::ZERO;
    }

    /// Tells whether the holder may still act.
    #[must_use]
    pub fn may_act(&self, now: Duration) -> bool {
        now + MARGIN < self.valid_until
    }
}

/// Returns the time since the VM started, suspended time included.
#[must_use]
pub fn boot_time() -> Duration {
    let time = rustix::time::clock_gettime(rustix::time::ClockId::Boottime);
    let seconds = u64::try_from(time.tv_sec).unwrap_or_default();
    let nanos = u32::try_from(time.tv_nsec).unwrap_or_default();
    Duration::new(seconds, nanos)
}
