//! Accepts connections until the gate closes.

use std::convert::Infallible;
use std::future::Future;
use std::net::SocketAddr;
use std::pin::pin;
use std::time::Duration;

use bytes::Bytes;
use hyper::body::{Body, Incoming};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpStream};

use super::stall_guard::StallGuard;
use crate::connection_gate::ConnectionGate;

/// Wait after a failed accept, such as one for want of file descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Bounds on each connection.
#[derive(Debug, Clone)]
pub(crate) struct HttpLimits {
    /// Longest time for a request's head, and for a connection without one.
    pub(crate) header_timeout: Duration,
    /// Largest head of a request.
    pub(crate) header_bytes: usize,
    /// Longest time for which the other side may take in nothing of its answer.
    pub(crate) write_timeout: Duration,
}

/// Serves HTTP on one listener.
#[derive(Debug, Clone)]
pub(crate) struct HttpServer {
    /// Bounds on each connection.
    pub(crate) limits: HttpLimits,
    /// Bounds the connections and closes them.
    pub(crate) gate: ConnectionGate,
}

impl HttpServer {
    /// Accepts connections until the gate closes; connections that are open then end their
    /// answers.
    ///
    /// # Errors
    /// Those of taking over the listener.
    pub(crate) async fn serve<S, F, B>(
        self,
        listener: std::net::TcpListener,
        service: S,
    ) -> std::io::Result<()>
    where
        S: Fn(Request<Incoming>) -> F + Clone + Send + 'static,
        F: Future<Output = Result<Response<B>, Infallible>> + Send + 'static,
        B: Body<Data = Bytes> + Send + 'static,
        B::Error: std::error::Error + Send + Sync + 'static,
    {
        let listener = TcpListener::from_std(listener)?;
        loop {
            let accepted = tokio::select! {
                accepted = listener.accept() => accepted,
                () = self.gate.wait_closed() => return Ok(()),
            };
            match accepted {
                Ok((stream, _)) => self.admit(stream, service.clone()),
                Err(e) => {
                    tracing::warn!(error = %e, "accept failed");
                    tokio::time::sleep(ACCEPT_PAUSE).await;
                }
            }
        }
    }

    fn admit<S, F, B>(&self, stream: TcpStream, service: S)
    where
        S: Fn(Request<Incoming>) -> F + Send + 'static,
        F: Future<Output = Result<Response<B>, Infallible>> + Send + 'static,
        B: Body<Data = Bytes> + Send + 'static,
        B::Error: std::error::Error + Send + Sync + 'static,
    {
        // Without room the connection is closed at once, which a balancer sees.
        let Some(pass) = self.gate.enter() else {
            tracing::warn!("connection closed: as many are open as allowed");
            return;
        };
        let server = self.clone();
        tokio::spawn(async move {
            server.serve_connection(stream, service).await;
            drop(pass);
        });
    }

    async fn serve_connection<S, F, B>(self, stream: TcpStream, service: S)
    where
        S: Fn(Request<Incoming>) -> F,
        F: Future<Output = Result<Response<B>, Infallible>>,
        B: Body<Data = Bytes> + 'static,
        B::Error: std::error::Error + Send + Sync + 'static,
    {
        // Tokens must not wait for a fuller packet.
        let _ = stream.set_nodelay(true);
        let io = TokioIo::new(StallGuard::new(stream, self.limits.write_timeout));
        let connection = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(self.limits.header_timeout)
            .max_buf_size(self.limits.header_bytes)
            .serve_connection(io, service_fn(service));
        let mut connection = pin!(connection);
        let served = tokio::select! {
            served = connection.as_mut() => served,
            () = self.gate.wait_closed() => {
                connection.as_mut().graceful_shutdown();
                connection.await
            }
        };
        if let Err(e) = served {
            tracing::debug!(error = %e, "connection ended");
        }
    }
}

/// Binds a listener that tokio can take over.
///
/// # Errors
/// Those of binding the address.
pub(crate) fn bind(address: SocketAddr) -> std::io::Result<std::net::TcpListener> {
    let listener = std::net::TcpListener::bind(address)?;
    listener.set_nonblocking(true)?;
    Ok(listener)
}
