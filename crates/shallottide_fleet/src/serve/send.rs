//! One send of a call to one upstream.

use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use compact_str::CompactString;
use http::{HeaderMap, Method, Request, Response, Uri};
use http_body_util::Full;
use hyper::body::Incoming;
use shallottide_types::id::UpstreamId;

use super::connection::HttpError;
use super::node::Node;
use super::pool::Lent;
use crate::balance::Choice;
use crate::border::{AnswerHead, SendHead, Verdict};
use crate::upstream::Upstream;

/// Time for which an upstream is left alone that said it is full.
const FULL_PAUSE: Duration = Duration::from_millis(150);
/// Time for which a head is left alone that blamed a member.
const FAULT_PAUSE: Duration = Duration::from_secs(2);

/// A call as it is sent on.
pub(super) struct Outgoing {
    pub(super) id: CompactString,
    pub(super) method: Method,
    pub(super) uri: Uri,
    pub(super) headers: HeaderMap,
    pub(super) body: Bytes,
    pub(super) team: Option<CompactString>,
    pub(super) urgency: u8,
    pub(super) deadline: Instant,
}

/// Counts one request at an upstream until dropped.
pub(super) struct Work {
    node: Rc<Node>,
    pub(super) upstream: UpstreamId,
    is_stream: bool,
}

impl Work {
    /// Counts a request at the chosen upstream; the caller holds the state.
    pub(super) fn begin(node: &Rc<Node>, upstream: UpstreamId) -> Self {
        Self {
            node: node.clone(),
            upstream,
            is_stream: false,
        }
    }

    /// Notes that the answer is a stream, and that it has begun.
    pub(super) fn record_stream_start(&mut self) {
        self.is_stream = true;
        let now = self.node.now();
        let mut state = self.node.state.borrow_mut();
        state.loads.record_stream_start(&self.upstream, now);
    }

    /// Notes that the stream went on.
    pub(super) fn record_stream_progress(&self) {
        let now = self.node.now();
        let mut state = self.node.state.borrow_mut();
        state.loads.record_stream_progress(&self.upstream, now);
    }
}

impl Drop for Work {
    fn drop(&mut self) {
        let mut state = self.node.state.borrow_mut();
        if self.is_stream {
            state.loads.record_stream_end(&self.upstream);
        }
        state.loads.ended(&self.upstream);
        drop(state);
        self.node.wake_waiting();
    }
}

/// An answer whose head has come.
pub(super) struct Answer {
    pub(super) response: Response<Incoming>,
    pub(super) head: AnswerHead,
    pub(super) lent: Lent,
    pub(super) work: Work,
    pub(super) sent: Instant,
}

/// Why a send gave no answer to deliver.
pub(super) enum SendFailure {
    /// Nothing was sent.
    NotSent,
    /// The upstream says that it did not run the call.
    NotRun,
    /// Another upstream has the address.
    Misdirected,
    /// The call may have run.
    Lost(&'static str),
}

/// Sends a call; `work` was counted when the upstream was chosen.
pub(super) async fn send(
    node: &Rc<Node>,
    call: &Outgoing,
    choice: &Choice,
    work: Work,
    resume_from: Option<u64>,
) -> Result<Answer, SendFailure> {
    let Some(upstream) = upstream_of(node, &choice.upstream) else {
        return Err(SendFailure::NotSent);
    };
    let kept = node.pool.take(&upstream.id, node.now());
    let was_kept = kept.is_some();
    let first = match kept {
        Some(lent) => send_on(node, call, &upstream, lent, resume_from).await,
        None => send_on_new(node, call, &upstream, resume_from).await,
    };
    let sent = match first {
        Err(HttpError::NotSent) if was_kept => {
            send_on_new(node, call, &upstream, resume_from).await
        }
        other => other,
    };
    let now = node.now();
    let (response, lent, sent) = match sent {
        Ok(sent) => sent,
        Err(error) => {
            tracing::info!(
                call = %call.id, upstream = %upstream.id, %error, was_kept, "send failed"
            );
            node.state
                .borrow_mut()
                .loads
                .record_failure(&upstream.id, now);
            note_suspect(node, &upstream);
            return Err(if error.was_not_sent() {
                SendFailure::NotSent
            } else {
                SendFailure::Lost("the connection ended")
            });
        }
    };
    let head = node.read_answer(&response);
    if let Some(load) = head.load {
        node.state
            .borrow_mut()
            .loads
            .record_reported_load(&upstream.id, load, now);
    }
    if head.id.as_ref().is_some_and(|id| *id != call.id) {
        tracing::warn!(
            call = %call.id, upstream = %upstream.id, answered = head.id.as_deref(),
            "answer to another call dropped"
        );
        return Err(SendFailure::Lost("the answer was another call's"));
    }
    if head.verdict != Verdict::MayHaveRun {
        return Err(turned_away(
            node, call, &upstream, &head, response, lent, now,
        ));
    }
    Ok(Answer {
        response,
        head,
        lent,
        work,
        sent,
    })
}

fn turned_away(
    node: &Rc<Node>,
    call: &Outgoing,
    upstream: &Upstream,
    head: &AnswerHead,
    response: Response<Incoming>,
    lent: Lent,
    now: Instant,
) -> SendFailure {
    let status = response.status();
    tracing::info!(
        call = %call.id, upstream = %upstream.id, status = status.as_u16(),
        at_fault = head.at_fault.as_ref().map(UpstreamId::as_str), "not run"
    );
    let misdirected = head.verdict == Verdict::Misdirected;
    let pause = if misdirected || head.at_fault.is_some() {
        note_suspect(node, upstream);
        FAULT_PAUSE
    } else {
        FULL_PAUSE
    };
    node.state
        .borrow_mut()
        .loads
        .back_off_until(&upstream.id, now + pause);
    let node = node.clone();
    let (id, keep_alive) = (upstream.id.clone(), head.keep_alive);
    tokio::task::spawn_local(async move {
        // The connection is kept if the rest of the refusal is as short as it should be.
        let body = super::connection::read_body(response.into_body(), 4096);
        if tokio::time::timeout(FULL_PAUSE, body)
            .await
            .is_ok_and(|read| read.is_ok())
        {
            node.pool.give_back(&id, lent, keep_alive, node.now());
        }
    });
    if misdirected {
        SendFailure::Misdirected
    } else {
        SendFailure::NotRun
    }
}

type Sent = (Response<Incoming>, Lent, Instant);

async fn send_on_new(
    node: &Rc<Node>,
    call: &Outgoing,
    upstream: &Upstream,
    resume_from: Option<u64>,
) -> Result<Sent, HttpError> {
    let time = call.deadline.saturating_duration_since(node.now());
    let lent = node.pool.open(upstream, time).await?;
    send_on(node, call, upstream, lent, resume_from).await
}

async fn send_on(
    node: &Rc<Node>,
    call: &Outgoing,
    upstream: &Upstream,
    mut lent: Lent,
    resume_from: Option<u64>,
) -> Result<Sent, HttpError> {
    let now = node.now();
    let time_left = call.deadline.saturating_duration_since(now);
    if time_left.is_zero() {
        return Err(HttpError::NotSent);
    }
    let head = SendHead {
        upstream: &upstream.id,
        team: call.team.as_deref(),
        time_left,
        urgency: call.urgency,
        resume_from,
    };
    let mut request = Request::new(Full::new(call.body.clone()));
    *request.method_mut() = call.method.clone();
    *request.uri_mut() = call.uri.clone();
    *request.headers_mut() = node.borders.calls.upstream_headers(&call.headers, &head);
    let response = lent.connection().send(request).await?;
    Ok((response, lent, now))
}

fn upstream_of(node: &Node, id: &UpstreamId) -> Option<Upstream> {
    let state = node.state.borrow();
    state
        .view
        .upstreams
        .get(id)
        .map(|known| known.upstream.clone())
}

/// Tells the stewards that an upstream stalls or fails.
pub(super) fn note_suspect(node: &Node, upstream: &Upstream) {
    if upstream.fabric.is_some() {
        let now = node.now();
        node.state
            .borrow_mut()
            .suspects
            .insert(upstream.id.clone(), now);
        node.changed.notify_waiters();
    }
}

impl Node {
    fn read_answer(&self, response: &Response<Incoming>) -> AnswerHead {
        self.borders
            .calls
            .read_answer(response.status(), response.headers())
    }

    /// Notes that an upstream fell silent in the middle of its work.
    pub(super) fn upstream_stalled(&self, id: &UpstreamId) {
        let now = self.now();
        self.state.borrow_mut().loads.record_failure(id, now);
        let known = self.state.borrow().view.upstreams.get(id).cloned();
        if let Some(known) = known {
            note_suspect(self, &known.upstream);
        }
    }
}
