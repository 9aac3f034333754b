//! Rates of requests.

use std::fmt;
use std::str::FromStr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

/// A rate, in thousandths of a request per second.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
pub struct RequestRate(pub u32);

/// Error of parsing a rate that is no decimal number, or out of range.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("rate {0:?} is not valid: write a decimal number of requests a second, 0 to 1000000")]
pub struct RequestRateError(String);

/// Highest rate, in requests per second.
const MAX_PER_SECOND: f64 = 1e6;

impl RequestRate {
    /// Returns the number of requests in a time, rounded down.
    #[must_use]
    pub fn requests_in(self, time: Duration) -> u32 {
        let requests = u128::from(self.0) * time.as_millis() / 1_000_000;
        u32::try_from(requests).unwrap_or(u32::MAX)
    }
}

impl fmt::Display for RequestRate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{:03}", self.0 / 1_000, self.0 % 1_000)
    }
}

impl FromStr for RequestRate {
    type Err = RequestRateError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let error = || RequestRateError(text.chars().take(40).collect());
        let per_second: f64 = text.trim().parse().map_err(|_| error())?;
        if !(0.0..=MAX_PER_SECOND).contains(&per_second) {
            return Err(error());
        }
        #[allow(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "the range is checked"
        )]
        Ok(Self((per_second * 1_000.0) as u32))
    }
}
