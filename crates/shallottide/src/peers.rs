//! Border: h2 connections to and from other entry VMs.
//!
//! A control message is one request to `/control`, a forwarded call one to `/call` whose
//! response streams frames of the answer. Both sides prove that they know the peer key: the
//! request by a tag over its body, the response by a tag over the request's.

mod counted_stream;
mod incoming;
mod link;
mod link_pool;
mod outgoing;
mod peer_border;
mod peer_traffic;
mod proof;

pub use peer_border::{PeerBorder, PeerOptions};
pub use peer_traffic::{PeerTotals, PeerTraffic};
