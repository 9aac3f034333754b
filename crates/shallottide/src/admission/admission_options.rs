//! Settings of the admission control.

use std::time::Duration;

/// Settings of [`SlotAdmission`](super::SlotAdmission).
#[derive(Debug, Clone)]
pub struct AdmissionOptions {
    /// Minimum number of complete, timely answers before a limit is doubled.
    pub min_ramp_answers: u32,
    /// Consecutive failed answers after which an upstream counts as cold.
    pub failures_to_cold: u32,
    /// Consecutive late answers after which an upstream counts as cold.
    pub late_to_cold: u32,
    /// An answer is late if its first byte takes more than this multiple of the mean time.
    pub late_factor: u32,
    /// Time to the first byte up to which an answer never counts as late.
    pub late_threshold: Duration,
    /// How long a previous dispatcher may keep sending requests before it receives the placement
    /// that replaces it.
    pub handover_delay: Duration,
    /// How long requests of a previous dispatcher are assumed to run on a group without a report
    /// that shows otherwise.
    pub takeover_hold: Duration,
    /// As `takeover_hold`, for the upstream of a plain service, which sends no reports.
    pub service_takeover_hold: Duration,
    /// How long permits are reserved for a team after its last request for one.
    pub demand_window: Duration,
    /// One permit in this many is reserved for teams that hold less than their share.
    pub reserve_divisor: u32,
}

impl Default for AdmissionOptions {
    fn default() -> Self {
        Self {
            min_ramp_answers: 4,
            failures_to_cold: 3,
            late_to_cold: 3,
            late_factor: 4,
            late_threshold: Duration::from_millis(500),
            handover_delay: Duration::from_secs(2),
            takeover_hold: Duration::from_secs(30),
            service_takeover_hold: Duration::from_secs(5),
            demand_window: Duration::from_secs(5),
            reserve_divisor: 8,
        }
    }
}
