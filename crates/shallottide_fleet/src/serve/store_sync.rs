//! Keeps the view in sync with the platform's store, and keeps this node's lease.

use std::rc::Rc;
use std::time::{Duration, Instant};

use shallottide_types::id::StoreIndex;

use super::delta_feed::DeltaFollower;
use super::node::Node;
use crate::adapter::{Changes, Lease, StoreError};
use crate::lease_term::{fits, is_duty_term, lease_ttl, renewal_interval};
use crate::lease_validity::{LeaseValidity, boot_time};
use crate::watch_pause::watch_pause;

/// Longest wait for changes in one watch call.
const WATCH_WAIT: Duration = Duration::from_secs(2);
/// Longest wait in a controller's watch call; its followers treat data older than a second as stale.
const CONTROLLER_WATCH_WAIT: Duration = Duration::from_millis(500);
/// Time beyond a watch call's wait after which it times out.
const WATCH_TIMEOUT_MARGIN: Duration = Duration::from_millis(700);
/// First and longest back-off after a failed call.
const BACKOFF_RANGE: (Duration, Duration) =
    (Duration::from_millis(150), Duration::from_millis(900));
/// Timeout of a renewal, and of each call that acquires a lease.
const LEASE_CALL_TIMEOUT: Duration = Duration::from_millis(600);
/// Delay before a lost lease is acquired again.
const LEASE_RETRY_DELAY: Duration = Duration::from_millis(200);
/// Time within which a node learns of its own entry; one that is missing later is written again.
const ENTRY_DELAY: Duration = Duration::from_secs(2);
/// Time over which nodes spread the writes of their entries after a restore, for each node; two
/// writes each stay within half of the writes that a store allows.
const REJOIN_SPREAD_PER_NODE: Duration = Duration::from_millis(10);
const MAX_REJOIN_SPREAD: Duration = Duration::from_secs(4);
/// Interval at which a node checks whether its lease time still fits its duties, and longest delay of
/// a renewal after a failed one.
const LEASE_CHECK_INTERVAL: Duration = Duration::from_millis(400);

/// Keeps the view up to date, from the store or through the controller of the node's domain.
pub(super) async fn follow(node: Rc<Node>) {
    let mut is_listed = false;
    let mut backoff = BACKOFF_RANGE.0;
    let mut follower = DeltaFollower::default();
    loop {
        if let Some((source, address)) = follower.source(&node).filter(|_| is_listed) {
            follower.fetch_next(&node, source, address).await;
            continue;
        }
        let result = if is_listed {
            watch_changes(&node).await
        } else {
            load_listing(&node).await
        };
        match result {
            Ok(()) => {
                is_listed = true;
                backoff = BACKOFF_RANGE.0;
                tokio::time::sleep(watch_delay(&node)).await;
            }
            Err(error) => {
                record_store_failure(&node, &error);
                if matches!(error, StoreError::HistoryUnavailable | StoreError::Restored) {
                    is_listed = false;
                } else {
                    tokio::time::sleep(backoff.mul_f64(0.5 + rand::random::<f64>())).await;
                    backoff = (backoff * 2).min(BACKOFF_RANGE.1);
                }
            }
        }
    }
}

fn watch_delay(node: &Node) -> Duration {
    let state = node.state.borrow();
    let is_controller = state.view.is_controller(&node.options.node);
    watch_pause(state.node_count(), node.options.store_reads, is_controller)
}

async fn load_listing(node: &Node) -> Result<(), StoreError> {
    let known = node.state.borrow().view.index;
    let listing = with_timeout(WATCH_WAIT, node.platform.store.list()).await?;
    if listing.index < known {
        return Err(StoreError::OlderState(listing.index));
    }
    record_store_contact(node);
    let now = node.now();
    let upstreams = {
        let state = &mut *node.state.borrow_mut();
        // A newer view may have been adopted from a peer during the call.
        if listing.index >= state.view.index {
            state.view.replace(listing.index, listing.changes, now);
        }
        state.view.upstreams.len()
    };
    node.publish_view_change();
    tracing::info!(index = %listing.index, upstreams, "store listed");
    Ok(())
}

async fn watch_changes(node: &Node) -> Result<(), StoreError> {
    let (after, wait) = {
        let view = &node.state.borrow().view;
        let is_controller = view.is_controller(&node.options.node);
        (
            view.index,
            if is_controller {
                CONTROLLER_WATCH_WAIT
            } else {
                WATCH_WAIT
            },
        )
    };
    let watch = node.platform.store.changes(after, wait);
    let Changes { index, changes } = with_timeout(wait + WATCH_TIMEOUT_MARGIN, watch).await?;
    record_store_contact(node);
    let now = node.now();
    let is_changed = !changes.is_empty();
    {
        let state = &mut *node.state.borrow_mut();
        // A newer view may have been adopted from a peer during the call.
        if state.view.index == after {
            state.view.advance(index, changes, now);
        }
        state.view.expire(now);
    }
    if is_changed {
        node.publish_view_change();
    }
    Ok(())
}

async fn with_timeout<T>(
    timeout: Duration,
    call: impl Future<Output = Result<T, StoreError>>,
) -> Result<T, StoreError> {
    tokio::time::timeout(timeout, call)
        .await
        .unwrap_or_else(|_| Err(StoreError::NoAnswer("timed out".into())))
}

fn record_store_contact(node: &Node) {
    let now = node.now();
    let mut state = node.state.borrow_mut();
    let was_lost = state.view.store_lost;
    state.view.store_lost = false;
    state.last_store_contact = Some(now);
    if was_lost {
        tracing::info!(index = %state.view.index, "store reachable again");
    }
}

fn record_store_failure(node: &Node, error: &StoreError) {
    let now = node.now();
    let mut state = node.state.borrow_mut();
    node.metrics.count("store_failures", "follow");
    state.view.store_failed(now);
    if !state.view.store_lost {
        state.view.store_lost = true;
        tracing::warn!(%error, index = %state.view.index, "store unreachable");
    }
}

/// Holds a lease with this node's entry attached, until the node stops.
pub(super) async fn keep_lease(node: Rc<Node>) {
    let store = &node.platform.store;
    let mut lease: Option<Lease> = None;
    let mut entry = OwnEntry::default();
    loop {
        if lease.is_some_and(|held| !is_of_current_era(&node, held)) {
            tokio::time::sleep(rejoin_delay(&node)).await;
        }
        if let Some(held) = lease
            && gives_up_claims(&node)
        {
            tracing::info!("claims given up: this node reaches no engines");
            release_lease(&node, held).await;
            lease = None;
        }
        let sent_at = boot_time();
        let ttl = lease_ttl(&node.state.borrow().view, &node.options);
        let is_kept = |held: &Lease| {
            is_of_current_era(&node, *held) && (fits(held, ttl, &node.options) || has_claim(&node))
        };
        let result = match lease.filter(is_kept) {
            None => with_timeout(LEASE_CALL_TIMEOUT, store.grant(ttl)).await,
            Some(held) => with_timeout(LEASE_CALL_TIMEOUT, store.renew(held)).await,
        };
        let mut is_failed = result.is_err();
        if result == Err(StoreError::Restored) {
            tokio::time::sleep(rejoin_delay(&node)).await;
        }
        lease = record_lease_result(&node, lease, sent_at, result);
        if let Some(held) = lease
            && entry.is_due(&node, &held)
        {
            let result = entry.write(&node, held).await;
            is_failed |= result.is_err();
            if let Err(error) = result
                && matches!(error, StoreError::LeaseEnded | StoreError::Restored)
            {
                lease = record_lease_result(&node, lease, sent_at, Err(error));
            }
        }
        // Other nodes must know one that claims a duty.
        node.state.borrow_mut().held_lease = lease.filter(|held| entry.is_under(held));
        wait_for_renewal(&node, lease, is_failed).await;
        if node.is_stopping() {
            if let Some(held) = lease {
                release_lease(&node, held).await;
            }
            return;
        }
    }
}

/// Returns whether the store, as far as this node knows, is still in the era of a lease.
fn is_of_current_era(node: &Node, lease: Lease) -> bool {
    lease.era >= node.state.borrow().view.index.era()
}

/// Returns how long a node waits after a restore until it writes its entry again, so that hundreds of
/// nodes stay within the writes that the store allows; those with a duty come first.
fn rejoin_delay(node: &Node) -> Duration {
    let state = node.state.borrow();
    let ttl = lease_ttl(&state.view, &node.options);
    if is_duty_term(ttl, &node.options) {
        return Duration::ZERO;
    }
    let nodes = u32::try_from(state.node_count()).unwrap_or(u32::MAX);
    REJOIN_SPREAD_PER_NODE
        .saturating_mul(nodes)
        .min(MAX_REJOIN_SPREAD)
        .mul_f64(rand::random())
}

/// Returns whether this node claims a duty under its lease, which it must keep then.
fn has_claim(node: &Node) -> bool {
    node.state.borrow().view.is_controller(&node.options.node)
}

/// Returns whether this node must let another one take over its claims, as it reaches no engines.
fn gives_up_claims(node: &Node) -> bool {
    node.has_lost_engines() && has_claim(node)
}

/// This node's entry, as far as it was written.
///
/// A write without an answer may be carried out seconds later and tie the entry to the lease that it was
/// sent under. It is repeated under the same lease, so that the entry lives as long as that. One that ties
/// the entry to the lease of an earlier process shows in the view when that lease ends.
#[derive(Default)]
struct OwnEntry {
    written: Option<EntryWrite>,
}

/// A write that the store has confirmed.
#[derive(Clone, Copy)]
struct EntryWrite {
    lease: Lease,
    at: Instant,
    /// The last position that the node knew then.
    known: StoreIndex,
}

impl OwnEntry {
    /// Returns whether the entry was written under a lease.
    fn is_under(&self, held: &Lease) -> bool {
        let lease = self.written.map(|write| (write.lease.era, write.lease.id));
        lease == Some((held.era, held.id))
    }

    /// Returns whether the entry must be written under the lease that is held.
    fn is_due(&self, node: &Node, held: &Lease) -> bool {
        let Some(write) = self.written.filter(|_| self.is_under(held)) else {
            return true;
        };
        let view = &node.state.borrow().view;
        let is_known = view.nodes.get(&node.options.node) == Some(&node.options.entry());
        let is_current = !view.store_lost && view.index.era() == held.era;
        let is_later = view.index > write.known
            && node.now().saturating_duration_since(write.at) >= ENTRY_DELAY;
        !is_known && is_current && is_later
    }

    async fn write(&mut self, node: &Node, held: Lease) -> Result<(), StoreError> {
        let is_again = self.is_under(&held);
        let entry = node.options.entry();
        let store = &node.platform.store;
        let write = store.put_node(held, &node.options.node, &entry);
        let result = with_timeout(LEASE_CALL_TIMEOUT, write).await;
        match &result {
            Ok(()) => {
                self.written = Some(EntryWrite {
                    lease: held,
                    at: node.now(),
                    known: node.state.borrow().view.index,
                });
            }
            Err(error) => {
                node.metrics.count("store_failures", "entry");
                tracing::warn!(lease = held.id, %error, "could not write this node's entry");
            }
        }
        if is_again {
            tracing::info!(
                lease = held.id,
                "this node's entry was missing: written again"
            );
        }
        result
    }
}

/// Waits until the lease is due for renewal, or no longer fits this node's duties.
async fn wait_for_renewal(node: &Node, lease: Option<Lease>, is_failed: bool) {
    let Some(lease) = lease else {
        return tokio::time::sleep(LEASE_RETRY_DELAY).await;
    };
    let mut left = renewal_interval(&lease);
    if is_failed {
        left = left.min(LEASE_CHECK_INTERVAL);
    }
    while !left.is_zero() && !node.is_stopping() {
        let step = left.min(LEASE_CHECK_INTERVAL);
        tokio::time::sleep(step).await;
        left -= step;
        if !is_of_current_era(node, lease) || gives_up_claims(node) {
            return;
        }
        let needed = lease_ttl(&node.state.borrow().view, &node.options);
        if needed < lease.asked && !fits(&lease, needed, &node.options) && !has_claim(node) {
            return;
        }
    }
}

/// Ends the lease, so that other nodes take over this node's claims without waiting for its expiry.
async fn release_lease(node: &Node, lease: Lease) {
    {
        let mut state = node.state.borrow_mut();
        state.lease_watch.ended(lease.era);
        state.held_lease = None;
    }
    match with_timeout(LEASE_CALL_TIMEOUT, node.platform.store.end(lease)).await {
        Ok(()) => tracing::info!(lease = lease.id, "lease released"),
        Err(error) => {
            tracing::warn!(lease = lease.id, %error, "could not release lease: it expires after its time to live");
        }
    }
}

fn log_lease(lease: &Lease) {
    let millis = |time: Duration| u64::try_from(time.as_millis()).unwrap_or(u64::MAX);
    let (ttl_ms, asked_ms) = (millis(lease.ttl), millis(lease.asked));
    tracing::info!(lease = lease.id, ttl_ms, asked_ms, "lease acquired");
    if LeaseValidity::is_too_short(lease) {
        tracing::warn!(
            ttl_ms,
            asked_ms,
            "lease too short: this node can claim no domain under it"
        );
    } else if lease.ttl > lease.asked {
        tracing::warn!(
            ttl_ms,
            asked_ms,
            "lease longer than asked for: what this node claims stays claimed for so long if it dies"
        );
    }
}

/// Records the result of acquiring or renewing a lease; returns the lease that is held now.
fn record_lease_result(
    node: &Node,
    held: Option<Lease>,
    sent_at: Duration,
    result: Result<Lease, StoreError>,
) -> Option<Lease> {
    let mut state = node.state.borrow_mut();
    match result {
        Ok(renewed) => {
            if held.is_some_and(|held| (held.era, held.id) == (renewed.era, renewed.id)) {
                state.lease_watch.renewed(&renewed, sent_at);
            } else {
                log_lease(&renewed);
                let known = state.view.last_position(&node.options.node);
                state.lease_watch.acquired(&renewed, known, sent_at);
            }
            Some(renewed)
        }
        Err(error) => {
            node.metrics.count("store_failures", "lease");
            let is_lost = error == StoreError::LeaseEnded || held.is_none();
            if is_lost {
                tracing::warn!(%error, "lease lost or not acquired");
            }
            if let Some(held) = held.filter(|_| is_lost) {
                state.lease_watch.ended(held.era);
            }
            // A lease that was lost in a restore still keeps others from its holder's claims.
            held.filter(|_| !is_lost && error != StoreError::Restored)
        }
    }
}
