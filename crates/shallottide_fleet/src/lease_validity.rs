//! How long this node may act on claims that depend on its lease.

use std::time::Duration;

/// Time before the end of the lease at which a node stops acting; covers the transit of an order.
const MARGIN: Duration = Duration::from_millis(300);

/// Validity of one lease, in boot time, which includes time that the VM was suspended.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct LeaseValidity {
    /// Boot time until which the lease is certain to hold.
    valid_until: Duration,
}

impl LeaseValidity {
    /// Records a renewal that was sent at `sent` and confirmed.
    pub fn renewed(&mut self, sent: Duration, ttl: Duration) {
        self.valid_until = self.valid_until.max(sent + ttl);
    }

    /// Records that the lease has ended.
    pub fn ended(&mut self) {
        self.valid_until = Duration::ZERO;
    }

    /// Returns whether the holder may still act on its claims.
    #[must_use]
    pub fn may_act(&self, now: Duration) -> bool {
        now + MARGIN < self.valid_until
    }
}

/// Returns the time since the VM booted, including suspended time.
#[must_use]
pub fn boot_time() -> Duration {
    let time = rustix::time::clock_gettime(rustix::time::ClockId::Boottime);
    let seconds = u64::try_from(time.tv_sec).unwrap_or_default();
    let nanos = u32::try_from(time.tv_nsec).unwrap_or_default();
    Duration::new(seconds, nanos)
}
