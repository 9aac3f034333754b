//! Body of a response to a caller.

use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Instant;

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use tokio::sync::mpsc;

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

/// A complete body, or a stream of events.
pub(super) enum ResponseBody {
    /// The complete body; `None` once it was taken.
    Complete(Option<Bytes>),
    /// Events as they arrive, and the node in whose metrics their transit time is recorded.
    Events(mpsc::Receiver<Result<EventChunk, StreamCut>>, Rc<Node>),
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
            Self::Events(rx, node) => rx.poll_recv(cx).map(|chunk| {
                chunk.map(|chunk| {
                    let EventChunk { bytes, received_at } = chunk?;
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
