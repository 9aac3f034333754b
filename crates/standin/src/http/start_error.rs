//! The error of a stand-in that can't start.

use std::net::SocketAddr;

/// A stand-in failed to bind its address.
#[derive(Debug, thiserror::Error)]
#[error("can't listen on {address} ({reason}): choose a free address, or port 0")]
pub struct StartError {
    /// Address that was tried.
    pub address: SocketAddr,
    /// Error of the operating system.
    pub reason: String,
}
