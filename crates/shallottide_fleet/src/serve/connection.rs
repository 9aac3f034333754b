//! One HTTP/1.1 connection to an upstream or to the platform.

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::{BodyExt, Full};
use hyper::body::{Body, Incoming};
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use socket2::SockRef;
use tokio::net::TcpStream;
use tokio::task::{AbortHandle, spawn_local};

use super::limited_stream::{LimitedStream, ReadAllowance};
use crate::byte_budget::{ByteBudget, Reservation, attach};

/// Time for which sent bytes may stay unacknowledged before the connection is closed.
const TCP_USER_TIMEOUT: Duration = Duration::from_secs(3);

/// Bytes that are buffered of a connection at most, and largest response head.
const MAX_BUFFERED_BYTES: usize = 32 << 10;

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
    /// The body does not fit into the memory that the node reserves for bodies.
    #[error("no memory left for bodies")]
    OutOfBudget,
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

    /// Returns whether the server closed or reset the connection before its response was complete.
    #[must_use]
    pub fn is_disconnect(&self) -> bool {
        matches!(self, Self::Incomplete(error) if is_disconnect(error))
    }
}

impl HttpError {
    /// Returns whether nothing listens at the server's address.
    #[must_use]
    pub fn is_refused(&self) -> bool {
        matches!(self, Self::Connect(error) if error.kind() == ErrorKind::ConnectionRefused)
    }
}

/// Returns whether an error means that the server closed or reset the connection.
pub(super) fn is_disconnect(error: &hyper::Error) -> bool {
    if error.is_incomplete_message() || error.is_closed() {
        return true;
    }
    let mut source = std::error::Error::source(error);
    while let Some(cause) = source {
        if let Some(io) = cause.downcast_ref::<std::io::Error>() {
            return matches!(
                io.kind(),
                ErrorKind::ConnectionReset
                    | ErrorKind::ConnectionAborted
                    | ErrorKind::BrokenPipe
                    | ErrorKind::UnexpectedEof
            );
        }
        source = cause.source();
    }
    false
}

/// An open connection; closed when dropped.
#[derive(Debug)]
pub struct Connection {
    sender: SendRequest<Full<Bytes>>,
    task: AbortHandle,
    allowance: ReadAllowance,
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
        let allowance = ReadAllowance::default();
        let stream = LimitedStream::new(stream, allowance.clone());
        let (sender, connection) = http1::Builder::new()
            .max_buf_size(MAX_BUFFERED_BYTES)
            .handshake(TokioIo::new(stream))
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
            allowance,
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
        self.allowance.renew();
        let sent = self.sender.try_send_request(request).await;
        self.allowance.renew();
        sent.map_err(|mut error| {
            if error.take_message().is_some() {
                HttpError::NotSent
            } else {
                HttpError::Incomplete(error.into_error())
            }
        })
    }

    /// Records that a part of the response's body has arrived, so that the next may.
    pub(super) fn record_progress(&self) {
        self.allowance.renew();
    }

    /// Reads the complete body of a response, of at most `max_bytes` and what the budget allows.
    ///
    /// # Errors
    /// [`HttpError::Incomplete`], [`HttpError::TooLarge`] or [`HttpError::OutOfBudget`].
    pub(super) async fn read_response_body(
        &self,
        mut body: Incoming,
        max_bytes: usize,
        budget: &Arc<ByteBudget>,
    ) -> Result<Bytes, HttpError> {
        let limits = BodyLimits::new(max_bytes, budget);
        read_body(&mut body, &limits, || self.record_progress()).await
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
            let budget = ByteBudget::new(max_bytes);
            let body = self.read_response_body(body, max_bytes, &budget).await?;
            Ok(Response::from_parts(parts, body))
        };
        tokio::time::timeout(timeout, response)
            .await
            .map_err(|_| HttpError::Timeout)?
    }
}

/// Factor by which the buffer of a body without an announced length grows. Few large steps leave fewer
/// holes in the allocator's heap than doubling, which took 32 MB more for 20 bodies of 4 MB.
const BODY_GROWTH: usize = 8;

/// Limits on a body that is read.
pub(super) struct BodyLimits<'a> {
    /// In bytes.
    pub(super) max_bytes: usize,
    /// Where memory for the body is taken from.
    pub(super) budget: &'a Arc<ByteBudget>,
    /// Longest time to wait for memory.
    pub(super) memory_wait: Duration,
    /// Length in bytes up to which a body is held even if the budget has no memory for it.
    pub(super) always_held: usize,
}

impl<'a> BodyLimits<'a> {
    /// Creates limits for a body that does not wait for memory.
    pub(super) fn new(max_bytes: usize, budget: &'a Arc<ByteBudget>) -> Self {
        Self {
            max_bytes,
            budget,
            memory_wait: Duration::ZERO,
            always_held: 0,
        }
    }
}

/// Reads a complete body within limits; `read` is called after each part. The memory that it takes is
/// given back when the last clone or slice of the body is dropped.
///
/// A body that announces its length has all of its memory from the start, so that it is refused before
/// any of it is read, and never takes more than that.
pub(super) async fn read_body(
    body: &mut Incoming,
    limits: &BodyLimits<'_>,
    read: impl Fn(),
) -> Result<Bytes, HttpError> {
    let mut buffer = BodyBuffer {
        bytes: Vec::new(),
        reservation: limits.budget.reserve(),
    };
    if let Some(length) = body.size_hint().exact() {
        let length = usize::try_from(length).unwrap_or(usize::MAX);
        buffer.reserve(length, limits).await?;
    }
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame.map_err(HttpError::Incomplete)?.into_data() else {
            continue;
        };
        buffer.reserve(data.len(), limits).await?;
        buffer.bytes.extend_from_slice(&data);
        read();
    }
    Ok(buffer.finish())
}

/// A body that is being read.
struct BodyBuffer {
    bytes: Vec<u8>,
    /// For the capacity of `bytes`.
    reservation: Reservation,
}

impl BodyBuffer {
    /// Makes room for further bytes.
    async fn reserve(&mut self, bytes: usize, limits: &BodyLimits<'_>) -> Result<(), HttpError> {
        let length = self.bytes.len().saturating_add(bytes);
        if length > limits.max_bytes {
            return Err(HttpError::TooLarge);
        }
        let old = self.bytes.capacity();
        if length <= old {
            return Ok(());
        }
        let capacity = length
            .max(old.saturating_mul(BODY_GROWTH))
            .min(limits.max_bytes);
        // While the bytes move, both the old and the new memory are in use.
        if capacity <= limits.always_held {
            self.reservation.grow_beyond(capacity);
        } else {
            let is_reserved = self.reservation.grow_within(capacity, limits.memory_wait);
            if !is_reserved.await {
                return Err(HttpError::OutOfBudget);
            }
        }
        let mut moved = Vec::with_capacity(capacity);
        moved.extend_from_slice(&self.bytes);
        self.bytes = moved;
        self.reservation.shrink(old);
        Ok(())
    }

    /// Returns the complete body, and gives back the memory that it does not need.
    fn finish(mut self) -> Bytes {
        if self.bytes.is_empty() {
            return Bytes::new();
        }
        self.bytes.shrink_to_fit();
        let unused = self.reservation.bytes();
        let unused = unused.saturating_sub(self.bytes.capacity());
        self.reservation.shrink(unused);
        attach(self.bytes, self.reservation)
    }
}
