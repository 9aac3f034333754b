//! The front border: serves callers' HTTP connections, on tokio with hyper.

mod call_request;
mod connection;
mod front_border;
mod reply_body;
mod ticket_request;

pub use call_request::{CallRequest, read_call};
pub use front_border::{FrontBorder, FrontOptions};
