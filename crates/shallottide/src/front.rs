//! The front adapter: serves callers' HTTP connections, on tokio with hyper.

mod call_request;
mod connection;
mod front_adapter;
mod reply_body;
mod ticket_request;

pub use call_request::{CallRequest, read_call};
pub use front_adapter::{FrontAdapter, FrontOptions};
