//! Keeps one connection to each peer and replaces it when it fails.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use tokio::sync::Mutex;

use super::PeerTraffic;
use super::link::{Link, LinkError};

/// The link to one peer, if open. Locked while it is checked or opened.
type LinkEntry = Arc<Mutex<Option<Arc<Link>>>>;

/// Links by peer address, at most one for each.
pub(super) struct LinkPool {
    traffic: Arc<PeerTraffic>,
    entries: Mutex<BTreeMap<SocketAddr, LinkEntry>>,
}

impl LinkPool {
    /// Creates an empty pool.
    pub(super) fn new(traffic: Arc<PeerTraffic>) -> Self {
        Self {
            traffic,
            entries: Mutex::default(),
        }
    }

    /// Returns a link that was just checked, and opens a new one if there is none that works.
    pub(super) async fn live_link(&self, address: SocketAddr) -> Result<Arc<Link>, LinkError> {
        let entry = self
            .entries
            .lock()
            .await
            .entry(address)
            .or_default()
            .clone();
        let mut link_slot = entry.lock().await;
        if let Some(link) = &*link_slot {
            if link.check_alive().await.is_ok() {
                return Ok(link.clone());
            }
            *link_slot = None;
        }
        let link = Arc::new(Link::connect(address, self.traffic.clone()).await?);
        *link_slot = Some(link.clone());
        Ok(link)
    }

    /// Removes a failed link, unless it was replaced already.
    pub(super) async fn remove_link(&self, address: SocketAddr, failed: &Arc<Link>) {
        let entry = self.entries.lock().await.get(&address).cloned();
        let Some(entry) = entry else {
            return;
        };
        let mut link_slot = entry.lock().await;
        if link_slot
            .as_ref()
            .is_some_and(|link| Arc::ptr_eq(link, failed))
        {
            *link_slot = None;
        }
    }
}
