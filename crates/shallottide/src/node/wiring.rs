//! Starts a node's threads and registers its services and adapters with the kernel.

use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::TcpListener;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::sync::mpsc::{Sender, channel};
use std::thread::JoinHandle;

use shallottide_types::clock::{Clock, SystemClock};
use shallottide_types::id::Incarnation;
use shallottide_types::peer::NodeInfo;
use shallottide_types::platform::Platform;
use tokio::runtime::Runtime;

use super::running_node::{NodeAddresses, RunningNode, SharedState};
use crate::admission::{AdmissionOptions, SlotAdmission};
use crate::auth::AuthService;
use crate::calls::{CallOptions, CallService};
use crate::claims::{ClaimOptions, ClaimService};
use crate::config::{ConfigOptions, ConfigService};
use crate::engines::EngineAdapter;
use crate::front::{FrontAdapter, FrontOptions};
use crate::groups::{GroupOptions, GroupService};
use crate::kernel::{Context, Kernel, KernelHandle, names};
use crate::listener;
use crate::members::{MemberOptions, MemberService};
use crate::operators::OperatorAdapter;
use crate::peer_codec::{PeerKey, PeerKeyError};
use crate::peers::{PeerAdapter, PeerOptions};
use crate::platform_adapter::PlatformAdapter;
use crate::routing::{RoutingOptions, SlotRouter};
use crate::settings::NodeSettings;
use crate::status::StatusService;
use crate::telemetry::{GaugeService, Metrics};
use crate::upstreams::UpstreamAdapter;

/// Why a node can't start.
#[derive(Debug, thiserror::Error)]
pub enum NodeError {
    /// An address can't be bound.
    #[error("{key} address {address} can't be bound ({source}): choose a free address of this VM")]
    Bind {
        /// Key of the address in the settings.
        key: &'static str,
        /// Address that can't be bound.
        address: std::net::SocketAddr,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// A thread can't be started.
    #[error("thread can't be started ({0}): raise the process's limits")]
    Thread(#[from] std::io::Error),
    /// The peer key can't be used.
    #[error("peer_key: {0}")]
    PeerKey(#[from] PeerKeyError),
    /// The metrics client can't be created.
    #[error("metrics.statsd: {0}: write the server's IP address and UDP port")]
    Metrics(#[from] cadence::MetricError),
    /// The kernel thread ended before it had started the node.
    #[error("kernel thread ended while starting: see the log")]
    Kernel,
}

/// Inputs from which the kernel thread builds the node.
struct Parts {
    settings: NodeSettings,
    platform: Arc<dyn Platform>,
    clock: Arc<dyn Clock>,
    me: NodeInfo,
    peer_key: PeerKey,
    callers: TcpListener,
    peers: TcpListener,
    shared: SharedState,
    metrics: Metrics,
}

/// Report of the kernel thread after a successful start.
struct StartedKernel {
    kernel: KernelHandle,
    operators: std::net::SocketAddr,
}

/// Starts a node, which runs until it is stopped or killed.
///
/// # Errors
/// [`NodeError`] naming the setting and the remedy.
pub fn start(
    settings: NodeSettings,
    platform: Arc<dyn Platform>,
) -> Result<RunningNode, NodeError> {
    let callers = bind("callers", settings.callers)?;
    let peers = bind("peers", settings.peers)?;
    let clock: Arc<dyn Clock> = Arc::new(SystemClock);
    let me = NodeInfo {
        node: settings.node.clone(),
        incarnation: incarnation(&*clock),
        domain: settings.failure_domain.clone(),
        address: peers.local_addr()?,
        stopping: false,
    };
    let metrics = Metrics::new(settings.metrics.statsd)?;
    let shared = SharedState::new(settings.limits.connections);
    let stop = settings.stop.clone();
    let mut addresses = NodeAddresses {
        callers: callers.local_addr()?,
        peers: me.address,
        operators: settings.operators,
    };
    let parts = Parts {
        peer_key: PeerKey::new(settings.peer_key.expose().as_bytes())?,
        settings,
        platform,
        clock,
        me,
        callers,
        peers,
        shared: shared.clone(),
        metrics,
    };
    let (started, kernel_thread) = spawn_kernel(parts)?;
    addresses.operators = started.operators;
    Ok(RunningNode {
        addresses,
        kernel: started.kernel,
        kernel_thread,
        shared,
        stop,
    })
}

/// Returns an incarnation number derived from the current time, so that a later start has a higher
/// one.
fn incarnation(clock: &dyn Clock) -> Incarnation {
    Incarnation(u64::try_from(clock.unix_time().as_millis()).unwrap_or(u64::MAX))
}

fn bind(key: &'static str, address: std::net::SocketAddr) -> Result<TcpListener, NodeError> {
    listener::bind(address).map_err(|source| NodeError::Bind {
        key,
        address,
        source,
    })
}

/// Starts the kernel thread, which also builds the kernel, as its state can't move between threads.
fn spawn_kernel(parts: Parts) -> Result<(StartedKernel, JoinHandle<()>), NodeError> {
    let (tx, rx) = channel();
    let thread = std::thread::Builder::new()
        .name("kernel".into())
        .spawn(move || run_kernel(parts, &tx))?;
    let started = rx.recv().map_err(|_| NodeError::Kernel)??;
    Ok((started, thread))
}

fn run_kernel(parts: Parts, tx: &Sender<Result<StartedKernel, NodeError>>) {
    let shared = parts.shared.clone();
    match build(parts) {
        Ok((kernel, runtime, started)) => {
            let _ = tx.send(Ok(started));
            let ready = shared.ready.clone();
            kernel.run(move |cx| {
                if cx.config().is_loaded() {
                    ready.mark_records_loaded();
                }
                shared.exit_requested.load(Ordering::Acquire)
            });
            runtime.shutdown_background();
        }
        Err(e) => drop(tx.send(Err(e))),
    }
}

fn build(parts: Parts) -> Result<(Kernel, Runtime, StartedKernel), NodeError> {
    let context = Context::new(parts.clock.clone(), parts.me.clone());
    let mut kernel = Kernel::new(context);
    add_services(&mut kernel, &parts);
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(1)
        .enable_all()
        .build()?;
    let operators = add_adapters(&mut kernel, parts, &runtime)?;
    let started = StartedKernel {
        kernel: kernel.handle(),
        operators,
    };
    Ok((kernel, runtime, started))
}

fn add_services(kernel: &mut Kernel, parts: &Parts) {
    // The random choices differ between nodes and between starts of one node.
    let seed = seed(&parts.me);
    let call_options = CallOptions {
        max_in_flight: parts.settings.limits.calls,
        counts: parts.shared.calls.clone(),
        ..CallOptions::default()
    };
    let member_options = MemberOptions {
        seeds: parts.settings.seeds.clone(),
        seed,
        ..MemberOptions::default()
    };
    let claim_options = ClaimOptions {
        counts: parts.shared.claims.clone(),
        ..ClaimOptions::default()
    };
    let config_options = ConfigOptions {
        seed,
        ..ConfigOptions::default()
    };
    let router = Box::new(SlotRouter::new(RoutingOptions::default()));
    let admission = Box::new(SlotAdmission::new(AdmissionOptions::default()));
    kernel.add_service(Box::new(ConfigService::new(config_options)));
    kernel.add_service(Box::new(MemberService::new(member_options)));
    kernel.add_service(Box::new(GroupService::new(GroupOptions::default())));
    kernel.add_service(Box::new(ClaimService::new(claim_options)));
    kernel.add_service(Box::new(AuthService));
    kernel.add_service(Box::new(CallService::new(call_options, router, admission)));
    kernel.add_service(Box::new(GaugeService::new(
        parts.metrics.clone(),
        parts.shared.calls.clone(),
        parts.shared.claims.clone(),
    )));
    kernel.add_service(Box::new(StatusService::new(parts.shared.traffic.clone())));
}

fn seed(me: &NodeInfo) -> u64 {
    let mut hasher = DefaultHasher::new();
    (&me.node, me.incarnation).hash(&mut hasher);
    hasher.finish()
}

fn add_adapters(
    kernel: &mut Kernel,
    parts: Parts,
    runtime: &Runtime,
) -> Result<std::net::SocketAddr, NodeError> {
    let handle = kernel.handle();
    let shared = parts.shared;
    let metrics = parts.metrics;
    let front_options = FrontOptions {
        node: parts.me.node.clone(),
        incarnation: parts.me.incarnation,
        limits: parts.settings.limits,
        metrics: metrics.clone(),
    };
    let front = FrontAdapter::new(
        front_options,
        handle.clone(),
        shared.ready.clone(),
        shared.callers.clone(),
    );
    let peer_options = PeerOptions {
        node: parts.me.node,
        address: parts.me.address,
        key: parts.peer_key,
        gate: shared.peers.clone(),
        metrics: metrics.clone(),
        clock: parts.clock,
        traffic: shared.traffic.clone(),
    };
    let peers = PeerAdapter::new(peer_options, handle.clone(), runtime.handle().clone());
    let upstreams = UpstreamAdapter::new(handle.clone(), metrics.clone());
    let engines = EngineAdapter::new(handle.clone())?;
    let platform = PlatformAdapter::new(handle.clone(), parts.platform, metrics)?;
    let operators =
        OperatorAdapter::new(handle, parts.settings.operator_tokens, shared.ready.clone());
    let operators_address = operators
        .clone()
        .start(parts.settings.operators, runtime.handle())
        .map_err(|source| NodeError::Bind {
            key: "operators",
            address: parts.settings.operators,
            source,
        })?;
    runtime.spawn(front.clone().serve(parts.callers));
    runtime.spawn(peers.clone().serve(parts.peers));
    kernel.add_adapter(names::FRONT, move |message| front.send(message));
    kernel.add_adapter(names::PEERS, move |message| peers.send(message));
    kernel.add_adapter(names::UPSTREAMS, move |message| upstreams.send(message));
    kernel.add_adapter(names::ENGINES, move |message| engines.send(message));
    kernel.add_adapter(names::PLATFORM, move |message| platform.send(message));
    kernel.add_adapter(names::OPERATORS, move |message| operators.send(message));
    Ok(operators_address)
}
