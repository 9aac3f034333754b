//! Body of a response to a caller.

use std::cell::OnceCell;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Instant;

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use tokio::sync::{Notify, mpsc};

use super::metrics::EVENT_TRANSIT;
use super::node::Node;

/// A stream was cut before its last event; hyper then closes the caller's connection.
#[derive(Debug, thiserror::Error)]
#[error("stream was cut")]
pub(super) struct StreamCut;

/// One or more complete events of a stream.
pub(super) struct EventChunk {
    pub(super) bytes: Bytes,
    /// When they arrived on the upstream's connection.
    pub(super) received_at: Instant,
}

/// The caller's connection that carries a stream.
#[derive(Debug, Default)]
pub(super) struct CallerLink {
    /// Notified when the connection must be closed; not set for a peer's connection.
    abandoned: OnceCell<Rc<Notify>>,
}

impl CallerLink {
    /// Sets what closes the connection when it is notified.
    pub(super) fn set(&self, abandoned: &Rc<Notify>) {
        // A stream is carried by one connection.
        let _ = self.abandoned.set(abandoned.clone());
    }

    /// Closes the connection, with whatever is buffered for it.
    pub(super) fn abandon(&self) {
        if let Some(abandoned) = self.abandoned.get() {
            abandoned.notify_one();
        }
    }
}

/// A complete body, or a stream of events.
pub(super) enum ResponseBody {
    /// The complete body; `None` once it was taken.
    Complete(Option<Bytes>),
    /// Events as they arrive.
    Events(EventBody),
}

/// Events that were not yet passed on to the caller's connection.
pub(super) struct EventBody {
    /// Bounded by the stream's buffer.
    pub(super) events: mpsc::UnboundedReceiver<Result<EventChunk, StreamCut>>,
    /// The node in whose metrics their transit time is recorded.
    pub(super) node: Rc<Node>,
    pub(super) link: Rc<CallerLink>,
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = StreamCut;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, StreamCut>>> {
        match self.get_mut() {
            Self::Complete(bytes) => Poll::Ready(bytes.take().map(|bytes| Ok(Frame::data(bytes)))),
            Self::Events(body) => body.events.poll_recv(cx).map(|chunk| {
                chunk.map(|chunk| {
                    let EventChunk { bytes, received_at } = chunk?;
                    let node = &body.node;
                    let transit = node.now().saturating_duration_since(received_at);
                    node.metrics.record_duration(EVENT_TRANSIT, transit);
                    Ok(Frame::data(bytes))
                })
            }),
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, Self::Complete(None))
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Complete(bytes) => {
                let length = bytes.as_ref().map_or(0, Bytes::len);
                SizeHint::with_exact(u64::try_from(length).unwrap_or(u64::MAX))
            }
            Self::Events(..) => SizeHint::default(),
        }
    }
}
