//! The tasks of a node that own sockets. All run on one thread and share one [`Node`].

mod attempt;
mod call;
mod call_log;
mod caller_activity;
mod callers;
mod connection;
mod connection_pool;
mod controller_task;
mod delta_feed;
mod limited_stream;
mod links;
mod logs;
mod metrics;
mod node;
mod peers;
mod plain_http;
mod quarantine;
mod relay;
mod relay_connections;
mod relay_server;
mod response_body;
mod send;
mod status;
mod stop;
mod store_sync;
mod stream_relay;
mod supervise;
mod upstream_selection;

pub use connection::{Connection, HttpError};
pub use logs::init_logs;
pub use node::{Node, NodeError, PlatformAdapter, run};
pub use stop::StopReport;
pub use supervise::supervise;
