//! Benchmarks of how the cost of decisions and state grows with a fleet.
//!
//! Not part of the product. `cargo run --release -p shallottide_bench` prints all tables.

mod claims_fixture;
mod config_fixture;
pub mod decisions;
mod domain_fixture;
mod fake_platform;
mod gossip_domain;
mod linear_fit;
mod members_fixture;
pub mod memory;
mod process_usage;
mod spread;
mod timing_table;

use linear_fit::LinearFit;
pub use process_usage::{ProcessUsage, load_average};
pub use spread::Spread;
use timing_table::{RUNS, TimingTable};
