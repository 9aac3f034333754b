//! HTTP/1 server with limits on each connection and graceful shutdown.

use std::convert::Infallible;
use std::future::Future;
use std::pin::pin;
use std::time::Duration;

use bytes::Bytes;
use hyper::body::{Body, Incoming};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::TcpStream;

use super::stall_timeout::StallTimeout;
use crate::connection_gate::ConnectionGate;
use crate::listener::accept_until_closed;

/// Limits on each connection.
#[derive(Debug, Clone)]
pub(crate) struct HttpLimits {
    /// Longest wait for the complete head of a request, including the idle time before it.
    pub(crate) header_timeout: Duration,
    /// Largest size of a request's head in bytes.
    pub(crate) header_bytes: usize,
    /// Longest time for which the client may read nothing of its answer.
    pub(crate) write_timeout: Duration,
}

/// Serves HTTP on one listener.
#[derive(Debug, Clone)]
pub(crate) struct HttpServer {
    /// Limits on each connection.
    pub(crate) limits: HttpLimits,
    /// Limits the number of connections and closes them.
    pub(crate) gate: ConnectionGate,
}

impl HttpServer {
    /// Accepts connections until the gate closes; connections still open then finish their current
    /// answer.
    ///
    /// # Errors
    /// If the listener can't be registered with tokio.
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
        accept_until_closed(listener, &self.gate, |stream, permit| {
            let server = self.clone();
            let service = service.clone();
            tokio::spawn(async move {
                server.serve_connection(stream, service).await;
                drop(permit);
            });
        })
        .await
    }

    async fn serve_connection<S, F, B>(self, stream: TcpStream, service: S)
    where
        S: Fn(Request<Incoming>) -> F,
        F: Future<Output = Result<Response<B>, Infallible>>,
        B: Body<Data = Bytes> + 'static,
        B::Error: std::error::Error + Send + Sync + 'static,
    {
        // Disables Nagle's algorithm, which would delay streamed tokens.
        let _ = stream.set_nodelay(true);
        let io = TokioIo::new(StallTimeout::new(stream, self.limits.write_timeout));
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
            tracing::debug!(error = %e, "connection failed");
        }
    }
}
