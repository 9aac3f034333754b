//! Border: runs calls on engines and plain services, one thread for each.
//!
//! Each [`Dispatch`](crate::message::Dispatch) opens a new connection and is sent at most once:
//! no connection is reused, so none can have gone silent before, and the HTTP library has nothing
//! to retry on.

mod answer_reader;
mod attempt_agent;
mod literal_resolver;
mod upstream_border;

pub use upstream_border::UpstreamBorder;
