//! HTTP connections of borders: each is served by a task of its own, so that none waits for
//! another.

mod server;
mod stall_timeout;

pub(crate) use server::{HttpLimits, HttpServer};
