//! A node that runs only the front adapter.

use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::mpsc::{Receiver, Sender, channel};
use std::time::{Duration, Instant};

use shallottide::connection_gate::ConnectionGate;
use shallottide::front::{FrontAdapter, FrontOptions};
use shallottide::kernel::{Context, Kernel, Name, Outbox, Service, names};
use shallottide::listener;
use shallottide::message::{CallArrived, Message, Reply, ReplyTo};
use shallottide::readiness::Readiness;
use shallottide::settings::Limits;
use shallottide::telemetry::Metrics;
use shallottide_types::call::ReplyEvent;
use shallottide_types::clock::SystemClock;
use shallottide_types::id::Incarnation;
use shallottide_types::peer::NodeInfo;

/// Longest wait for the expected number of open connections.
const OPEN_TIMEOUT: Duration = Duration::from_mins(1);

/// A running front adapter that records calls and callers' disconnects.
pub(crate) struct FrontNode {
    pub(crate) calls: Receiver<CallArrived>,
    pub(crate) disconnected: Receiver<ReplyTo>,
    address: SocketAddr,
    adapter: FrontAdapter,
    gate: ConnectionGate,
}

struct CallRecorder(Sender<CallArrived>);

impl Service for CallRecorder {
    fn name(&self) -> Name {
        names::AUTH
    }

    fn handle(&mut self, message: Message, _: &Context, _: &mut Outbox) {
        if let Message::UnauthenticatedCall(presented) = message {
            let _ = self.0.send(presented.call);
        }
    }
}

struct DisconnectRecorder(Sender<ReplyTo>);

impl Service for DisconnectRecorder {
    fn name(&self) -> Name {
        names::CALLS
    }

    fn handle(&mut self, message: Message, _: &Context, _: &mut Outbox) {
        if let Message::ReceiverDisconnected(reply_to) = message {
            let _ = self.0.send(reply_to);
        }
    }
}

impl FrontNode {
    pub(crate) fn start(limits: Limits) -> Self {
        let (calls_tx, calls) = channel();
        let (disconnected_tx, disconnected) = channel();
        let (started_tx, started) = channel();
        let gate = ConnectionGate::new(limits.connections);
        let adapter_gate = gate.clone();
        std::thread::spawn(move || {
            let mut kernel = Kernel::new(Context::new(Arc::new(SystemClock), node_info()));
            kernel.add_service(Box::new(CallRecorder(calls_tx)));
            kernel.add_service(Box::new(DisconnectRecorder(disconnected_tx)));
            let options = FrontOptions {
                node: node_info().node,
                incarnation: Incarnation(1),
                limits,
                metrics: Metrics::disabled(),
            };
            let ready = Readiness::default();
            ready.mark_records_loaded();
            let adapter = FrontAdapter::new(options, kernel.handle(), ready, adapter_gate);
            let any = "127.0.0.1:0".parse().expect("valid");
            let listener = listener::bind(any).expect("a free port");
            let address = listener.local_addr().expect("bound");
            let runtime = tokio::runtime::Builder::new_multi_thread()
                .worker_threads(1)
                .enable_all()
                .build()
                .expect("a runtime");
            runtime.spawn(adapter.clone().serve(listener));
            let _ = started_tx.send((address, adapter));
            kernel.run(|_| false);
        });
        let (address, adapter) = started.recv().expect("the node starts");
        Self {
            calls,
            disconnected,
            address,
            adapter,
            gate,
        }
    }

    pub(crate) fn connect(&self) -> TcpStream {
        TcpStream::connect(self.address).expect("the node listens")
    }

    pub(crate) fn reply(&self, reply_to: ReplyTo, event: ReplyEvent) {
        self.adapter.send(Reply { reply_to, event }.into());
    }

    /// Waits until the node has `open` open connections.
    pub(crate) fn wait_open(&self, open: usize) {
        let deadline = Instant::now() + OPEN_TIMEOUT;
        while self.gate.open_connections() != open {
            assert!(
                Instant::now() < deadline,
                "{} connections are open",
                self.gate.open_connections()
            );
            std::thread::yield_now();
        }
    }
}

fn node_info() -> NodeInfo {
    NodeInfo {
        node: "node-1".parse().expect("valid"),
        incarnation: Incarnation(1),
        domain: "jkpg".parse().expect("valid"),
        address: "127.0.0.1:1".parse().expect("valid"),
        stopping: false,
    }
}
