//! A node that runs only the peer adapter, with a calls service that gives a fixed answer.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::mpsc::{Receiver, Sender, channel};
use std::time::Duration;

use bytes::Bytes;
use shallottide::connection_gate::ConnectionGate;
use shallottide::kernel::{Context, Kernel, Name, Outbox, Service, names};
use shallottide::listener;
use shallottide::message::{CallArrived, Forward, Message, Reply};
use shallottide::peer_codec::PeerKey;
use shallottide::peers::{PeerAdapter, PeerOptions, PeerTraffic};
use shallottide::telemetry::Metrics;
use shallottide_types::call::{CallHead, ReplyEvent, ReplyHead, Target, TraceContext};
use shallottide_types::clock::SystemClock;
use shallottide_types::id::{AttemptId, Incarnation};
use shallottide_types::peer::{ForwardedCall, NodeInfo};
use shallottide_types::refusal::{Ran, Refusal, RefusalKind};

/// How the node answers calls.
#[derive(Debug, Clone, Copy)]
pub(crate) enum Answer {
    Complete,
    HeadOnly,
    Refusal,
    RefusalMidway,
}

impl Answer {
    fn events(self) -> Vec<ReplyEvent> {
        let head = ReplyEvent::Head(ReplyHead {
            status: 200,
            content_type: "text/plain".into(),
        });
        let data = |text| ReplyEvent::Data(Bytes::from_static(text));
        let refusal = |kind, ran| ReplyEvent::Fail(Refusal::new(kind, ran, "scripted"));
        match self {
            Self::Complete => vec![head, data(b"one"), data(b"two"), ReplyEvent::End],
            Self::HeadOnly => vec![head],
            Self::Refusal => vec![refusal(RefusalKind::Overloaded, Ran::No)],
            Self::RefusalMidway => {
                let failed = refusal(RefusalKind::UpstreamFailed, Ran::Unknown);
                vec![head, data(b"one"), failed]
            }
        }
    }
}

/// Answers calls, and records them with attempts' events and disconnects.
struct Responder {
    answer: Answer,
    arrivals: Sender<CallArrived>,
    attempts: Sender<Message>,
    disconnected: Sender<()>,
}

impl Service for Responder {
    fn name(&self) -> Name {
        names::CALLS
    }

    fn handle(&mut self, message: Message, _: &Context, out: &mut Outbox) {
        match message {
            Message::CallArrived(call) => {
                for event in self.answer.events() {
                    let reply_to = call.reply_to;
                    out.send(names::PEERS, Reply { reply_to, event });
                }
                let _ = self.arrivals.send(call);
            }
            Message::Attempt(..) => drop(self.attempts.send(message)),
            Message::ReceiverDisconnected(_) => drop(self.disconnected.send(())),
            _ => {}
        }
    }
}

/// A running node.
pub(crate) struct PeerNode {
    pub(crate) adapter: PeerAdapter,
    /// The address that the node listens on, which may differ from the one its peers know.
    pub(crate) listen_address: SocketAddr,
    pub(crate) arrivals: Receiver<CallArrived>,
    pub(crate) attempts: Receiver<Message>,
    pub(crate) disconnected: Receiver<()>,
    pub(crate) traffic: Arc<PeerTraffic>,
}

impl PeerNode {
    /// Starts a node. Its peers know it by `advertised`, else by the address that it listens on.
    pub(crate) fn start(
        name: &'static str,
        key: &'static str,
        advertised: Option<SocketAddr>,
        answer: Answer,
    ) -> Self {
        let (arrivals_tx, arrivals) = channel();
        let (attempts_tx, attempts) = channel();
        let (disconnected_tx, disconnected) = channel();
        let (started_tx, started) = channel();
        let responder = Responder {
            answer,
            arrivals: arrivals_tx,
            attempts: attempts_tx,
            disconnected: disconnected_tx,
        };
        let traffic = Arc::<PeerTraffic>::default();
        let counts = traffic.clone();
        std::thread::spawn(move || run(name, key, advertised, counts, responder, &started_tx));
        let (adapter, listen_address) = started.recv().expect("the node starts");
        Self {
            adapter,
            listen_address,
            arrivals,
            attempts,
            disconnected,
            traffic,
        }
    }
}

fn run(
    name: &str,
    key: &str,
    advertised: Option<SocketAddr>,
    traffic: Arc<PeerTraffic>,
    responder: Responder,
    started: &Sender<(PeerAdapter, SocketAddr)>,
) {
    let any = "127.0.0.1:0".parse().expect("valid");
    let listener = listener::bind(any).expect("a free port");
    let listen_address = listener.local_addr().expect("bound");
    let info = node_info(name, advertised.unwrap_or(listen_address));
    let mut kernel = Kernel::new(Context::new(Arc::new(SystemClock), info.clone()));
    kernel.add_service(Box::new(responder));
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(1)
        .enable_all()
        .build()
        .expect("a runtime");
    let options = PeerOptions {
        node: info.node,
        address: info.address,
        key: PeerKey::new(key.as_bytes()).expect("long enough"),
        gate: ConnectionGate::new(16),
        metrics: Metrics::disabled(),
        clock: Arc::new(SystemClock),
        traffic,
    };
    let adapter = PeerAdapter::new(options, kernel.handle(), runtime.handle().clone());
    runtime.spawn(adapter.clone().serve(listener));
    let to_adapter = adapter.clone();
    kernel.add_adapter(names::PEERS, move |message| to_adapter.send(message));
    let _ = started.send((adapter, listen_address));
    kernel.run(|_| false);
}

fn node_info(name: &str, address: SocketAddr) -> NodeInfo {
    NodeInfo {
        node: name.parse().expect("valid"),
        incarnation: Incarnation(1),
        domain: "jkpg".parse().expect("valid"),
        address,
        stopping: false,
    }
}

/// Creates a call for the node at `address`.
pub(crate) fn forward(attempt: u64, address: SocketAddr, idle_timeout: Duration) -> Forward {
    let head = CallHead {
        id: format!("call-{attempt}").parse().expect("valid"),
        team: "depot".parse().expect("valid"),
        target: Target::Service("bookings".parse().expect("valid")),
        method: "POST".into(),
        path: "/bookings".into(),
        content_type: None,
        key: None,
        stream: false,
        prefix: None,
        time_left: Duration::from_mins(10),
        trace: TraceContext::default(),
    };
    Forward {
        attempt: AttemptId(attempt),
        node: node_info("node-2", address),
        call: ForwardedCall {
            head,
            body: Bytes::new(),
            slot: None,
            resume_from: 0,
        },
        idle_timeout,
    }
}
