//! The callers' connections and the balancer's question.

use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::header::CONNECTION;
use http::{HeaderValue, Response, StatusCode};
use http_body_util::Full;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use socket2::SockRef;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;

use super::call;
use super::node::Node;
use super::stop::Phase;

/// Pause after a connection that could not be accepted.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// Time after which unacknowledged bytes end a caller's connection.
const UNACKNOWLEDGED: Duration = Duration::from_secs(5);
/// Time beyond the operators' limit after which an idle connection is closed.
const IDLE_SLACK: Duration = Duration::from_millis(500);

/// Answers whether callers may be sent here.
pub(super) fn readiness(node: &Node) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::new()));
    if !node.is_ready() {
        *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
    }
    response
}

/// Accepts callers' connections.
pub(super) async fn accept(node: Rc<Node>, listener: TcpListener) {
    let mut phase = node.phase.subscribe();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            // Closes the listener, so that callers connect elsewhere at once.
            _ = phase.wait_for(|phase| *phase == Phase::Closing) => return,
        };
        match accepted {
            Ok((stream, _)) => {
                spawn_local(serve(node.clone(), stream));
            }
            Err(error) => {
                tracing::warn!(%error, "caller's connection not accepted");
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn serve(node: Rc<Node>, stream: TcpStream) {
    let set = stream
        .set_nodelay(true)
        .and_then(|()| SockRef::from(&stream).set_tcp_user_timeout(Some(UNACKNOWLEDGED)));
    if let Err(error) = set {
        tracing::debug!(%error, "caller's connection has ended");
        return;
    }
    let limits = {
        let state = node.state.borrow();
        let catalog = state.view.catalog.as_ref();
        catalog
            .map(|catalog| catalog.limits.clone())
            .unwrap_or_default()
    };
    let mut phase = node.phase.subscribe();
    let calls = node.clone();
    let service = service_fn(move |request| {
        let node = calls.clone();
        async move {
            let mut response = call::serve(&node, request).await;
            if node.is_stopping() {
                let close = HeaderValue::from_static("close");
                response.headers_mut().insert(CONNECTION, close);
            }
            Ok::<_, Infallible>(response)
        }
    });
    let mut builder = http1::Builder::new();
    builder
        .timer(TokioTimer::new())
        // Covers idle time too: hyper waits for the next head from the end of the last answer.
        .header_read_timeout(limits.idle_timeout.max(limits.head_timeout) + IDLE_SLACK)
        .max_buf_size(limits.head_bytes.max(8192) + 4096)
        .auto_date_header(false);
    let connection = builder.serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    let ended = tokio::select! {
        ended = connection.as_mut() => Some(ended),
        _ = phase.wait_for(|phase| *phase == Phase::Closing) => None,
    };
    let ended = if let Some(ended) = ended {
        ended
    } else {
        connection.as_mut().graceful_shutdown();
        connection.await
    };
    if let Err(error) = ended {
        node.metrics.count("caller_connections_broken", "");
        tracing::debug!(%error, "caller's connection ended");
    }
}
