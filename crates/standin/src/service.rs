//! A server of a plain service, some of whose calls must not be repeated.

mod run_counts;
mod service_faults;
mod service_handler;
mod service_options;
mod service_server;

pub use run_counts::RunCounts;
pub use service_faults::{ServiceControl, ServiceFaults};
pub use service_options::ServiceOptions;
pub use service_server::ServiceServer;
