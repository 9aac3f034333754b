//! The serving system as a library: a micro-kernel, its services and its borders.
//!
//! Decisions are made by [`kernel::Service`]s, which are free of sockets, threads and clocks:
//! each takes one [`Message`](message::Message) and the time, changes its own state
//! and puts messages for others into an [`kernel::Outbox`]. Sockets live in border threads, which talk to
//! the kernel by the same messages.

pub mod admission;
pub mod calls;
pub mod claims;
pub mod kernel;
pub mod message;
pub mod routing;
pub mod view;
