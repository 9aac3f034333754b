//! The HTTP server that all stand-ins share.
//!
//! `tiny_http` can neither close a connection without a response nor limit the number of open
//! connections, so a connection gate in front of it relays the bytes.

mod connection;
mod connection_gate;
mod event_stream;
mod exchange;
mod http_server;
mod listen_options;
mod percent;
mod reply;
mod start_error;

pub use listen_options::ListenOptions;
pub use start_error::StartError;

pub(crate) use event_stream::EventStream;
pub(crate) use exchange::Exchange;
pub(crate) use http_server::{Handler, HttpServer};
pub(crate) use reply::Reply;
