//! Since when a caller's connection is idle.

use std::cell::Cell;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use tokio::sync::Notify;

use super::node::Node;
use super::response_body::{ResponseBody, StreamCut};
use crate::catalog::CallerLimits;

/// Time added to the operators' idle timeout before an idle connection is closed.
const IDLE_TIMEOUT_MARGIN: Duration = Duration::from_millis(500);

/// Time in which requests that have arrived already are read before an idle connection is closed.
const ARRIVAL_CHECK_TIME: Duration = Duration::from_millis(50);

/// Returns the operators' limits that are in force.
pub(super) fn caller_limits(node: &Node) -> CallerLimits {
    let state = node.state.borrow();
    let catalog = state.view.catalog.as_ref();
    let limits = catalog.map(|catalog| catalog.limits.clone());
    limits.unwrap_or_default()
}

/// Exchanges of one connection, and since when it has none.
pub(super) struct Activity {
    node: Rc<Node>,
    exchanges: Cell<u32>,
    idle_since: Cell<Instant>,
    /// Whether a request has arrived over it.
    was_used: Cell<bool>,
    /// Notified when its caller does not read the stream that it carries.
    abandoned: Rc<Notify>,
}

impl Drop for Activity {
    fn drop(&mut self) {
        if self.was_used.get() {
            let used = &mut self.node.state.borrow_mut().used_connections;
            *used = used.saturating_sub(1);
        }
    }
}

impl Activity {
    pub(super) fn new(node: &Rc<Node>) -> Self {
        Self {
            node: node.clone(),
            exchanges: Cell::new(0),
            idle_since: Cell::new(node.now()),
            was_used: Cell::new(false),
            abandoned: Rc::default(),
        }
    }

    pub(super) fn begin(self: &Rc<Self>) -> Exchange {
        if !self.was_used.replace(true) {
            self.node.state.borrow_mut().used_connections += 1;
        }
        self.exchanges.set(self.exchanges.get() + 1);
        Exchange(self.clone())
    }

    /// Waits until no complete head has arrived for the limit that is in force by then, which may have
    /// changed since the connection was opened.
    pub(super) async fn wait_until_idle(&self) {
        let begin = self.node.now();
        loop {
            let left = self.time_until_idle(begin);
            if left.is_zero() {
                // A process that was suspended sees its timers before what has arrived meanwhile.
                tokio::time::sleep(ARRIVAL_CHECK_TIME).await;
                if self.time_until_idle(begin).is_zero() {
                    return;
                }
            } else {
                tokio::time::sleep(left).await;
            }
        }
    }

    /// Waits until the stream that the connection carries is given up, as its caller does not read.
    pub(super) async fn wait_until_abandoned(&self) {
        self.abandoned.notified().await;
    }

    fn time_until_idle(&self, begin: Instant) -> Duration {
        let limits = caller_limits(&self.node);
        let limit = limits.idle_timeout.max(limits.head_timeout) + IDLE_TIMEOUT_MARGIN;
        if self.exchanges.get() > 0 {
            return limit;
        }
        let idle_since = self.idle_since.get().max(begin);
        (idle_since + limit).saturating_duration_since(self.node.now())
    }
}

/// A request whose response is not complete yet.
pub(super) struct Exchange(Rc<Activity>);

impl Exchange {
    pub(super) fn with_body(self, body: ResponseBody) -> ExchangeBody {
        if let ResponseBody::Events(events) = &body {
            events.link.set(&self.0.abandoned);
        }
        ExchangeBody {
            body,
            _exchange: self,
        }
    }
}

impl Drop for Exchange {
    fn drop(&mut self) {
        let activity = &self.0;
        activity
            .exchanges
            .set(activity.exchanges.get().saturating_sub(1));
        activity.idle_since.set(activity.node.now());
    }
}

/// The body of an exchange's response.
pub(super) struct ExchangeBody {
    body: ResponseBody,
    _exchange: Exchange,
}

impl Body for ExchangeBody {
    type Data = Bytes;
    type Error = StreamCut;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, StreamCut>>> {
        Pin::new(&mut self.body).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
