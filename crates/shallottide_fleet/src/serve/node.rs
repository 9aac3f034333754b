//! State shared by the tasks of a node, and the start of those tasks.

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use shallottide_types::clock::Clock;
use shallottide_types::id::{DomainId, ServiceId, UpstreamId};
use tokio::net::TcpListener;
use tokio::sync::{Notify, watch};
use tokio::task::{LocalSet, spawn_local};

use super::connection_pool::ConnectionPool;
use super::delta_feed::EncodedDelta;
use super::metrics::Metrics;
use super::relay_connections::RelayConnections;
use super::stop::{self, Phase, StopReport};
use super::supervise::supervise;
use super::{callers, controller_task, links, metrics, peers, plain_http, status, store_sync};
use crate::adapter::{CallFormat, EngineFormat, Lease, Store};
use crate::balance::LoadTracker;
use crate::byte_budget::ByteBudget;
use crate::call_classes::CallClasses;
use crate::capacity::CapacityModel;
use crate::cold_gate::ColdGate;
use crate::cooldowns::Cooldowns;
use crate::crash_evidence::CrashEvidence;
use crate::departures::Departures;
use crate::groups::{Demand, EngineCounts};
use crate::lease_validity::LeaseValidity;
use crate::load_board::LoadBoard;
use crate::named_limits::NamedLimits;
use crate::options::NodeOptions;
use crate::relay_limit::RelayLimit;
use crate::relay_targets::ServiceRelayTargets;
use crate::report_targets::MAX_DIRECT_NODES;
use crate::retry_budget::RetryBudget;
use crate::return_schedule::ReturnSchedule;
use crate::routes::RouteTable;
use crate::team_shares::TeamShares;
use crate::upstream_links::UpstreamLinks;
use crate::view::{ClusterView, KnownUpstream};
use crate::wait_queue::{Ticket, WaitQueue};

/// Part of the VM's memory that bodies of calls may use, as a divisor. Measured: 80 MB of bodies make a
/// process of 111 MB, which leaves 160 MB nodes room for responses and a large view (design/memory.md).
const BODY_MEMORY_DIVISOR: usize = 2;
/// Part of the VM's memory that responses may use until their callers have read them, as a divisor.
const RESPONSE_MEMORY_DIVISOR: usize = 8;
/// Heartbeats that an upstream misses before its entry lapses, less one, as its last heartbeat may have
/// been due when the store failed.
const HEARTBEATS_BEFORE_LAPSE: u32 = 2;
/// Housekeeping rounds between two log lines of figures.
const SUMMARY_ROUNDS: u32 = 10;
/// Interval at which state about removed upstreams, nodes and connections is dropped.
const HOUSEKEEPING_INTERVAL: Duration = Duration::from_secs(1);

/// The adapter to a platform: its store and its wire formats.
#[derive(Clone)]
pub struct PlatformAdapter {
    /// The platform's store.
    pub store: Rc<dyn Store>,
    /// Format of callers' requests and upstreams' responses.
    pub call_format: Rc<dyn CallFormat>,
    /// Format of orders to engines and of their reports.
    pub engine_format: Rc<dyn EngineFormat>,
}

/// Why a node could not start or run.
#[derive(Debug, thiserror::Error)]
pub enum NodeError {
    /// A listening socket can't be opened.
    #[error(
        "can't listen for {purpose} at {address} ({source}): check the address and that the port is free"
    )]
    Listen {
        /// Use of the address, such as `callers`.
        purpose: &'static str,
        /// The configured address.
        address: SocketAddr,
        /// The system's error.
        source: std::io::Error,
    },
    /// The async runtime or the signal handlers can't be set up.
    #[error("can't set up the async runtime or signal handlers ({0}): check the process's limits")]
    Setup(#[from] std::io::Error),
}

/// The node's mutable state, from which all decisions are made.
#[derive(Default)]
pub(super) struct State {
    pub(super) view: ClusterView,
    pub(super) routes: RouteTable,
    /// Version of the configuration that `routes` was built from.
    pub(super) routes_version: Option<u64>,
    pub(super) loads: LoadTracker,
    /// Loads that engines stated in their answers; used where [`State::has_shared_samples`].
    pub(super) board: LoadBoard,
    pub(super) capacity: CapacityModel,
    pub(super) call_classes: CallClasses,
    pub(super) returns: ReturnSchedule,
    /// This node's own links to upstreams.
    pub(super) links: UpstreamLinks,
    /// Nodes to which calls are relayed while links are lost.
    pub(super) relay_targets: ServiceRelayTargets,
    /// Limit on the calls that other nodes relay to this one.
    pub(super) relay_limit: RelayLimit,
    pub(super) cold: ColdGate,
    pub(super) named_limits: NamedLimits,
    pub(super) cooldowns: Cooldowns,
    pub(super) departures: Departures,
    pub(super) retry_budgets: BTreeMap<ServiceId, RetryBudget>,
    pub(super) waiting: WaitQueue,
    pub(super) wakers: BTreeMap<Ticket, Rc<Notify>>,
    pub(super) demand: Demand,
    /// Whether a caller's request has arrived since the start.
    pub(super) had_traffic: bool,
    /// Time of the last answer of the store, direct or through a peer.
    pub(super) last_store_contact: Option<Instant>,
    pub(super) lease_watch: LeaseValidity,
    pub(super) held_lease: Option<Lease>,
    /// Group heads that recently stalled or failed, for the controllers.
    pub(super) suspects: BTreeMap<UpstreamId, Instant>,
    /// Group heads that peers reported as stalled or failed.
    pub(super) peer_suspects: BTreeMap<UpstreamId, Instant>,
    /// Decaying maximum of the number of known nodes.
    pub(super) peak_nodes: usize,
    /// Upstreams that ended, and the prompt parts that may be at fault.
    pub(super) crashes: CrashEvidence,
    /// Calls in flight.
    pub(super) in_flight: usize,
    /// Callers' open connections over which requests have arrived.
    pub(super) used_connections: usize,
    /// Engines by state, for each domain that this node controls.
    pub(super) engine_counts: BTreeMap<DomainId, EngineCounts>,
}

impl State {
    /// Returns the number of nodes by which shared limits are divided; at least 1.
    pub(super) fn node_count(&self) -> usize {
        self.view.nodes.len().max(self.peak_nodes).max(1)
    }

    /// Returns whether a lease is the one that this node holds.
    pub(super) fn holds_lease(&self, lease: &Lease) -> bool {
        let held = self.held_lease.map(|held| (held.era, held.id));
        held == Some((lease.era, lease.id))
    }

    /// Returns whether nodes are too many for each to hear all others directly, so that they pass on
    /// samples of engines' loads.
    pub(super) fn has_shared_samples(&self) -> bool {
        self.node_count() > MAX_DIRECT_NODES
    }

    /// Rebuilds what is derived from the view.
    pub(super) fn refresh_derived(&mut self) {
        let version = self.view.catalog.as_ref().map(|catalog| catalog.version);
        if version != self.routes_version
            && let Some(catalog) = &self.view.catalog
        {
            self.routes = RouteTable::new(catalog);
            self.routes_version = version;
        }
        self.peak_nodes = self.peak_nodes.max(self.view.nodes.len());
        self.view.index_serving();
    }
}

/// One running node; its tasks share it.
pub struct Node {
    pub(super) options: NodeOptions,
    pub(super) platform: PlatformAdapter,
    pub(super) clock: Arc<dyn Clock>,
    pub(super) state: RefCell<State>,
    pub(super) team_shares: RefCell<TeamShares>,
    pub(super) pool: ConnectionPool,
    pub(super) relay_connections: RelayConnections,
    /// Services of which no upstream answers this node any more, over new or kept connections.
    pub(super) lost_links: watch::Sender<BTreeSet<ServiceId>>,
    /// Bytes of callers' bodies, from their arrival until their calls have ended.
    pub(super) body_budget: Arc<ByteBudget>,
    /// Bytes of responses, from their arrival until they are written to their callers' sockets. Apart
    /// from `body_budget`, so that new calls can't take the memory that running ones need to end.
    pub(super) response_budget: Arc<ByteBudget>,
    /// The last delta that was sent to a follower.
    pub(super) last_delta: RefCell<Option<EncodedDelta>>,
    pub(super) metrics: Metrics,
    /// Notified when the view changes, a head becomes suspect or an order ends.
    pub(super) changed: Notify,
    pub(super) phase: watch::Sender<Phase>,
}

impl Node {
    pub(super) fn now(&self) -> Instant {
        self.clock.now()
    }

    /// Wakes the first request of each wait queue.
    pub(super) fn wake_waiting(&self) {
        let state = self.state.borrow();
        for ticket in state.waiting.firsts() {
            if let Some(waker) = state.wakers.get(&ticket) {
                waker.notify_one();
            }
        }
    }

    /// Rebuilds what is derived from the view, and wakes tasks and requests that wait for a change.
    pub(super) fn publish_view_change(&self) {
        self.state.borrow_mut().refresh_derived();
        self.changed.notify_waiters();
        self.wake_waiting();
    }

    pub(super) fn is_stopping(&self) -> bool {
        *self.phase.borrow() != Phase::Serving
    }

    /// Returns whether the load balancer may send callers to this node.
    pub(super) fn is_ready(&self) -> bool {
        let state = self.state.borrow();
        !self.is_stopping() && state.view.catalog.is_some() && !state.view.upstreams.is_empty()
    }
}

/// Runs a node until a signal stops it.
///
/// # Errors
/// [`NodeError`] when the node can't start.
pub fn run(
    options: NodeOptions,
    clock: Arc<dyn Clock>,
    platform: impl FnOnce() -> PlatformAdapter,
) -> Result<StopReport, NodeError> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    let local = LocalSet::new();
    let body_budget = ByteBudget::new(options.memory / BODY_MEMORY_DIVISOR);
    let response_budget = ByteBudget::new(options.memory / RESPONSE_MEMORY_DIVISOR);
    let mut view = ClusterView::default();
    view.shortest_lapse = options.heartbeat * HEARTBEATS_BEFORE_LAPSE;
    let state = State {
        view,
        departures: Departures::new(options.drain),
        ..State::default()
    };
    let node = Rc::new(Node {
        team_shares: TeamShares::new(options.node.clone()).into(),
        options,
        platform: platform(),
        clock,
        state: state.into(),
        pool: ConnectionPool::default(),
        relay_connections: RelayConnections::default(),
        lost_links: watch::Sender::default(),
        body_budget,
        response_budget,
        last_delta: RefCell::default(),
        metrics: Metrics::default(),
        changed: Notify::new(),
        phase: watch::Sender::new(Phase::Serving),
    });
    local.block_on(&runtime, serve(node))
}

async fn serve(node: Rc<Node>) -> Result<StopReport, NodeError> {
    let options = &node.options;
    let callers = listen("callers", options.callers).await?;
    let readiness = listen("readiness", options.readiness).await?;
    let peer_listener = listen("peers", options.peers).await?;
    if let Some(address) = options.metrics {
        let listener = listen("metrics", address).await?;
        let node = node.clone();
        spawn_local(plain_http::serve(listener, move |request| {
            if request.uri().path() == status::PATH {
                status::respond(&node)
            } else {
                metrics::respond(&node)
            }
        }));
    }
    tracing::info!(
        node = %options.node, domain = %options.domain, callers = %options.callers,
        first_start = options.first_start, "started"
    );
    let readiness_node = node.clone();
    spawn_local(plain_http::serve(readiness, move |_| {
        callers::respond_readiness(&readiness_node)
    }));
    let (callers, peer_listener) = (Rc::new(callers), Rc::new(peer_listener));
    start(&node, "callers", move |node| {
        callers::accept(node, callers.clone())
    });
    start(&node, "peers", move |node| {
        peers::serve(node, peer_listener.clone())
    });
    start(&node, "peer views", peers::fetch_views_while_store_lost);
    start(&node, "load reports", peers::exchange_load_reports);
    start(&node, "store", store_sync::follow);
    start(&node, "link probes", links::watch);
    start(&node, "lease", store_sync::keep_lease);
    start(&node, "controller", controller_task::run);
    start(&node, "housekeeping", run_housekeeping);
    stop::run(node).await
}

/// Starts one of the node's tasks, supervised.
fn start<F: Future<Output = ()> + 'static>(
    node: &Rc<Node>,
    task: &'static str,
    run: impl Fn(Rc<Node>) -> F + 'static,
) {
    let node = node.clone();
    spawn_local(supervise(task, move || run(node.clone())));
}

async fn listen(purpose: &'static str, address: SocketAddr) -> Result<TcpListener, NodeError> {
    TcpListener::bind(address)
        .await
        .map_err(|source| NodeError::Listen {
            purpose,
            address,
            source,
        })
}

async fn run_housekeeping(node: Rc<Node>) {
    let mut rounds = 0_u32;
    loop {
        tokio::time::sleep(HOUSEKEEPING_INTERVAL).await;
        rounds = rounds.wrapping_add(1);
        if rounds.is_multiple_of(SUMMARY_ROUNDS) {
            metrics::log_summary(&node);
        }
        let now = node.now();
        let state = &mut *node.state.borrow_mut();
        state.view.expire(now);
        let view = &state.view;
        state.loads.retain(|id| view.upstreams.contains_key(id));
        state.cold.retain(|id| view.upstreams.contains_key(id));
        state.links.retain(|id| view.upstreams.contains_key(id));
        state.relay_targets.retain(|id| view.nodes.contains_key(id));
        let peers: BTreeSet<_> = view.nodes.values().map(|entry| entry.peers).collect();
        node.relay_connections.retain(|peer| peers.contains(peer));
        state.cooldowns.expire(now);
        state.board.expire(now);
        state.call_classes.expire(now);
        state.capacity.expire(now);
        node.team_shares.borrow_mut().expire(now);
        state.returns.expire(now);
        if !state.departures.is_empty() {
            let known = view.upstreams.values().map(KnownUpstream::lifetime);
            state.departures.retain(&known.collect(), now);
        }
        let departures = &state.departures;
        let is_kept = |id: &UpstreamId| {
            let known = view.upstreams.get(id);
            known.is_some_and(|known| !departures.is_leaving(known.lifetime()))
        };
        node.pool.evict_idle(is_kept, now);
        state.refresh_derived();
        // Decays slowly, so that a node whose view has lost others keeps the smaller share.
        state.peak_nodes = state
            .peak_nodes
            .saturating_sub(1)
            .max(state.view.nodes.len());
    }
}
