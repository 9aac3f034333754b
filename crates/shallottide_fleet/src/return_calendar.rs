//! Calendar of callers that were told when to return.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// Length of a bucket.
pub const BUCKET: Duration = Duration::from_millis(100);

/// Number of a bucket, counted from the calendar's first use.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct BucketIndex(pub u64);

/// Bookings in buckets of time.
#[derive(Debug, Clone, Default)]
pub struct ReturnCalendar {
    /// Start of bucket 0.
    origin: Option<Instant>,
    /// Bookings by bucket; past buckets are dropped.
    bookings: BTreeMap<BucketIndex, u32>,
}

impl ReturnCalendar {
    /// Drops the buckets that have passed, and returns the present one.
    pub fn advance(&mut self, now: Instant) -> BucketIndex {
        let present = self.index(now);
        self.bookings = self.bookings.split_off(&present);
        present
    }

    /// Returns the bucket of a time; times before the first use are in bucket 0.
    pub fn index(&mut self, at: Instant) -> BucketIndex {
        let origin = *self.origin.get_or_insert(at);
        let age = at.saturating_duration_since(origin).as_millis();
        BucketIndex(u64::try_from(age / BUCKET.as_millis()).unwrap_or(u64::MAX))
    }

    /// Returns the time until a bucket starts; zero if it has started.
    #[must_use]
    pub fn time_until(&self, bucket: BucketIndex, now: Instant) -> Duration {
        let millis = BUCKET.as_millis().saturating_mul(bucket.0.into());
        let start = Duration::from_millis(u64::try_from(millis).unwrap_or(u64::MAX));
        let age = self.origin.map(|at| now.saturating_duration_since(at));
        start.saturating_sub(age.unwrap_or_default())
    }

    /// Adds a booking.
    pub fn add(&mut self, bucket: BucketIndex) {
        *self.bookings.entry(bucket).or_default() += 1;
    }

    /// Returns the number of bookings from one bucket to another, both included.
    #[must_use]
    pub fn count(&self, from: BucketIndex, to: BucketIndex) -> u32 {
        if from > to {
            return 0;
        }
        self.bookings.range(from..=to).map(|(_, count)| count).sum()
    }

    /// Returns the number of bookings that have not passed.
    #[must_use]
    pub fn backlog(&self) -> u32 {
        self.bookings.values().sum()
    }
}
