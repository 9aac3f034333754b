//! Callers of the entry nodes.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::Request;
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;

use crate::record::Record;

/// Host of all routes.
pub const HOST: &str = "assistant.example";
/// Key of the only tenant.
pub const KEY: &str = "n2ctnfzs989anu6wsjnb";

/// A request.
#[derive(Clone, Default)]
pub struct Call {
    pub id: String,
    pub path: String,
    pub body: Bytes,
    pub deadline: Duration,
    pub model: Option<&'static str>,
    pub prefix: Option<String>,
}

/// What a caller got.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// A status with a whole body, and whether a server had signed it.
    Answer { status: u16, is_signed: bool },
    /// The answer or its connection broke off.
    Cut,
    /// Nothing within the time.
    Nothing,
}

impl Call {
    /// Sends the call on a new connection.
    pub async fn send(&self, to: SocketAddr, record: &Arc<Record>) -> Outcome {
        let begin = Instant::now();
        record.line(&format!("client sends {} to {to}", self.id));
        let outcome = tokio::time::timeout(
            self.deadline + Duration::from_millis(500),
            self.exchange(to),
        );
        let outcome = outcome.await.unwrap_or(Outcome::Nothing);
        let took = begin.elapsed().as_millis();
        record.line(&format!(
            "client gets {outcome:?} for {} after {took} ms",
            self.id
        ));
        outcome
    }

    async fn exchange(&self, to: SocketAddr) -> Outcome {
        let exchange = async {
            let stream = TcpStream::connect(to).await.ok()?;
            stream.set_nodelay(true).ok()?;
            let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await.ok()?;
            tokio::spawn(connection);
            let mut builder = Request::builder()
                .method(if self.body.is_empty() { "GET" } else { "POST" })
                .uri(&self.path)
                .header("host", HOST)
                .header("request-id", &self.id)
                .header("deadline-ms", self.deadline.as_millis().to_string())
                .header("x-api-key", KEY);
            if let Some(model) = self.model {
                builder = builder
                    .header("model", model)
                    .header("token-counts", "1460,80");
            }
            if let Some(prefix) = &self.prefix {
                builder = builder.header("prefix-hash", prefix);
            }
            let request = builder.body(Full::new(self.body.clone())).ok()?;
            let response = sender.send_request(request).await.ok()?;
            let status = response.status().as_u16();
            let is_signed = response.headers().contains_key("server-stamp");
            response.into_body().collect().await.ok()?;
            Some(Outcome::Answer { status, is_signed })
        };
        exchange.await.unwrap_or(Outcome::Cut)
    }
}

/// Returns the status of a readiness check.
pub async fn is_ready(at: SocketAddr) -> bool {
    let check = async {
        let stream = TcpStream::connect(at).await.ok()?;
        let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await.ok()?;
        tokio::spawn(connection);
        let request = Request::get("/readyz").header("host", "node");
        let request = request.body(Full::<Bytes>::default()).ok()?;
        let response = sender.send_request(request).await.ok()?;
        Some(response.status().as_u16() == 200)
    };
    let check = tokio::time::timeout(Duration::from_millis(500), check);
    check.await.ok().flatten().unwrap_or(false)
}
