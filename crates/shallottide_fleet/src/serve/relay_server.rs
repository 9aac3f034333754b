//! Takes calls that peers relay to this node.

use std::rc::Rc;
use std::time::Duration;

use compact_str::{CompactString, format_compact};
use http::{HeaderName, HeaderValue, Request, Response, StatusCode};
use hyper::body::{Body, Incoming};
use shallottide_types::refusal::Ran;

use super::call::{self, AttemptsMade, Refused};
use super::connection::{BodyLimits, HttpError, read_body};
use super::node::Node;
use super::relay::{ATTEMPTS, CALL, OUTCOME, RelayHead, RelayOutcome};
use super::response_body::ResponseBody;
use crate::catalog::CallerLimits;
use crate::upstream_links::LinkState;

/// Longest time for the body of a relayed call to arrive.
const READ_TIMEOUT: Duration = Duration::from_secs(1);
/// Largest head of a relayed call beyond that of the caller's request, in bytes.
const MAX_HEAD_BYTES: usize = 64 << 10;

/// Counts a relayed call as in flight until dropped.
pub(super) struct RelayedGuard {
    node: Rc<Node>,
}

impl RelayedGuard {
    /// Returns `None` when the node has enough calls.
    fn try_begin(node: &Rc<Node>) -> Option<Self> {
        let state = &mut *node.state.borrow_mut();
        let in_flight = u32::try_from(state.in_flight).unwrap_or(u32::MAX);
        let own = in_flight.saturating_sub(state.relay_limit.in_flight());
        let is_accepted = state.relay_limit.try_begin(own, node.options.capacity);
        is_accepted.then(|| Self { node: node.clone() })
    }
}

impl Drop for RelayedGuard {
    fn drop(&mut self) {
        self.node.state.borrow_mut().relay_limit.end();
    }
}

/// Handles a relayed call and returns its response.
pub(super) async fn respond(node: &Rc<Node>, request: Request<Incoming>) -> Response<ResponseBody> {
    let limits = {
        let state = node.state.borrow();
        let catalog = state.view.catalog.as_ref();
        catalog.map_or_else(CallerLimits::default, |catalog| catalog.limits.clone())
    };
    let max_bytes = limits.body_bytes + limits.head_bytes + MAX_HEAD_BYTES;
    let (parts, mut body) = request.into_parts();
    let body_limits = BodyLimits::new(max_bytes, &node.body_budget);
    let read = read_body(&mut body, &body_limits, || {});
    let read = tokio::time::timeout(READ_TIMEOUT, read).await;
    // Nodes that don't state the id take the call as one that may have run.
    let id = parts.headers.get(CALL).and_then(|id| id.to_str().ok());
    if let (Some(id), Ok(Err(HttpError::OutOfBudget))) = (id, &read) {
        let length = body.size_hint().exact().and_then(|n| n.try_into().ok());
        node.record_out_of_memory("relayed", id, &node.body_budget, length);
        node.metrics.count("relayed", RelayOutcome::Busy.as_str());
        return mark(empty(), RelayOutcome::Busy, id, 0);
    }
    let call = read.ok().and_then(Result::ok).and_then(RelayHead::decode);
    let Some((head, body)) = call else {
        tracing::warn!("could not read relayed call");
        return mark(empty(), RelayOutcome::Busy, "", 0);
    };
    let (id, attempts) = (head.id.clone(), head.attempts);
    let decline = |outcome: RelayOutcome| {
        node.metrics.count("relayed", outcome.as_str());
        mark(empty(), outcome, &id, attempts)
    };
    let allows_own = {
        let links = &node.state.borrow().links;
        links.allows_own(&head.service, node.now(), rand::random())
    };
    if !allows_own {
        return decline(RelayOutcome::CutOff);
    }
    let guard = (!node.is_stopping()).then(|| RelayedGuard::try_begin(node));
    let Some(guard) = guard.flatten() else {
        return decline(RelayOutcome::Busy);
    };
    let service = head.service.clone();
    tracing::info!(call = %id, from = %head.from, "relayed call accepted");
    node.metrics.count("relayed", "accepted");
    let Some(response) = call::handle_relayed(node, head, body, guard).await else {
        return decline(RelayOutcome::Busy);
    };
    let refused = response.extensions().get::<Refused>().copied();
    let made = response.extensions().get::<AttemptsMade>();
    let made = made.map_or(attempts, |made| made.0);
    match refused {
        Some(Refused(Ran::No)) if node.link_state(&service) == LinkState::Lost => {
            decline(RelayOutcome::CutOff)
        }
        Some(_) => mark(response, RelayOutcome::Refused, &id, made),
        None => mark(response, RelayOutcome::Answered, &id, made),
    }
}

fn empty() -> Response<ResponseBody> {
    let mut response = Response::new(ResponseBody::Complete(None));
    *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
    response
}

/// Adds the headers that the peer reads.
fn mark(
    mut response: Response<ResponseBody>,
    outcome: RelayOutcome,
    id: &str,
    attempts: u32,
) -> Response<ResponseBody> {
    let mut set = |name: HeaderName, value: CompactString| {
        // A call's id was a header's value before.
        if let Ok(value) = HeaderValue::from_str(&value) {
            response.headers_mut().insert(name, value);
        }
    };
    set(OUTCOME, outcome.as_str().into());
    set(CALL, id.into());
    set(ATTEMPTS, format_compact!("{attempts}"));
    response
}
