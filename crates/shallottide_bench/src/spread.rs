//! Median and range of repeated measurements.

use std::fmt;

/// Median and range of the results of several runs.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Spread {
    /// Median; the higher of the two middle results if the number of runs is even.
    pub median: f64,
    /// Lowest result.
    pub lowest: f64,
    /// Highest result.
    pub highest: f64,
}

impl Spread {
    /// Computes the median and the range.
    ///
    /// # Panics
    /// If `runs` is empty.
    #[must_use]
    pub fn of(mut runs: Vec<f64>) -> Self {
        runs.sort_by(f64::total_cmp);
        Self {
            median: runs[runs.len() / 2],
            lowest: runs[0],
            highest: runs[runs.len() - 1],
        }
    }
}

impl fmt::Display for Spread {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let digits = f.precision().unwrap_or(1);
        let Self {
            median,
            lowest,
            highest,
        } = self;
        write!(
            f,
            "{median:.digits$} ({lowest:.digits$}–{highest:.digits$})"
        )
    }
}
