//! How long this node may act on claims that depend on its lease.

use std::collections::BTreeMap;
use std::time::Duration;

use shallottide_types::id::{StoreEra, StoreIndex};

use crate::adapter::Lease;

/// Time before the end of the lease at which a node stops acting; covers the transit of an order.
const MARGIN: Duration = Duration::from_millis(300);

/// The lease of an era.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct HeldLease {
    /// Boot time until which it is certain to hold.
    until: Duration,
    /// Claims up to this position were made under an earlier lease, which has ended.
    claims_after: StoreIndex,
}

/// Validity of this node's leases, in boot time, which includes time that the VM was suspended.
///
/// A lease that the store has lost in a restore holds until its time is over, as no other node claims
/// anything before.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct LeaseValidity {
    leases: BTreeMap<StoreEra, HeldLease>,
}

impl LeaseValidity {
    /// Records a lease whose request was sent at `sent`, in place of any earlier one of its era.
    ///
    /// Claims up to `known`, the last position that this node knows, depend on an earlier lease: another
    /// node may have made them since that ended, whatever the view says.
    pub fn acquired(&mut self, lease: &Lease, known: StoreIndex, sent: Duration) {
        self.ended(lease.era);
        self.extend(lease, known, sent);
    }

    /// Records a renewal that was sent at `sent` and confirmed.
    pub fn renewed(&mut self, lease: &Lease, sent: Duration) {
        self.extend(lease, StoreIndex::default(), sent);
    }

    /// The lease counts for [`Lease::term`]: after a restore, other nodes wait no longer than that until
    /// they claim.
    fn extend(&mut self, lease: &Lease, claims_after: StoreIndex, sent: Duration) {
        self.leases
            .retain(|era, held| *era == lease.era || held.until > sent);
        let held = self.leases.entry(lease.era).or_insert(HeldLease {
            until: Duration::ZERO,
            claims_after,
        });
        held.until = held.until.max(sent + lease.term());
    }

    /// Records that the lease of an era has ended.
    pub fn ended(&mut self, era: StoreEra) {
        self.leases.remove(&era);
    }

    /// Returns whether a lease is too short for its holder to act under it at all.
    #[must_use]
    pub fn is_too_short(lease: &Lease) -> bool {
        lease.term() <= MARGIN
    }

    /// Returns whether the lease of an era is certain to hold for long enough to act under it.
    #[must_use]
    pub fn holds(&self, era: StoreEra, now: Duration) -> bool {
        let held = self.leases.get(&era);
        held.is_some_and(|held| now + MARGIN < held.until)
    }

    /// Returns whether a claim was made under a lease that has ended.
    #[must_use]
    pub fn is_void(&self, claim: StoreIndex) -> bool {
        let held = self.leases.get(&claim.era());
        held.is_some_and(|held| claim <= held.claims_after)
    }

    /// Returns whether the holder of a claim may still act on it.
    #[must_use]
    pub fn may_act(&self, claim: StoreIndex, now: Duration) -> bool {
        !self.is_void(claim) && self.holds(claim.era(), now)
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
