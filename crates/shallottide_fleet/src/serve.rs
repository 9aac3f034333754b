//! The tasks of a node that own sockets. All run on one thread and share one [`Node`].

mod call;
mod call_log;
mod callers;
mod connection;
mod delta_feed;
mod logs;
mod metrics;
mod node;
mod peers;
mod place;
mod plain_http;
mod pool;
mod relay;
mod reply_body;
mod send;
mod status;
mod steward_task;
mod stop;
mod store_sync;

pub use connection::{Connection, HttpError};
pub use logs::init_logs;
pub use node::{Node, NodeError, PlatformAdapter, run};
pub use stop::StopReport;
