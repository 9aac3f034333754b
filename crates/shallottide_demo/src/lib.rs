//! Demo cluster: stand-ins and entry nodes in one process.
//!
//! [`DemoCluster`] starts them on loopback, [`Caller`] calls them, and [`run`] is the command line's
//! `demo`.

mod caller;
mod demo_cluster;
mod demo_error;
mod demo_run;
mod sample_records;

pub use caller::{Answer, Caller};
pub use demo_cluster::{DemoCluster, DemoOptions};
pub use demo_error::DemoError;
pub use demo_run::run;
