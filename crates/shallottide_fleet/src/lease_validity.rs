//! How long this node may act on claims that depend on its lease.

use std::collections::BTreeMap;
use std::time::Duration;

use shallottide_types::id::StoreEra;

use crate::adapter::Lease;

/// Time before the end of the lease at which a node stops acting; covers the transit of an order.
const MARGIN: Duration = Duration::from_millis(300);

/// Validity of this node's leases, in boot time, which includes time that the VM was suspended.
///
/// A lease that the store has lost in a restore holds until its time is over, as no other node claims
/// anything before.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct LeaseValidity {
    /// Boot time until which the lease of an era is certain to hold.
    valid_until: BTreeMap<StoreEra, Duration>,
}

impl LeaseValidity {
    /// Records a grant or renewal that was sent at `sent` and confirmed.
    ///
    /// The lease counts for [`Lease::term`]: after a restore, other nodes wait no longer than that until
    /// they claim.
    pub fn renewed(&mut self, lease: &Lease, sent: Duration) {
        self.valid_until.retain(|_, until| *until > sent);
        let until = self.valid_until.entry(lease.era).or_default();
        *until = (*until).max(sent + lease.term());
    }

    /// Records that the lease of an era has ended.
    pub fn ended(&mut self, era: StoreEra) {
        self.valid_until.remove(&era);
    }

    /// Returns whether a lease is too short for its holder to act under it at all.
    #[must_use]
    pub fn is_too_short(lease: &Lease) -> bool {
        lease.term() <= MARGIN
    }

    /// Returns whether the holder may still act on claims that it made in an era.
    #[must_use]
    pub fn may_act(&self, era: StoreEra, now: Duration) -> bool {
        let until = self.valid_until.get(&era);
        until.is_some_and(|until| now + MARGIN < *until)
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
