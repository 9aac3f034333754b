//! Sizes and rates with units.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

/// Error of parsing a quantity.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum QuantityError {
    /// The size has no whole number, an unknown unit, or overflows.
    #[error("size {0:?} is not valid: write a whole number with B, KiB, MiB or GiB")]
    Size(String),
    /// The rate has no whole number or no `/s`.
    #[error("rate {0:?} is not valid: write a whole number with /s")]
    Rate(String),
}

/// A number of bytes, written with a binary unit such as `64KiB`.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct ByteSize(pub u64);

const UNITS: [(&str, u64); 4] = [
    ("GiB", 1 << 30),
    ("MiB", 1 << 20),
    ("KiB", 1 << 10),
    ("B", 1),
];

impl fmt::Display for ByteSize {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let divides = |&&(_, unit): &&(&str, u64)| self.0 >= unit && self.0.is_multiple_of(unit);
        let (name, unit) = UNITS.iter().find(divides).unwrap_or(&("B", 1));
        write!(f, "{}{name}", self.0 / unit)
    }
}

impl FromStr for ByteSize {
    type Err = QuantityError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let parse = |&(name, unit): &(&str, u64)| {
            let count: u64 = text.strip_suffix(name)?.trim().parse().ok()?;
            count.checked_mul(unit).map(Self)
        };
        UNITS
            .iter()
            .find_map(parse)
            .ok_or_else(|| QuantityError::Size(text.into()))
    }
}

impl TryFrom<String> for ByteSize {
    type Error = QuantityError;

    fn try_from(text: String) -> Result<Self, Self::Error> {
        text.parse()
    }
}

impl From<ByteSize> for String {
    fn from(size: ByteSize) -> Self {
        size.to_string()
    }
}

/// A number of events per second, written as `50/s`.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct PerSecond(pub u32);

impl fmt::Display for PerSecond {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/s", self.0)
    }
}

impl FromStr for PerSecond {
    type Err = QuantityError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        text.strip_suffix("/s")
            .and_then(|count| count.trim().parse().ok())
            .map(Self)
            .ok_or_else(|| QuantityError::Rate(text.into()))
    }
}

impl TryFrom<String> for PerSecond {
    type Error = QuantityError;

    fn try_from(text: String) -> Result<Self, Self::Error> {
        text.parse()
    }
}

impl From<PerSecond> for String {
    fn from(rate: PerSecond) -> Self {
        rate.to_string()
    }
}
