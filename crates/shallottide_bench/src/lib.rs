//! Measures what decisions and state cost as a fleet grows.
//!
//! Not part of the product. `cargo run --release -p shallottide_bench` prints all tables.

mod process_usage;
mod slope;
mod spread;

pub use process_usage::{ProcessUsage, load_average};
pub use slope::Slope;
pub use spread::Spread;
