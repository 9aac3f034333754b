//! Measures what decisions and state cost as a fleet grows.
//!
//! Not part of the product. `cargo run --release -p shallottide_bench` prints all tables.

mod claimed_keys;
pub mod decisions;
mod fake_platform;
mod gossip_domain;
mod held_nodes;
mod held_records;
pub mod memory;
mod process_usage;
mod slope;
mod spread;
mod stopwatch;
mod world;

pub use process_usage::{ProcessUsage, load_average};
use slope::Slope;
pub use spread::Spread;
use stopwatch::{RUNS, Stopwatch};
