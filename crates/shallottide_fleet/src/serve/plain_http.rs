//! A small HTTP server for answers that need no waiting.

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

/// Longest time for a request to arrive, and for a connection to be idle.
const IDLE: Duration = Duration::from_secs(10);
/// Pause after a connection that could not be accepted.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Answers each request on a listener.
pub(super) async fn serve(
    listener: TcpListener,
    answer: impl Fn(Request<Incoming>) -> Response<Full<Bytes>> + 'static,
) {
    let answer = Rc::new(answer);
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                tracing::warn!(%error, "connection not accepted");
                tokio::time::sleep(ACCEPT_PAUSE).await;
                continue;
            }
        };
        let answer = answer.clone();
        let service = service_fn(move |request| {
            let response = answer(request);
            async move { Ok::<_, Infallible>(response) }
        });
        spawn_local(async move {
            let served = http1::Builder::new()
                .timer(TokioTimer::new())
                .header_read_timeout(IDLE)
                .serve_connection(TokioIo::new(stream), service)
                .await;
            if let Err(error) = served {
                tracing::debug!(%error, "connection ended");
            }
        });
    }
}
