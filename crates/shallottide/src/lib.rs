//! The serving system as a library: a micro-kernel, its services and its borders.
//!
//! Decisions are made by [`kernel::Service`]s, which are free of sockets, threads and clocks:
//! each takes one [`Message`](message::Message) and the time, changes its own state
//! and puts messages for others into an [`kernel::Outbox`]. Sockets live in border threads, which talk to
//! the kernel by the same messages.

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
pub mod platform_border;
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
