//! The median of several runs and how far they lie apart.

use std::fmt;

/// The median of several runs, with the lowest and the highest.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Spread {
    /// The middle one.
    pub median: f64,
    /// The lowest.
    pub lowest: f64,
    /// The highest.
    pub highest: f64,
}

impl Spread {
    /// Orders the results of several runs.
    ///
    /// # Panics
    /// If there is none.
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
