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

/// HTTP status of an answer without a body.
const NO_CONTENT: u16 = 204;

/// `PUT` here makes all open connections but the caller's go silent.
const MUTE_PATH: &str = "/control/mute";

/// Answers requests; called on a thread of its own for each.
pub(crate) trait Handler: Send + Sync + 'static {
    /// Answers one request.
    fn handle(&self, exchange: Exchange);
}

/// An HTTP server; stops and closes its connections when dropped.
pub(crate) struct HttpServer {
    gate: Arc<ConnectionGate>,
    server: Arc<Server>,
}

impl HttpServer {
    /// Starts to serve.
    pub(crate) fn start(
        options: &ListenOptions,
        handler: Arc<dyn Handler>,
    ) -> Result<Self, StartError> {
        let failed = |reason: String| StartError {
            address: options.address,
            reason,
        };
        let listener = inner_listener().map_err(|error| failed(error.to_string()))?;
        let inner = listener
            .local_addr()
            .map_err(|error| failed(error.to_string()))?;
        let server =
            Server::from_listener(listener, None).map_err(|error| failed(error.to_string()))?;
        let gate = ConnectionGate::start(options, inner).map_err(|e| failed(e.to_string()))?;
        let this = Self {
            gate: Arc::new(gate),
            server: Arc::new(server),
        };
        this.serve(handler)
            .map_err(|error| failed(error.to_string()))?;
        Ok(this)
    }

    fn serve(&self, handler: Arc<dyn Handler>) -> std::io::Result<()> {
        let (gate, server) = (self.gate.clone(), self.server.clone());
        thread::Builder::new()
            .name("requests".into())
            .spawn(move || {
                while let Ok(request) = server.recv() {
                    let (gate, handler) = (gate.clone(), handler.clone());
                    thread::spawn(move || answer(&gate, handler.as_ref(), request));
                }
            })?;
        Ok(())
    }

    /// Returns the address to connect to.
    pub(crate) fn address(&self) -> SocketAddr {
        self.gate.address()
    }

    /// Makes all open connections go silent; new ones work.
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

/// Binds the server behind the gate. Accepted sockets inherit the option that sends
/// small writes, such as single tokens, at once.
fn inner_listener() -> std::io::Result<TcpListener> {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?;
    let socket = TcpStream::from(OwnedFd::from(listener));
    socket.set_nodelay(true)?;
    Ok(TcpListener::from(OwnedFd::from(socket)))
}

fn answer(gate: &ConnectionGate, handler: &dyn Handler, request: Request) {
    let Some(known_as) = request.remote_addr().copied() else {
        return;
    };
    let Some(connection) = gate.connection(&known_as) else {
        // The gate greets a connection before it lists it.
        let _ = request.respond(Response::empty(NO_CONTENT));
        return;
    };
    let Some(exchange) = Exchange::read(request, connection) else {
        return;
    };
    if (exchange.method(), exchange.path()) == ("PUT", MUTE_PATH) {
        gate.mute_open_connections(Some(&known_as));
        return exchange.respond(&Reply::json(200, &true));
    }
    handler.handle(exchange);
}
