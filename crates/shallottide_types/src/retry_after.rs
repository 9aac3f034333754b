//! The value of an upstream's `Retry-After` header, in seconds.

use std::fmt;
use std::num::ParseFloatError;
use std::str::FromStr;
use std::time::Duration;

/// Why a value is no time in seconds.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum RetryAfterError {
    /// It is no number, such as a date.
    #[error("no number of seconds ({0})")]
    NotANumber(#[from] ParseFloatError),
    /// It is negative, infinite or not a number.
    #[error("the number of seconds is negative or not finite")]
    OutOfRange,
}

/// Time for which an upstream asks for no requests; parsed from seconds, with or without a fraction.
///
/// A number too large for the type is the longest time.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct RetryAfter(pub Duration);

impl FromStr for RetryAfter {
    type Err = RetryAfterError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let seconds: f64 = text.trim().parse()?;
        if !seconds.is_finite() || seconds < 0.0 {
            return Err(RetryAfterError::OutOfRange);
        }
        let time = Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX);
        Ok(Self(time))
    }
}

impl fmt::Display for RetryAfter {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:.3}", self.0.as_secs_f64())
    }
}
