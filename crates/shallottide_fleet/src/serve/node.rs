//! What the tasks of one node share.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use shallottide_types::clock::Clock;
use shallottide_types::id::{DomainId, ServiceId, UpstreamId};
use tokio::net::TcpListener;
use tokio::sync::{Notify, watch};
use tokio::task::{LocalSet, spawn_local};

use super::metrics::Metrics;
use super::pool::Pool;
use super::stop::{self, Phase, StopReport};
use super::{callers, metrics, peers, plain_http, status, steward_task, store_sync};
use crate::balance::LoadTracker;
use crate::border::{CallFormat, EngineFormat, Lease, Store};
use crate::cold_gate::ColdGate;
use crate::groups::{Demand, EngineCounts};
use crate::lease_validity::LeaseValidity;
use crate::options::NodeOptions;
use crate::retry_budget::RetryBudget;
use crate::routes::RouteTable;
use crate::view::ClusterView;
use crate::wait_queue::{Ticket, WaitQueue};

/// Clean-ups between two log lines of figures.
const FIGURES_EVERY: u32 = 10;
/// Time between two clean-ups of what a node keeps of others.
const TIDY_PERIOD: Duration = Duration::from_secs(1);

/// The adapter to a platform.
#[derive(Clone)]
pub struct Borders {
    /// The platform's store.
    pub store: Rc<dyn Store>,
    /// Requests and answers.
    pub calls: Rc<dyn CallFormat>,
    /// Orders and reports.
    pub engines: Rc<dyn EngineFormat>,
}

/// Why a node can't start.
#[derive(Debug, thiserror::Error)]
pub enum NodeError {
    /// An address can't be listened at.
    #[error(
        "can't listen for {purpose} at {address} ({source}): check the address and that the port is free"
    )]
    Listen {
        /// What the address is for.
        purpose: &'static str,
        /// The address.
        address: SocketAddr,
        /// What the system said.
        source: std::io::Error,
    },
    /// The runtime or the signals can't be set up.
    #[error("the process can't be set up ({0}): check its limits")]
    Setup(#[from] std::io::Error),
}

/// What decisions are made from.
#[derive(Default)]
pub(super) struct State {
    pub(super) view: ClusterView,
    pub(super) routes: RouteTable,
    /// Version of the configuration that `routes` was made from.
    pub(super) routes_version: Option<u64>,
    pub(super) loads: LoadTracker,
    pub(super) cold: ColdGate,
    pub(super) budgets: BTreeMap<ServiceId, RetryBudget>,
    pub(super) waiting: WaitQueue,
    pub(super) wakers: BTreeMap<Ticket, Rc<Notify>>,
    pub(super) demand: Demand,
    /// Whether a caller's request has come.
    pub(super) had_traffic: bool,
    /// When the store last answered.
    pub(super) store_heard: Option<Instant>,
    pub(super) lease: LeaseValidity,
    pub(super) lease_held: Option<Lease>,
    /// Heads that stalled or failed lately, for the stewards.
    pub(super) suspects: BTreeMap<UpstreamId, Instant>,
    /// Heads that peers reported.
    pub(super) peer_suspects: BTreeMap<UpstreamId, Instant>,
    /// The highest number of nodes seen lately.
    pub(super) nodes_peak: usize,
    pub(super) in_flight: usize,
    /// What the engines of this node's domains do, while it is their steward.
    pub(super) engines: BTreeMap<DomainId, EngineCounts>,
}

impl State {
    /// Returns the number of nodes that shared bounds are divided by.
    pub(super) fn nodes(&self) -> usize {
        self.view.nodes.len().max(self.nodes_peak).max(1)
    }

    /// Refreshes what is derived from the view.
    pub(super) fn view_changed(&mut self) {
        let version = self.view.catalog.as_ref().map(|catalog| catalog.version);
        if version != self.routes_version
            && let Some(catalog) = &self.view.catalog
        {
            self.routes = RouteTable::new(catalog);
            self.routes_version = version;
        }
        self.nodes_peak = self.nodes_peak.max(self.view.nodes.len());
        self.view.index_serving();
    }
}

/// One node.
pub struct Node {
    pub(super) options: NodeOptions,
    pub(super) borders: Borders,
    pub(super) clock: Arc<dyn Clock>,
    pub(super) state: RefCell<State>,
    pub(super) pool: Pool,
    pub(super) metrics: Metrics,
    /// Told when the view changed.
    pub(super) changed: Notify,
    pub(super) phase: watch::Sender<Phase>,
}

impl Node {
    pub(super) fn now(&self) -> Instant {
        self.clock.now()
    }

    /// Wakes the waiting requests that are next.
    pub(super) fn wake_waiting(&self) {
        let state = self.state.borrow();
        for ticket in state.waiting.firsts() {
            if let Some(waker) = state.wakers.get(&ticket) {
                waker.notify_one();
            }
        }
    }

    /// Refreshes what depends on the view and wakes who waits for that.
    pub(super) fn view_changed(&self) {
        self.state.borrow_mut().view_changed();
        self.changed.notify_waiters();
        self.wake_waiting();
    }

    pub(super) fn is_stopping(&self) -> bool {
        *self.phase.borrow() != Phase::Serving
    }

    /// Tells whether callers may be sent here.
    pub(super) fn is_ready(&self) -> bool {
        let state = self.state.borrow();
        !self.is_stopping() && state.view.catalog.is_some() && !state.view.upstreams.is_empty()
    }
}

/// Runs a node until it is told to stop by a signal.
///
/// # Errors
/// [`NodeError`] when it can't start.
pub fn run(
    options: NodeOptions,
    clock: Arc<dyn Clock>,
    borders: impl FnOnce() -> Borders,
) -> Result<StopReport, NodeError> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    let local = LocalSet::new();
    let node = Rc::new(Node {
        options,
        borders: borders(),
        clock,
        state: RefCell::default(),
        pool: Pool::default(),
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
                status::answer(&node)
            } else {
                metrics::answer(&node)
            }
        }));
    }
    tracing::info!(
        node = %options.node, domain = %options.domain, callers = %options.callers,
        first_start = options.first_start, "started"
    );
    let asked = node.clone();
    spawn_local(plain_http::serve(readiness, move |_| {
        callers::readiness(&asked)
    }));
    spawn_local(callers::accept(node.clone(), callers));
    spawn_local(peers::answer(node.clone(), peer_listener));
    spawn_local(peers::ask_while_cut_off(node.clone()));
    spawn_local(peers::exchange_loads(node.clone()));
    spawn_local(store_sync::follow(node.clone()));
    spawn_local(store_sync::keep_lease(node.clone()));
    spawn_local(steward_task::run(node.clone()));
    spawn_local(tidy(node.clone()));
    stop::run(node).await
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

async fn tidy(node: Rc<Node>) {
    let mut rounds = 0_u32;
    loop {
        tokio::time::sleep(TIDY_PERIOD).await;
        rounds = rounds.wrapping_add(1);
        if rounds.is_multiple_of(FIGURES_EVERY) {
            metrics::log_figures(&node);
        }
        let now = node.now();
        let state = &mut *node.state.borrow_mut();
        state.view.expire(now);
        let view = &state.view;
        state.loads.retain(|id| view.upstreams.contains_key(id));
        state.cold.retain(|id| view.upstreams.contains_key(id));
        node.pool.tidy(|id| view.upstreams.contains_key(id), now);
        state.view_changed();
        // Falls slowly, so that a node which lost sight of others keeps the smaller share.
        state.nodes_peak = state
            .nodes_peak
            .saturating_sub(1)
            .max(state.view.nodes.len());
    }
}
