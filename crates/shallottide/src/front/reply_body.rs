//! The body of an answer, passed on as its events arrive.

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

/// Ends a plain body that can't be completed, so that the caller sees it cut.
#[derive(Debug, thiserror::Error)]
#[error("answer cut: {0}")]
pub(super) struct CutError(String);

/// An answer's body: known whole, or arriving event by event.
pub(super) enum ReplyBody {
    Whole(Full<Bytes>),
    Events(Box<EventBody>),
}

impl ReplyBody {
    pub(super) fn whole(text: impl Into<Bytes>) -> Self {
        Self::Whole(Full::new(text.into()))
    }
}

/// A body fed by the kernel's reply events.
pub(super) struct EventBody {
    pub(super) events: mpsc::Receiver<ReplyEvent>,
    /// Whether a failure is told by an error event, as in server-sent events.
    pub(super) is_stream: bool,
    pub(super) guard: DisconnectGuard,
    pub(super) span: CallSpan,
    pub(super) ended: bool,
}

impl EventBody {
    fn poll_event(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Frame<Bytes>, CutError>>> {
        if self.ended {
            return Poll::Ready(None);
        }
        match std::task::ready!(self.events.poll_recv(cx)) {
            Some(ReplyEvent::Data(data)) => Poll::Ready(Some(Ok(Frame::data(data)))),
            Some(ReplyEvent::End) => {
                self.end("complete", "");
                Poll::Ready(None)
            }
            Some(ReplyEvent::Fail(refusal)) => {
                self.end(refusal.kind, &refusal.to_string());
                Poll::Ready(Some(self.fail(&refusal)))
            }
            Some(ReplyEvent::Head(_)) => self.poll_event(cx),
            None => {
                self.ended = true;
                self.span.set_outcome("slow_caller", "");
                Poll::Ready(Some(Err(CutError("caller too slow".into()))))
            }
        }
    }

    fn end(&mut self, outcome: impl Display, detail: &str) {
        self.ended = true;
        self.guard.end();
        self.span.set_outcome(outcome, detail);
    }

    fn fail(&self, refusal: &Refusal) -> Result<Frame<Bytes>, CutError> {
        if !self.is_stream {
            return Err(CutError(refusal.to_string()));
        }
        let event = format!("event: error\ndata: {}\n\n", refusal.to_json());
        Ok(Frame::data(event.into()))
    }
}

impl Body for ReplyBody {
    type Data = Bytes;
    type Error = CutError;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, CutError>>> {
        match self.get_mut() {
            Self::Whole(body) => Pin::new(body)
                .poll_frame(cx)
                .map_err(|never| match never {}),
            Self::Events(body) => body.poll_event(cx),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Whole(body) => body.is_end_stream(),
            Self::Events(body) => body.ended,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Whole(body) => body.size_hint(),
            Self::Events(_) => SizeHint::default(),
        }
    }
}
