//! A stretch of network between two processes that a test can cut, freeze or close.

use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;

/// Most bytes that a wire keeps of what passed it.
const MAX_CAPTURED_BYTES: usize = 64 << 10;

/// Forwards connections to a target.
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
    /// What came from the near end, up to [`MAX_CAPTURED_BYTES`].
    captured: Arc<Mutex<Vec<u8>>>,
    open: Vec<Open>,
}

/// One open connection and its other half.
struct Open {
    near: TcpStream,
    far: TcpStream,
    frozen: Arc<Mutex<bool>>,
    /// Its two copying threads, whose ends tell that it is closed.
    copying: [JoinHandle<()>; 2],
}

impl FaultProxy {
    /// Opens a wire that leads nowhere yet.
    ///
    /// # Errors
    /// Those of binding a free port.
    ///
    /// # Panics
    /// Never: a thread of its own holds the lock for a moment only.
    pub fn bind() -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let state = Arc::new(Mutex::new(State::default()));
        let shared = state.clone();
        let listener = std::thread::spawn(move || {
            for near in listener.incoming().flatten() {
                let mut state = shared.lock().expect("wire lock");
                if state.closed {
                    return;
                }
                state.open.retain(|open| !open.is_closed());
                let Some(target) = state.target.filter(|_| !state.partitioned) else {
                    continue;
                };
                if let Ok(far) = TcpStream::connect(target) {
                    let open = Open::start(near, far, &state.captured);
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

    /// Returns where the wire begins.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets where new connections lead.
    ///
    /// # Panics
    /// If a thread of the wire panicked.
    pub fn set_target(&self, target: SocketAddr) {
        self.state.lock().expect("wire lock").target = Some(target);
    }

    /// Returns what came from the near ends so far, so that a test can send it again.
    ///
    /// # Panics
    /// If a thread of the wire panicked.
    #[must_use]
    pub fn captured(&self) -> Vec<u8> {
        let state = self.state.lock().expect("wire lock");
        state.captured.lock().expect("captured lock").clone()
    }

    /// Lets open connections pass nothing more, without closing them; new ones work.
    ///
    /// # Panics
    /// If a thread of the wire panicked.
    pub fn freeze_open_connections(&self) {
        for open in &self.state.lock().expect("wire lock").open {
            *open.frozen.lock().expect("frozen lock") = true;
        }
    }

    /// Closes open connections; new ones work.
    ///
    /// # Panics
    /// If a thread of the wire panicked.
    pub fn close_open_connections(&self) {
        for open in self.state.lock().expect("wire lock").open.drain(..) {
            let _ = open.near.shutdown(Shutdown::Both);
            let _ = open.far.shutdown(Shutdown::Both);
        }
    }

    /// Closes open connections and refuses new ones until [`FaultProxy::heal`].
    ///
    /// # Panics
    /// If a thread of the wire panicked.
    pub fn partition(&self) {
        self.state.lock().expect("wire lock").partitioned = true;
        self.close_open_connections();
    }

    /// Lets connections through again.
    ///
    /// # Panics
    /// If a thread of the wire panicked.
    pub fn heal(&self) {
        self.state.lock().expect("wire lock").partitioned = false;
    }

    /// Stops listening.
    ///
    /// # Panics
    /// If a thread of the wire panicked.
    pub fn close(self) {
        self.state.lock().expect("wire lock").closed = true;
        // Wakes the listener so that it ends.
        let _ = TcpStream::connect(self.address);
        self.listener.join().expect("the listener ends");
    }
}

impl Open {
    fn start(near: TcpStream, far: TcpStream, captured: &Arc<Mutex<Vec<u8>>>) -> Self {
        let frozen = Arc::new(Mutex::new(false));
        let clone = |stream: &TcpStream| stream.try_clone().expect("a file descriptor");
        let copying = [
            copy(clone(&near), clone(&far), frozen.clone(), captured.clone()),
            copy(clone(&far), clone(&near), frozen.clone(), Arc::default()),
        ];
        Self {
            near,
            far,
            frozen,
            copying,
        }
    }

    fn is_closed(&self) -> bool {
        self.copying.iter().all(JoinHandle::is_finished)
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
            // Frozen bytes vanish, as on a path whose state was lost.
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
