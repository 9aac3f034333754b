//! Follows the node that reads the store for a failure domain, and feeds those that follow this one.
//!
//! The steward of a domain reads the store for all of its nodes. A node that hears nothing fresh
//! from it reads the store itself.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use shallottide_types::id::StoreIndex;

use super::node::Node;
use super::peers::{AskError, PeerLink, encode};
use crate::view::{Change, Snapshot};

/// Path before the revision that a follower is at.
const PATH: &str = "/changes/";
/// Longest time for which an answer waits for a change.
const HOLD: Duration = Duration::from_millis(400);
/// Time beyond the hold after which an answer is given up.
const ANSWER_SLACK: Duration = Duration::from_millis(300);
/// Age of the reader's word from the store past which it is no longer followed; with the times
/// above, a change is in force within the two seconds that the platform allows.
const STALE: Duration = Duration::from_secs(1);
/// Time for which a node reads the store itself after its reader failed.
const READ_ALONE: Duration = Duration::from_secs(3);

/// What a follower lacks.
#[derive(Debug, Serialize, Deserialize)]
struct Delta {
    /// The store's revision that it brings a follower to.
    index: StoreIndex,
    /// How long ago the sender heard from the store, itself or through another.
    store_age: Duration,
    /// How long ago a call of the sender to the store failed.
    trouble_age: Option<Duration>,
    /// The sender's whole view instead of changes.
    is_whole: bool,
    /// The changes in order.
    changes: Vec<Change>,
}

/// Returns the revision that a request asks for changes after.
pub(super) fn wanted(path: &str) -> Option<StoreIndex> {
    path.strip_prefix(PATH)?.parse().ok().map(StoreIndex)
}

/// Waits for news, and returns what a follower at a revision lacks.
pub(super) async fn delta(node: &Node, after: StoreIndex) -> Bytes {
    let end = tokio::time::Instant::now() + HOLD;
    loop {
        let changed = node.changed.notified();
        // A follower that is told at once that this node is out of date reads the store sooner.
        if node.state.borrow().view.has_updates(after) || store_age(node) > STALE {
            break;
        }
        if tokio::time::timeout_at(end, changed).await.is_err() {
            break;
        }
    }
    encode(&current(node, after))
}

fn store_age(node: &Node) -> Duration {
    let heard = node.state.borrow().store_heard;
    heard.map_or(Duration::MAX, |at| node.now().saturating_duration_since(at))
}

fn current(node: &Node, after: StoreIndex) -> Delta {
    let now = node.now();
    let state = node.state.borrow();
    let age = |at: Instant| now.saturating_duration_since(at);
    let changes = state.view.changes_since(after);
    let is_whole = changes.is_none();
    let whole = || state.view.snapshot(Duration::ZERO, now).changes;
    Delta {
        index: state.view.index,
        store_age: store_age(node),
        trouble_age: state.view.last_store_failure.map(age),
        is_whole,
        changes: changes.unwrap_or_else(whole),
    }
}

/// Why the reader of a domain is not followed any more.
#[derive(Debug, thiserror::Error)]
pub(super) enum FollowError {
    #[error(transparent)]
    Ask(#[from] AskError),
    #[error("no answer in time")]
    Late,
    #[error("it has not heard from the store for {0:?}")]
    Stale(Duration),
}

/// What a node keeps of the node that it follows.
#[derive(Default)]
pub(super) struct Following {
    link: Option<PeerLink>,
    /// Until when this node reads the store itself.
    alone_until: Option<Instant>,
}

impl Following {
    /// Returns the node to follow: the steward of this node's domain, unless it failed lately.
    ///
    /// A steward of any domain needs the heartbeats of its engines, so it reads the store itself.
    pub(super) fn reader(&self, node: &Node) -> Option<SocketAddr> {
        if self.alone_until.is_some_and(|until| node.now() < until) {
            return None;
        }
        let view = &node.state.borrow().view;
        if view.is_controller(&node.options.node) {
            return None;
        }
        let claim = view.controllers.get(&node.options.domain)?;
        view.nodes.get(&claim.holder)?.parse().ok()
    }

    /// Takes in the next changes from the reader.
    pub(super) async fn next(&mut self, node: &Node, reader: SocketAddr) {
        let is_new = self.link.as_ref().is_none_or(|l| l.peer() != reader);
        match self.ask(node, reader).await {
            Ok(delta) => {
                if is_new {
                    let index = delta.index;
                    tracing::info!(peer = %reader, %index, "peer followed");
                }
                node.metrics.count("deltas", "taken");
                take_in(node, delta);
            }
            Err(error) => {
                self.link = None;
                let wait = READ_ALONE.mul_f64(0.8 + 0.4 * rand::random::<f64>());
                self.alone_until = Some(node.now() + wait);
                node.metrics.count("deltas", "failed");
                let index = node.state.borrow().view.index;
                tracing::info!(peer = %reader, %error, %index, "peer not followed: the store is read here");
            }
        }
    }

    async fn ask(&mut self, node: &Node, reader: SocketAddr) -> Result<Delta, FollowError> {
        let path = format!("{PATH}{}", node.state.borrow().view.index);
        let asked = async {
            let mut link = match self.link.take().filter(|link| link.peer() == reader) {
                Some(link) => link,
                None => PeerLink::open(reader).await?,
            };
            let delta: Delta = link.ask(&path).await?;
            self.link = Some(link);
            Ok::<_, AskError>(delta)
        };
        let delta = tokio::time::timeout(HOLD + ANSWER_SLACK, asked)
            .await
            .map_err(|_| FollowError::Late)??;
        if delta.store_age > STALE {
            return Err(FollowError::Stale(delta.store_age));
        }
        Ok(delta)
    }
}

fn take_in(node: &Node, delta: Delta) {
    let now = node.now();
    let heard = now.checked_sub(delta.store_age).unwrap_or(now);
    let is_changed = {
        let state = &mut *node.state.borrow_mut();
        let trouble = delta.trouble_age.and_then(|age| now.checked_sub(age));
        state.view.last_store_failure = state.view.last_store_failure.max(trouble);
        state.store_heard = state.store_heard.max(Some(heard));
        if state.view.store_lost {
            state.view.store_lost = false;
            tracing::info!(index = %delta.index, "store regained through a peer");
        }
        let is_changed = !delta.changes.is_empty();
        if delta.is_whole {
            let snapshot = Snapshot {
                index: delta.index,
                age: delta.store_age,
                changes: delta.changes,
            };
            state.view.adopt(snapshot, now);
        } else {
            state.view.advance(delta.index, delta.changes, now);
        }
        state.view.confirm(heard);
        state.view.expire(now);
        is_changed
    };
    if is_changed {
        node.view_changed();
    }
}
