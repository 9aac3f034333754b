//! Serves operators' requests.

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

/// Longest wait for the kernel's answer.
const STATUS_TIMEOUT: Duration = Duration::from_secs(2);

/// Most open connections of operators.
const MAX_CONNECTIONS: usize = 64;

/// Bounds on a connection of an operator.
const LIMITS: HttpLimits = HttpLimits {
    header_timeout: Duration::from_secs(10),
    header_bytes: 16 * 1024,
    write_timeout: Duration::from_secs(10),
};

#[derive(Default)]
struct State {
    next: u64,
    waiting: BTreeMap<u64, oneshot::Sender<String>>,
}

/// The border towards operators; a cheap cloneable handle.
#[derive(Clone)]
pub struct OperatorBorder {
    kernel: KernelHandle,
    tokens: Arc<Vec<KeyHash>>,
    ready: Readiness,
    state: Arc<Mutex<State>>,
}

impl OperatorBorder {
    /// Creates the border. `tokens` are the hashes of valid bearer tokens.
    #[must_use]
    pub fn new(kernel: KernelHandle, tokens: Vec<KeyHash>, ready: Readiness) -> Self {
        Self {
            kernel,
            tokens: Arc::new(tokens),
            ready,
            state: Arc::default(),
        }
    }

    /// Takes a message from the kernel without blocking.
    ///
    /// # Panics
    /// If another thread panicked while holding the border's state.
    pub fn send(&self, message: Message) {
        let Message::StatusReply(reply) = message else {
            return;
        };
        let tx = self
            .state
            .lock()
            .expect("operators lock")
            .waiting
            .remove(&reply.token);
        if let Some(tx) = tx {
            let _ = tx.send(reply.json);
        }
    }

    /// Listens, and serves on the runtime until that ends. Returns the address.
    ///
    /// # Errors
    /// Those of binding the address.
    pub fn start(
        self,
        address: SocketAddr,
        runtime: &Handle,
    ) -> Result<SocketAddr, std::io::Error> {
        let listener = bind(address)?;
        let bound = listener.local_addr()?;
        let server = HttpServer {
            limits: LIMITS,
            gate: ConnectionGate::new(MAX_CONNECTIONS),
        };
        let service = move |request| {
            let border = self.clone();
            async move { Ok::<_, Infallible>(border.serve(&request).await) }
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
            (&Method::GET, "/readyz") => self.readiness(),
            (&Method::GET, "/status") if self.is_allowed(request) => self.status().await,
            (&Method::GET, "/status") => {
                let message = "no valid token: send `Authorization: Bearer TOKEN`";
                (StatusCode::UNAUTHORIZED, error(message))
            }
            _ => {
                let message = "not served: GET /status, /livez or /readyz";
                (StatusCode::NOT_FOUND, error(message))
            }
        }
    }

    fn readiness(&self) -> (StatusCode, String) {
        let ready = self.ready.is_ready();
        let status = if ready {
            StatusCode::OK
        } else {
            StatusCode::SERVICE_UNAVAILABLE
        };
        (status, format!(r#"{{"ready":{ready}}}"#))
    }

    fn is_allowed(&self, request: &Request<Incoming>) -> bool {
        request
            .headers()
            .get_all(AUTHORIZATION)
            .iter()
            .filter_map(|value| value.to_str().ok()?.strip_prefix("Bearer "))
            .any(|token| self.tokens.contains(&KeyHash::of(token.trim())))
    }

    async fn status(&self) -> (StatusCode, String) {
        let (token, rx) = self.wait();
        self.kernel.send(names::STATUS, StatusRequest { token });
        if let Ok(Ok(json)) = tokio::time::timeout(STATUS_TIMEOUT, rx).await {
            return (StatusCode::OK, json);
        }
        let mut state = self.state.lock().expect("operators lock");
        state.waiting.remove(&token);
        let message = "the node is busy or ending: ask again";
        (StatusCode::SERVICE_UNAVAILABLE, error(message))
    }

    fn wait(&self) -> (u64, oneshot::Receiver<String>) {
        let (tx, rx) = oneshot::channel();
        let mut state = self.state.lock().expect("operators lock");
        state.next += 1;
        let token = state.next;
        state.waiting.insert(token, tx);
        (token, rx)
    }
}

fn error(message: &str) -> String {
    serde_json::json!({"error": {"message": message}}).to_string()
}
