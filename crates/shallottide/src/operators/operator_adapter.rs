//! Serves the HTTP requests of operators.

use std::collections::BTreeMap;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::header::{AUTHORIZATION, CONTENT_TYPE, HeaderValue};
use hyper::{Method, Request, Response, StatusCode};
use shallottide_types::record::KeyHash;
use tokio::runtime::Handle;
use tokio::sync::oneshot;

use crate::connection_gate::ConnectionGate;
use crate::http_server::{HttpLimits, HttpServer};
use crate::kernel::{KernelHandle, names};
use crate::listener::bind;
use crate::message::{Message, StatusRequest};
use crate::readiness::Readiness;

/// Longest wait for the status service's reply.
const STATUS_TIMEOUT: Duration = Duration::from_secs(2);

/// Most open connections from operators.
const MAX_CONNECTIONS: usize = 64;

/// Limits on an operator's connection.
const HTTP_LIMITS: HttpLimits = HttpLimits {
    header_timeout: Duration::from_secs(10),
    header_bytes: 16 * 1024,
    write_timeout: Duration::from_secs(10),
};

/// Status requests that wait for a reply, by token.
#[derive(Default)]
struct PendingRequests {
    last_token: u64,
    reply_senders: BTreeMap<u64, oneshot::Sender<String>>,
}

/// Adapter to operators. Clones are cheap and share their state.
#[derive(Clone)]
pub struct OperatorAdapter {
    kernel: KernelHandle,
    token_hashes: Arc<Vec<KeyHash>>,
    ready: Readiness,
    pending: Arc<Mutex<PendingRequests>>,
}

impl OperatorAdapter {
    /// Creates the adapter. `token_hashes` are the hashes of valid bearer tokens.
    #[must_use]
    pub fn new(kernel: KernelHandle, token_hashes: Vec<KeyHash>, ready: Readiness) -> Self {
        Self {
            kernel,
            token_hashes: Arc::new(token_hashes),
            ready,
            pending: Arc::default(),
        }
    }

    /// Handles a message from the kernel without blocking.
    ///
    /// # Panics
    /// If another thread panicked while holding the adapter's state.
    pub fn send(&self, message: Message) {
        let Message::StatusReply(reply) = message else {
            return;
        };
        let tx = self
            .pending
            .lock()
            .expect("pending requests lock")
            .reply_senders
            .remove(&reply.token);
        if let Some(tx) = tx {
            let _ = tx.send(reply.json);
        }
    }

    /// Binds `address` and serves on `runtime` until that shuts down. Returns the bound address.
    ///
    /// # Errors
    /// Fails when the address can't be bound.
    pub fn start(
        self,
        address: SocketAddr,
        runtime: &Handle,
    ) -> Result<SocketAddr, std::io::Error> {
        let listener = bind(address)?;
        let bound = listener.local_addr()?;
        let server = HttpServer {
            limits: HTTP_LIMITS,
            gate: ConnectionGate::new(MAX_CONNECTIONS),
        };
        let service = move |request| {
            let adapter = self.clone();
            async move { Ok::<_, Infallible>(adapter.serve(&request).await) }
        };
        runtime.spawn(server.serve(listener, service));
        Ok(bound)
    }

    async fn serve(&self, request: &Request<Incoming>) -> Response<Full<Bytes>> {
        let (status, body) = self.answer(request).await;
        let mut response = Response::new(Full::from(body));
        *response.status_mut() = status;
        let json = HeaderValue::from_static("application/json");
        response.headers_mut().insert(CONTENT_TYPE, json);
        response
    }

    async fn answer(&self, request: &Request<Incoming>) -> (StatusCode, String) {
        match (request.method(), request.uri().path()) {
            (&Method::GET, "/livez") => (StatusCode::OK, r#"{"live":true}"#.into()),
            (&Method::GET, "/readyz") => self.readiness_response(),
            (&Method::GET, "/status") if self.has_valid_token(request) => {
                self.status_response().await
            }
            (&Method::GET, "/status") => {
                let message = "no valid token: send `Authorization: Bearer TOKEN`";
                (StatusCode::UNAUTHORIZED, error_json(message))
            }
            _ => {
                let message = "not served: GET /status, /livez or /readyz";
                (StatusCode::NOT_FOUND, error_json(message))
            }
        }
    }

    fn readiness_response(&self) -> (StatusCode, String) {
        let ready = self.ready.is_ready();
        let status = if ready {
            StatusCode::OK
        } else {
            StatusCode::SERVICE_UNAVAILABLE
        };
        (status, format!(r#"{{"ready":{ready}}}"#))
    }

    fn has_valid_token(&self, request: &Request<Incoming>) -> bool {
        request
            .headers()
            .get_all(AUTHORIZATION)
            .iter()
            .filter_map(|value| value.to_str().ok()?.strip_prefix("Bearer "))
            .any(|token| self.token_hashes.contains(&KeyHash::of(token.trim())))
    }

    async fn status_response(&self) -> (StatusCode, String) {
        let (token, rx) = self.register_request();
        self.kernel.send(names::STATUS, StatusRequest { token });
        if let Ok(Ok(json)) = tokio::time::timeout(STATUS_TIMEOUT, rx).await {
            return (StatusCode::OK, json);
        }
        let mut pending = self.pending.lock().expect("pending requests lock");
        pending.reply_senders.remove(&token);
        let message = "the node is busy or ending: ask again";
        (StatusCode::SERVICE_UNAVAILABLE, error_json(message))
    }

    fn register_request(&self) -> (u64, oneshot::Receiver<String>) {
        let (tx, rx) = oneshot::channel();
        let mut pending = self.pending.lock().expect("pending requests lock");
        pending.last_token += 1;
        let token = pending.last_token;
        pending.reply_senders.insert(token, tx);
        (token, rx)
    }
}

fn error_json(message: &str) -> String {
    serde_json::json!({"error": {"message": message}}).to_string()
}
