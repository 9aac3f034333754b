//! Relays an event stream to its caller, and resumes it at another upstream after a failure.

use std::rc::Rc;
use std::time::{Duration, Instant};

use http::header::CONTENT_TYPE;
use http::{HeaderMap, HeaderValue, Response, StatusCode};
use http_body_util::BodyExt;
use tokio::sync::mpsc;
use tokio::task::spawn_local;

use super::call::Call;
use super::connection::is_disconnect;
use super::response_body::{EventChunk, ResponseBody, StreamCut};
use super::send::{UpstreamResponse, send};
use crate::event_numbering::EventNumbering;
use crate::event_stream::{EventSplitter, WholeEvents};

/// Chunks buffered for a slow caller before backpressure reaches the upstream.
const MAX_BUFFERED_CHUNKS: usize = 32;
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
    /// The stream ended within an event, or its connection before the stream.
    Disconnected,
    /// What arrived is no stream of events.
    Invalid,
    /// No event arrived within the timeout.
    TimedOut,
}

/// Waits for the next complete events.
pub(super) async fn next_events(
    response: &mut UpstreamResponse,
    splitter: &mut EventSplitter,
) -> NextEvents {
    loop {
        match response.inner.body_mut().frame().await {
            None => {
                return match splitter.take_last_comments() {
                    Some(comments) => NextEvents::Events(comments),
                    None if splitter.has_part() => NextEvents::Disconnected,
                    None => NextEvents::End,
                };
            }
            Some(Err(error)) if is_disconnect(&error) => return NextEvents::Disconnected,
            Some(Err(_)) => return NextEvents::Invalid,
            Some(Ok(frame)) => {
                let Ok(bytes) = frame.into_data() else {
                    continue;
                };
                response.pooled.connection().record_progress();
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

/// Relays one stream from its upstream to the caller.
pub(super) struct StreamRelay {
    call: Call,
    /// `None` while the stream is being resumed.
    response: Option<UpstreamResponse>,
    splitter: EventSplitter,
    /// Id of the last event that was sent to the caller.
    last_id: Option<u64>,
    /// Id of the last event that came from an earlier upstream; `None` before the stream is resumed.
    resumed_after: Option<u64>,
    numbering: EventNumbering,
    /// Events that arrived before the relay started.
    first: Option<WholeEvents>,
    headers: HeaderMap,
    /// Content type of the first upstream's response.
    content_type: Option<HeaderValue>,
}

impl StreamRelay {
    pub(super) fn new(
        call: Call,
        response: UpstreamResponse,
        splitter: EventSplitter,
        first: WholeEvents,
    ) -> Self {
        let headers = call
            .node
            .platform
            .call_format
            .caller_headers(response.inner.headers());
        Self {
            content_type: response.inner.headers().get(CONTENT_TYPE).cloned(),
            call,
            response: Some(response),
            splitter,
            last_id: None,
            resumed_after: None,
            numbering: EventNumbering::default(),
            first: Some(first),
            headers,
        }
    }
}

/// Starts the relay in a task of its own; returns the response that carries the stream.
pub(super) fn start(mut relay: StreamRelay) -> Response<ResponseBody> {
    let (tx, rx) = mpsc::channel(MAX_BUFFERED_CHUNKS);
    let mut response = Response::new(ResponseBody::Events(rx, relay.call.node.clone()));
    *response.status_mut() = StatusCode::OK;
    *response.headers_mut() = std::mem::take(&mut relay.headers);
    spawn_local(async move { relay.run(tx).await });
    response
}

type Sender = mpsc::Sender<Result<EventChunk, StreamCut>>;

impl StreamRelay {
    async fn run(mut self, tx: Sender) {
        if let Some(first) = self.first.take()
            && !self.forward(first, &tx).await
        {
            return;
        }
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
                NextEvents::Disconnected | NextEvents::Invalid | NextEvents::TimedOut => {
                    let resumed = tokio::select! {
                        resumed = self.resume(&next) => resumed,
                        () = tx.closed() => return,
                    };
                    if !resumed {
                        self.call.log.set_outcome("cut", 200);
                        // Sending fails only when the caller has disconnected.
                        let _ = tx.send(Err(StreamCut)).await;
                        return;
                    }
                }
            }
        }
    }

    async fn next(&mut self) -> NextEvents {
        let deadline = self.call.request.deadline;
        let stall_timeout =
            (self.call.route.longest_gap * STALL_TIMEOUT_GAPS).max(MIN_STALL_TIMEOUT);
        let can_resume = self.call.can_resume();
        let now = self.call.node.now();
        let until = if can_resume {
            deadline.min(now + stall_timeout)
        } else {
            deadline
        };
        let Some(response) = &mut self.response else {
            return NextEvents::Disconnected;
        };
        let next = next_events(response, &mut self.splitter);
        let next = tokio::time::timeout_at(tokio::time::Instant::from_std(until), next)
            .await
            .unwrap_or(NextEvents::TimedOut);
        if self.is_continued_by(&next) {
            return next;
        }
        let call = &self.call.request.id;
        tracing::warn!(%call, last = self.last_id, "upstream did not continue the stream");
        NextEvents::Invalid
    }

    /// Returns whether what came next, if the stream was resumed, continues what its caller has.
    fn is_continued_by(&self, next: &NextEvents) -> bool {
        let (Some(resumed_after), Some(last)) = (self.resumed_after, self.last_id) else {
            return true;
        };
        let has_events = last != resumed_after;
        match next {
            NextEvents::Events(events) => {
                (has_events || events.last_id.is_some())
                    && self.numbering.continues(last, &events.bytes)
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
            let _ = tx.send(Err(StreamCut)).await;
            return false;
        }
        self.numbering.record(self.last_id, &events.bytes);
        self.last_id = events.last_id.or(self.last_id);
        self.call.log.record_events();
        let now = self.call.node.now();
        if let Some(response) = &mut self.response {
            response.in_flight.record_stream_progress();
            response.first_event_at.get_or_insert(now);
        }
        let chunk = EventChunk {
            bytes: events.bytes,
            received_at: now,
        };
        tx.send(Ok(chunk)).await.is_ok()
    }

    fn finish(&mut self) {
        self.call.log.set_outcome("answered", 200);
        if let Some(response) = self.response.take() {
            let (service, request) = (&self.call.service, &self.call.request);
            self.call.node.record_answer(&response, service, request);
            let now = self.call.node.now();
            let pool = &self.call.node.pool;
            pool.release(
                &response.in_flight.upstream,
                response.pooled,
                response.head.keep_alive,
                now,
            );
        }
    }

    /// Resumes the stream at another upstream, after the last event that was sent to the caller.
    async fn resume(&mut self, interruption: &NextEvents) -> bool {
        if let Some(response) = self.response.take() {
            let call = &self.call.request.id;
            let upstream = &response.in_flight.upstream;
            tracing::info!(%call, %upstream, was_silent = matches!(interruption, NextEvents::TimedOut), last = self.last_id, "stream interrupted");
            self.call.node.record_stall(upstream);
            if matches!(interruption, NextEvents::Disconnected) {
                let (node, lifetime) = (&self.call.node, response.in_flight.lifetime);
                let first_event_at = response.first_event_at;
                node.record_disconnect(upstream, lifetime, &self.call.request, first_event_at);
            }
            self.call.tried.push(upstream.clone());
        }
        self.splitter = EventSplitter::default();
        while self.call.can_resume() && self.time_left() > Duration::ZERO {
            if self.last_id.is_none() || !self.call.take_retry() {
                return false;
            }
            if self.call.pass_quarantine().await.is_err() {
                return false;
            }
            let Ok((choice, in_flight)) = self.call.select_upstream().await else {
                return false;
            };
            self.call.attempts += 1;
            self.call.log.attempts += 1;
            let node = Rc::clone(&self.call.node);
            let sending = send(&node, &self.call.request, &choice, in_flight, self.last_id);
            let deadline = tokio::time::Instant::from_std(self.call.request.deadline);
            let result = tokio::time::timeout_at(deadline, sending).await;
            if let Ok(Ok(response)) = result
                && self.is_same_stream(&response)
            {
                let mut response = response;
                response.in_flight.record_stream_start();
                let call = &self.call.request.id;
                tracing::info!(%call, upstream = %choice.upstream, from = self.last_id, "stream resumed");
                self.call.node.metrics.count("streams", "resumed");
                self.call.log.upstream = Some(choice.upstream.clone());
                self.response = Some(response);
                self.resumed_after = self.last_id;
                return true;
            }
            self.call.tried.push(choice.upstream.clone());
        }
        false
    }

    /// Returns whether a response's head is that of a stream which may continue this one.
    fn is_same_stream(&self, response: &UpstreamResponse) -> bool {
        response.inner.status() == StatusCode::OK
            && response.head.genuine
            && response.inner.headers().get(CONTENT_TYPE) == self.content_type.as_ref()
    }

    fn time_left(&self) -> Duration {
        let now: Instant = self.call.node.now();
        self.call.request.deadline.saturating_duration_since(now)
    }
}
