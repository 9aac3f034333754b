//! Learned rate at which capacity appears for callers that return after a refusal.

use std::time::{Duration, Instant};

use crate::decaying_rate::DecayingRate;

/// Window of the rates that describe the present.
const RECENT: Duration = Duration::from_secs(1);
/// Window of the rates that describe the usual load; about a wave of the load.
const USUAL: Duration = Duration::from_secs(10);
/// Window of the share of returned callers that were admitted; these are few.
const RETURNS: Duration = Duration::from_secs(3);
/// Time without a refusal after which capacity is plentiful.
const PLENTIFUL_AFTER: Duration = Duration::from_secs(1);
/// Admitted calls, as a fraction of new callers, from which calls are admitted as fast as they arrive;
/// below 1, as some wait.
const PLENTIFUL_FRACTION: f64 = 0.95;
/// Mean length of a shortage, until one has ended.
const INITIAL_SHORTAGE: Duration = Duration::from_millis(1_500);
/// Weight of the latest shortage in the mean length of shortages.
const SHORTAGE_WEIGHT: f64 = 0.3;
/// Fraction of returned callers that must be admitted for the rate to be raised.
const RAISE_ABOVE: f64 = 0.9;
/// Factor by which the rate is raised while almost all returned callers are admitted.
const RAISE: f64 = 1.25;
/// Least rate, as a fraction of the admitted rate, so that the rate is learned at all.
const MIN_FRACTION: f64 = 0.02;
/// Fraction by which the highest admitted rate falls per second.
const PEAK_DECAY: f64 = 0.02;
/// Window of the capacity that was seen during shortages; spans some waves of the load.
const CAPACITY: Duration = Duration::from_secs(20);
/// Weight of the highest admitted rate in the capacity, as seconds of shortage. Alone, it would be too
/// high by half at 5 calls per second.
const PEAK_SECONDS: f64 = 0.2;
/// Shortest mean length of shortages that is assumed.
const MIN_SHORTAGE: Duration = Duration::from_millis(300);

/// What a node knows of the capacity for returning callers of one kind, in calls per second.
#[derive(Debug, Clone)]
pub struct ReturnRate {
    /// New callers.
    arrived: DecayingRate,
    arrived_usually: DecayingRate,
    admitted: DecayingRate,
    returned: DecayingRate,
    returned_admitted: DecayingRate,
    /// When this node first counted a call; the windows are not full before.
    since: Option<Instant>,
    /// Highest recent admitted rate, and when it was updated.
    peak: f64,
    peak_at: Option<Instant>,
    /// Calls admitted during shortages, and the seconds that these lasted. What is admitted while others
    /// are refused is the whole capacity.
    short_admitted: DecayingRate,
    short_time: DecayingRate,
    /// Calls admitted since the latest refusal.
    admitted_since: f64,
    /// The latest two refusals, as the latest is that of the caller who gets a booking.
    refused_at: [Option<Instant>; 2],
    /// Start of the present shortage, or of the latest one.
    shortage_start: Option<Instant>,
    shortage_length: Duration,
}

impl Default for ReturnRate {
    fn default() -> Self {
        Self {
            arrived: DecayingRate::new(RECENT),
            arrived_usually: DecayingRate::new(USUAL),
            admitted: DecayingRate::new(RECENT),
            returned: DecayingRate::new(RETURNS),
            returned_admitted: DecayingRate::new(RETURNS),
            since: None,
            peak: 0.0,
            peak_at: None,
            short_admitted: DecayingRate::new(CAPACITY),
            short_time: DecayingRate::new(CAPACITY),
            admitted_since: 0.0,
            refused_at: [None; 2],
            shortage_start: None,
            shortage_length: INITIAL_SHORTAGE,
        }
    }
}

impl ReturnRate {
    /// Records a new caller.
    pub fn record_arrival(&mut self, now: Instant) {
        self.since.get_or_insert(now);
        self.arrived.add(1.0, now);
        self.arrived_usually.add(1.0, now);
    }

    /// Records a call that was admitted, of a new or a returned caller.
    pub fn record_admitted(&mut self, now: Instant) {
        self.since.get_or_insert(now);
        self.admitted.add(1.0, now);
        self.peak = self.peak_rate(now).max(self.admitted.per_second(now));
        self.peak_at = Some(now);
        self.admitted_since += 1.0;
    }

    /// Records a caller that came back.
    pub fn record_returned(&mut self, now: Instant) {
        self.returned.add(1.0, now);
    }

    /// Records that a caller that came back was admitted.
    pub fn record_returned_admitted(&mut self, now: Instant) {
        self.returned_admitted.add(1.0, now);
    }

    /// Records a call that was refused for want of capacity.
    pub fn record_refused(&mut self, now: Instant) {
        let [latest, _] = self.refused_at;
        let gap = latest.map(|at| now.saturating_duration_since(at));
        if gap.is_none_or(|gap| gap >= PLENTIFUL_AFTER) {
            if let (Some(start), Some(end)) = (self.shortage_start, latest) {
                let length = end.saturating_duration_since(start);
                let mean = self.shortage_length.mul_f64(1.0 - SHORTAGE_WEIGHT);
                self.shortage_length = mean + length.min(USUAL).mul_f64(SHORTAGE_WEIGHT);
            }
            self.shortage_start = Some(now);
        } else if let Some(gap) = gap {
            self.short_admitted.add(self.admitted_since, now);
            self.short_time.add(gap.as_secs_f64(), now);
        }
        self.admitted_since = 0.0;
        self.refused_at = [Some(now), latest];
    }

    /// Returns whether no caller but the present one was refused within a second, and calls are
    /// admitted as fast as they arrive.
    #[must_use]
    pub fn is_plentiful(&self, now: Instant) -> bool {
        let [_, earlier] = self.refused_at;
        let is_recent = |at: Instant| now.saturating_duration_since(at) < PLENTIFUL_AFTER;
        // The present caller is one of those that arrived.
        let arrived = (self.arrived.sum(now) - 1.0).max(0.0);
        !earlier.is_some_and(is_recent) && self.admitted.sum(now) >= PLENTIFUL_FRACTION * arrived
    }

    /// Returns the rate at which returning callers can be admitted now.
    #[must_use]
    pub fn present(&self, now: Instant) -> f64 {
        let admitted = self.admitted.per_second(now);
        let spare = admitted - self.arrived.per_second(now);
        let (returned, served) = (self.returned.sum(now), self.returned_admitted.sum(now));
        let is_raised = served >= RAISE_ABOVE * returned;
        let raise = if is_raised { RAISE } else { 1.0 };
        let proven = self.returned_admitted.per_second(now) * raise;
        spare.max(proven).max(MIN_FRACTION * admitted)
    }

    /// Returns the rate at which returning callers can be admitted after a delay.
    ///
    /// The shortage is expected to have ended by then with a probability that grows with the delay.
    /// After it, the capacity seen in shortages is available, less the usual new callers.
    #[must_use]
    pub fn expected(&self, delay: Duration, now: Instant) -> f64 {
        let present = self.present(now);
        let later = (self.capacity(now) - self.usual_arrivals(now)).max(present);
        let length = self.shortage_length.max(MIN_SHORTAGE);
        let lasts = (-delay.div_duration_f64(length)).exp();
        present * lasts + later * (1.0 - lasts)
    }

    /// Returns whether nothing was counted within the windows.
    #[must_use]
    pub fn is_unused(&self, now: Instant) -> bool {
        let sums = [&self.arrived_usually, &self.returned, &self.admitted];
        sums.iter().all(|rate| rate.sum(now) < MIN_FRACTION)
    }

    fn capacity(&self, now: Instant) -> f64 {
        let admitted = self.short_admitted.sum(now) + self.peak_rate(now) * PEAK_SECONDS;
        admitted / (self.short_time.sum(now) + PEAK_SECONDS)
    }

    fn peak_rate(&self, now: Instant) -> f64 {
        let age = self.peak_at.map(|at| now.saturating_duration_since(at));
        let age = age.unwrap_or_default().as_secs_f64();
        self.peak * (-PEAK_DECAY * age).exp()
    }

    /// Returns the usual rate of new callers; while the window is not full, that of the time counted.
    fn usual_arrivals(&self, now: Instant) -> f64 {
        let since = self.since.map(|at| now.saturating_duration_since(at));
        let filled = 1.0 - (-since.unwrap_or_default().div_duration_f64(USUAL)).exp();
        self.arrived_usually.per_second(now) / filled.max(0.05)
    }
}
