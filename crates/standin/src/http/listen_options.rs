//! Where a stand-in listens.

use std::net::{Ipv4Addr, SocketAddr};

const DEFAULT_MAX_CONNECTIONS: usize = 256;

/// Where a stand-in listens and for how many callers.
#[derive(Debug, Clone)]
pub struct ListenOptions {
    /// Address; port 0 takes a free one.
    pub address: SocketAddr,
    /// Most open connections; more are closed at once.
    pub max_connections: usize,
}

impl Default for ListenOptions {
    fn default() -> Self {
        Self {
            address: (Ipv4Addr::LOCALHOST, 0).into(),
            max_connections: DEFAULT_MAX_CONNECTIONS,
        }
    }
}
