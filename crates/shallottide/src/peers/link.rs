//! One h2 connection to a peer.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use bytes::Bytes;
use h2::client::{ResponseFuture, SendRequest};
use h2::{Ping, PingPong, SendStream};
use http::Request;
use tokio::net::TcpStream;
use tokio::time::timeout;

use super::PeerTraffic;
use super::counted_stream::CountedStream;

/// Longest wait for a connection and its first exchange.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Longest wait for the answer to a ping.
const PING_TIMEOUT: Duration = Duration::from_millis(500);

/// A connection heard from within this time needs no ping before a call.
const PROVEN_FOR: Duration = Duration::from_millis(300);

/// Bytes that may be on their way on one stream and on one connection.
const WINDOW_BYTES: u32 = 1 << 20;

/// Why a link can't be used; nothing of the request was sent.
#[derive(Debug, thiserror::Error)]
pub(super) enum LinkError {
    #[error("peer {0} can't be reached: {1}")]
    Connect(SocketAddr, std::io::Error),
    #[error("peer {0} gave no answer in time")]
    Silent(SocketAddr),
    #[error("peer {0}: {1}")]
    Protocol(SocketAddr, h2::Error),
}

/// An open connection to a peer.
pub(super) struct Link {
    address: SocketAddr,
    requests: SendRequest<Bytes>,
    pings: tokio::sync::Mutex<PingPong>,
    heard_at: Mutex<Instant>,
}

impl Link {
    /// Connects to a peer.
    pub(super) async fn connect(
        address: SocketAddr,
        traffic: Arc<PeerTraffic>,
    ) -> Result<Self, LinkError> {
        timeout(CONNECT_TIMEOUT, Self::open(address, traffic))
            .await
            .map_err(|_| LinkError::Silent(address))?
    }

    async fn open(address: SocketAddr, traffic: Arc<PeerTraffic>) -> Result<Self, LinkError> {
        let connect = |e| LinkError::Connect(address, e);
        let stream = TcpStream::connect(address).await.map_err(connect)?;
        stream.set_nodelay(true).map_err(connect)?;
        let (requests, mut connection) = h2::client::Builder::new()
            .initial_window_size(WINDOW_BYTES)
            .initial_connection_window_size(WINDOW_BYTES)
            .handshake(CountedStream::new(stream, traffic))
            .await
            .map_err(|e| LinkError::Protocol(address, e))?;
        let pings = connection.ping_pong().expect("taken once per connection");
        tokio::spawn(async move {
            if let Err(e) = connection.await {
                tracing::debug!(%address, error = %e, "peer connection ended");
            }
        });
        Ok(Self {
            address,
            requests,
            pings: tokio::sync::Mutex::new(pings),
            heard_at: Mutex::new(Instant::now()),
        })
    }

    /// Notes that something came from the peer.
    pub(super) fn heard(&self) {
        *self.heard_at.lock().expect("heard lock") = Instant::now();
    }

    /// Makes sure that the connection still works, asking the peer when it has been quiet.
    pub(super) async fn prove(&self) -> Result<(), LinkError> {
        let quiet = self.heard_at.lock().expect("heard lock").elapsed();
        if quiet <= PROVEN_FOR {
            return Ok(());
        }
        let mut pings = self.pings.lock().await;
        timeout(PING_TIMEOUT, pings.ping(Ping::opaque()))
            .await
            .map_err(|_| LinkError::Silent(self.address))?
            .map_err(|e| LinkError::Protocol(self.address, e))?;
        self.heard();
        Ok(())
    }

    /// Starts a request. On an error nothing was sent.
    pub(super) async fn start(
        &self,
        request: Request<()>,
    ) -> Result<(ResponseFuture, SendStream<Bytes>), LinkError> {
        let protocol = |e| LinkError::Protocol(self.address, e);
        let ready = timeout(PING_TIMEOUT, self.requests.clone().ready());
        let mut requests = ready
            .await
            .map_err(|_| LinkError::Silent(self.address))?
            .map_err(protocol)?;
        requests.send_request(request, false).map_err(protocol)
    }
}
