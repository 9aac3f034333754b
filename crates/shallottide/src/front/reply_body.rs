//! Response bodies: complete ones, and ones that stream reply events as they arrive.

use std::fmt::Display;
use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::{Body, Frame, SizeHint};
use shallottide_types::call::ReplyEvent;
use shallottide_types::refusal::Refusal;
use tokio::sync::mpsc;

use crate::replies::DisconnectGuard;
use crate::telemetry::CallSpan;

/// Aborts a body that can't be completed, so that the caller detects the truncation.
#[derive(Debug, thiserror::Error)]
#[error("answer cut: {0}")]
pub(super) struct TruncatedError(String);

/// A response body.
pub(super) enum ReplyBody {
    /// The complete body.
    Complete(Full<Bytes>),
    /// A body that arrives event by event.
    Events(Box<EventBody>),
}

impl ReplyBody {
    pub(super) fn complete(text: impl Into<Bytes>) -> Self {
        Self::Complete(Full::new(text.into()))
    }
}

/// A body that streams reply events from the kernel.
pub(super) struct EventBody {
    pub(super) events: mpsc::Receiver<ReplyEvent>,
    /// Whether the body is server-sent events: a failure is then sent as an error event, else
    /// the body is aborted.
    pub(super) is_stream: bool,
    pub(super) guard: DisconnectGuard,
    pub(super) span: CallSpan,
    /// Whether the last frame was produced.
    pub(super) ended: bool,
}

impl EventBody {
    fn poll_event(
        &mut self,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, TruncatedError>>> {
        if self.ended {
            return Poll::Ready(None);
        }
        match std::task::ready!(self.events.poll_recv(cx)) {
            Some(ReplyEvent::Data(data)) => Poll::Ready(Some(Ok(Frame::data(data)))),
            Some(ReplyEvent::End) => {
                self.finish("complete", "");
                Poll::Ready(None)
            }
            Some(ReplyEvent::Fail(refusal)) => {
                self.finish(refusal.kind, &refusal.to_string());
                Poll::Ready(Some(self.failure_frame(&refusal)))
            }
            Some(ReplyEvent::Head(_)) => self.poll_event(cx),
            // The reply router dropped the sender because this caller read too slowly.
            None => {
                self.ended = true;
                self.span.set_outcome("slow_caller", "");
                Poll::Ready(Some(Err(TruncatedError("caller too slow".into()))))
            }
        }
    }

    fn finish(&mut self, outcome: impl Display, detail: &str) {
        self.ended = true;
        self.guard.end();
        self.span.set_outcome(outcome, detail);
    }

    fn failure_frame(&self, refusal: &Refusal) -> Result<Frame<Bytes>, TruncatedError> {
        if !self.is_stream {
            return Err(TruncatedError(refusal.to_string()));
        }
        let event = format!("event: error\ndata: {}\n\n", refusal.to_json());
        Ok(Frame::data(event.into()))
    }
}

impl Body for ReplyBody {
    type Data = Bytes;
    type Error = TruncatedError;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, TruncatedError>>> {
        match self.get_mut() {
            Self::Complete(body) => Pin::new(body)
                .poll_frame(cx)
                .map_err(|never| match never {}),
            Self::Events(body) => body.poll_event(cx),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Complete(body) => body.is_end_stream(),
            Self::Events(body) => body.ended,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Complete(body) => body.size_hint(),
            Self::Events(_) => SizeHint::default(),
        }
    }
}
