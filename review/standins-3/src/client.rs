//! Stand-in of clients.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use tokio::net::TcpStream;

use crate::http::Connection;

pub const HOST: &str = "depot.example";
pub const KEY: &str = "n2ctnfzs989anu6wsjnb";

/// Time that clients allow a new connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// A request of a client.
#[derive(Debug, Clone)]
pub struct Request {
    pub id: String,
    pub method: &'static str,
    pub path: String,
    pub headers: String,
    pub body: Vec<u8>,
}

impl Request {
    /// Creates a request with an id of its own.
    pub fn new(method: &'static str, host: &str, path: &str) -> Self {
        static NEXT: AtomicU64 = AtomicU64::new(1);
        let number = NEXT.fetch_add(1, Ordering::Relaxed);
        let id = format!("{number:016x}");
        Self {
            headers: format!("Host: {host}\r\nRequest-Id: {id}\r\n"),
            id,
            method,
            path: path.into(),
            body: Vec::new(),
        }
    }

    pub fn get(path: &str, host: &str) -> Self {
        Self::new("GET", host, path)
    }

    pub fn header(mut self, name: &str, value: &str) -> Self {
        self.headers.push_str(&format!("{name}: {value}\r\n"));
        self
    }
}

/// A complete answer.
#[derive(Debug, Clone)]
pub struct Answer {
    pub status: u16,
    /// `Retry-After`; zero if it is missing.
    pub retry_after: Duration,
    pub body: Vec<u8>,
}

/// How an attempt ended without a complete answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Unanswered {
    /// The connection was not established, so nothing was sent.
    NotConnected,
    /// The connection ended.
    Ended(String),
    /// The client's time was over.
    TimedOut,
    /// Status 101, which it had not asked for, and no answer until the end of the connection or of its time.
    Switched(Duration),
}

/// Sends a request over a new connection.
pub async fn exchange(
    to: SocketAddr,
    request: &Request,
    limit: Duration,
) -> Result<Answer, Unanswered> {
    let connecting = tokio::time::timeout(CONNECT_TIMEOUT.min(limit), TcpStream::connect(to));
    let Ok(Ok(stream)) = connecting.await else {
        return Err(Unanswered::NotConnected);
    };
    let mut connection = Connection::new(stream);
    let began = Instant::now();
    let mut interim = Vec::new();
    let answer = async {
        let start = format!("{} {} HTTP/1.1", request.method, request.path);
        connection
            .write(&start, &request.headers, &request.body)
            .await?;
        let head = loop {
            let Some(head) = connection.read_head().await? else {
                return Err(std::io::ErrorKind::UnexpectedEof.into());
            };
            if head.status() >= 200 {
                break head;
            }
            // No final answer: a client goes on reading.
            interim.push(head.status());
        };
        let body = connection.read_body(&head).await?;
        Ok::<_, std::io::Error>(Answer {
            status: head.status(),
            retry_after: read_retry_after(head.header("retry-after")),
            body,
        })
    };
    let left = limit.saturating_sub(began.elapsed());
    let outcome = tokio::time::timeout(left, answer).await;
    let has_switched = interim.contains(&101);
    match outcome {
        Ok(Ok(answer)) => Ok(answer),
        _ if has_switched => Err(Unanswered::Switched(began.elapsed())),
        Ok(Err(error)) => Err(Unanswered::Ended(error.to_string())),
        Err(_) => Err(Unanswered::TimedOut),
    }
}

fn read_retry_after(text: Option<&str>) -> Duration {
    let seconds = text.and_then(|text| text.parse::<f64>().ok());
    seconds.map_or(Duration::ZERO, |seconds| {
        Duration::try_from_secs_f64(seconds).unwrap_or_default()
    })
}
