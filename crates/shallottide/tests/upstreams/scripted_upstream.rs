//! An upstream with a scripted answer, and a kernel that records the events of the adapter.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::mpsc::{Receiver, Sender, channel};
use std::time::Duration;

use shallottide::kernel::{Context, Kernel, Name, Outbox, Service, names};
use shallottide::message::Message;
use shallottide::telemetry::Metrics;
use shallottide::upstreams::UpstreamAdapter;
use shallottide_types::call::{CallHead, Target, TraceContext};
use shallottide_types::clock::SystemClock;
use shallottide_types::id::Incarnation;
use shallottide_types::peer::NodeInfo;

/// How the upstream answers each request.
#[derive(Debug, Clone, Copy)]
pub(crate) enum Script {
    /// Sends these bytes and closes the connection.
    Answer(&'static str),
    /// Sends these bytes and keeps the connection open.
    AnswerAndKeep(&'static str),
    /// Sends nothing and keeps the connection open.
    NeverAnswer,
    /// Sends a head and part of the body, and keeps the connection open.
    StallMidway,
}

/// What the upstream recorded.
pub(crate) struct Recorded {
    pub requests: Receiver<String>,
    pub closed: Receiver<()>,
}

impl Script {
    /// Listens, and answers every connection as scripted.
    pub(crate) fn serve(self) -> (SocketAddr, Recorded) {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("bound");
        let (requests_tx, requests) = channel();
        let (closed_tx, closed) = channel();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                self.answer(stream, &requests_tx, &closed_tx);
            }
        });
        (address, Recorded { requests, closed })
    }

    fn answer(self, mut stream: TcpStream, requests: &Sender<String>, closed: &Sender<()>) {
        let _ = requests.send(read_request(&mut stream));
        let text = match self {
            Self::Answer(text) | Self::AnswerAndKeep(text) => text,
            Self::NeverAnswer => "",
            Self::StallMidway => "HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nok",
        };
        let _ = stream.write_all(text.as_bytes());
        if !matches!(self, Self::Answer(_)) {
            // Returns when the other side closes the connection.
            let _ = stream.read(&mut [0]);
            let _ = closed.send(());
        }
    }
}

/// Reads a request whose body is `{}`.
fn read_request(stream: &mut TcpStream) -> String {
    let mut bytes = Vec::new();
    let mut buf = [0; 1024];
    while !bytes.ends_with(b"\r\n\r\n{}") {
        match stream.read(&mut buf) {
            Ok(n) if n > 0 => bytes.extend_from_slice(&buf[..n]),
            _ => break,
        }
    }
    String::from_utf8_lossy(&bytes).to_lowercase()
}

/// A running kernel whose calls service records the events of attempts.
pub(crate) struct KernelThread {
    pub adapter: UpstreamAdapter,
    pub events: Receiver<Message>,
}

struct Recorder(Sender<Message>);

impl Service for Recorder {
    fn name(&self) -> Name {
        names::CALLS
    }

    fn handle(&mut self, message: Message, _: &Context, _: &mut Outbox) {
        if matches!(message, Message::Attempt(..)) {
            let _ = self.0.send(message);
        }
    }
}

impl KernelThread {
    pub(crate) fn start() -> Self {
        let (tx, events) = channel();
        let (adapter_tx, adapter) = channel();
        std::thread::spawn(move || {
            let mut kernel = Kernel::new(Context::new(Arc::new(SystemClock), node_info()));
            kernel.add_service(Box::new(Recorder(tx)));
            let _ = adapter_tx.send(UpstreamAdapter::new(kernel.handle(), Metrics::disabled()));
            kernel.run(|_| false);
        });
        Self {
            adapter: adapter.recv().expect("the kernel starts"),
            events,
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

pub(crate) fn call_head() -> CallHead {
    CallHead {
        id: "call-1".parse().expect("valid"),
        team: "depot".parse().expect("valid"),
        target: Target::Service("bookings".parse().expect("valid")),
        method: "POST".into(),
        path: "/bookings".into(),
        content_type: Some("application/json".into()),
        key: Some("key-1".parse().expect("valid")),
        stream: false,
        prefix: None,
        time_left: Duration::from_mins(10),
        trace: TraceContext {
            trace_id: 1,
            span_id: 1,
        },
    }
}
