//! Relays an event stream to its caller, and resumes it at another upstream after a failure.

use std::rc::Rc;
use std::time::{Duration, Instant};

use http::header::CONTENT_TYPE;
use http::{HeaderMap, HeaderValue, Response, StatusCode};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use shallottide_types::id::UpstreamId;
use tokio::sync::mpsc;
use tokio::task::spawn_local;

use super::call::Call;
use super::connection::is_disconnect;
use super::node::Node;
use super::quarantine::Disconnect;
use super::relay::{PeerResponse, Relayed};
use super::response_body::{CallerLink, EventBody, EventChunk, ResponseBody, StreamCut};
use super::send::{OutgoingRequest, SendError, UpstreamResponse, send};
use crate::balance::NoPlace;
use crate::event_numbering::EventNumbering;
use crate::event_stream::{EventSplitter, WholeEvents};
use crate::stream_buffer::{CallerStalled, StreamBuffer};
use crate::upstream_links::LinkState;

/// Time for which a caller may read nothing while its stream's buffer is full and nothing is read from the
/// upstream. Upstreams cut off responses that stay unread for some seconds; a stream that was cut off so
/// would count as interrupted and be resumed elsewhere, where it stalls again.
const CALLER_READ_TIMEOUT: Duration = Duration::from_secs(2);
/// Stall timeout, as a multiple of the longest gap between events that the route accepts as on time.
const STALL_TIMEOUT_GAPS: u32 = 3;
/// Lower bound of the stall timeout.
const MIN_STALL_TIMEOUT: Duration = Duration::from_millis(700);

/// Result of waiting for the next events of an upstream's stream.
pub(super) enum NextEvents {
    /// One or more complete events.
    Events(WholeEvents),
    /// The stream ended after a complete event.
    End,
    /// The connection ended before the stream, or within an event of a stream that it ends.
    Disconnected,
    /// What arrived is no stream of events: the response is complete, and its source has not ended.
    Invalid,
    /// No event arrived within the timeout.
    TimedOut,
}

/// Waits for the next complete events.
pub(super) async fn next_events(
    source: &mut impl EventSource,
    splitter: &mut EventSplitter,
) -> NextEvents {
    loop {
        match source.body().frame().await {
            None => {
                return match splitter.take_last_comments() {
                    Some(comments) => NextEvents::Events(comments),
                    None if !splitter.has_part() => NextEvents::End,
                    None if source.ends_with_connection() => NextEvents::Disconnected,
                    None => NextEvents::Invalid,
                };
            }
            Some(Err(error)) if is_disconnect(&error) => return NextEvents::Disconnected,
            Some(Err(_)) => return NextEvents::Invalid,
            Some(Ok(frame)) => {
                let Ok(bytes) = frame.into_data() else {
                    continue;
                };
                source.record_received();
                if let Some(events) = splitter.push(&bytes) {
                    return NextEvents::Events(events);
                }
                if splitter.is_overlong() {
                    return NextEvents::Invalid;
                }
            }
        }
    }
}

/// Records a response that is no stream of events, which does not show that its upstream has ended.
pub(super) fn record_unreadable(node: &Node, request: &OutgoingRequest, upstream: &UpstreamId) {
    node.metrics.count("streams", "unreadable");
    tracing::warn!(call = %request.id, %upstream, "response is no stream of events");
    let loads = &mut node.state.borrow_mut().loads;
    loads.record_error_answer(upstream);
}

/// Why an interrupted stream did not resume.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
enum ResumeError {
    #[error("the route allows no other attempt")]
    NoAttemptLeft,
    #[error("the time of the call or its route is over")]
    DeadlineExceeded,
    #[error("no event had an id to resume after")]
    NoEventId,
    #[error("the retry budget is used up")]
    NoRetryLeft,
    #[error("the call or a part of its prompt is quarantined")]
    Quarantined,
    #[error("every other upstream is full or asked for no requests")]
    Full,
    #[error("no other upstream serves the call")]
    NoUpstream,
    #[error("this node has lost its links, and no other node resumed the stream")]
    NoPeer,
}

impl From<NoPlace> for ResumeError {
    fn from(no_place: NoPlace) -> Self {
        match no_place {
            NoPlace::Full | NoPlace::CoolingDown(_) => Self::Full,
            NoPlace::None => Self::NoUpstream,
        }
    }
}

/// Where a stream comes from.
pub(super) enum StreamSource {
    Upstream(Box<UpstreamResponse>),
    /// A peer, to which the call was relayed.
    Peer(Box<PeerResponse>),
}

impl StreamSource {
    fn headers(&self) -> &HeaderMap {
        match self {
            Self::Upstream(response) => response.inner.headers(),
            Self::Peer(response) => response.inner.headers(),
        }
    }
}

/// A response whose body is a stream of events.
pub(super) trait EventSource {
    fn body(&mut self) -> &mut Incoming;
    /// Records that a part of the body arrived.
    fn record_received(&mut self);
    /// Returns whether only the end of the connection ends the body.
    fn ends_with_connection(&self) -> bool;
}

impl EventSource for UpstreamResponse {
    fn body(&mut self) -> &mut Incoming {
        self.inner.body_mut()
    }

    fn record_received(&mut self) {
        self.pooled.connection().record_progress();
        self.wait.record_received();
    }

    fn ends_with_connection(&self) -> bool {
        self.ends_with_connection
    }
}

impl EventSource for StreamSource {
    fn body(&mut self) -> &mut Incoming {
        match self {
            Self::Upstream(response) => response.body(),
            Self::Peer(response) => response.inner.body_mut(),
        }
    }

    fn record_received(&mut self) {
        if let Self::Upstream(response) = self {
            response.record_received();
        }
    }

    fn ends_with_connection(&self) -> bool {
        // A peer's response says where it ends.
        matches!(self, Self::Upstream(response) if response.ends_with_connection)
    }
}

/// Relays one stream from its source to the caller.
pub(super) struct StreamRelay {
    call: Call,
    /// `None` while the stream is being resumed.
    source: Option<StreamSource>,
    /// Whether the loss of this node's links has interrupted the stream.
    has_seen_loss: bool,
    splitter: EventSplitter,
    /// Id of the last event that was sent to the caller.
    last_id: Option<u64>,
    /// What arrived already and was not sent to the caller yet.
    received: Option<NextEvents>,
    /// Whether the upstream was found silent since its last event.
    was_silent: bool,
    /// Id of the last event that came from an earlier upstream; `None` before the stream is resumed.
    resumed_after: Option<u64>,
    numbering: EventNumbering,
    headers: HeaderMap,
    /// Content type of the first upstream's response.
    content_type: Option<HeaderValue>,
    /// What the caller has not read yet.
    buffer: StreamBuffer,
    /// The caller's connection.
    link: Rc<CallerLink>,
}

impl StreamRelay {
    pub(super) fn new(
        call: Call,
        source: StreamSource,
        splitter: EventSplitter,
        first: WholeEvents,
    ) -> Self {
        let headers = call
            .node
            .platform
            .call_format
            .caller_headers(source.headers());
        let buffer = StreamBuffer::new(call.node.response_budget.clone());
        Self {
            buffer,
            link: Rc::default(),
            content_type: source.headers().get(CONTENT_TYPE).cloned(),
            call,
            source: Some(source),
            has_seen_loss: false,
            splitter,
            last_id: None,
            received: Some(NextEvents::Events(first)),
            was_silent: false,
            resumed_after: None,
            numbering: EventNumbering::default(),
            headers,
        }
    }
}

/// Starts the relay in a task of its own; returns the response that carries the stream.
pub(super) fn start(mut relay: StreamRelay) -> Response<ResponseBody> {
    // Bounded by the stream's buffer.
    let (tx, rx) = mpsc::unbounded_channel();
    let mut response = Response::new(ResponseBody::Events(EventBody {
        events: rx,
        node: relay.call.node.clone(),
        link: relay.link.clone(),
    }));
    *response.status_mut() = StatusCode::OK;
    *response.headers_mut() = std::mem::take(&mut relay.headers);
    spawn_local(async move { relay.run(tx).await });
    response
}

type Sender = mpsc::UnboundedSender<Result<EventChunk, StreamCut>>;

impl StreamRelay {
    async fn run(mut self, tx: Sender) {
        loop {
            let next = tokio::select! {
                next = self.next() => next,
                // Dropping the upstream's response closes its connection, which ends its work.
                () = tx.closed() => return,
            };
            match next {
                NextEvents::Events(events) => {
                    if !self.forward(events, &tx).await {
                        return;
                    }
                }
                NextEvents::End => {
                    self.finish();
                    return;
                }
                NextEvents::TimedOut if self.time_left().is_zero() => {
                    self.cut(ResumeError::DeadlineExceeded, &tx);
                    return;
                }
                NextEvents::TimedOut => {
                    tokio::select! {
                        () = self.replace_silent() => {}
                        () = tx.closed() => return,
                    }
                }
                NextEvents::Disconnected | NextEvents::Invalid => {
                    self.end_interrupted(&next).await;
                    let resumed = tokio::select! {
                        resumed = self.resume() => resumed,
                        () = tx.closed() => return,
                    };
                    match resumed {
                        Ok(source) => {
                            self.source = Some(source);
                            self.resumed_after = self.last_id;
                        }
                        Err(error) => {
                            self.cut(error, &tx);
                            return;
                        }
                    }
                }
            }
        }
    }

    /// Ends the caller's response before its last event.
    fn cut(&mut self, error: ResumeError, tx: &Sender) {
        // Ends the upstream's work while the caller may be slow to read.
        self.source = None;
        let (call, last) = (&self.call.request.id, self.last_id);
        tracing::info!(%call, last, why = %error, "stream cut");
        self.call.node.metrics.count("streams", "cut");
        self.call.log.set_outcome("cut", 200);
        // Sending fails only when the caller has disconnected.
        let _ = tx.send(Err(StreamCut));
    }

    /// Ends the response of a caller that does not read, and the upstream's work for it. What the caller
    /// has not read is dropped with its connection, so the response does not look complete.
    fn abandon(&mut self, error: CallerStalled, tx: &Sender) {
        self.source = None;
        let (call, last, node) = (&self.call.request.id, self.last_id, &self.call.node);
        let budget = &node.response_budget;
        tracing::info!(
            %call, last, why = %error, held_bytes = self.buffer.held(), used_bytes = budget.used(),
            limit_bytes = budget.limit(),
            waited_ms = u64::try_from(CALLER_READ_TIMEOUT.as_millis()).unwrap_or(u64::MAX),
            "stream cut"
        );
        node.metrics.count("streams", "caller_stalled");
        self.call.log.set_outcome("caller_stalled", 200);
        // Fails only when the caller has disconnected.
        let _ = tx.send(Err(StreamCut));
        self.link.abandon();
    }

    /// Waits for the next events; the ones that [`Self::replace_silent`] received come first.
    async fn next(&mut self) -> NextEvents {
        let next = match self.received.take() {
            Some(next) => next,
            None => self.wait_for_next().await,
        };
        if self.is_continued_by(&next, self.resumed_after) {
            return next;
        }
        self.record_invalid_continuation();
        NextEvents::Invalid
    }

    fn record_invalid_continuation(&self) {
        let call = &self.call.request.id;
        tracing::warn!(%call, last = self.last_id, "upstream did not continue the stream");
    }

    async fn wait_for_next(&mut self) -> NextEvents {
        let deadline = self.call.request.deadline;
        let stall_timeout = self.stall_timeout();
        let can_resume = self.call.can_resume();
        let now = self.call.node.now();
        let until = if can_resume {
            deadline.min(now + stall_timeout)
        } else {
            deadline
        };
        let Some(source) = &mut self.source else {
            return NextEvents::Disconnected;
        };
        // Once: a silent upstream is kept while no peer takes the stream over.
        let is_seen = self.has_seen_loss || matches!(source, StreamSource::Peer(_));
        let next = next_events(source, &mut self.splitter);
        let next = tokio::time::timeout_at(tokio::time::Instant::from_std(until), next);
        let (node, service) = (&self.call.node, &self.call.service);
        tokio::select! {
            biased;
            next = next => next.unwrap_or(NextEvents::TimedOut),
            () = node.wait_until_links_lost(service), if !is_seen && can_resume => {
                self.has_seen_loss = true;
                NextEvents::TimedOut
            }
        }
    }

    /// Returns whether what came next continues what the caller has; true unless the stream was resumed,
    /// after the event with id `resumed_after`.
    fn is_continued_by(&self, next: &NextEvents, resumed_after: Option<u64>) -> bool {
        let (Some(resumed_after), Some(last)) = (resumed_after, self.last_id) else {
            return true;
        };
        let has_events = last != resumed_after;
        match next {
            NextEvents::Events(events) => {
                (has_events || events.last_id.is_some())
                    && self.numbering.continues(last, events.text())
            }
            NextEvents::End => has_events,
            NextEvents::Disconnected | NextEvents::Invalid | NextEvents::TimedOut => true,
        }
    }

    /// Sends events to the caller; returns whether the relay can continue.
    async fn forward(&mut self, events: WholeEvents, tx: &Sender) -> bool {
        if let (Some(last), Some(first)) = (self.last_id, events.first_id)
            && first <= last
        {
            let call = &self.call.request.id;
            tracing::warn!(%call, last, first, "upstream repeated events: stream cut");
            self.call.log.set_outcome("cut", 200);
            let _ = tx.send(Err(StreamCut));
            return false;
        }
        self.was_silent = false;
        self.numbering.record(self.last_id, events.text());
        self.last_id = events.last_id.or(self.last_id);
        self.call.log.record_events();
        let now = self.call.node.now();
        if let Some(StreamSource::Upstream(response)) = &mut self.source {
            response.in_flight.record_stream_progress();
            response.first_event_at.get_or_insert(now);
        }
        let held = tokio::select! {
            held = self.buffer.hold(&events.bytes, CALLER_READ_TIMEOUT) => held,
            () = tx.closed() => return false,
        };
        let bytes = match held {
            Ok(bytes) => bytes,
            Err(error) => {
                self.abandon(error, tx);
                return false;
            }
        };
        let chunk = EventChunk {
            bytes,
            received_at: now,
        };
        tx.send(Ok(chunk)).is_ok()
    }

    fn finish(&mut self) {
        self.call.log.set_outcome("answered", 200);
        if let Some(StreamSource::Upstream(response)) = self.source.take() {
            let (service, request) = (&self.call.service, &self.call.request);
            self.call.node.record_answer(&response, service, request);
            let now = self.call.node.now();
            if let Some(model) = &self.call.model {
                let kind = (service.clone(), model.clone());
                let time = now.saturating_duration_since(response.sent_at);
                let mut state = self.call.node.state.borrow_mut();
                state.call_classes.record_residence(&kind, time);
            }
            let pool = &self.call.node.pool;
            pool.release(
                &response.in_flight.upstream,
                response.pooled,
                response.head.keep_alive,
                now,
            );
        }
    }

    /// Records why the stream ended early, and drops its source.
    async fn end_interrupted(&mut self, interruption: &NextEvents) {
        self.splitter = EventSplitter::resumed();
        let Some(source) = self.source.take() else {
            return;
        };
        self.record_end(source, interruption).await;
    }

    /// Records how a source ended, so that the stream is not resumed there.
    async fn record_end(&mut self, source: StreamSource, interruption: &NextEvents) {
        self.record_interruption(&source, interruption);
        match source {
            StreamSource::Upstream(response) => {
                let upstream = response.in_flight.upstream.clone();
                if matches!(interruption, NextEvents::Disconnected) {
                    let lifetime = response.in_flight.lifetime;
                    let first_event_at = response.first_event_at;
                    let sent_at = response.sent_at;
                    let verdict = response.wait.end_by_reset().await;
                    let disconnect = Disconnect {
                        first_event_at,
                        ..Disconnect::new(&upstream, lifetime, sent_at, verdict)
                    };
                    let (node, request) = (&self.call.node, &self.call.request);
                    node.record_disconnect(&disconnect, request);
                }
                self.call.tried.push(upstream);
            }
            StreamSource::Peer(response) => {
                self.call.tried_peers.push(response.peer().clone());
            }
        }
    }

    /// Excludes a source from those at which the stream is resumed.
    fn exclude(&mut self, source: &StreamSource) {
        match source {
            StreamSource::Upstream(response) => {
                let upstream = &response.in_flight.upstream;
                if !self.call.tried.contains(upstream) {
                    self.call.tried.push(upstream.clone());
                }
            }
            StreamSource::Peer(response) => {
                let peer = response.peer();
                if !self.call.tried_peers.contains(peer) {
                    self.call.tried_peers.push(peer.clone());
                }
            }
        }
    }

    fn record_interruption(&self, source: &StreamSource, interruption: &NextEvents) {
        let was_silent = matches!(interruption, NextEvents::TimedOut);
        let (call, last) = (&self.call.request.id, self.last_id);
        match source {
            StreamSource::Upstream(response) => {
                let upstream = &response.in_flight.upstream;
                tracing::info!(%call, %upstream, was_silent, last, "stream interrupted");
                if matches!(interruption, NextEvents::Invalid) {
                    record_unreadable(&self.call.node, &self.call.request, upstream);
                } else {
                    self.call.node.record_stall(upstream);
                }
            }
            StreamSource::Peer(response) => {
                let peer = response.peer();
                tracing::info!(%call, %peer, was_silent, last, "stream interrupted");
            }
        }
    }

    /// Seeks another upstream for the stream of a silent one, which is given up only for events of the
    /// other: it may be sound, and no other may have a place.
    async fn replace_silent(&mut self) {
        let Some(mut silent) = self.source.take() else {
            return;
        };
        let mut splitter = std::mem::take(&mut self.splitter);
        if !std::mem::replace(&mut self.was_silent, true) {
            self.record_interruption(&silent, &NextEvents::TimedOut);
        }
        self.exclude(&silent);
        let upstream = match &silent {
            StreamSource::Upstream(response) => Some(response.in_flight.upstream.clone()),
            StreamSource::Peer(_) => None,
        };
        let deadline = tokio::time::Instant::from_std(self.call.request.deadline);
        let mut end = None;
        let replaced = {
            let replacement = self.resume_with_events();
            tokio::pin!(replacement);
            loop {
                tokio::select! {
                    biased;
                    next = next_events(&mut silent, &mut splitter), if end.is_none() => {
                        let is_continued = matches!(next, NextEvents::Events(_) | NextEvents::End);
                        end = Some(next);
                        // The replacement may still succeed when the silent upstream breaks off.
                        if is_continued {
                            break None;
                        }
                    }
                    replaced = &mut replacement => break Some(replaced),
                    () = tokio::time::sleep_until(deadline) => {
                        end.get_or_insert(NextEvents::TimedOut);
                        break None;
                    }
                }
            }
        };
        if matches!(replaced, Some(Ok(()))) {
            if let Some(end) = end {
                self.record_end(silent, &end).await;
            }
            return;
        }
        let (call, id) = (
            &self.call.request.id,
            upstream.as_ref().map(UpstreamId::as_str),
        );
        if let Some(Err(error)) = replaced {
            tracing::info!(%call, upstream = id, why = %error, "silent upstream kept");
        }
        if matches!(end, Some(NextEvents::Events(_))) {
            tracing::info!(%call, upstream = id, "silent stream continued");
        }
        if upstream.is_some() {
            self.call.log.upstream = upstream;
        }
        self.received = end;
        self.source = Some(silent);
        self.splitter = splitter;
    }

    /// Resumes the stream at another upstream and waits for its first events.
    async fn resume_with_events(&mut self) -> Result<(), ResumeError> {
        loop {
            let mut source = self.resume().await?;
            let mut splitter = EventSplitter::resumed();
            let next = next_events(&mut source, &mut splitter);
            let mut next = if self.call.can_resume() {
                let next = tokio::time::timeout(self.stall_timeout(), next).await;
                next.unwrap_or(NextEvents::TimedOut)
            } else {
                next.await
            };
            if !self.is_continued_by(&next, self.last_id) {
                self.record_invalid_continuation();
                next = NextEvents::Invalid;
            }
            self.source = Some(source);
            if matches!(next, NextEvents::Events(_)) {
                self.received = Some(next);
                self.splitter = splitter;
                self.resumed_after = self.last_id;
                return Ok(());
            }
            self.end_interrupted(&next).await;
        }
    }

    /// Sends the call to another upstream, to continue after the last event that was sent to the caller.
    async fn resume(&mut self) -> Result<StreamSource, ResumeError> {
        let mut has_retry = false;
        while self.call.can_resume() {
            if self.time_left().is_zero() {
                return Err(ResumeError::DeadlineExceeded);
            }
            if self.last_id.is_none() {
                return Err(ResumeError::NoEventId);
            }
            if !has_retry && !self.call.take_retry() {
                return Err(ResumeError::NoRetryLeft);
            }
            if self.call.is_to_be_relayed()
                && let Some(source) = self.resume_at_peer().await?
            {
                return Ok(source);
            }
            if self.call.pass_quarantine().await.is_err() {
                self.call.return_retry();
                return Err(ResumeError::Quarantined);
            }
            let (choice, in_flight) = match self.call.select_upstream().await {
                Ok(selected) => selected,
                Err(no_place) => {
                    self.call.return_retry();
                    return Err(no_place.into());
                }
            };
            self.call.attempts += 1;
            self.call.log.attempts += 1;
            let node = Rc::clone(&self.call.node);
            let sending = send(&node, &self.call.request, &choice, in_flight, self.last_id);
            let deadline = tokio::time::Instant::from_std(self.call.request.deadline);
            let result = tokio::time::timeout_at(deadline, sending).await;
            has_retry = matches!(result, Ok(Err(SendError::NotSent)));
            if has_retry {
                self.call.attempts -= 1;
                self.call.unsent_attempts += 1;
            }
            if let Ok(Ok(response)) = result
                && self.is_same_stream(&response.inner)
            {
                let mut response = response;
                response.in_flight.record_stream_start();
                let call = &self.call.request.id;
                tracing::info!(%call, upstream = %choice.upstream, from = self.last_id, "stream resumed");
                self.call.node.metrics.count("streams", "resumed");
                self.call.log.upstream = Some(choice.upstream.clone());
                return Ok(StreamSource::Upstream(Box::new(response)));
            }
            self.call.tried.push(choice.upstream.clone());
        }
        Err(ResumeError::NoAttemptLeft)
    }

    /// Relays the call; returns `None` if no peer took it and this node's own links may serve it.
    async fn resume_at_peer(&mut self) -> Result<Option<StreamSource>, ResumeError> {
        match self.call.relay(self.last_id).await {
            Relayed::Taken(response) if self.is_same_stream(&response.inner) => {
                let (call, peer) = (&self.call.request.id, response.peer());
                tracing::info!(%call, %peer, from = self.last_id, "stream resumed");
                self.call.node.metrics.count("streams", "resumed");
                Ok(Some(StreamSource::Peer(response)))
            }
            Relayed::Taken(_) | Relayed::Lost => Err(ResumeError::NoPeer),
            Relayed::NoPeer => {
                let is_lost = self.call.node.link_state(&self.call.service) == LinkState::Lost;
                if is_lost {
                    return Err(ResumeError::NoPeer);
                }
                Ok(None)
            }
        }
    }

    /// Returns whether a response's head is that of a stream which may continue this one.
    fn is_same_stream(&self, response: &Response<Incoming>) -> bool {
        let (status, headers) = (response.status(), response.headers());
        let call_format = &self.call.node.platform.call_format;
        status == StatusCode::OK
            && call_format.read_answer(status, headers).genuine
            && headers.get(CONTENT_TYPE) == self.content_type.as_ref()
    }

    /// Returns the time without an event after which an upstream counts as silent.
    fn stall_timeout(&self) -> Duration {
        (self.call.route.longest_gap * STALL_TIMEOUT_GAPS).max(MIN_STALL_TIMEOUT)
    }

    fn time_left(&self) -> Duration {
        let now: Instant = self.call.node.now();
        self.call.request.deadline.saturating_duration_since(now)
    }
}
