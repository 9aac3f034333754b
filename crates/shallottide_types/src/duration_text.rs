//! Serde helper that writes a [`Duration`] as text such as `250ms` or `8s`.

use std::time::Duration;

use serde::{Deserialize, Deserializer, Serializer, de::Error};

/// Parses text such as `250ms`, `8s`, `2m` or `1h`.
///
/// # Errors
/// A message that says what is wrong: no known unit, no whole number or an overflow.
pub fn parse(text: &str) -> Result<Duration, String> {
    let digits = text.trim_end_matches(|c: char| c.is_ascii_alphabetic());
    let unit_ms = match &text[digits.len()..] {
        "ms" => 1,
        "s" => 1_000,
        "m" => 60_000,
        "h" => 3_600_000,
        _ => return Err(format!("duration {text:?} needs a unit: ms, s, m or h")),
    };
    let count: u64 = digits
        .parse()
        .map_err(|_| format!("duration {text:?} needs a whole number before its unit"))?;
    count
        .checked_mul(unit_ms)
        .map(Duration::from_millis)
        .ok_or_else(|| format!("duration {text:?} is too long"))
}

/// Formats whole seconds as `8s`, any other duration in milliseconds.
#[must_use]
pub fn format(duration: Duration) -> String {
    let ms = duration.as_millis();
    if ms > 0 && ms.is_multiple_of(1_000) {
        format!("{}s", ms / 1_000)
    } else {
        format!("{ms}ms")
    }
}

/// Serializes a duration as the text of [`format()`].
///
/// # Errors
/// Any error of the serializer.
pub fn serialize<S: Serializer>(duration: &Duration, out: S) -> Result<S::Ok, S::Error> {
    out.serialize_str(&format(*duration))
}

/// Deserializes a duration from text that [`parse`] accepts.
///
/// # Errors
/// Any error of [`parse`] or of the deserializer.
pub fn deserialize<'de, D: Deserializer<'de>>(input: D) -> Result<Duration, D::Error> {
    parse(&String::deserialize(input)?).map_err(D::Error::custom)
}
