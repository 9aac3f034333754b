//! Accepts connections and relays them to the server behind the gate.

use std::collections::BTreeMap;
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread::{self, JoinHandle};
use std::time::Duration;

use super::connection::Connection;
use super::listen_options::ListenOptions;

/// Longest wait for the response to a probe.
const PROBE_TIMEOUT: Duration = Duration::from_secs(5);

/// Open connections by the gate's own address on the socket to the server, which the server sees as
/// the remote address.
type Connections = BTreeMap<SocketAddr, Arc<Connection>>;

/// Relays connections up to a limit and can mute or close them.
pub(super) struct ConnectionGate {
    shared: Arc<Shared>,
    address: SocketAddr,
    accept_thread: Mutex<Option<JoinHandle<()>>>,
}

struct Shared {
    server: SocketAddr,
    max_connections: usize,
    open: Mutex<Connections>,
    stopped: AtomicBool,
}

impl ConnectionGate {
    /// Binds the address and starts relaying connections to `server`.
    pub(super) fn start(options: &ListenOptions, server: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind(options.address)?;
        let address = listener.local_addr()?;
        let shared = Arc::new(Shared {
            server,
            max_connections: options.max_connections,
            open: Mutex::default(),
            stopped: AtomicBool::new(false),
        });
        let acceptor = shared.clone();
        let accept_thread = thread::Builder::new()
            .name("gate".into())
            .spawn(move || acceptor.accept_all(&listener))?;
        Ok(Self {
            shared,
            address,
            accept_thread: Mutex::new(Some(accept_thread)),
        })
    }

    /// Returns the bound address.
    pub(super) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the connection whose socket to the server has the given local address.
    pub(super) fn connection(&self, gate_side_address: &SocketAddr) -> Option<Arc<Connection>> {
        self.shared.open().get(gate_side_address).cloned()
    }

    /// Silences all open connections, except at most one, without closing them; new connections
    /// work.
    pub(super) fn mute_open_connections(&self, except: Option<&SocketAddr>) {
        let open = self.shared.open();
        let muted = open
            .iter()
            .filter(|(gate_side_address, _)| Some(*gate_side_address) != except);
        muted.for_each(|(_, connection)| connection.mute());
    }

    /// Stops accepting and closes all connections.
    pub(super) fn stop(&self) {
        self.shared.stopped.store(true, Ordering::SeqCst);
        // Wakes the accepting thread, which then sees `stopped`.
        drop(TcpStream::connect(self.address));
        let accept_thread = self.accept_thread.lock().expect("no holder panics").take();
        if let Some(accept_thread) = accept_thread {
            let _ = accept_thread.join();
        }
        self.shared.open().values().for_each(|c| c.close());
    }
}

impl Shared {
    fn open(&self) -> MutexGuard<'_, Connections> {
        self.open.lock().expect("no holder panics")
    }

    fn accept_all(self: Arc<Self>, listener: &TcpListener) {
        for caller in listener.incoming() {
            if self.stopped.load(Ordering::SeqCst) {
                return;
            }
            let Ok(caller) = caller else { continue };
            if self.open().len() >= self.max_connections {
                continue;
            }
            if let Err(error) = self.clone().relay(caller) {
                tracing::warn!(%error, "connection dropped");
            }
        }
    }

    fn relay(self: Arc<Self>, caller: TcpStream) -> io::Result<()> {
        let server = TcpStream::connect(self.server)?;
        caller.set_nodelay(true)?;
        server.set_nodelay(true)?;
        probe_server(&server)?;
        let gate_side_address = server.local_addr()?;
        let connection = Arc::new(Connection::new(caller, server));
        self.open().insert(gate_side_address, connection.clone());
        let response_side = connection.clone();
        let response_thread =
            thread::Builder::new().spawn(move || response_side.relay_responses())?;
        thread::Builder::new().spawn(move || {
            connection.relay_requests();
            let _ = response_thread.join();
            self.open().remove(&gate_side_address);
        })?;
        Ok(())
    }
}

/// Sends a request and waits until the server's thread for this connection responds.
///
/// `tiny_http` hands connections to idle threads and counts a thread as idle until it has woken.
/// Two simultaneous connections can therefore be assigned to one thread, and the second is not
/// served while the first stays open. Probing each connection before opening the next one rules
/// that out.
fn probe_server(mut server: &TcpStream) -> io::Result<()> {
    server.set_read_timeout(Some(PROBE_TIMEOUT))?;
    server.write_all(b"GET / HTTP/1.1\r\nHost: gate\r\n\r\n")?;
    let mut response = Vec::new();
    while !response.ends_with(b"\r\n\r\n") {
        let mut byte = [0];
        server.read_exact(&mut byte)?;
        response.extend(byte);
    }
    server.set_read_timeout(None)
}
