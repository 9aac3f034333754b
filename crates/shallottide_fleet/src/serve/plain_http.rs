//! Minimal HTTP/1.1 server for readiness, metrics and status, whose responses need no I/O.

use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::TcpListener;
use tokio::task::spawn_local;

/// Longest time for a request head to arrive, and for a connection to be idle.
const HEADER_READ_TIMEOUT: Duration = Duration::from_secs(10);
/// Delay before accepting again after a connection could not be accepted.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Serves a listener; `respond` answers each request.
pub(super) async fn serve(
    listener: TcpListener,
    respond: impl Fn(Request<Incoming>) -> Response<Full<Bytes>> + 'static,
) {
    let respond = Rc::new(respond);
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                tracing::warn!(%error, "could not accept connection");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            }
        };
        let respond = respond.clone();
        let service = service_fn(move |request| {
            let response = respond(request);
            async move { Ok::<_, Infallible>(response) }
        });
        spawn_local(async move {
            let served = http1::Builder::new()
                .timer(TokioTimer::new())
                .header_read_timeout(HEADER_READ_TIMEOUT)
                .serve_connection(TokioIo::new(stream), service)
                .await;
            if let Err(error) = served {
                tracing::debug!(%error, "connection failed");
            }
        });
    }
}
