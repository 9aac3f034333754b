//! Replicates view changes between the nodes of a failure domain, to reduce the load on the store.
//!
//! The controller of a domain reads the store, and the domain's other nodes follow it by long polls,
//! over a tree of relays. A node that gets no answer, or old data, follows the controller directly and
//! then reads the store itself.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use shallottide_types::id::StoreIndex;

use super::node::Node;
use super::peers::{PeerConnection, PeerError, encode};
use crate::feed_tree::{FollowPolicy, Parent, max_store_age};
use crate::view::{Change, Snapshot};

/// Path prefix of a long poll; followed by the store revision that the follower has.
const PATH: &str = "/changes/";
/// Longest time for which a long poll waits for a change.
const LONG_POLL_WAIT: Duration = Duration::from_millis(400);
/// Time beyond the long poll's wait after which a follower stops waiting for the response.
const RESPONSE_MARGIN: Duration = Duration::from_millis(300);
/// Time for which an encoded delta is shared between followers; their data counts as newer by up to
/// this.
const ENCODING_LIFETIME: Duration = Duration::from_millis(30);

/// The last delta that was sent, for followers at the same revision.
pub(super) struct EncodedDelta {
    after: StoreIndex,
    index: StoreIndex,
    encoded_at: Instant,
    bytes: Bytes,
}

/// The changes that a follower lacks.
#[derive(Debug, Serialize, Deserialize)]
struct Delta {
    /// Store revision of the follower's view once the delta is applied.
    index: StoreIndex,
    /// Age of the sender's last store contact, direct or through another node.
    store_age: Duration,
    /// Age of the sender's last failed store call.
    store_failure_age: Option<Duration>,
    /// Whether `changes` hold the sender's complete view.
    is_full: bool,
    /// Changes in the order in which they apply.
    changes: Vec<Change>,
}

/// Parses the path of a long poll; returns the revision that the follower has.
pub(super) fn requested_revision(path: &str) -> Option<StoreIndex> {
    path.strip_prefix(PATH)?.parse().ok()
}

/// Waits for changes after a follower's revision, at most for the long poll's wait, and returns the
/// encoded delta.
pub(super) async fn wait_for_delta(node: &Node, after: StoreIndex) -> Bytes {
    let end = tokio::time::Instant::now() + LONG_POLL_WAIT;
    loop {
        let changed = node.changed.notified();
        // An immediate answer from a stale node lets the follower read the store sooner.
        let is_stale = store_age(node) > max_store_age(node.options.apply_bound, u32::MAX);
        if node.state.borrow().view.has_updates(after) || is_stale {
            break;
        }
        if tokio::time::timeout_at(end, changed).await.is_err() {
            break;
        }
    }
    encoded_delta(node, after)
}

/// Encodes the delta, once for all followers that are at the same revision.
fn encoded_delta(node: &Node, after: StoreIndex) -> Bytes {
    let now = node.now();
    let index = node.state.borrow().view.index;
    let mut last = node.last_delta.borrow_mut();
    if let Some(delta) = &*last
        && (delta.after, delta.index) == (after, index)
        && now.saturating_duration_since(delta.encoded_at) < ENCODING_LIFETIME
    {
        return delta.bytes.clone();
    }
    let bytes = encode(&delta_since(node, after));
    *last = Some(EncodedDelta {
        after,
        index,
        encoded_at: now,
        bytes: bytes.clone(),
    });
    bytes
}

fn store_age(node: &Node) -> Duration {
    let contact = node.state.borrow().last_store_contact;
    contact.map_or(Duration::MAX, |at| node.now().saturating_duration_since(at))
}

fn delta_since(node: &Node, after: StoreIndex) -> Delta {
    let now = node.now();
    let state = node.state.borrow();
    let age = |at: Instant| now.saturating_duration_since(at);
    let changes = state.view.changes_since(after);
    let is_full = changes.is_none();
    let full_view = || state.view.snapshot(Duration::ZERO, now).changes;
    Delta {
        index: state.view.index,
        store_age: store_age(node),
        store_failure_age: state.view.last_store_failure.map(age),
        is_full,
        changes: changes.unwrap_or_else(full_view),
    }
}

/// Why a node stops following its source.
#[derive(Debug, thiserror::Error)]
pub(super) enum FollowError {
    #[error(transparent)]
    Peer(#[from] PeerError),
    #[error("no response within the long poll's timeout")]
    Timeout,
    #[error("peer's last store contact was {0:?} ago")]
    Stale(Duration),
    #[error("peer's configuration needs no keys, which only the store can confirm")]
    OpensRoutes,
}

/// The following side of the feed: its connection, and which nodes it avoids.
#[derive(Default)]
pub(super) struct DeltaFollower {
    connection: Option<PeerConnection>,
    policy: FollowPolicy,
}

impl DeltaFollower {
    /// Returns the node to follow with the address of its peer interface, or `None` if this node
    /// reads the store itself.
    pub(super) fn source(&self, node: &Node) -> Option<(Parent, SocketAddr)> {
        let view = &node.state.borrow().view;
        let options = &node.options;
        let parent = self
            .policy
            .source(view, &options.domain, &options.node, node.now())?;
        let address = view.nodes.get(&parent.node)?.peers;
        Some((parent, address))
    }

    /// Fetches the next delta from the source and applies it; avoids the source after a failure.
    pub(super) async fn fetch_next(&mut self, node: &Node, source: Parent, address: SocketAddr) {
        let is_new = self.connection.as_ref().is_none_or(|c| c.peer() != address);
        let max_age = max_store_age(node.options.apply_bound, source.level);
        match self.fetch(node, address, max_age).await {
            Ok(delta) => {
                if is_new {
                    let index = delta.index;
                    tracing::info!(peer = %source.node, level = source.level, %index, "peer followed");
                }
                node.metrics.count("deltas", "taken");
                apply_delta(node, delta);
            }
            Err(error) => {
                self.connection = None;
                node.metrics.count("deltas", "failed");
                let index = node.state.borrow().view.index;
                tracing::info!(peer = %source.node, level = source.level, %error, %index, "could not follow peer");
                let jitter = 0.8 + 0.4 * rand::random::<f64>();
                self.policy.record_failure(source.node, jitter, node.now());
            }
        }
    }

    async fn fetch(
        &mut self,
        node: &Node,
        source: SocketAddr,
        max_age: Duration,
    ) -> Result<Delta, FollowError> {
        let path = format!("{PATH}{}", node.state.borrow().view.index);
        let request = async {
            let mut connection = match self
                .connection
                .take()
                .filter(|connection| connection.peer() == source)
            {
                Some(connection) => connection,
                None => PeerConnection::open(source).await?,
            };
            let delta: Delta = connection.fetch(&path).await?;
            self.connection = Some(connection);
            Ok::<_, PeerError>(delta)
        };
        let delta = tokio::time::timeout(LONG_POLL_WAIT + RESPONSE_MARGIN, request)
            .await
            .map_err(|_| FollowError::Timeout)??;
        if delta.store_age > max_age {
            return Err(FollowError::Stale(delta.store_age));
        }
        if node.state.borrow().view.opens_routes(&delta.changes) {
            return Err(FollowError::OpensRoutes);
        }
        Ok(delta)
    }
}

fn apply_delta(node: &Node, delta: Delta) {
    let now = node.now();
    let store_contact = now.checked_sub(delta.store_age).unwrap_or(now);
    let is_changed = {
        let state = &mut *node.state.borrow_mut();
        let store_failure = delta.store_failure_age.and_then(|age| now.checked_sub(age));
        state.view.last_store_failure = state.view.last_store_failure.max(store_failure);
        state.last_store_contact = state.last_store_contact.max(Some(store_contact));
        if state.view.store_lost {
            state.view.store_lost = false;
            tracing::info!(index = %delta.index, "store reachable again through a peer");
        }
        let is_changed = !delta.changes.is_empty();
        let index = delta.index;
        if delta.is_full {
            let snapshot = Snapshot {
                index: delta.index,
                age: delta.store_age,
                changes: delta.changes,
            };
            state.view.adopt(snapshot, now);
        } else {
            state.view.advance(delta.index, delta.changes, now);
        }
        // A node that is behind has not seen the entries that this one knows.
        if state.view.index == index {
            state.view.confirm(store_contact);
        }
        state.view.expire(now);
        is_changed
    };
    if is_changed {
        node.publish_view_change();
    }
}
