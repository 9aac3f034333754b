//! The body of an answer to a caller.

use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Instant;

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use tokio::sync::mpsc;

use super::metrics::EVENT_PASS;
use super::node::Node;

/// A stream ended before its last event; the caller's connection is closed on it.
#[derive(Debug, thiserror::Error)]
#[error("the stream was cut")]
pub(super) struct Cut;

/// Whole events of a stream.
pub(super) struct Part {
    pub(super) bytes: Bytes,
    /// When they were taken from the upstream's connection.
    pub(super) taken: Instant,
}

/// A whole body, or one that arrives in parts.
pub(super) enum ReplyBody {
    /// All bytes.
    Whole(Option<Bytes>),
    /// Parts as they arrive, and the node that measures how long they stay in it.
    Parts(mpsc::Receiver<Result<Part, Cut>>, Rc<Node>),
}

impl Body for ReplyBody {
    type Data = Bytes;
    type Error = Cut;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Cut>>> {
        match self.get_mut() {
            Self::Whole(bytes) => Poll::Ready(bytes.take().map(|bytes| Ok(Frame::data(bytes)))),
            Self::Parts(rx, node) => rx.poll_recv(cx).map(|part| {
                part.map(|part| {
                    let Part { bytes, taken } = part?;
                    let stayed = node.now().saturating_duration_since(taken);
                    node.metrics.time(EVENT_PASS, stayed);
                    Ok(Frame::data(bytes))
                })
            }),
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, Self::Whole(None))
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Whole(bytes) => {
                let length = bytes.as_ref().map_or(0, Bytes::len);
                SizeHint::with_exact(u64::try_from(length).unwrap_or(u64::MAX))
            }
            Self::Parts(..) => SizeHint::default(),
        }
    }
}
