//! Passes a stream on to its caller, and goes on with it at another upstream when one fails.

use std::rc::Rc;
use std::time::{Duration, Instant};

use http::{HeaderMap, Response, StatusCode};
use http_body_util::BodyExt;
use tokio::sync::mpsc;
use tokio::task::spawn_local;

use super::call::Call;
use super::reply_body::{Cut, Part, ReplyBody};
use super::send::{Answer, send};
use crate::event_stream::{EventSplitter, WholeEvents};

/// Parts that wait for a slow caller before the upstream has to wait.
const PARTS_HELD: usize = 32;
/// Pause between events, in the longest that is on time, after which an upstream is left.
const STALL_GAPS: u32 = 3;
/// Shortest pause between events after which an upstream is left.
const MIN_STALL: Duration = Duration::from_millis(700);

/// What comes next in an upstream's stream.
pub(super) enum Next {
    /// One or more whole events.
    Events(WholeEvents),
    /// The stream is over, with nothing left of an event.
    End,
    /// The stream was cut.
    Broken,
    /// Nothing came in time.
    Silent,
}

/// Waits for the next whole events.
pub(super) async fn next_events(answer: &mut Answer, splitter: &mut EventSplitter) -> Next {
    loop {
        match answer.response.body_mut().frame().await {
            None if splitter.has_part() => return Next::Broken,
            None => return Next::End,
            Some(Err(_)) => return Next::Broken,
            Some(Ok(frame)) => {
                let Ok(bytes) = frame.into_data() else {
                    continue;
                };
                if let Some(events) = splitter.push(&bytes) {
                    return Next::Events(events);
                }
                if splitter.is_overlong() {
                    return Next::Broken;
                }
            }
        }
    }
}

/// A stream on its way to the caller.
pub(super) struct Relay {
    call: Call,
    answer: Option<Answer>,
    splitter: EventSplitter,
    /// The last event that went to the caller.
    last_id: Option<u64>,
    first: Option<WholeEvents>,
    headers: HeaderMap,
}

impl Relay {
    pub(super) fn new(
        call: Call,
        answer: Answer,
        splitter: EventSplitter,
        first: WholeEvents,
    ) -> Self {
        let headers = call
            .node
            .borders
            .calls
            .caller_headers(answer.response.headers());
        Self {
            call,
            answer: Some(answer),
            splitter,
            last_id: None,
            first: Some(first),
            headers,
        }
    }
}

/// Starts passing a stream on; returns the answer that carries it.
pub(super) fn start(mut relay: Relay) -> Response<ReplyBody> {
    let (tx, rx) = mpsc::channel(PARTS_HELD);
    let mut response = Response::new(ReplyBody::Parts(rx, relay.call.node.clone()));
    *response.status_mut() = StatusCode::OK;
    *response.headers_mut() = std::mem::take(&mut relay.headers);
    spawn_local(async move { relay.run(tx).await });
    response
}

type Sender = mpsc::Sender<Result<Part, Cut>>;

impl Relay {
    async fn run(mut self, tx: Sender) {
        if let Some(first) = self.first.take()
            && !self.deliver(first, &tx).await
        {
            return;
        }
        loop {
            let next = tokio::select! {
                next = self.next() => next,
                // Dropping the answer closes its connection, which ends the upstream's work.
                () = tx.closed() => return,
            };
            match next {
                Next::Events(events) => {
                    if !self.deliver(events, &tx).await {
                        return;
                    }
                }
                Next::End => {
                    self.finish();
                    return;
                }
                Next::Broken | Next::Silent => {
                    let resumed = tokio::select! {
                        resumed = self.resume(matches!(next, Next::Silent)) => resumed,
                        () = tx.closed() => return,
                    };
                    if !resumed {
                        self.call.log.ends("cut", 200);
                        // The caller is gone if this can't be told.
                        let _ = tx.send(Err(Cut)).await;
                        return;
                    }
                }
            }
        }
    }

    async fn next(&mut self) -> Next {
        let deadline = self.call.outgoing.deadline;
        let stall = (self.call.route.longest_gap * STALL_GAPS).max(MIN_STALL);
        let moves = self.call.may_resume();
        let now = self.call.node.now();
        let until = if moves {
            deadline.min(now + stall)
        } else {
            deadline
        };
        let Some(answer) = &mut self.answer else {
            return Next::Broken;
        };
        let next = next_events(answer, &mut self.splitter);
        tokio::time::timeout_at(tokio::time::Instant::from_std(until), next)
            .await
            .unwrap_or(Next::Silent)
    }

    /// Passes events on; returns whether the caller is still there.
    async fn deliver(&mut self, events: WholeEvents, tx: &Sender) -> bool {
        if let (Some(last), Some(first)) = (self.last_id, events.first_id)
            && first <= last
        {
            let call = &self.call.outgoing.id;
            tracing::warn!(%call, last, first, "events repeated by the upstream: stream cut");
            self.call.log.ends("cut", 200);
            let _ = tx.send(Err(Cut)).await;
            return false;
        }
        self.last_id = events.last_id.or(self.last_id);
        self.call.log.events_passed();
        if let Some(answer) = &self.answer {
            answer.work.record_stream_progress();
        }
        let part = Part {
            bytes: events.bytes,
            taken: self.call.node.now(),
        };
        tx.send(Ok(part)).await.is_ok()
    }

    fn finish(&mut self) {
        self.call.log.ends("answered", 200);
        if let Some(answer) = self.answer.take() {
            let now = self.call.node.now();
            let pool = &self.call.node.pool;
            pool.give_back(
                &answer.work.upstream,
                answer.lent,
                answer.head.keep_alive,
                now,
            );
        }
    }

    /// Goes on with the stream at another upstream, after the last event that was passed on.
    async fn resume(&mut self, was_silent: bool) -> bool {
        if let Some(answer) = self.answer.take() {
            let call = &self.call.outgoing.id;
            let upstream = &answer.work.upstream;
            tracing::info!(%call, %upstream, was_silent, last = self.last_id, "stream broke off");
            self.call.node.upstream_stalled(upstream);
            self.call.tried.push(upstream.clone());
        }
        self.splitter = EventSplitter::default();
        while self.call.may_resume() && self.time_left() > Duration::ZERO {
            if self.last_id.is_none() || !self.call.take_repeat() {
                return false;
            }
            let Ok((choice, work)) = self.call.place().await else {
                return false;
            };
            self.call.attempts += 1;
            self.call.log.attempts += 1;
            let node = Rc::clone(&self.call.node);
            let sending = send(&node, &self.call.outgoing, &choice, work, self.last_id);
            let deadline = tokio::time::Instant::from_std(self.call.outgoing.deadline);
            let sent = tokio::time::timeout_at(deadline, sending).await;
            if let Ok(Ok(answer)) = sent
                && answer.response.status() == StatusCode::OK
            {
                let mut answer = answer;
                answer.work.record_stream_start();
                let call = &self.call.outgoing.id;
                tracing::info!(%call, upstream = %choice.upstream, from = self.last_id, "stream resumed");
                self.call.node.metrics.count("streams", "resumed");
                self.call.log.upstream = Some(choice.upstream.clone());
                self.answer = Some(answer);
                return true;
            }
            self.call.tried.push(choice.upstream.clone());
        }
        false
    }

    fn time_left(&self) -> Duration {
        let now: Instant = self.call.node.now();
        self.call.outgoing.deadline.saturating_duration_since(now)
    }
}
