//! Times an operation in several runs.

use std::hint::black_box;
use std::time::{Duration, Instant};

use crate::{Slope, Spread};

/// Runs of each measurement.
pub(crate) const RUNS: usize = 5;

/// Shortest time of one run.
const RUN_TIME: Duration = Duration::from_millis(60);

/// Operations between two looks at the time.
const BATCH: u32 = 4;

/// Times operations at growing sizes and prints them as rows of one table.
#[derive(Debug, Default)]
pub(crate) struct Stopwatch {
    points: Vec<(f64, f64)>,
}

impl Stopwatch {
    /// Times an operation at one size and prints its row.
    pub(crate) fn time<T>(&mut self, what: &str, size: u32, mut op: impl FnMut() -> T) {
        let run = |_| micros_each(&mut op);
        let spread = Spread::of((0..RUNS).map(run).collect());
        println!("| {what} | {size} | {spread:.2} |");
        self.points.push((f64::from(size), spread.median));
    }

    /// Prints the line through all points so far.
    pub(crate) fn finish(self, what: &str) {
        let Slope { base, per_unit } = Slope::fit(&self.points);
        println!("| {what} | slope | {base:.2} + {per_unit:.4} for each |");
    }
}

fn micros_each<T>(op: &mut impl FnMut() -> T) -> f64 {
    let start = Instant::now();
    let mut count = 0;
    while start.elapsed() < RUN_TIME {
        for _ in 0..BATCH {
            black_box(op());
        }
        count += BATCH;
    }
    start.elapsed().as_secs_f64() * 1e6 / f64::from(count)
}
