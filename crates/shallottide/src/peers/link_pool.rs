//! Keeps one connection to each peer and replaces it when it fails.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use tokio::sync::Mutex;

use super::PeerTraffic;
use super::link::{Link, LinkError};

type Seat = Arc<Mutex<Option<Arc<Link>>>>;

/// Connections by address.
pub(super) struct LinkPool {
    traffic: Arc<PeerTraffic>,
    seats: Mutex<BTreeMap<SocketAddr, Seat>>,
}

impl LinkPool {
    /// Creates a pool without connections.
    pub(super) fn new(traffic: Arc<PeerTraffic>) -> Self {
        Self {
            traffic,
            seats: Mutex::default(),
        }
    }

    /// Returns a connection that was heard from just now, a new one if need be.
    pub(super) async fn proven(&self, address: SocketAddr) -> Result<Arc<Link>, LinkError> {
        let seat = self.seats.lock().await.entry(address).or_default().clone();
        let mut seat = seat.lock().await;
        if let Some(link) = &*seat {
            if link.prove().await.is_ok() {
                return Ok(link.clone());
            }
            *seat = None;
        }
        let link = Arc::new(Link::connect(address, self.traffic.clone()).await?);
        *seat = Some(link.clone());
        Ok(link)
    }

    /// Drops a connection that failed, unless it was replaced already.
    pub(super) async fn drop_link(&self, address: SocketAddr, failed: &Arc<Link>) {
        let seat = self.seats.lock().await.get(&address).cloned();
        let Some(seat) = seat else {
            return;
        };
        let mut seat = seat.lock().await;
        if seat.as_ref().is_some_and(|link| Arc::ptr_eq(link, failed)) {
            *seat = None;
        }
    }
}
