//! One HTTP/1.1 connection to an upstream or to the platform.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use socket2::SockRef;
use tokio::net::TcpStream;
use tokio::task::{AbortHandle, spawn_local};

/// Time for which sent bytes may stay unacknowledged before the connection is closed.
const TCP_USER_TIMEOUT: Duration = Duration::from_secs(3);

/// Why a request got no complete response.
#[derive(Debug, thiserror::Error)]
pub enum HttpError {
    /// The connection failed, so nothing was sent.
    #[error("could not connect: {0}")]
    Connect(std::io::Error),
    /// The connection was not established in time, so nothing was sent.
    #[error("connecting timed out")]
    ConnectTimeout,
    /// The connection was closed before the request was written.
    #[error("connection closed before the request was sent")]
    NotSent,
    /// The request was sent, but no complete response arrived.
    #[error("incomplete response: {0}")]
    Incomplete(hyper::Error),
    /// The response did not arrive in time.
    #[error("response timed out")]
    Timeout,
    /// The response body is larger than the caller of the exchange allows.
    #[error("response body is larger than allowed")]
    TooLarge,
}

impl HttpError {
    /// Returns whether no byte of the request can have reached the server.
    #[must_use]
    pub fn was_not_sent(&self) -> bool {
        matches!(
            self,
            Self::Connect(_) | Self::ConnectTimeout | Self::NotSent
        )
    }
}

/// An open connection; closed when dropped.
#[derive(Debug)]
pub struct Connection {
    sender: SendRequest<Full<Bytes>>,
    task: AbortHandle,
    /// Whether a response has arrived over it.
    pub(super) was_used: bool,
    /// Time until which the server is known to keep the idle connection open.
    pub(super) idle_until: Option<Instant>,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Connection {
    /// Opens a connection.
    ///
    /// # Errors
    /// [`HttpError`] when the connection fails or is not established within `timeout`.
    pub async fn open(address: SocketAddr, timeout: Duration) -> Result<Self, HttpError> {
        let stream = tokio::time::timeout(timeout, TcpStream::connect(address))
            .await
            .map_err(|_| HttpError::ConnectTimeout)?
            .map_err(HttpError::Connect)?;
        stream.set_nodelay(true).map_err(HttpError::Connect)?;
        SockRef::from(&stream)
            .set_tcp_user_timeout(Some(TCP_USER_TIMEOUT))
            .map_err(HttpError::Connect)?;
        let (sender, connection) = http1::handshake(TokioIo::new(stream))
            .await
            .map_err(|_| HttpError::NotSent)?;
        let task = spawn_local(async move {
            if let Err(error) = connection.await {
                tracing::debug!(%address, %error, "connection failed");
            }
        });
        Ok(Self {
            sender,
            task: task.abort_handle(),
            was_used: false,
            idle_until: None,
        })
    }

    /// Returns whether a request can be sent without waiting.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.sender.is_ready()
    }

    /// Returns whether the connection is closed.
    #[must_use]
    pub fn is_closed(&self) -> bool {
        self.sender.is_closed()
    }

    /// Sends a request and waits for the head of its response.
    ///
    /// # Errors
    /// [`HttpError::NotSent`] when nothing was written, else [`HttpError::Incomplete`].
    pub async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, HttpError> {
        if self.sender.ready().await.is_err() {
            return Err(HttpError::NotSent);
        }
        let sent = self.sender.try_send_request(request).await;
        sent.map_err(|mut error| {
            if error.take_message().is_some() {
                HttpError::NotSent
            } else {
                HttpError::Incomplete(error.into_error())
            }
        })
    }

    /// Sends a request and reads its complete response, with a body of at most `max_bytes`.
    ///
    /// # Errors
    /// Those of [`Self::send`], [`HttpError::Timeout`] after `timeout` and [`HttpError::TooLarge`].
    pub async fn exchange(
        &mut self,
        request: Request<Full<Bytes>>,
        max_bytes: usize,
        timeout: Duration,
    ) -> Result<Response<Bytes>, HttpError> {
        let response = async {
            let response = self.send(request).await?;
            let (parts, body) = response.into_parts();
            let body = read_body(body, max_bytes).await?;
            Ok(Response::from_parts(parts, body))
        };
        tokio::time::timeout(timeout, response)
            .await
            .map_err(|_| HttpError::Timeout)?
    }
}

/// Reads a complete body of at most `max_bytes`.
pub(super) async fn read_body(body: Incoming, max_bytes: usize) -> Result<Bytes, HttpError> {
    let collected = Limited::new(body, max_bytes).collect().await;
    collected
        .map(http_body_util::Collected::to_bytes)
        .map_err(|error| match error.downcast::<hyper::Error>() {
            Ok(error) => HttpError::Incomplete(*error),
            Err(_) => HttpError::TooLarge,
        })
}
