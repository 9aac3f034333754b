//! Why a stand-in can't start.

use std::net::SocketAddr;

/// A stand-in can't listen.
#[derive(Debug, thiserror::Error)]
#[error("can't listen on {address} ({reason}): choose a free address, or port 0")]
pub struct StartError {
    /// The address tried.
    pub address: SocketAddr,
    /// What the system said.
    pub reason: String,
}
