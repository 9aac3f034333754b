//! Service that keeps the configuration records in force.

use std::time::{Duration, Instant};

use shallottide_types::id::{NodeId, StoreEra, StoreIndex};
use shallottide_types::peer::{PeerMsg, RecordsSince};

use super::platform_watch::PlatformWatch;
use super::record_replicator::{RecordReplicator, send};
use super::record_store::ApplyOutcome;
use super::{ConfigOptions, LiveRecords, RecordStore};
use crate::kernel::{Context, Name, Outbox, Service, names};
use crate::members::ring;
use crate::message::{Message, PeerReceived, PlatformReply};

/// Purpose under which the nodes of a failure domain are ranked for reading the platform.
/// All nodes must use the same text, as the ranking hashes it.
const WATCH_PURPOSE: &str = "record-watch";

/// Rank of the node that watches the platform for its failure domain.
const WATCHER_RANK: usize = 0;

/// Rank of the node that polls the platform, in case only the watcher can no longer reach
/// it.
const BACKUP_READER_RANK: usize = 1;

/// Keeps the configuration records in force on this node.
#[derive(Debug)]
pub struct ConfigService {
    options: ConfigOptions,
    store: RecordStore,
    live_records: LiveRecords,
    watch: PlatformWatch,
    replicator: RecordReplicator,
    /// Time of the first tick.
    started_at: Option<Instant>,
    next_backup_read: Option<Instant>,
    /// The platform's latest era, and when this node learned of it.
    restored: Option<(StoreEra, Instant)>,
}

impl ConfigService {
    /// Creates the service without records.
    #[must_use]
    pub fn new(options: ConfigOptions) -> Self {
        Self {
            store: RecordStore::default(),
            live_records: LiveRecords::default(),
            watch: PlatformWatch::new(&options),
            replicator: RecordReplicator::new(&options),
            started_at: None,
            next_backup_read: None,
            restored: None,
            options,
        }
    }

    /// Returns the raw copies of all records.
    #[must_use]
    pub fn store(&self) -> &RecordStore {
        &self.store
    }

    fn tick(&mut self, cx: &Context, out: &mut Outbox) {
        let now = cx.now();
        self.started_at.get_or_insert(now);
        let applied_index = self.store.is_synced().then(|| self.store.applied_index());
        self.replicator.pull_if_behind(applied_index, cx, out);
        if self.watch.can_start(now) && !self.should_wait_for_peers(now) {
            self.read_platform(now, cx, out);
        }
    }

    fn read_platform(&mut self, now: Instant, cx: &Context, out: &mut Outbox) {
        let rank = reader_rank(cx);
        if rank == Some(WATCHER_RANK) {
            let after = self.store.is_synced().then(|| self.store.applied_index());
            let wait = after.map_or(Duration::ZERO, |_| self.options.watch_wait);
            let expires = now + wait + self.options.call_timeout_margin;
            self.watch.start(after, wait, expires, now, out);
        } else if self.should_poll(rank, now) {
            self.next_backup_read = Some(now + self.options.backup_read_interval);
            let expires = now + self.options.call_timeout_margin;
            self.watch.start(None, Duration::ZERO, expires, now, out);
        }
    }

    /// Returns whether this node, which is not the watcher, should read the platform now.
    fn should_poll(&self, rank: Option<usize>, now: Instant) -> bool {
        let is_due = self.next_backup_read.is_none_or(|at| now >= at);
        !self.store.is_synced() || (rank == Some(BACKUP_READER_RANK) && is_due)
    }

    /// Returns whether this node has no records yet and still waits for peers to send them.
    fn should_wait_for_peers(&self, now: Instant) -> bool {
        let started_at = self.started_at.unwrap_or(now);
        !self.store.is_synced() && now.duration_since(started_at) < self.options.peer_sync_timeout
    }

    fn handle_platform_reply(&mut self, reply: PlatformReply, cx: &Context, out: &mut Outbox) {
        let interval = self.options.watch_interval;
        let Some(listing) = self.watch.handle_reply(reply, interval, cx.now()) else {
            return;
        };
        let index = listing.index;
        let since = self.store.applied_index();
        if !self.takes_effect(index, cx.now()) {
            return;
        }
        let was_synced = self.store.is_synced();
        let applied = self.store.apply_listing(listing);
        if applied.stale {
            tracing::warn!(%index, have = %since, "platform gave an older state, which is ignored");
        }
        self.publish(&applied, cx);
        if was_synced && !applied.changed.is_empty() {
            self.replicator.push(&self.store.delta(since), cx, out);
        }
    }

    /// Returns whether a listing takes effect.
    ///
    /// A restored platform lists older records than it has confirmed, until operators have written
    /// them again.
    fn takes_effect(&mut self, index: StoreIndex, now: Instant) -> bool {
        let era = index.era();
        if !self.store.is_synced() || era <= self.store.applied_index().era() {
            return true;
        }
        let since = match self.restored {
            Some((known, since)) if known == era => since,
            _ => {
                let have = self.store.applied_index();
                tracing::warn!(%index, %have, "platform was restored: its records are held back");
                self.restored = Some((era, now));
                now
            }
        };
        now.saturating_duration_since(since) >= self.options.rewrite_time
    }

    fn handle_peer_message(&mut self, received: PeerReceived, cx: &Context, out: &mut Outbox) {
        match received.msg {
            PeerMsg::RecordsRequest { have } if self.store.is_synced() => {
                let msg = PeerMsg::RecordsSince(self.store.delta(have));
                reply_to_peer(&received.from, msg, cx, out);
            }
            PeerMsg::RecordsSince(delta) => self.apply_peer_delta(&delta, cx, out),
            PeerMsg::Records(copies) => {
                let applied = self.store.apply_copies(copies);
                self.publish(&applied, cx);
            }
            _ => {}
        }
    }

    fn apply_peer_delta(&mut self, delta: &RecordsSince, cx: &Context, out: &mut Outbox) {
        let was_synced = self.store.is_synced();
        let applied = self.store.apply_delta(delta.clone());
        self.publish(&applied, cx);
        if was_synced && !applied.changed.is_empty() {
            // Forwards the whole delta: a part would not contain every change up to its index.
            self.replicator.push(delta, cx, out);
        }
    }

    fn publish(&mut self, applied: &ApplyOutcome, cx: &Context) {
        for copy in &applied.changed {
            self.live_records.apply(copy);
        }
        if applied.advanced || !applied.changed.is_empty() {
            cx.publish_config(self.live_records.view(self.store.applied_index()));
        }
    }
}

impl Service for ConfigService {
    fn name(&self) -> Name {
        names::CONFIG
    }

    fn handle(&mut self, message: Message, cx: &Context, out: &mut Outbox) {
        match message {
            Message::Tick => self.tick(cx, out),
            Message::PlatformReply(reply) => self.handle_platform_reply(reply, cx, out),
            Message::PeerReceived(received) => self.handle_peer_message(received, cx, out),
            _ => {}
        }
    }
}

/// Returns this node's rank among those that read the platform for their failure domain, or `None`
/// if it is not one of them.
fn reader_rank(cx: &Context) -> Option<usize> {
    let me = cx.me();
    let members = cx.members();
    let alive = members.alive_in(&me.domain).map(|info| &info.node);
    let own = (!me.stopping).then_some(&me.node);
    ring::first_ranked(WATCH_PURPOSE, alive.chain(own), BACKUP_READER_RANK + 1)
        .into_iter()
        .position(|node| *node == me.node)
}

/// Sends a reply to a peer, if its address is known.
fn reply_to_peer(to: &NodeId, msg: PeerMsg, cx: &Context, out: &mut Outbox) {
    let members = cx.members();
    if let Some(node) = members.nodes.get(to) {
        send(&node.info, msg, out);
    }
}
