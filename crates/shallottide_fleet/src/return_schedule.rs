//! When callers that are refused for want of capacity should return.
//!
//! A caller returns once only, so one that is refused again is lost. Returns are therefore spread over
//! the time that callers wait at the rate at which capacity is expected, and rather late than early
//! while it is short. A node books its own callers only: callers return at any node, so each node's
//! counts are its part of the whole rate.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use crate::load_keys::Kind;
use crate::return_calendar::{BucketIndex, ReturnCalendar};
use crate::return_rate::ReturnRate;

/// Shortest time after which a caller is told to return.
pub const MIN_RETRY_AFTER: Duration = Duration::from_millis(150);
/// Longest time after which a caller is told to return.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(4);
/// Part of its remaining time that a caller waits at most: one in this number.
const WAIT_DIVISOR: u32 = 3;
/// Least range over which returns are spread while capacity is plentiful.
const PLENTIFUL_SPREAD: Duration = Duration::from_millis(100);
/// Least rates of the buckets that are used during a shortage, as fractions of the highest one in range;
/// a later fraction is used if nothing fits with the earlier ones.
const MIN_RELATIVE_RATES: [f64; 2] = [0.7, 0.3];
/// Part of the range, at its end, over which callers are spread that are not expected to fit.
const OVERFLOW_RANGE: f64 = 0.5;

/// When a caller should return.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Booking {
    /// Time after which the caller should return.
    pub retry_after: Duration,
    /// Whether capacity is expected for the caller by then.
    pub is_expected_to_fit: bool,
    /// Callers booked by this node, with this one, that have not returned yet.
    pub backlog: u32,
    /// Rate at which returning callers are expected to be admitted at that time, per second.
    pub rate: f64,
}

/// A bucket that a booking may use.
#[derive(Debug, Clone, Copy)]
struct Candidate {
    bucket: BucketIndex,
    /// Start and end of its usable part, as a time from now.
    from: Duration,
    to: Duration,
    /// Expected rate, per second.
    rate: f64,
}

impl Candidate {
    /// Returns the number of returning callers that can be admitted within it.
    fn capacity(&self) -> f64 {
        self.rate * self.to.saturating_sub(self.from).as_secs_f64()
    }
}

#[derive(Debug, Clone, Default)]
struct KindSchedule {
    rate: ReturnRate,
    calendar: ReturnCalendar,
}

/// Books the times at which refused callers return, for each kind of call.
#[derive(Debug, Clone, Default)]
pub struct ReturnSchedule {
    kinds: BTreeMap<Kind, KindSchedule>,
}

impl ReturnSchedule {
    /// Records a new caller; one that came back is recorded as returned only.
    pub fn record_arrival(&mut self, kind: &Kind, now: Instant) {
        self.kind(kind).rate.record_arrival(now);
    }

    /// Records a call that was admitted, of a new or a returned caller.
    pub fn record_admitted(&mut self, kind: &Kind, now: Instant) {
        self.kind(kind).rate.record_admitted(now);
    }

    /// Records a call that was refused for want of capacity.
    pub fn record_refused(&mut self, kind: &Kind, now: Instant) {
        self.kind(kind).rate.record_refused(now);
    }

    /// Records a caller that came back.
    pub fn record_returned(&mut self, kind: &Kind, now: Instant) {
        self.kind(kind).rate.record_returned(now);
    }

    /// Records that an admitted call was that of a caller that came back, in addition to
    /// [`record_admitted`](Self::record_admitted).
    pub fn record_returned_admitted(&mut self, kind: &Kind, now: Instant) {
        self.kind(kind).rate.record_returned_admitted(now);
    }

    /// Books the return of a caller that is refused.
    ///
    /// `urgency_rank` is 0 for the most urgent calls. `time_left` is the caller's remaining time, and
    /// `draw` a random number from 0 to 1. A caller that would not wait for the shortest time gets no
    /// place in the calendar.
    pub fn book(
        &mut self,
        kind: &Kind,
        urgency_rank: u32,
        time_left: Duration,
        draw: f64,
        now: Instant,
    ) -> Booking {
        let KindSchedule { rate, calendar } = self.kind(kind);
        calendar.advance(now);
        let draw = if draw.is_nan() {
            0.5
        } else {
            draw.clamp(0.0, 1.0)
        };
        let latest = (time_left / WAIT_DIVISOR).min(MAX_RETRY_AFTER);
        if latest < MIN_RETRY_AFTER {
            return Booking {
                retry_after: MIN_RETRY_AFTER,
                is_expected_to_fit: false,
                backlog: calendar.backlog(),
                rate: rate.present(now),
            };
        }
        let (retry_after, is_expected_to_fit) = if rate.is_plentiful(now) {
            let spread = PLENTIFUL_SPREAD.min(latest.saturating_sub(MIN_RETRY_AFTER));
            (MIN_RETRY_AFTER + spread.mul_f64(draw), true)
        } else {
            let candidates = candidates(rate, calendar, latest, now);
            let fitting = choose_fitting(&candidates, calendar, urgency_rank, draw);
            let chosen = fitting.or_else(|| choose_least_loaded(&candidates, calendar, draw));
            // The whole draw decides on the bucket; its low digits on the time within it.
            let jitter = (draw * 4_096.0).fract();
            let at = chosen.map_or(latest, |bucket| {
                bucket.from + bucket.to.saturating_sub(bucket.from).mul_f64(jitter)
            });
            (at, fitting.is_some())
        };
        let bucket = calendar.index(now + retry_after);
        calendar.add(bucket);
        Booking {
            retry_after,
            is_expected_to_fit,
            backlog: calendar.backlog(),
            rate: rate.expected(retry_after, now),
        }
    }

    /// Drops kinds without recent calls.
    pub fn expire(&mut self, now: Instant) {
        self.kinds.retain(|_, kind| {
            kind.calendar.advance(now);
            kind.calendar.backlog() > 0 || !kind.rate.is_unused(now)
        });
    }

    fn kind(&mut self, kind: &Kind) -> &mut KindSchedule {
        self.kinds.entry(kind.clone()).or_default()
    }
}

/// Returns the buckets from the shortest time to `latest`, in order of time.
fn candidates(
    rate: &ReturnRate,
    calendar: &mut ReturnCalendar,
    latest: Duration,
    now: Instant,
) -> Vec<Candidate> {
    let first = calendar.index(now + MIN_RETRY_AFTER);
    let last = calendar.index(now + latest);
    let mut from = MIN_RETRY_AFTER;
    let mut candidates = Vec::new();
    for index in first.0..=last.0 {
        let to = calendar.time_until(BucketIndex(index + 1), now).min(latest);
        candidates.push(Candidate {
            bucket: BucketIndex(index),
            from,
            to,
            rate: rate.expected(from, now),
        });
        from = to;
    }
    candidates
}

/// Returns a bucket with room: the earliest for the most urgent calls, later ones for others.
fn choose_fitting(
    candidates: &[Candidate],
    calendar: &ReturnCalendar,
    urgency_rank: u32,
    draw: f64,
) -> Option<Candidate> {
    let highest = candidates.iter().map(|c| c.rate).fold(0.0, f64::max);
    let rank = usize::try_from(urgency_rank.min(8)).unwrap_or(8);
    MIN_RELATIVE_RATES.iter().find_map(|relative| {
        let fitting: Vec<_> = (0..candidates.len())
            .filter(|&index| candidates[index].rate >= relative * highest)
            .filter(|&index| fits(candidates, calendar, index, draw))
            .collect();
        let index = fitting.len() * rank / (rank + 2);
        fitting.get(index).map(|&index| candidates[index])
    })
}

/// Returns whether the buckets around one have room for another booking.
///
/// The range grows until its capacity is that of a whole caller; what is left below one is used with
/// that probability.
fn fits(candidates: &[Candidate], calendar: &ReturnCalendar, index: usize, draw: f64) -> bool {
    let (mut low, mut high) = (index, index);
    let mut capacity = candidates[index].capacity();
    while capacity < 1.0 && (low > 0 || high + 1 < candidates.len()) {
        if low > 0 {
            low -= 1;
            capacity += candidates[low].capacity();
        }
        if high + 1 < candidates.len() {
            high += 1;
            capacity += candidates[high].capacity();
        }
    }
    let booked = calendar.count(candidates[low].bucket, candidates[high].bucket);
    f64::from(booked) + draw.max(f64::MIN_POSITIVE) <= capacity
}

/// Returns the bucket with the fewest bookings near the end of the range.
fn choose_least_loaded(
    candidates: &[Candidate],
    calendar: &ReturnCalendar,
    draw: f64,
) -> Option<Candidate> {
    let end = candidates.last()?.to;
    let near_end = candidates
        .iter()
        .filter(|c| c.from >= end.mul_f64(OVERFLOW_RANGE));
    let load = |c: &Candidate| calendar.count(c.bucket, c.bucket);
    let least = near_end.clone().map(load).min()?;
    let least: Vec<_> = near_end.filter(|c| load(c) == least).collect();
    let steps = u32::try_from(least.len()).unwrap_or(u32::MAX);
    let index = (1..steps)
        .take_while(|step| f64::from(*step) <= draw * f64::from(steps))
        .count();
    least.get(index).map(|&&candidate| candidate)
}
