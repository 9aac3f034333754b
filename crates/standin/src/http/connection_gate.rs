//! Accepts connections and relays them to a server behind it.

use std::collections::BTreeMap;
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread::{self, JoinHandle};
use std::time::Duration;

use super::connection::Connection;
use super::listen_options::ListenOptions;

/// Longest wait for the answer to a greeting.
const GREETING_TIMEOUT: Duration = Duration::from_secs(5);

/// Open connections by the address under which the server behind the gate knows them.
type Connections = BTreeMap<SocketAddr, Arc<Connection>>;

/// Accepts connections up to a limit, relays them, and can mute or close each.
pub(super) struct ConnectionGate {
    shared: Arc<Shared>,
    address: SocketAddr,
    accepting: Mutex<Option<JoinHandle<()>>>,
}

struct Shared {
    server: SocketAddr,
    max_connections: usize,
    open: Mutex<Connections>,
    stopped: AtomicBool,
}

impl ConnectionGate {
    /// Starts to relay connections to `server`.
    pub(super) fn start(options: &ListenOptions, server: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind(options.address)?;
        let address = listener.local_addr()?;
        let shared = Arc::new(Shared {
            server,
            max_connections: options.max_connections,
            open: Mutex::default(),
            stopped: AtomicBool::new(false),
        });
        let accepting = shared.clone();
        let accepting = thread::Builder::new()
            .name("gate".into())
            .spawn(move || accepting.accept_all(&listener))?;
        Ok(Self {
            shared,
            address,
            accepting: Mutex::new(Some(accepting)),
        })
    }

    /// Returns the address to connect to.
    pub(super) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the connection that the server knows under an address.
    pub(super) fn connection(&self, known_as: &SocketAddr) -> Option<Arc<Connection>> {
        self.shared.open().get(known_as).cloned()
    }

    /// Makes all open connections but one go silent; new ones work.
    pub(super) fn mute_open_connections(&self, except: Option<&SocketAddr>) {
        let open = self.shared.open();
        let muted = open
            .iter()
            .filter(|(known_as, _)| Some(*known_as) != except);
        muted.for_each(|(_, connection)| connection.mute());
    }

    /// Stops accepting and closes all connections.
    pub(super) fn stop(&self) {
        self.shared.stopped.store(true, Ordering::SeqCst);
        // Wakes the accepting thread, which then sees that it is stopped.
        drop(TcpStream::connect(self.address));
        let accepting = self.accepting.lock().expect("no holder panics").take();
        if let Some(accepting) = accepting {
            let _ = accepting.join();
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
        greet(&server)?;
        let known_as = server.local_addr()?;
        let connection = Arc::new(Connection::new(caller, server));
        self.open().insert(known_as, connection.clone());
        let answers = connection.clone();
        let answers = thread::Builder::new().spawn(move || answers.relay_answers())?;
        thread::Builder::new().spawn(move || {
            connection.relay_requests();
            let _ = answers.join();
            self.open().remove(&known_as);
        })?;
        Ok(())
    }
}

/// Waits until the server's thread for this connection answers.
///
/// `tiny_http` hands connections to idle threads and counts a thread as idle until it has woken.
/// Two connections at once can so be meant for one thread, and the second gets none while the
/// first stays open. Greeting each connection before the next is made rules that out.
fn greet(mut server: &TcpStream) -> io::Result<()> {
    server.set_read_timeout(Some(GREETING_TIMEOUT))?;
    server.write_all(b"GET / HTTP/1.1\r\nHost: gate\r\n\r\n")?;
    let mut answer = Vec::new();
    while !answer.ends_with(b"\r\n\r\n") {
        let mut byte = [0];
        server.read_exact(&mut byte)?;
        answer.extend(byte);
    }
    server.set_read_timeout(None)
}
