//! Serves operators' requests by `tiny_http`.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::{RecvTimeoutError, Sender, channel};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use shallottide_types::record::KeyHash;
use tiny_http::{Header, Method, Request, Response, Server};

use crate::kernel::{KernelHandle, names};
use crate::message::{Message, StatusWanted};

/// Longest wait for the kernel's answer.
const STATUS_TIMEOUT: Duration = Duration::from_secs(2);

/// Pause between looks at whether the node has ended.
const POLL: Duration = Duration::from_millis(200);

#[derive(Default)]
struct State {
    next: u64,
    waiting: BTreeMap<u64, Sender<String>>,
}

/// The border towards operators; a cheap cloneable handle.
#[derive(Clone)]
pub struct OperatorBorder {
    kernel: KernelHandle,
    tokens: Arc<Vec<KeyHash>>,
    ready: Arc<AtomicBool>,
    state: Arc<Mutex<State>>,
}

impl OperatorBorder {
    /// Creates the border. `tokens` are the hashes of valid bearer tokens.
    #[must_use]
    pub fn new(kernel: KernelHandle, tokens: Vec<KeyHash>, ready: Arc<AtomicBool>) -> Self {
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

    /// Listens, and serves on a thread of its own until `ended`. Returns the address.
    ///
    /// # Errors
    /// Those of binding the address.
    pub fn start(
        self,
        address: SocketAddr,
        ended: Arc<AtomicBool>,
    ) -> Result<SocketAddr, std::io::Error> {
        let server = Server::http(address).map_err(std::io::Error::other)?;
        let bound = server.server_addr().to_ip().unwrap_or(address);
        std::thread::Builder::new()
            .name("operators".into())
            .spawn(move || {
                while !ended.load(Ordering::Acquire) {
                    if let Ok(Some(request)) = server.recv_timeout(POLL) {
                        self.serve(request);
                    }
                }
            })?;
        Ok(bound)
    }

    fn serve(&self, request: Request) {
        let (status, body) = self.answer(&request);
        let json = Header::from_bytes("Content-Type", "application/json");
        let json = json.expect("a constant header is valid");
        let response = Response::from_string(body)
            .with_status_code(status)
            .with_header(json);
        if let Err(e) = request.respond(response) {
            tracing::debug!(error = %e, "operator went away");
        }
    }

    fn answer(&self, request: &Request) -> (u16, String) {
        match (request.method(), request.url()) {
            (Method::Get, "/livez") => (200, r#"{"live":true}"#.into()),
            (Method::Get, "/readyz") => {
                let ready = self.ready.load(Ordering::Acquire);
                let status = if ready { 200 } else { 503 };
                (status, format!(r#"{{"ready":{ready}}}"#))
            }
            (Method::Get, "/status") if self.is_allowed(request) => self.status(),
            (Method::Get, "/status") => {
                let message = "no valid token: send `Authorization: Bearer TOKEN`";
                (401, error(message))
            }
            _ => (404, error("not served: GET /status, /livez or /readyz")),
        }
    }

    fn is_allowed(&self, request: &Request) -> bool {
        request
            .headers()
            .iter()
            .filter(|header| header.field.equiv("Authorization"))
            .filter_map(|header| header.value.as_str().strip_prefix("Bearer "))
            .any(|token| self.tokens.contains(&KeyHash::of(token.trim())))
    }

    fn status(&self) -> (u16, String) {
        let (tx, rx) = channel();
        let token = {
            let mut state = self.state.lock().expect("operators lock");
            state.next += 1;
            let token = state.next;
            state.waiting.insert(token, tx);
            token
        };
        self.kernel.send(names::STATUS, StatusWanted { token });
        match rx.recv_timeout(STATUS_TIMEOUT) {
            Ok(json) => (200, json),
            Err(RecvTimeoutError::Timeout | RecvTimeoutError::Disconnected) => {
                self.state
                    .lock()
                    .expect("operators lock")
                    .waiting
                    .remove(&token);
                (503, error("the node is busy or ending: ask again"))
            }
        }
    }
}

fn error(message: &str) -> String {
    serde_json::json!({"error": {"message": message}}).to_string()
}
