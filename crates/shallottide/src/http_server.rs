//! HTTP server of adapters. Each connection has its own task, so that a slow one delays no other.

mod server;
mod stall_timeout;

pub(crate) use server::{HttpLimits, HttpServer};
