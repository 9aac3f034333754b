//! Peer protocol: views for nodes that can't reach the store, deltas for followers, and load reports.

use std::collections::BTreeMap;
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
use socket2::SockRef;
use tokio::net::{TcpListener, TcpStream, UdpSocket};
use tokio::task::{JoinHandle, spawn_local};

use super::delta_feed;
use super::node::Node;
use super::quarantine::{self, EVIDENCE_VERSION};
use super::relay::RELAY_PATH;
use super::relay_server;
use super::response_body::ResponseBody;
use super::supervise::supervise;
use crate::departures::DepartureReport;
use crate::groups::{DemandReport, RECENT_DEMAND_VERSION};
use crate::load_board::{LoadBoard, LoadSampleReport};
use crate::named_limits::LimitReport;
use crate::quarantine::REPORT_INTERVAL;
use crate::report_targets::report_targets;
use crate::team_usage_report::TeamUsageReport;
use crate::view::{KnownUpstream, Snapshot};

/// Time without store contact after which a node fetches views from peers.
const STORE_LOST_TIMEOUT: Duration = Duration::from_millis(600);
/// Mean interval between two view requests to peers, and delay after a failed accept.
const FETCH_INTERVAL: Duration = Duration::from_millis(500);
/// Longest wait for a peer's view.
const FETCH_TIMEOUT: Duration = Duration::from_millis(400);
/// Path of a peer's complete view.
const VIEW_PATH: &str = "/view";
/// Largest encoded view or delta, in bytes.
const MAX_MESSAGE_BYTES: usize = 16 << 20;
/// Idle time after which a peer's connection is pinged, and closed if the peer does not answer.
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_secs(10);
/// Time without an answer after which the connection to a peer that owes answers to relayed calls is
/// pinged, and closed.
const RELAY_PING_INTERVAL: Duration = Duration::from_millis(300);
const RELAY_TIMEOUT: Duration = Duration::from_secs(1);
/// Most requests of one peer at a time.
const MAX_REQUESTS: u32 = 4_096;
/// Time for which an upstream that a peer reported as stalled or failed gets no requests.
const PEER_SUSPECT_AVOIDANCE: Duration = Duration::from_millis(500);
/// Largest load report, in bytes; fits one datagram.
const MAX_LOAD_REPORT_BYTES: usize = 1_400;
/// Version of the load report format; reports of other versions are ignored.
const LOAD_REPORT_VERSION: u8 = 2;
/// Version of the format of named limits, which come over the same port.
const LIMITS_VERSION: u8 = 4;
/// Version of the format of load samples, which come over the same port.
const SAMPLES_VERSION: u8 = 8;
/// Reports of loads for each report of teams' usage and of recent demand, which change more slowly.
const SLOW_REPORT_ROUNDS: u32 = 3;
/// Version of the format of teams' usage, which comes over the same port.
const TEAMS_VERSION: u8 = 10;
/// Peers that get a report of teams' usage; 24 teams take most of a datagram.
const TEAM_FANOUT: usize = 4;

/// Version of the format of upstreams' departures, which come over the same port.
const DEPARTURES_VERSION: u8 = 6;

/// Usage of scarce models by teams, at one node.
#[derive(Debug, Serialize, Deserialize)]
struct TeamMessage {
    version: u8,
    node: NodeId,
    usage: Vec<TeamUsageReport>,
}

/// Newest samples of engines' loads that a node knows.
#[derive(Debug, Serialize, Deserialize)]
struct SampleMessage {
    version: u8,
    samples: Vec<LoadSampleReport>,
}

/// Load that a node reports to its peers; upstreams are identified by the hash of their id.
#[derive(Debug, Serialize, Deserialize)]
struct LoadReport {
    version: u8,
    node: NodeId,
    /// The node's own requests in flight at each upstream.
    in_flight: Vec<(u64, u32)>,
    /// Group heads that recently stalled or failed.
    suspects: Vec<u64>,
    /// Work that callers requested from the node.
    demand: DemandReport,
}

/// Limits that upstreams named in their answers to a node.
#[derive(Debug, Serialize, Deserialize)]
struct LimitMessage {
    version: u8,
    limits: Vec<LimitReport>,
}

/// Announcements of upstreams that they are leaving, which reached a node.
#[derive(Debug, Serialize, Deserialize)]
struct DepartureMessage {
    version: u8,
    departures: Vec<DepartureReport>,
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

/// Serves this node's view, and deltas of it, to peers, and calls that they relay.
pub(super) async fn serve(node: Rc<Node>, listener: Rc<TcpListener>) {
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                tracing::warn!(%error, "could not accept peer connection");
                tokio::time::sleep(FETCH_INTERVAL).await;
                continue;
            }
        };
        let node = node.clone();
        spawn_local(async move {
            let service = service_fn(move |request: Request<Incoming>| {
                let node = node.clone();
                async move { Ok::<_, Infallible>(respond(&node, request).await) }
            });
            let served = server::Builder::new(LocalExecutor)
                .timer(TokioTimer::new())
                .keep_alive_interval(KEEP_ALIVE_INTERVAL)
                .max_concurrent_streams(MAX_REQUESTS)
                // Upstreams' responses to relayed calls have no header that they did not set.
                .auto_date_header(false)
                .serve_connection(TokioIo::new(stream), service);
            if let Err(error) = served.await {
                tracing::debug!(%error, "peer connection failed");
            }
        });
    }
}

async fn respond(node: &Rc<Node>, request: Request<Incoming>) -> Response<ResponseBody> {
    let path = request.uri().path();
    if path == RELAY_PATH {
        return relay_server::respond(node, request).await;
    }
    let body = match delta_feed::requested_revision(path) {
        Some(after) => delta_feed::wait_for_delta(node, after).await,
        None => encoded_view(node),
    };
    Response::new(ResponseBody::Complete(Some(body)))
}

fn encoded_view(node: &Node) -> Bytes {
    let now = node.now();
    let state = node.state.borrow();
    let age = state
        .last_store_contact
        .map_or(Duration::MAX, |at| now.saturating_duration_since(at));
    encode(&state.view.snapshot(age, now))
}

/// Encodes a message to a peer.
pub(super) fn encode(message: &impl Serialize) -> Bytes {
    match bincode::serde::encode_to_vec(message, bincode::config::standard()) {
        Ok(bytes) => bytes.into(),
        Err(error) => {
            tracing::error!(%error, "could not encode message to a peer");
            Bytes::new()
        }
    }
}

/// Fetches views from peers while the store can't be reached.
pub(super) async fn fetch_views_while_store_lost(node: Rc<Node>) {
    loop {
        tokio::time::sleep(FETCH_INTERVAL.mul_f64(0.8 + 0.4 * rand::random::<f64>())).await;
        let now = node.now();
        let peer = {
            let state = node.state.borrow();
            let last_contact = state.last_store_contact;
            let has_lost_store = state.view.store_lost
                && last_contact
                    .is_none_or(|at| now.saturating_duration_since(at) >= STORE_LOST_TIMEOUT);
            if !has_lost_store {
                continue;
            }
            let known = state.view.nodes.values().map(|entry| entry.peers);
            let seeds = node.options.seeds.iter().copied();
            let mut peers: Vec<SocketAddr> = known.chain(seeds).collect();
            peers.retain(|peer| *peer != node.options.peers);
            peers.choose(&mut rand::rng()).copied()
        };
        let Some(peer) = peer else {
            continue;
        };
        let fetched = tokio::time::timeout(FETCH_TIMEOUT, fetch_snapshot(peer)).await;
        match fetched {
            Ok(Ok(snapshot)) => adopt_snapshot(&node, peer, snapshot),
            Ok(Err(error)) => tracing::info!(%peer, %error, "could not fetch view from peer"),
            Err(_) => tracing::info!(%peer, "fetching view from peer timed out"),
        }
    }
}

fn adopt_snapshot(node: &Node, peer: SocketAddr, snapshot: Snapshot) {
    let now = node.now();
    let (index, age) = (snapshot.index, snapshot.age);
    let adopted = {
        let state = &mut *node.state.borrow_mut();
        state.view.store_lost && state.view.adopt(snapshot, now)
    };
    if adopted {
        let age_ms = u64::try_from(age.as_millis()).unwrap_or(u64::MAX);
        tracing::info!(%peer, %index, age_ms, "view taken from a peer");
        node.publish_view_change();
    }
}

/// Why a request to a peer failed.
#[derive(Debug, thiserror::Error)]
pub(super) enum PeerError {
    #[error("connection: {0}")]
    Connect(#[from] std::io::Error),
    #[error("HTTP: {0}")]
    Http(#[from] hyper::Error),
    #[error("request: {0}")]
    Request(#[from] http::Error),
    #[error("response body is truncated or too large")]
    Body,
    #[error("could not decode response: {0}")]
    Decode(#[from] bincode::error::DecodeError),
}

/// An HTTP/2 connection to a peer; closed when dropped.
pub(super) struct PeerConnection {
    peer: SocketAddr,
    sender: client::SendRequest<Full<Bytes>>,
    task: JoinHandle<hyper::Result<()>>,
}

impl PeerConnection {
    pub(super) async fn open(peer: SocketAddr) -> Result<Self, PeerError> {
        let stream = TcpStream::connect(peer).await?;
        stream.set_nodelay(true)?;
        let (sender, connection) = client::handshake(LocalExecutor, TokioIo::new(stream)).await?;
        let task = spawn_local(connection);
        Ok(Self { peer, sender, task })
    }

    /// Opens a connection for relayed calls, which ends soon after the peer no longer answers.
    pub(super) async fn open_for_relays(peer: SocketAddr) -> Result<Self, PeerError> {
        let stream = TcpStream::connect(peer).await?;
        stream.set_nodelay(true)?;
        SockRef::from(&stream).set_tcp_user_timeout(Some(RELAY_TIMEOUT))?;
        let (sender, connection) = client::Builder::new(LocalExecutor)
            .timer(TokioTimer::new())
            .keep_alive_interval(RELAY_PING_INTERVAL)
            .keep_alive_timeout(RELAY_TIMEOUT)
            .handshake(TokioIo::new(stream))
            .await?;
        let task = spawn_local(connection);
        Ok(Self { peer, sender, task })
    }

    /// Returns a sender of requests, unless the connection is closed.
    pub(super) fn open_sender(&self) -> Option<client::SendRequest<Full<Bytes>>> {
        (!self.sender.is_closed()).then(|| self.sender.clone())
    }

    pub(super) fn peer(&self) -> SocketAddr {
        self.peer
    }

    /// Requests a path and decodes the response.
    pub(super) async fn fetch<T: DeserializeOwned>(&mut self, path: &str) -> Result<T, PeerError> {
        let uri = format!("http://{}{path}", self.peer);
        let request = Request::get(uri).body(Full::new(Bytes::new()))?;
        let response = self.sender.send_request(request).await?;
        let body = Limited::new(response.into_body(), MAX_MESSAGE_BYTES)
            .collect()
            .await;
        let body = body.map_err(|_| PeerError::Body)?.to_bytes();
        let (message, _) = bincode::serde::decode_from_slice(&body, bincode::config::standard())?;
        Ok(message)
    }
}

impl Drop for PeerConnection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn fetch_snapshot(peer: SocketAddr) -> Result<Snapshot, PeerError> {
    PeerConnection::open(peer).await?.fetch(VIEW_PATH).await
}

/// Sends load reports to random peers and receives theirs.
pub(super) async fn exchange_load_reports(node: Rc<Node>) {
    let address = SocketAddr::new(node.options.ip, node.options.loads_port);
    let socket = match UdpSocket::bind(address).await {
        Ok(socket) => Rc::new(socket),
        Err(error) => {
            tracing::error!(%address, %error, "could not bind the load report port: load reports are neither sent nor received");
            return;
        }
    };
    let (receiver, receiver_socket) = (node.clone(), socket.clone());
    spawn_local(supervise("load reports received", move || {
        receive_load_reports(receiver.clone(), receiver_socket.clone())
    }));
    supervise("load reports sent", move || {
        send_load_reports(node.clone(), socket.clone())
    })
    .await;
}

async fn send_load_reports(node: Rc<Node>, socket: Rc<UdpSocket>) {
    let mut rounds = 0_u32;
    loop {
        tokio::time::sleep(REPORT_INTERVAL).await;
        rounds = rounds.wrapping_add(1);
        let evidence = quarantine::evaluate(&node);
        let evidence = evidence.iter().filter_map(encode_datagram);
        let limits = limit_messages(&node);
        let limits = limits.iter().filter_map(encode_datagram);
        let departures = departure_messages(&node);
        let departures = departures.iter().filter_map(encode_datagram);
        let samples = sample_message(&node);
        let samples = samples.iter().filter_map(encode_datagram);
        let (load, peers) = load_report(&node);
        let messages = load.into_iter().chain(evidence).chain(limits);
        let messages = messages.chain(samples);
        if rounds.is_multiple_of(SLOW_REPORT_ROUNDS) {
            let skipped = rounds as usize / SLOW_REPORT_ROUNDS as usize % 2 * TEAM_FANOUT;
            if let Some(message) = team_message(&node).as_ref().and_then(encode_datagram) {
                for peer in peers.iter().skip(skipped).take(TEAM_FANOUT) {
                    send_report(&socket, &message, *peer).await;
                }
            }
        }
        let demand = rounds
            .is_multiple_of(SLOW_REPORT_ROUNDS)
            .then(|| recent_demand(&node))
            .flatten();
        let messages = messages.chain(demand);
        for message in messages.chain(departures) {
            for peer in &peers {
                send_report(&socket, &message, *peer).await;
            }
        }
    }
}

async fn send_report(socket: &UdpSocket, message: &[u8], peer: SocketAddr) {
    if let Err(error) = socket.send_to(message, peer).await {
        // Not retried: later reports repeat what matters.
        tracing::debug!(%peer, %error, "could not send report");
    }
}

/// Updates the node's shares of limits; returns the messages for peers.
fn limit_messages(node: &Node) -> Vec<LimitMessage> {
    let now = node.now();
    let state = &mut *node.state.borrow_mut();
    let limits = &mut state.named_limits;
    if limits.has_news() {
        let nodes: Vec<_> = state.view.nodes.keys().collect();
        limits.update_shares(&node.options.node, &nodes, now);
    }
    let messages = limits.reports(now).into_iter().map(|limits| LimitMessage {
        version: LIMITS_VERSION,
        limits,
    });
    messages.collect()
}

/// Takes in the samples of a peer, and what they show of engines' capacity.
fn merge_samples(node: &Node, samples: &[LoadSampleReport]) {
    let now = node.now();
    let state = &mut *node.state.borrow_mut();
    let slowness = state.board.merge(samples, &node.options.node, now);
    if slowness.is_empty() {
        return;
    }
    let mut lifetimes = BTreeMap::new();
    for ((service, model), engines) in &state.view.serving {
        let Some(model) = model else { continue };
        let known = engines
            .iter()
            .filter_map(|id| state.view.upstreams.get(id))
            .map(KnownUpstream::lifetime);
        let kind = (service.clone(), model.clone());
        lifetimes
            .extend(known.map(|lifetime| (LoadBoard::key(lifetime), (lifetime, kind.clone()))));
    }
    for observed in slowness {
        if let Some((lifetime, kind)) = lifetimes.get(&observed.key) {
            state
                .capacity
                .record_peer(kind, *lifetime, observed.ratio, now);
        }
    }
}

/// Returns this node's usage of scarce models by teams; `None` while there is none.
fn team_message(node: &Node) -> Option<TeamMessage> {
    let usage = node.team_shares.borrow_mut().report(node.now());
    (!usage.is_empty()).then(|| TeamMessage {
        version: TEAMS_VERSION,
        node: node.options.node.clone(),
        usage,
    })
}

/// Returns the message with what this node received and refused recently.
fn recent_demand(node: &Node) -> Option<Vec<u8>> {
    let state = &mut *node.state.borrow_mut();
    if !state.has_shared_samples() {
        return None;
    }
    encode_datagram(&state.demand.recent_report(&node.options.node, node.now()))
}

/// Returns the samples that are new since the last message; `None` if there are none.
fn sample_message(node: &Node) -> Option<SampleMessage> {
    let state = &mut *node.state.borrow_mut();
    if !state.has_shared_samples() {
        return None;
    }
    let samples = state.board.report(node.now());
    (!samples.is_empty()).then_some(SampleMessage {
        version: SAMPLES_VERSION,
        samples,
    })
}

fn departure_messages(node: &Node) -> Vec<DepartureMessage> {
    let reports = node.state.borrow().departures.reports(node.now());
    let messages = reports.into_iter().map(|departures| DepartureMessage {
        version: DEPARTURES_VERSION,
        departures,
    });
    messages.collect()
}

/// Encodes a message that must fit one datagram.
fn encode_datagram(message: &impl Serialize) -> Option<Vec<u8>> {
    match bincode::serde::encode_to_vec(message, bincode::config::standard()) {
        Ok(bytes) if bytes.len() <= MAX_LOAD_REPORT_BYTES => Some(bytes),
        Ok(bytes) => {
            tracing::warn!(
                bytes = bytes.len(),
                "report does not fit a datagram: not sent"
            );
            None
        }
        Err(error) => {
            tracing::error!(%error, "could not encode report");
            None
        }
    }
}

fn load_report(node: &Node) -> (Option<Vec<u8>>, Vec<SocketAddr>) {
    let now = node.now();
    let state = &mut *node.state.borrow_mut();
    state
        .suspects
        .retain(|_, at| now.saturating_duration_since(*at) < REPORT_INTERVAL * 2);
    let own = &node.options.node;
    let targets = report_targets(&state.view, own, state.suspects.keys(), &mut rand::rng());
    let peers = targets
        .into_iter()
        .map(|address| SocketAddr::new(address.ip(), node.options.loads_port))
        .collect();
    let message = LoadReport {
        version: LOAD_REPORT_VERSION,
        node: node.options.node.clone(),
        in_flight: state.loads.own().collect(),
        suspects: state
            .suspects
            .keys()
            .map(|id| shallottide_types::rendezvous::hash(id.as_str()))
            .collect(),
        demand: state.demand.report(now),
    };
    (encode_datagram(&message), peers)
}

async fn receive_load_reports(node: Rc<Node>, socket: Rc<UdpSocket>) {
    let mut buf = [0; MAX_LOAD_REPORT_BYTES + 1];
    loop {
        let length = match socket.recv_from(&mut buf).await {
            Ok((length, _)) => length,
            Err(error) => {
                tracing::debug!(%error, "could not receive load report");
                tokio::time::sleep(REPORT_INTERVAL).await;
                continue;
            }
        };
        if apply_datagram(&node, &buf[..length]).is_none() {
            node.metrics.count("loads_unreadable", "");
        }
    }
}

/// Applies a peer's report; its first byte is the version of its format.
fn apply_datagram(node: &Node, bytes: &[u8]) -> Option<()> {
    match *bytes.first()? {
        LOAD_REPORT_VERSION => {
            apply_load_report(node, decode_datagram(bytes)?);
            node.wake_waiting();
        }
        EVIDENCE_VERSION => quarantine::apply_message(node, decode_datagram(bytes)?),
        LIMITS_VERSION => {
            let LimitMessage { limits, .. } = decode_datagram(bytes)?;
            let now = node.now();
            node.state.borrow_mut().named_limits.merge(&limits, now);
        }
        DEPARTURES_VERSION => {
            let DepartureMessage { departures, .. } = decode_datagram(bytes)?;
            let now = node.now();
            let known = &mut node.state.borrow_mut().departures;
            for _ in 0..known.merge(&departures, now) {
                node.metrics.count("departures", "reported");
            }
        }
        SAMPLES_VERSION => {
            let SampleMessage { samples, .. } = decode_datagram(bytes)?;
            merge_samples(node, &samples);
        }
        RECENT_DEMAND_VERSION => {
            let report = decode_datagram(bytes)?;
            let now = node.now();
            node.state.borrow_mut().demand.merge(report, now);
        }
        TEAMS_VERSION => {
            let TeamMessage {
                node: from, usage, ..
            } = decode_datagram(bytes)?;
            let now = node.now();
            node.team_shares.borrow_mut().merge(&from, &usage, now);
        }
        _ => return None,
    }
    Some(())
}

fn decode_datagram<T: DeserializeOwned>(bytes: &[u8]) -> Option<T> {
    let decoded = bincode::serde::decode_from_slice(bytes, bincode::config::standard());
    decoded.ok().map(|(message, _)| message)
}

fn apply_load_report(node: &Node, report: LoadReport) {
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
        let matches = |id: &&shallottide_types::id::UpstreamId| {
            shallottide_types::rendezvous::hash(id.as_str()) == suspect
        };
        if let Some(id) = state.view.upstreams.keys().find(matches) {
            state.loads.back_off_until(id, now + PEER_SUSPECT_AVOIDANCE);
            state.peer_suspects.insert(id.clone(), now);
        }
    }
}
