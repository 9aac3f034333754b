//! Stand-ins and entry nodes in one process.
//!
//! [`DemoCluster`] starts them on loopback, [`Caller`] calls them, [`run`] is the demo of
//! the command line.

mod caller;
mod demo_cluster;
mod demo_error;
mod demo_run;
mod sample_records;

pub use caller::{Answer, Caller};
pub use demo_cluster::{DemoCluster, DemoOptions};
pub use demo_error::DemoError;
pub use demo_run::run;
