//! Time to the first event by load and prompt, fitted to samples one by one.

use std::time::{Duration, Instant};

/// Share of the slots above which the time rises faster.
const KNEE: f64 = 0.8;
/// Distance above the knee, in shares of the slots, from which the rise is linear again: all waiting
/// requests then wait for the same slots.
const LINEAR_FROM: f64 = 0.6;
/// Load (share of the slots) and prompt (thousands of tokens) at which the base is stated. In the
/// middle of what is seen, so that errors of slopes do not move the base.
const CENTER_LOAD: f64 = 0.4;
const CENTER_PROMPT: f64 = 1.0;
/// Coefficients at the start as shares of the base, and how far they may be off. Samples replace
/// them; without any, the first seconds would show no dependence on the load.
const START: [f64; 4] = [1.0, 0.3, 3.0, 0.05];
const START_ERROR: [f64; 4] = [0.3, 0.3, 3.0, 0.08];
/// Error of the delay to another failure domain at the start, in seconds.
const DELAY_ERROR: f64 = 0.01;
/// How far each coefficient may move within [`DRIFT_TIME`], in the same shares. Level and pace follow
/// what is faster.
const DRIFT: [f64; 4] = [0.05, 0.1, 1.0, 0.03];
/// The same for the delay to another failure domain, in seconds.
const DELAY_DRIFT: f64 = 0.003;
const DRIFT_TIME: Duration = Duration::from_mins(1);
/// Deviations beyond this many standard deviations count as this many.
const MAX_DEVIATIONS: f64 = 2.0;
/// Least time, in seconds.
const MIN_TIME: f64 = 1e-4;

/// Number of coefficients.
const N: usize = 5;

/// What of a call the curve depends on.
#[derive(Debug, Clone, Copy)]
pub(super) struct Input {
    /// Load as a share of the slots.
    pub(super) load_share: f64,
    /// Length of the prompt in tokens.
    pub(super) prompt_tokens: u32,
    /// Whether the engine is in another failure domain.
    pub(super) is_other_domain: bool,
}

impl Input {
    /// Returns what the first four coefficients are multiplied by.
    fn features(self) -> [f64; 4] {
        let above = (self.load_share - KNEE).max(0.0);
        let square = above.min(LINEAR_FROM).powi(2);
        let linear = 2.0 * LINEAR_FROM * (above - LINEAR_FROM).max(0.0);
        [
            1.0,
            self.load_share - CENTER_LOAD,
            square + linear,
            prompt_feature(self.prompt_tokens),
        ]
    }
}

fn prompt_feature(prompt_tokens: u32) -> f64 {
    f64::from(prompt_tokens) / 1_000.0 - CENTER_PROMPT
}

/// A Kalman filter over the coefficients. Its uncertainty grows with time up to that of the start, so that samples that all have the same load leave the slopes as they are.
#[derive(Debug, Clone)]
pub(super) struct Curve {
    /// Base, slope by load, rise above the knee and slope by prompt, then the delay to another
    /// failure domain; in seconds. The slopes and the delay are never negative.
    coefficients: [f64; N],
    /// Symmetric.
    covariance: [[f64; N]; N],
    changed_at: Instant,
}

impl Curve {
    /// Returns a time divided by what the shape at the start makes of it: the base that it implies.
    pub(super) fn start_base(input: Input, seconds: f64) -> f64 {
        seconds / dot(&START, &input.features()).max(0.1)
    }

    /// Creates a curve with the shape of the start.
    pub(super) fn new(base: f64, now: Instant) -> Self {
        let mut coefficients = [0.0; N];
        for (coefficient, start) in coefficients.iter_mut().zip(START) {
            *coefficient = base * start;
        }
        let mut covariance = [[0.0; N]; N];
        for (i, row) in covariance.iter_mut().enumerate() {
            let error = START_ERROR.get(i).map_or(DELAY_ERROR, |error| error * base);
            row[i] = error * error;
        }
        Self {
            coefficients,
            covariance,
            changed_at: now,
        }
    }

    /// Adds the uncertainty of what may have changed in a time, up to that of the start.
    fn drift(&mut self, elapsed: Duration) {
        let base = self.coefficients[0];
        let share = elapsed.div_duration_f64(DRIFT_TIME);
        for i in 0..N {
            let (start, drift) = if i < START.len() {
                (START_ERROR[i] * base, DRIFT[i] * base)
            } else {
                (DELAY_ERROR, DELAY_DRIFT)
            };
            let most = (start * start - self.covariance[i][i]).max(0.0);
            self.covariance[i][i] += (share * drift * drift).min(most);
        }
    }

    /// Returns the seconds that load and prompt explain.
    pub(super) fn seconds(&self, input: Input) -> f64 {
        dot(&self.coefficients, &input.features()).max(MIN_TIME)
    }

    /// Returns the seconds that the way to another failure domain adds.
    pub(super) fn delay(&self, is_other_domain: bool) -> f64 {
        if is_other_domain {
            self.coefficients[N - 1]
        } else {
            0.0
        }
    }

    /// Multiplies all times but the delay.
    pub(super) fn scale(&mut self, factor: f64) {
        for coefficient in &mut self.coefficients[..N - 1] {
            *coefficient *= factor;
        }
    }

    /// Learns from a sample whose level and pace multiply the curve by `factor`; `spread` is the
    /// standard deviation of samples in log time.
    pub(super) fn record(
        &mut self,
        input: Input,
        factor: f64,
        seconds: f64,
        spread: f64,
        now: Instant,
    ) {
        let elapsed = now.saturating_duration_since(self.changed_at);
        self.changed_at = self.changed_at.max(now);
        self.drift(elapsed);

        // Deviations are taken relative to the expected time, as they grow with it.
        let expected = self.seconds(input) * factor + self.delay(input.is_other_domain);
        let mut gradient = [0.0; N];
        for (value, feature) in gradient.iter_mut().zip(input.features()) {
            *value = feature * factor / expected;
        }
        gradient[N - 1] = f64::from(u8::from(input.is_other_domain)) / expected;
        let direction = self.covariance.map(|row| dot(&row, &gradient));
        let variance = dot(&direction, &gradient) + spread * spread;
        let limit = MAX_DEVIATIONS * variance.sqrt();
        let deviation = (seconds / expected).ln().clamp(-limit, limit);
        for i in 0..N {
            self.coefficients[i] += direction[i] / variance * deviation;
            for j in 0..N {
                self.covariance[i][j] -= direction[i] * direction[j] / variance;
            }
        }
        for coefficient in &mut self.coefficients[1..] {
            *coefficient = coefficient.max(0.0);
        }
        self.coefficients[0] = self.coefficients[0].max(MIN_TIME);
    }

    /// Returns the load, as a share of the slots and at most 1, at which load and prompt explain
    /// `seconds`; 0 or less if no load is that low.
    pub(super) fn load_share_at(&self, prompt_tokens: u32, seconds: f64) -> f64 {
        let [base, slope, rise, by_prompt, _] = self.coefficients;
        let idle = base - slope * CENTER_LOAD + by_prompt * prompt_feature(prompt_tokens);
        let above_idle = seconds - idle;
        if above_idle <= slope * KNEE {
            return if above_idle > 0.0 {
                above_idle / slope
            } else {
                0.0
            };
        }
        // Root of `rise * h^2 + slope * h = rest`, in the form that also holds for a rise of 0.
        let rest = above_idle - slope * KNEE;
        let above = 2.0 * rest / (slope + (slope * slope + 4.0 * rise * rest).sqrt());
        (KNEE + above).min(1.0)
    }
}

/// Returns the sum of the products of the first four, or all, values.
fn dot<const A: usize, const B: usize>(a: &[f64; A], b: &[f64; B]) -> f64 {
    a.iter().zip(b).map(|(a, b)| a * b).sum()
}
