//! Choice of the seeds that a simulation plays.

use std::ops::Range;

/// Returns the seeds of the environment variable `SIM_SEEDS` (`FIRST..LAST`), or the given ones.
pub(crate) fn sim_seeds(default: Range<u64>) -> Range<u64> {
    let Ok(text) = std::env::var("SIM_SEEDS") else {
        return default;
    };
    let (first, last) = text.split_once("..").expect("SIM_SEEDS is FIRST..LAST");
    let number = |text: &str| text.parse().expect("SIM_SEEDS holds numbers");
    number(first)..number(last)
}
