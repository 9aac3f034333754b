//! Assembles and runs one node: kernel, services and adapters.

mod running_node;
mod stop_sequence;
mod wiring;

pub use running_node::{NodeAddresses, RunningNode};
pub use stop_sequence::StopReport;
pub use wiring::{NodeError, start};
