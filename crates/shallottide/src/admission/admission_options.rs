//! Settings of the admission.

use std::time::Duration;

/// Settings of [`SlotAdmission`](super::SlotAdmission).
#[derive(Debug, Clone)]
pub struct AdmissionOptions {
    /// Whole answers in time, at the least, before a limit is doubled.
    pub ramp_answers: u32,
    /// Failed answers in a row after which an upstream counts as cold.
    pub failures_to_cold: u32,
    /// Late answers in a row after which an upstream counts as cold.
    pub late_to_cold: u32,
    /// An answer is late when its first byte takes this many times the usual time.
    pub late_factor: u32,
    /// No answer is late whose first byte comes within this time.
    pub never_late: Duration,
    /// How long an earlier dispatcher may send work on before it learns that it was replaced.
    pub handover: Duration,
    /// How long work of an earlier dispatcher is assumed to run on when no report tells.
    pub takeover_hold: Duration,
    /// The same for a plain service's upstream, which reports nothing.
    pub service_takeover_hold: Duration,
    /// How long a team's last wish for a place keeps places free for it.
    pub demand_window: Duration,
    /// One place in this many is kept for teams that hold less than their share.
    pub reserve_divisor: u32,
}

impl Default for AdmissionOptions {
    fn default() -> Self {
        Self {
            ramp_answers: 4,
            failures_to_cold: 3,
            late_to_cold: 3,
            late_factor: 4,
            never_late: Duration::from_millis(500),
            handover: Duration::from_secs(2),
            takeover_hold: Duration::from_secs(30),
            service_takeover_hold: Duration::from_secs(5),
            demand_window: Duration::from_secs(5),
            reserve_divisor: 8,
        }
    }
}
