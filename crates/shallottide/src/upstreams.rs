//! The upstream adapter: runs calls on engines and plain services, one thread per call.
//!
//! Each [`Dispatch`](crate::message::Dispatch) opens a new connection and is sent at most once:
//! without reuse no connection can be half-dead before the request, and the HTTP library has no
//! reason to retry.

mod answer_reader;
mod attempt_agent;
mod literal_resolver;
mod upstream_adapter;

pub use upstream_adapter::UpstreamAdapter;
