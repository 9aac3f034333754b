//! The peer adapter: HTTP/2 connections to and from other entry VMs.
//!
//! A control message is a request to `/control`. A forwarded call is a request to `/call`, whose
//! response streams the answer as frames. Both sides authenticate with the peer key: a request
//! carries a tag (HMAC) over its body, a response a tag over the request's tag.

mod counted_stream;
mod link;
mod link_pool;
mod peer_adapter;
mod peer_authenticator;
mod peer_client;
mod peer_server;
mod peer_traffic;

pub use peer_adapter::{PeerAdapter, PeerOptions};
pub use peer_traffic::{PeerTotals, PeerTraffic};
