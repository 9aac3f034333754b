//! Timing of operations at several sizes.

use std::hint::black_box;
use std::time::{Duration, Instant};

use crate::{LinearFit, Spread};

/// Number of runs of each measurement.
pub(crate) const RUNS: usize = 5;

/// Minimum duration of one run.
const MIN_RUN_TIME: Duration = Duration::from_millis(60);

/// Number of operations between two reads of the clock.
const BATCH: u32 = 4;

/// Times an operation at increasing sizes and prints the results as table rows.
#[derive(Debug, Default)]
pub(crate) struct TimingTable {
    /// Sizes and median times in microseconds.
    points: Vec<(f64, f64)>,
}

impl TimingTable {
    /// Times an operation at one size and prints its row.
    pub(crate) fn measure<T>(&mut self, label: &str, size: u32, mut op: impl FnMut() -> T) {
        let run = |_| mean_micros(&mut op);
        let spread = Spread::of((0..RUNS).map(run).collect());
        println!("| {label} | {size} | {spread:.2} |");
        self.points.push((f64::from(size), spread.median));
    }

    /// Prints a line fitted to all points.
    pub(crate) fn print_slope(self, label: &str) {
        let LinearFit { base, per_unit } = LinearFit::fit(&self.points);
        println!("| {label} | slope | {base:.2} + {per_unit:.4} for each |");
    }
}

/// Returns the mean time of one operation in microseconds.
fn mean_micros<T>(op: &mut impl FnMut() -> T) -> f64 {
    let start = Instant::now();
    let mut count = 0;
    while start.elapsed() < MIN_RUN_TIME {
        for _ in 0..BATCH {
            black_box(op());
        }
        count += BATCH;
    }
    start.elapsed().as_secs_f64() * 1e6 / f64::from(count)
}
