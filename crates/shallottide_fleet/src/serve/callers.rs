//! Serves callers' connections and the load balancer's readiness checks.

use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::header::CONNECTION;
use http::{HeaderValue, Response, StatusCode};
use http_body_util::Full;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use socket2::SockRef;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;

use super::call;
use super::caller_activity::{Activity, caller_limits};
use super::node::Node;
use super::stop::Phase;

/// Delay before accepting again after a connection could not be accepted.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);
/// Time for which sent bytes may stay unacknowledged before a caller's connection is closed.
const TCP_USER_TIMEOUT: Duration = Duration::from_secs(5);

/// Answers a readiness check: 503 while callers must not be sent to this node.
pub(super) fn respond_readiness(node: &Node) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::new()));
    if !node.is_ready() {
        *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
    }
    response
}

/// Accepts callers' connections until the node closes.
pub(super) async fn accept(node: Rc<Node>, listener: Rc<TcpListener>) {
    let mut phase = node.phase.subscribe();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            // Closes the listener, so that new connections are refused and callers try another node.
            _ = phase.wait_for(Phase::is_closing) => return,
        };
        match accepted {
            Ok((stream, _)) => {
                spawn_local(serve_connection(node.clone(), stream));
            }
            Err(error) => {
                tracing::warn!(%error, "could not accept caller's connection");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

async fn serve_connection(node: Rc<Node>, stream: TcpStream) {
    let configured = stream
        .set_nodelay(true)
        .and_then(|()| SockRef::from(&stream).set_tcp_user_timeout(Some(TCP_USER_TIMEOUT)));
    if let Err(error) = configured {
        tracing::debug!(%error, "caller's connection closed before it was served");
        return;
    }
    let limits = caller_limits(&node);
    let activity = Rc::new(Activity::new(&node));
    let mut phase = node.phase.subscribe();
    let (service_node, service_activity) = (node.clone(), activity.clone());
    let service = service_fn(move |request| {
        let node = service_node.clone();
        let exchange = service_activity.begin();
        async move {
            let mut response = call::handle(&node, request).await;
            if node.is_stopping() {
                let close = HeaderValue::from_static("close");
                response.headers_mut().insert(CONNECTION, close);
            }
            Ok::<_, Infallible>(response.map(|body| exchange.with_body(body)))
        }
    });
    let mut builder = http1::Builder::new();
    builder
        .max_buf_size(limits.head_bytes.max(8192) + 4096)
        .auto_date_header(false);
    let connection = builder.serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    let result = tokio::select! {
        biased;
        result = connection.as_mut() => Some(result),
        _ = phase.wait_for(Phase::is_closing) => None,
        // Dropping the connection closes it without the last chunk of the stream.
        () = activity.wait_until_abandoned() => return,
        () = activity.wait_until_idle() => {
            node.metrics.count("caller_connections", "idle");
            tracing::info!(config = node.state.borrow().routes_version, "caller's idle connection closed");
            None
        }
    };
    let result = if let Some(result) = result {
        result
    } else {
        connection.as_mut().graceful_shutdown();
        tokio::select! {
            result = connection => result,
            () = activity.wait_until_abandoned() => return,
            // A head that began to arrive may still be completed.
            () = activity.wait_until_idle() => return,
        }
    };
    if let Err(error) = result {
        node.metrics.count("caller_connections_broken", "");
        tracing::debug!(%error, "caller's connection failed");
    }
}
