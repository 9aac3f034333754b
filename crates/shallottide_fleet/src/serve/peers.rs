//! What nodes tell each other: the view to those cut off from the store, and loads.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::client::conn::http2 as client;
use hyper::rt::Executor;
use hyper::server::conn::http2 as server;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use rand::seq::IndexedRandom;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use shallottide_types::id::NodeId;
use tokio::net::{TcpListener, TcpStream, UdpSocket};
use tokio::task::{JoinHandle, spawn_local};

use super::delta_feed;
use super::node::Node;
use crate::groups::DemandReport;
use crate::view::Snapshot;

/// Time without the store after which peers are asked.
const CUT_OFF: Duration = Duration::from_millis(600);
/// Pause between two questions to peers.
const ASK_PAUSE: Duration = Duration::from_millis(500);
/// Longest wait for a peer's view.
const ASK_TIMEOUT: Duration = Duration::from_millis(400);
/// Where a peer's whole view is.
const VIEW_PATH: &str = "/view";
/// Largest view, in bytes.
const MAX_VIEW: usize = 32 << 20;
/// Silence after which a peer's connection is tested, and closed if the peer is gone.
const KEEP_ALIVE: Duration = Duration::from_secs(10);
/// Pause between two reports of loads.
const LOADS_PAUSE: Duration = Duration::from_millis(200);
/// Peers that get each report.
const LOADS_FANOUT: usize = 8;
/// Time for which an upstream is left alone that stalled or failed for a peer.
const PEER_SUSPICION: Duration = Duration::from_millis(500);
/// Largest report of loads, in bytes; fits one datagram.
const MAX_LOADS: usize = 1_400;
/// Version of the messages between nodes.
const VERSION: u8 = 2;

/// A node's own requests at each upstream, by the hash of its id.
#[derive(Debug, Serialize, Deserialize)]
struct LoadReport {
    version: u8,
    node: NodeId,
    in_flight: Vec<(u64, u32)>,
    /// Heads that stalled or failed lately.
    suspects: Vec<u64>,
    /// What callers asked of the node.
    demand: DemandReport,
}

#[derive(Clone)]
struct LocalExecutor;

impl<F: Future + 'static> Executor<F> for LocalExecutor {
    fn execute(&self, future: F) {
        spawn_local(async move {
            future.await;
        });
    }
}

/// Answers peers with this node's view, or with what changed in it.
pub(super) async fn answer(node: Rc<Node>, listener: TcpListener) {
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                tracing::warn!(%error, "peer not accepted");
                tokio::time::sleep(ASK_PAUSE).await;
                continue;
            }
        };
        let node = node.clone();
        spawn_local(async move {
            let service = service_fn(move |request: Request<Incoming>| {
                let node = node.clone();
                async move {
                    let body = match delta_feed::wanted(request.uri().path()) {
                        Some(after) => delta_feed::delta(&node, after).await,
                        None => view_for_peer(&node),
                    };
                    Ok::<_, Infallible>(Response::new(Full::new(body)))
                }
            });
            let served = server::Builder::new(LocalExecutor)
                .timer(TokioTimer::new())
                .keep_alive_interval(KEEP_ALIVE)
                .serve_connection(TokioIo::new(stream), service);
            if let Err(error) = served.await {
                tracing::debug!(%error, "peer's connection ended");
            }
        });
    }
}

fn view_for_peer(node: &Node) -> Bytes {
    let now = node.now();
    let state = node.state.borrow();
    let age = state
        .store_heard
        .map_or(Duration::MAX, |at| now.saturating_duration_since(at));
    encode(&state.view.snapshot(age, now))
}

/// Encodes a message to a peer.
pub(super) fn encode(message: &impl Serialize) -> Bytes {
    match bincode::serde::encode_to_vec(message, bincode::config::standard()) {
        Ok(bytes) => bytes.into(),
        Err(error) => {
            tracing::error!(%error, "message to a peer can't be encoded");
            Bytes::new()
        }
    }
}

/// Asks peers for their view while the store can't be reached.
pub(super) async fn ask_while_cut_off(node: Rc<Node>) {
    loop {
        tokio::time::sleep(ASK_PAUSE.mul_f64(0.8 + 0.4 * rand::random::<f64>())).await;
        let now = node.now();
        let peer = {
            let state = node.state.borrow();
            let heard = state.store_heard;
            let is_cut_off = state.view.store_lost
                && heard.is_none_or(|at| now.saturating_duration_since(at) >= CUT_OFF);
            if !is_cut_off {
                continue;
            }
            let known = state
                .view
                .nodes
                .values()
                .filter_map(|text| text.parse().ok());
            let seeds = node.options.seeds.iter().copied();
            let mut peers: Vec<SocketAddr> = known.chain(seeds).collect();
            peers.retain(|peer| *peer != node.options.peers);
            peers.choose(&mut rand::rng()).copied()
        };
        let Some(peer) = peer else {
            continue;
        };
        let asked = tokio::time::timeout(ASK_TIMEOUT, ask(peer)).await;
        match asked {
            Ok(Ok(snapshot)) => adopt(&node, peer, snapshot),
            Ok(Err(error)) => tracing::info!(%peer, %error, "peer gave no view"),
            Err(_) => tracing::info!(%peer, "peer gave no view in time"),
        }
    }
}

fn adopt(node: &Node, peer: SocketAddr, snapshot: Snapshot) {
    let now = node.now();
    let (index, age) = (snapshot.index, snapshot.age);
    let adopted = {
        let state = &mut *node.state.borrow_mut();
        state.view.store_lost && state.view.adopt(snapshot, now)
    };
    if adopted {
        let age_ms = u64::try_from(age.as_millis()).unwrap_or(u64::MAX);
        tracing::info!(%peer, %index, age_ms, "view taken from a peer");
        node.view_changed();
    }
}

/// Why a peer gave no answer that can be used.
#[derive(Debug, thiserror::Error)]
pub(super) enum AskError {
    #[error("connection: {0}")]
    Connect(#[from] std::io::Error),
    #[error("HTTP: {0}")]
    Http(#[from] hyper::Error),
    #[error("request: {0}")]
    Request(#[from] http::Error),
    #[error("the answer is cut or too large")]
    Body,
    #[error("the answer can't be read: {0}")]
    Decode(#[from] bincode::error::DecodeError),
}

/// A connection to a peer's interface; closed when dropped.
pub(super) struct PeerLink {
    peer: SocketAddr,
    sender: client::SendRequest<Full<Bytes>>,
    task: JoinHandle<hyper::Result<()>>,
}

impl PeerLink {
    pub(super) async fn open(peer: SocketAddr) -> Result<Self, AskError> {
        let stream = TcpStream::connect(peer).await?;
        stream.set_nodelay(true)?;
        let (sender, connection) = client::handshake(LocalExecutor, TokioIo::new(stream)).await?;
        let task = spawn_local(connection);
        Ok(Self { peer, sender, task })
    }

    pub(super) fn peer(&self) -> SocketAddr {
        self.peer
    }

    /// Asks for a path, and decodes the answer.
    pub(super) async fn ask<T: DeserializeOwned>(&mut self, path: &str) -> Result<T, AskError> {
        let uri = format!("http://{}{path}", self.peer);
        let request = Request::get(uri).body(Full::new(Bytes::new()))?;
        let response = self.sender.send_request(request).await?;
        let body = Limited::new(response.into_body(), MAX_VIEW).collect().await;
        let body = body.map_err(|_| AskError::Body)?.to_bytes();
        let (answer, _) = bincode::serde::decode_from_slice(&body, bincode::config::standard())?;
        Ok(answer)
    }
}

impl Drop for PeerLink {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn ask(peer: SocketAddr) -> Result<Snapshot, AskError> {
    PeerLink::open(peer).await?.ask(VIEW_PATH).await
}

/// Sends this node's loads to some peers, and takes in theirs.
pub(super) async fn exchange_loads(node: Rc<Node>) {
    let address = SocketAddr::new(node.options.ip, node.options.loads_port);
    let socket = match UdpSocket::bind(address).await {
        Ok(socket) => Rc::new(socket),
        Err(error) => {
            tracing::error!(%address, %error, "loads can't be exchanged: port not free");
            return;
        }
    };
    spawn_local(receive_loads(node.clone(), socket.clone()));
    loop {
        tokio::time::sleep(LOADS_PAUSE).await;
        let (message, peers) = report(&node);
        let Some(message) = message else {
            continue;
        };
        for peer in peers {
            if let Err(error) = socket.send_to(&message, peer).await {
                // The next report follows soon.
                tracing::debug!(%peer, %error, "loads not sent");
            }
        }
    }
}

fn report(node: &Node) -> (Option<Vec<u8>>, Vec<SocketAddr>) {
    let now = node.now();
    let state = &mut *node.state.borrow_mut();
    let own = node.options.peers;
    let addresses = state.view.nodes.values();
    let others: Vec<SocketAddr> = addresses
        .filter_map(|text| text.parse::<SocketAddr>().ok())
        .filter(|address| *address != own)
        .map(|address| SocketAddr::new(address.ip(), node.options.loads_port))
        .collect();
    let peers: Vec<_> = others
        .sample(&mut rand::rng(), LOADS_FANOUT)
        .copied()
        .collect();
    state
        .suspects
        .retain(|_, at| now.saturating_duration_since(*at) < LOADS_PAUSE * 2);
    let message = LoadReport {
        version: VERSION,
        node: node.options.node.clone(),
        in_flight: state.loads.own().collect(),
        suspects: state
            .suspects
            .keys()
            .map(|id| shallottide_types::rendezvous::hash(id.as_str()))
            .collect(),
        demand: state.demand.report(now),
    };
    match bincode::serde::encode_to_vec(&message, bincode::config::standard()) {
        Ok(bytes) if bytes.len() <= MAX_LOADS => (Some(bytes), peers),
        Ok(bytes) => {
            tracing::warn!(bytes = bytes.len(), "loads don't fit a datagram: not sent");
            (None, peers)
        }
        Err(error) => {
            tracing::error!(%error, "loads can't be encoded");
            (None, peers)
        }
    }
}

async fn receive_loads(node: Rc<Node>, socket: Rc<UdpSocket>) {
    let mut buf = [0; MAX_LOADS + 1];
    loop {
        let length = match socket.recv_from(&mut buf).await {
            Ok((length, _)) => length,
            Err(error) => {
                tracing::debug!(%error, "loads not received");
                tokio::time::sleep(LOADS_PAUSE).await;
                continue;
            }
        };
        let decoded = bincode::serde::decode_from_slice::<LoadReport, _>(
            &buf[..length],
            bincode::config::standard(),
        );
        let report = match decoded {
            Ok((report, _)) if report.version == VERSION => report,
            _ => {
                node.metrics.count("loads_unreadable", "");
                continue;
            }
        };
        take_in(&node, report);
        node.wake_waiting();
    }
}

fn take_in(node: &Node, report: LoadReport) {
    let now = node.now();
    let state = &mut *node.state.borrow_mut();
    let nodes = state.view.nodes.len();
    state
        .demand
        .record_peer_report(report.node.clone(), report.demand, now);
    state
        .loads
        .record_peer_report(report.node, report.in_flight, nodes, now);
    let suspects = report.suspects;
    for suspect in suspects {
        let is_it = |id: &&shallottide_types::id::UpstreamId| {
            shallottide_types::rendezvous::hash(id.as_str()) == suspect
        };
        if let Some(id) = state.view.upstreams.keys().find(is_it) {
            state.loads.back_off_until(id, now + PEER_SUSPICION);
            state.peer_suspects.insert(id.clone(), now);
        }
    }
}
