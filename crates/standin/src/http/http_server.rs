//! An HTTP server that runs a handler for each request.

use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::os::fd::OwnedFd;
use std::sync::Arc;
use std::thread;

use tiny_http::{Request, Response, Server};

use super::connection_gate::ConnectionGate;
use super::exchange::Exchange;
use super::listen_options::ListenOptions;
use super::reply::Reply;
use super::start_error::StartError;

/// HTTP status of a response without a body.
const NO_CONTENT: u16 = 204;

/// A `PUT` to this path silences all open connections except the caller's.
const MUTE_PATH: &str = "/control/mute";

/// Handles requests; each call runs on its own thread.
pub(crate) trait Handler: Send + Sync + 'static {
    /// Handles one request and responds to it.
    fn handle(&self, exchange: Exchange);
}

/// An HTTP server; dropping it stops it and closes its connections.
pub(crate) struct HttpServer {
    gate: Arc<ConnectionGate>,
    server: Arc<Server>,
}

impl HttpServer {
    /// Binds the address and starts serving.
    pub(crate) fn start(
        options: &ListenOptions,
        handler: Arc<dyn Handler>,
    ) -> Result<Self, StartError> {
        let start_error = |reason: String| StartError {
            address: options.address,
            reason,
        };
        let listener = inner_listener().map_err(|error| start_error(error.to_string()))?;
        let inner_address = listener
            .local_addr()
            .map_err(|error| start_error(error.to_string()))?;
        let server = Server::from_listener(listener, None)
            .map_err(|error| start_error(error.to_string()))?;
        let gate = ConnectionGate::start(options, inner_address)
            .map_err(|e| start_error(e.to_string()))?;
        let this = Self {
            gate: Arc::new(gate),
            server: Arc::new(server),
        };
        this.serve(handler)
            .map_err(|error| start_error(error.to_string()))?;
        Ok(this)
    }

    fn serve(&self, handler: Arc<dyn Handler>) -> std::io::Result<()> {
        let (gate, server) = (self.gate.clone(), self.server.clone());
        thread::Builder::new()
            .name("requests".into())
            .spawn(move || {
                while let Ok(request) = server.recv() {
                    let (gate, handler) = (gate.clone(), handler.clone());
                    thread::spawn(move || handle_request(&gate, handler.as_ref(), request));
                }
            })?;
        Ok(())
    }

    /// Returns the bound address.
    pub(crate) fn address(&self) -> SocketAddr {
        self.gate.address()
    }

    /// Silences all open connections without closing them; new connections work.
    pub(crate) fn mute_open_connections(&self) {
        self.gate.mute_open_connections(None);
    }
}

impl Drop for HttpServer {
    fn drop(&mut self) {
        self.gate.stop();
        self.server.unblock();
    }
}

/// Binds the listener of the server behind the gate. Accepted sockets inherit `TCP_NODELAY`, so
/// that small writes, such as single tokens, are sent immediately.
fn inner_listener() -> std::io::Result<TcpListener> {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?;
    let socket = TcpStream::from(OwnedFd::from(listener));
    socket.set_nodelay(true)?;
    Ok(TcpListener::from(OwnedFd::from(socket)))
}

fn handle_request(gate: &ConnectionGate, handler: &dyn Handler, request: Request) {
    let Some(gate_side_address) = request.remote_addr().copied() else {
        return;
    };
    let Some(connection) = gate.connection(&gate_side_address) else {
        // The gate probes a connection before it registers it.
        let _ = request.respond(Response::empty(NO_CONTENT));
        return;
    };
    let Some(exchange) = Exchange::read(request, connection) else {
        return;
    };
    if (exchange.method(), exchange.path()) == ("PUT", MUTE_PATH) {
        gate.mute_open_connections(Some(&gate_side_address));
        return exchange.respond(&Reply::json(200, &true));
    }
    handler.handle(exchange);
}
