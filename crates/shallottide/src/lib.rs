//! The serving system as a library: a micro-kernel, its services and its adapters.
//!
//! All decisions are made by [`kernel::Service`]s, which use no sockets, threads or system clocks:
//! a service handles one [`Message`](message::Message) at a time, changes its own state and puts
//! messages for others into a [`kernel::Outbox`]. All I/O is done by adapters, which run on their own
//! threads and exchange the same messages with the kernel.

pub mod admission;
pub mod auth;
pub mod calls;
pub mod claims;
pub mod config;
pub mod connection_gate;
pub mod engines;
pub mod front;
pub mod groups;
mod http_connect;
mod http_server;
pub mod kernel;
pub mod listener;
pub mod members;
pub mod message;
pub mod node;
pub mod operate;
pub mod operators;
pub mod peer_codec;
pub mod peers;
pub mod platform_adapter;
pub mod platform_client;
pub mod readiness;
pub mod replies;
pub mod routing;
pub mod settings;
pub mod status;
pub mod telemetry;
pub mod upstreams;
pub mod view;
pub mod worker_pool;
