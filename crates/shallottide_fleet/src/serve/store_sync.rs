//! Follows the platform's store and keeps this node's lease there.

use std::rc::Rc;
use std::time::Duration;

use super::delta_feed::Following;
use super::node::Node;
use crate::border::{Changes, Lease, StoreError};
use crate::lease_validity::boot_time;
use crate::watch_pause::watch_pause;

/// Longest wait for changes in one call.
const WAIT: Duration = Duration::from_secs(2);
/// The same for a steward: its followers take what is a second old for stale.
const FOLLOWED_WAIT: Duration = Duration::from_millis(500);
/// Time beyond the wait after which an answer is given up.
const ANSWER_SLACK: Duration = Duration::from_millis(700);
/// First and longest pause after a failed call.
const RETRY: (Duration, Duration) = (Duration::from_millis(150), Duration::from_millis(900));
/// Length of a node's lease, if the store grants it.
const LEASE: Duration = Duration::from_millis(1_800);
/// Renewals within one lease.
const RENEWALS: u32 = 4;
/// Longest wait for the answer to a renewal, and for each step of taking a lease.
const LEASE_ANSWER: Duration = Duration::from_millis(600);
/// Pause before a lease is taken again.
const LEASE_RETRY: Duration = Duration::from_millis(200);

/// Follows the store for ever, itself or through the node that reads it for the domain.
pub(super) async fn follow(node: Rc<Node>) {
    let mut listed = false;
    let mut pause = RETRY.0;
    let mut following = Following::default();
    loop {
        if let Some(reader) = following.reader(&node).filter(|_| listed) {
            following.next(&node, reader).await;
            continue;
        }
        let result = if listed {
            changes(&node).await
        } else {
            list(&node).await
        };
        match result {
            Ok(()) => {
                listed = true;
                pause = RETRY.0;
                tokio::time::sleep(pause_between(&node)).await;
            }
            Err(error) => {
                failed(&node, &error);
                if error == StoreError::HistoryUnavailable {
                    listed = false;
                } else {
                    tokio::time::sleep(pause.mul_f64(0.5 + rand::random::<f64>())).await;
                    pause = (pause * 2).min(RETRY.1);
                }
            }
        }
    }
}

fn pause_between(node: &Node) -> Duration {
    let state = node.state.borrow();
    let is_controller = state.view.is_controller(&node.options.node);
    watch_pause(state.nodes(), node.options.store_reads, is_controller)
}

async fn list(node: &Node) -> Result<(), StoreError> {
    let listing = limited(WAIT, node.borders.store.list()).await?;
    heard(node);
    let now = node.now();
    let upstreams = {
        let state = &mut *node.state.borrow_mut();
        if listing.index >= state.view.index {
            state.view.replace(listing.index, listing.changes, now);
        }
        state.view.upstreams.len()
    };
    node.view_changed();
    tracing::info!(index = %listing.index, upstreams, "store listed");
    Ok(())
}

async fn changes(node: &Node) -> Result<(), StoreError> {
    let (after, wait) = {
        let view = &node.state.borrow().view;
        let is_followed = view.is_controller(&node.options.node);
        (view.index, if is_followed { FOLLOWED_WAIT } else { WAIT })
    };
    let waited = node.borders.store.changes(after, wait);
    let Changes { index, changes } = limited(wait + ANSWER_SLACK, waited).await?;
    heard(node);
    let now = node.now();
    let is_changed = !changes.is_empty();
    {
        let state = &mut *node.state.borrow_mut();
        // A peer's view may have been newer meanwhile.
        if state.view.index == after {
            state.view.advance(index, changes, now);
        }
        state.view.expire(now);
    }
    if is_changed {
        node.view_changed();
    }
    Ok(())
}

async fn limited<T>(
    time: Duration,
    call: impl Future<Output = Result<T, StoreError>>,
) -> Result<T, StoreError> {
    tokio::time::timeout(time, call)
        .await
        .unwrap_or_else(|_| Err(StoreError::NoAnswer("timed out".into())))
}

fn heard(node: &Node) {
    let now = node.now();
    let mut state = node.state.borrow_mut();
    let was_lost = state.view.store_lost;
    state.view.store_lost = false;
    state.store_heard = Some(now);
    if was_lost {
        tracing::info!(index = %state.view.index, "store regained");
    }
}

fn failed(node: &Node, error: &StoreError) {
    let now = node.now();
    let mut state = node.state.borrow_mut();
    node.metrics.count("store_failures", "follow");
    state.view.store_failed(now);
    if !state.view.store_lost {
        state.view.store_lost = true;
        tracing::warn!(%error, index = %state.view.index, "store lost");
    }
}

/// Keeps a lease and this node's entry on it, until the node closes.
pub(super) async fn keep_lease(node: Rc<Node>) {
    let store = &node.borders.store;
    let ttl = LEASE.max(node.options.min_lease);
    let mut lease: Option<Lease> = None;
    loop {
        let sent = boot_time();
        let result = match lease {
            None => match limited(LEASE_ANSWER, store.grant(ttl)).await {
                Ok(granted) => {
                    let entry = store.put_node(granted, &node.options.node, node.options.peers);
                    limited(LEASE_ANSWER, entry).await.map(|()| granted)
                }
                Err(error) => Err(error),
            },
            Some(held) => limited(LEASE_ANSWER, store.renew(held)).await,
        };
        lease = note_lease(&node, lease, sent, result);
        let pause = lease.map_or(LEASE_RETRY, |lease| lease.ttl / RENEWALS);
        tokio::time::sleep(pause).await;
        if node.is_stopping() {
            if let Some(held) = lease {
                give_up(&node, held).await;
            }
            return;
        }
    }
}

/// Ends the lease, so that other nodes take over what hangs on it at once.
async fn give_up(node: &Node, lease: Lease) {
    {
        let mut state = node.state.borrow_mut();
        state.lease.ended();
        state.lease_held = None;
    }
    match limited(LEASE_ANSWER, node.borders.store.end(lease)).await {
        Ok(()) => tracing::info!(lease = lease.id, "lease given up"),
        Err(error) => {
            tracing::warn!(lease = lease.id, %error, "lease not given up: it ends by itself");
        }
    }
}

/// Takes in the outcome of a renewal; returns the lease that is held now.
fn note_lease(
    node: &Node,
    held: Option<Lease>,
    sent: Duration,
    result: Result<Lease, StoreError>,
) -> Option<Lease> {
    let mut state = node.state.borrow_mut();
    let lease = match result {
        Ok(renewed) => {
            if held.is_none() {
                tracing::info!(lease = renewed.id, "lease taken");
            }
            state.lease.renewed(sent, renewed.ttl);
            Some(renewed)
        }
        Err(error) => {
            node.metrics.count("store_failures", "lease");
            let is_over = error == StoreError::LeaseEnded || held.is_none();
            if is_over {
                tracing::warn!(%error, "no lease");
                state.lease.ended();
            }
            held.filter(|_| !is_over)
        }
    };
    state.lease_held = lease;
    lease
}
