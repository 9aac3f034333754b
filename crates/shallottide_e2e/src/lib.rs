//! Starts the real binaries as processes on loopback.
//!
//! For end-to-end tests and measurements only; not part of the product.

mod process_cluster;
mod program;
mod records;

pub use process_cluster::{ClusterOptions, EntryNode, ProcessCluster, listen_address};
pub use program::{Program, Signal, program_path};
pub use records::TEAM_KEY;
