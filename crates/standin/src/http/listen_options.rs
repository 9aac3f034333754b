//! Listening address and connection limit.

use std::net::{Ipv4Addr, SocketAddr};

const DEFAULT_MAX_CONNECTIONS: usize = 256;

/// Listening address and connection limit of a stand-in.
#[derive(Debug, Clone)]
pub struct ListenOptions {
    /// Address to bind; port 0 chooses a free port.
    pub address: SocketAddr,
    /// Maximum number of open connections; further ones are closed immediately.
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
