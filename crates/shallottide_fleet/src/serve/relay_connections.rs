//! Connections to peers over which calls are relayed, one for each peer.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http2::SendRequest;
use tokio::sync::Mutex;

use super::peers::PeerConnection;

/// Longest time to open a connection to a peer.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

#[derive(Default)]
struct Slot {
    /// Locked while the connection is opened.
    connection: Mutex<Option<PeerConnection>>,
    /// When opening it last failed.
    failed_at: Cell<Option<Instant>>,
}

/// Open connections by the address of the peer.
#[derive(Default)]
pub(super) struct RelayConnections {
    slots: RefCell<BTreeMap<SocketAddr, Rc<Slot>>>,
}

impl RelayConnections {
    /// Returns the open connection to a peer, or opens one; `None` if that fails.
    pub(super) async fn get(
        &self,
        peer: SocketAddr,
        clock: impl Fn() -> Instant,
    ) -> Option<SendRequest<Full<Bytes>>> {
        let slot = {
            let mut slots = self.slots.borrow_mut();
            slots.entry(peer).or_default().clone()
        };
        let asked_at = clock();
        let mut connection = slot.connection.lock().await;
        if let Some(open) = &*connection
            && let Some(sender) = open.open_sender()
        {
            return Some(sender);
        }
        if slot.failed_at.get().is_some_and(|at| at >= asked_at) {
            return None;
        }
        *connection = None;
        let opened = PeerConnection::open_for_relays(peer);
        match tokio::time::timeout(CONNECT_TIMEOUT, opened).await {
            Ok(Ok(open)) => {
                let sender = open.open_sender();
                *connection = Some(open);
                sender
            }
            Ok(Err(error)) => {
                tracing::debug!(%peer, %error, "could not connect to a peer");
                slot.failed_at.set(Some(clock()));
                None
            }
            Err(_) => {
                tracing::debug!(%peer, "connecting to a peer timed out");
                slot.failed_at.set(Some(clock()));
                None
            }
        }
    }

    /// Closes connections to peers that are no longer known.
    pub(super) fn retain(&self, known: impl Fn(&SocketAddr) -> bool) {
        self.slots.borrow_mut().retain(|peer, _| known(peer));
    }
}
