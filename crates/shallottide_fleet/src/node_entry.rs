//! A node's entry in the store.

use std::fmt;
use std::net::SocketAddr;
use std::str::FromStr;

use serde::{Deserialize, Serialize};
use shallottide_types::id::DomainId;

/// What a node tells the other nodes of itself.
///
/// As text: the address, the failure domain and the capacity, separated by spaces.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeEntry {
    /// Address of its peer interface.
    pub peers: SocketAddr,
    /// Its failure domain.
    pub domain: DomainId,
    /// Its share of a processor, in thousandths of a core.
    pub capacity: u32,
}

/// Why a node's entry can't be read.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("node entry {0:?} is not an address, a failure domain and a capacity")]
pub struct NodeEntryError(String);

impl fmt::Display for NodeEntry {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {} {}", self.peers, self.domain, self.capacity)
    }
}

impl FromStr for NodeEntry {
    type Err = NodeEntryError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let mut words = text.split(' ');
        let entry = (|| {
            let entry = Self {
                peers: words.next()?.parse().ok()?,
                domain: words.next()?.parse().ok()?,
                capacity: words.next()?.parse().ok()?,
            };
            words.next().is_none().then_some(entry)
        })();
        entry.ok_or_else(|| NodeEntryError(text.into()))
    }
}
