//! A TCP proxy between two processes that a test can partition, freeze or close.

use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;

/// Maximum number of bytes that a proxy captures.
const MAX_CAPTURED_BYTES: usize = 64 << 10;

/// A TCP proxy that forwards connections to a target and can inject network faults.
pub struct FaultProxy {
    address: SocketAddr,
    state: Arc<Mutex<State>>,
    listener: JoinHandle<()>,
}

#[derive(Default)]
struct State {
    target: Option<SocketAddr>,
    closed: bool,
    partitioned: bool,
    /// Bytes received from clients, up to [`MAX_CAPTURED_BYTES`].
    captured: Arc<Mutex<Vec<u8>>>,
    open: Vec<ProxiedConnection>,
}

/// A client connection and the connection to the target that it is relayed to.
struct ProxiedConnection {
    client: TcpStream,
    server: TcpStream,
    frozen: Arc<Mutex<bool>>,
    /// One thread for each direction; the connection is closed when both have ended.
    copy_threads: [JoinHandle<()>; 2],
}

impl FaultProxy {
    /// Binds a free port; connections are dropped until a target is set.
    ///
    /// # Errors
    /// The error of binding a free port.
    ///
    /// # Panics
    /// Never: the accepting thread, not the caller, panics if the lock is poisoned.
    pub fn bind() -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let state = Arc::new(Mutex::new(State::default()));
        let shared = state.clone();
        let listener = std::thread::spawn(move || {
            for client in listener.incoming().flatten() {
                let mut state = shared.lock().expect("proxy lock");
                if state.closed {
                    return;
                }
                state.open.retain(|open| !open.is_closed());
                let Some(target) = state.target.filter(|_| !state.partitioned) else {
                    continue;
                };
                if let Ok(server) = TcpStream::connect(target) {
                    let open = ProxiedConnection::start(client, server, &state.captured);
                    state.open.push(open);
                }
            }
        });
        Ok(Self {
            address,
            state,
            listener,
        })
    }

    /// Returns the address that clients connect to.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets the target of new connections.
    ///
    /// # Panics
    /// If a thread of the proxy panicked.
    pub fn set_target(&self, target: SocketAddr) {
        self.state.lock().expect("proxy lock").target = Some(target);
    }

    /// Returns the bytes received from clients so server, so that a test can replay them.
    ///
    /// # Panics
    /// If a thread of the proxy panicked.
    #[must_use]
    pub fn captured(&self) -> Vec<u8> {
        let state = self.state.lock().expect("proxy lock");
        state.captured.lock().expect("captured lock").clone()
    }

    /// Discards all further bytes of open connections without closing them; new connections work.
    ///
    /// # Panics
    /// If a thread of the proxy panicked.
    pub fn freeze_open_connections(&self) {
        for open in &self.state.lock().expect("proxy lock").open {
            *open.frozen.lock().expect("frozen lock") = true;
        }
    }

    /// Closes open connections; new connections work.
    ///
    /// # Panics
    /// If a thread of the proxy panicked.
    pub fn close_open_connections(&self) {
        for open in self.state.lock().expect("proxy lock").open.drain(..) {
            let _ = open.client.shutdown(Shutdown::Both);
            let _ = open.server.shutdown(Shutdown::Both);
        }
    }

    /// Closes open connections and drops new ones until [`FaultProxy::heal`].
    ///
    /// # Panics
    /// If a thread of the proxy panicked.
    pub fn partition(&self) {
        self.state.lock().expect("proxy lock").partitioned = true;
        self.close_open_connections();
    }

    /// Ends a partition: new connections are forwarded again.
    ///
    /// # Panics
    /// If a thread of the proxy panicked.
    pub fn heal(&self) {
        self.state.lock().expect("proxy lock").partitioned = false;
    }

    /// Stops listening.
    ///
    /// # Panics
    /// If a thread of the proxy panicked.
    pub fn close(self) {
        self.state.lock().expect("proxy lock").closed = true;
        // Wakes the listener thread so that it ends.
        let _ = TcpStream::connect(self.address);
        self.listener.join().expect("the listener ends");
    }
}

impl ProxiedConnection {
    fn start(client: TcpStream, server: TcpStream, captured: &Arc<Mutex<Vec<u8>>>) -> Self {
        let frozen = Arc::new(Mutex::new(false));
        let clone = |stream: &TcpStream| stream.try_clone().expect("a file descriptor");
        let copy_threads = [
            copy(
                clone(&client),
                clone(&server),
                frozen.clone(),
                captured.clone(),
            ),
            copy(
                clone(&server),
                clone(&client),
                frozen.clone(),
                Arc::default(),
            ),
        ];
        Self {
            client,
            server,
            frozen,
            copy_threads,
        }
    }

    fn is_closed(&self) -> bool {
        self.copy_threads.iter().all(JoinHandle::is_finished)
    }
}

fn copy(
    mut from: TcpStream,
    mut to: TcpStream,
    frozen: Arc<Mutex<bool>>,
    captured: Arc<Mutex<Vec<u8>>>,
) -> JoinHandle<()> {
    std::thread::spawn(move || {
        let mut buf = [0; 4096];
        while let Ok(n) = from.read(&mut buf) {
            if n == 0 {
                break;
            }
            // Bytes of a frozen connection are discarded, as by a firewall or NAT that has lost the
            // connection's state.
            if *frozen.lock().expect("frozen lock") {
                continue;
            }
            capture(&captured, &buf[..n]);
            if to.write_all(&buf[..n]).is_err() {
                break;
            }
        }
        let _ = to.shutdown(Shutdown::Both);
    })
}

fn capture(captured: &Mutex<Vec<u8>>, bytes: &[u8]) {
    let mut captured = captured.lock().expect("captured lock");
    let room = MAX_CAPTURED_BYTES.saturating_sub(captured.len());
    captured.extend_from_slice(&bytes[..bytes.len().min(room)]);
}
