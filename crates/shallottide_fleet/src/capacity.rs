//! Stub.
use crate::crash_evidence::Lifetime;
use std::time::{Duration, Instant};
#[derive(Debug, Clone, Default)]
pub struct CapacityModel;
impl CapacityModel {
    pub fn on_time_load(
        &self,
        _lifetime: Lifetime,
        slots: u32,
        prompt: u32,
        time_left: Duration,
        _now: Instant,
    ) -> f64 {
        let ms = time_left.as_secs_f64() * 1000.0 - 150.0 - f64::from(prompt) / 40.0;
        (ms / 3.5).clamp(1.0, f64::from(slots))
    }
}
