//! Relays an event stream to its caller, and resumes it at another upstream after a failure.

use std::rc::Rc;
use std::time::{Duration, Instant};

use http::header::CONTENT_TYPE;
use http::{HeaderMap, HeaderValue, Response, StatusCode};
use http_body_util::BodyExt;
use shallottide_types::id::UpstreamId;
use tokio::sync::mpsc;
use tokio::task::spawn_local;

use super::call::Call;
use super::connection::is_disconnect;
use super::response_body::{EventChunk, ResponseBody, StreamCut};
use super::send::{UpstreamResponse, send};
use crate::balance::NoPlace;
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
}

impl From<NoPlace> for ResumeError {
    fn from(no_place: NoPlace) -> Self {
        match no_place {
            NoPlace::Full | NoPlace::CoolingDown(_) => Self::Full,
            NoPlace::None => Self::NoUpstream,
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
                    self.cut(ResumeError::DeadlineExceeded, &tx).await;
                    return;
                }
                NextEvents::TimedOut => {
                    tokio::select! {
                        () = self.replace_silent() => {}
                        () = tx.closed() => return,
                    }
                }
                NextEvents::Disconnected | NextEvents::Invalid => {
                    self.end_interrupted(&next);
                    let resumed = tokio::select! {
                        resumed = self.resume() => resumed,
                        () = tx.closed() => return,
                    };
                    match resumed {
                        Ok(response) => {
                            self.response = Some(response);
                            self.resumed_after = self.last_id;
                        }
                        Err(error) => {
                            self.cut(error, &tx).await;
                            return;
                        }
                    }
                }
            }
        }
    }

    /// Ends the caller's response before its last event.
    async fn cut(&mut self, error: ResumeError, tx: &Sender) {
        // Ends the upstream's work while the caller may be slow to read.
        self.response = None;
        let (call, last) = (&self.call.request.id, self.last_id);
        tracing::info!(%call, last, why = %error, "stream cut");
        self.call.node.metrics.count("streams", "cut");
        self.call.log.set_outcome("cut", 200);
        // Sending fails only when the caller has disconnected.
        let _ = tx.send(Err(StreamCut)).await;
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
        let Some(response) = &mut self.response else {
            return NextEvents::Disconnected;
        };
        let next = next_events(response, &mut self.splitter);
        tokio::time::timeout_at(tokio::time::Instant::from_std(until), next)
            .await
            .unwrap_or(NextEvents::TimedOut)
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
        self.was_silent = false;
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

    /// Records why the upstream's stream ended, and drops its response.
    fn end_interrupted(&mut self, interruption: &NextEvents) {
        let Some(response) = self.response.take() else {
            return;
        };
        self.record_end(&response, interruption);
        self.call.tried.push(response.in_flight.upstream.clone());
        self.splitter = EventSplitter::default();
    }

    fn record_end(&self, response: &UpstreamResponse, interruption: &NextEvents) {
        let upstream = &response.in_flight.upstream;
        self.record_interruption(upstream, matches!(interruption, NextEvents::TimedOut));
        if matches!(interruption, NextEvents::Disconnected) {
            let (node, lifetime) = (&self.call.node, response.in_flight.lifetime);
            let first_event_at = response.first_event_at;
            node.record_disconnect(upstream, lifetime, &self.call.request, first_event_at);
        }
    }

    fn record_interruption(&self, upstream: &UpstreamId, was_silent: bool) {
        let call = &self.call.request.id;
        tracing::info!(%call, %upstream, was_silent, last = self.last_id, "stream interrupted");
        self.call.node.record_stall(upstream);
    }

    /// Seeks another upstream for the stream of a silent one, which is given up only for events of the
    /// other: it may be sound, and no other may have a place.
    async fn replace_silent(&mut self) {
        let Some(mut silent) = self.response.take() else {
            return;
        };
        let mut splitter = std::mem::take(&mut self.splitter);
        let upstream = silent.in_flight.upstream.clone();
        if !std::mem::replace(&mut self.was_silent, true) {
            self.record_interruption(&upstream, true);
        }
        if !self.call.tried.contains(&upstream) {
            self.call.tried.push(upstream.clone());
        }
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
                self.record_end(&silent, &end);
            }
            return;
        }
        let call = &self.call.request.id;
        if let Some(Err(error)) = replaced {
            tracing::info!(%call, %upstream, why = %error, "silent upstream kept");
        }
        if matches!(end, Some(NextEvents::Events(_))) {
            tracing::info!(%call, %upstream, "silent stream continued");
        }
        self.call.log.upstream = Some(upstream);
        self.received = end;
        self.response = Some(silent);
        self.splitter = splitter;
    }

    /// Resumes the stream at another upstream and waits for its first events.
    async fn resume_with_events(&mut self) -> Result<(), ResumeError> {
        loop {
            let mut response = self.resume().await?;
            let mut splitter = EventSplitter::default();
            let next = next_events(&mut response, &mut splitter);
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
            self.response = Some(response);
            if matches!(next, NextEvents::Events(_)) {
                self.received = Some(next);
                self.splitter = splitter;
                self.resumed_after = self.last_id;
                return Ok(());
            }
            self.end_interrupted(&next);
        }
    }

    /// Sends the call to another upstream, to go on after the last event that was sent to the caller.
    async fn resume(&mut self) -> Result<UpstreamResponse, ResumeError> {
        while self.call.can_resume() {
            if self.time_left().is_zero() {
                return Err(ResumeError::DeadlineExceeded);
            }
            if self.last_id.is_none() {
                return Err(ResumeError::NoEventId);
            }
            if !self.call.take_retry() {
                return Err(ResumeError::NoRetryLeft);
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
            if let Ok(Ok(response)) = result
                && self.is_same_stream(&response)
            {
                let mut response = response;
                response.in_flight.record_stream_start();
                let call = &self.call.request.id;
                tracing::info!(%call, upstream = %choice.upstream, from = self.last_id, "stream resumed");
                self.call.node.metrics.count("streams", "resumed");
                self.call.log.upstream = Some(choice.upstream.clone());
                return Ok(response);
            }
            self.call.tried.push(choice.upstream.clone());
        }
        Err(ResumeError::NoAttemptLeft)
    }

    /// Returns whether a response's head is that of a stream which may continue this one.
    fn is_same_stream(&self, response: &UpstreamResponse) -> bool {
        response.inner.status() == StatusCode::OK
            && response.head.genuine
            && response.inner.headers().get(CONTENT_TYPE) == self.content_type.as_ref()
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
