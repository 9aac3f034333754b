//! The service that keeps the operators' records in force.

use std::time::{Duration, Instant};

use shallottide_types::id::NodeId;
use shallottide_types::peer::{PeerMsg, RecordsSince};

use super::platform_watch::PlatformWatch;
use super::record_replicator::{RecordReplicator, send};
use super::record_store::ApplyOutcome;
use super::{ConfigOptions, LiveRecords, RecordStore};
use crate::kernel::{Context, Name, Outbox, Service, names};
use crate::members::ring;
use crate::message::{Message, PeerReceived, PlatformReply};

/// Purpose by which the nodes that read the platform are ranked.
const WATCH_PURPOSE: &str = "record-watch";

/// Place of the node that watches the platform for its failure domain.
const WATCHER: usize = 0;

/// Place of the node that reads now and then, should the watcher alone be cut off.
const DEPUTY: usize = 1;

/// Keeps the operators' records in force on this node.
#[derive(Debug)]
pub struct ConfigService {
    options: ConfigOptions,
    store: RecordStore,
    live: LiveRecords,
    watch: PlatformWatch,
    spread: RecordReplicator,
    started: Option<Instant>,
    next_deputy_read: Option<Instant>,
}

impl ConfigService {
    /// Creates the service without any record.
    #[must_use]
    pub fn new(options: ConfigOptions) -> Self {
        Self {
            store: RecordStore::default(),
            live: LiveRecords::default(),
            watch: PlatformWatch::new(&options),
            spread: RecordReplicator::new(&options),
            started: None,
            next_deputy_read: None,
            options,
        }
    }

    /// Returns the stored form of all records.
    #[must_use]
    pub fn store(&self) -> &RecordStore {
        &self.store
    }

    fn tick(&mut self, cx: &Context, out: &mut Outbox) {
        let now = cx.now();
        self.started.get_or_insert(now);
        let have = self.store.is_synced().then(|| self.store.applied_index());
        self.spread.catch_up(have, cx, out);
        if self.watch.is_free(now) && !self.leaves_it_to_peers(now) {
            self.read_platform(now, cx, out);
        }
    }

    fn read_platform(&mut self, now: Instant, cx: &Context, out: &mut Outbox) {
        let place = place_in_domain(cx);
        if place == Some(WATCHER) {
            let after = self.store.is_synced().then(|| self.store.applied_index());
            let wait = after.map_or(Duration::ZERO, |_| self.options.watch_wait);
            let expires = now + wait + self.options.call_timeout_margin;
            self.watch.start(after, wait, expires, now, out);
        } else if self.wants_own_read(place, now) {
            self.next_deputy_read = Some(now + self.options.backup_read_interval);
            let expires = now + self.options.call_timeout_margin;
            self.watch.start(None, Duration::ZERO, expires, now, out);
        }
    }

    /// Tells whether a node that isn't the watcher reads the platform now.
    fn wants_own_read(&self, place: Option<usize>, now: Instant) -> bool {
        let due = self.next_deputy_read.is_none_or(|at| now >= at);
        !self.store.is_synced() || (place == Some(DEPUTY) && due)
    }

    /// Tells whether a node that knows nothing gives peers time to answer first.
    fn leaves_it_to_peers(&self, now: Instant) -> bool {
        let started = self.started.unwrap_or(now);
        !self.store.is_synced() && now.duration_since(started) < self.options.peer_sync_timeout
    }

    fn platform_reply(&mut self, reply: PlatformReply, cx: &Context, out: &mut Outbox) {
        let pause = self.options.watch_interval;
        let Some(listing) = self.watch.finish(reply, pause, cx.now()) else {
            return;
        };
        let index = listing.index;
        let since = self.store.applied_index();
        let was_synced = self.store.is_synced();
        let applied = self.store.apply_listing(listing);
        if applied.stale {
            tracing::warn!(%index, have = %since, "platform gave an older state, which is ignored");
        }
        self.publish(&applied, cx);
        if was_synced && !applied.changed.is_empty() {
            self.spread.push(&self.store.delta(since), cx, out);
        }
    }

    fn peer_received(&mut self, received: PeerReceived, cx: &Context, out: &mut Outbox) {
        match received.msg {
            PeerMsg::RecordsRequest { have } if self.store.is_synced() => {
                let msg = PeerMsg::RecordsSince(self.store.delta(have));
                answer(&received.from, msg, cx, out);
            }
            PeerMsg::RecordsSince(delta) => self.records_since(&delta, cx, out),
            PeerMsg::Records(copies) => {
                let applied = self.store.apply_copies(copies);
                self.publish(&applied, cx);
            }
            _ => {}
        }
    }

    fn records_since(&mut self, delta: &RecordsSince, cx: &Context, out: &mut Outbox) {
        let was_synced = self.store.is_synced();
        let applied = self.store.apply_delta(delta.clone());
        self.publish(&applied, cx);
        if was_synced && !applied.changed.is_empty() {
            // Passed on whole: a part would not hold every change up to its index.
            self.spread.push(delta, cx, out);
        }
    }

    fn publish(&mut self, applied: &ApplyOutcome, cx: &Context) {
        for copy in &applied.changed {
            self.live.apply(copy);
        }
        if applied.advanced || !applied.changed.is_empty() {
            cx.publish_config(self.live.view(self.store.applied_index()));
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
            Message::PlatformReply(reply) => self.platform_reply(reply, cx, out),
            Message::PeerReceived(received) => self.peer_received(received, cx, out),
            _ => {}
        }
    }
}

/// Returns this node's place among those that may read the platform for the failure domain.
fn place_in_domain(cx: &Context) -> Option<usize> {
    let me = cx.me();
    let members = cx.members();
    let others = members.alive_in(&me.domain).map(|info| &info.node);
    let mine = (!me.stopping).then_some(&me.node);
    ring::first_ranked(WATCH_PURPOSE, others.chain(mine), DEPUTY + 1)
        .into_iter()
        .position(|node| *node == me.node)
}

/// Answers a peer that was heard of.
fn answer(to: &NodeId, msg: PeerMsg, cx: &Context, out: &mut Outbox) {
    let members = cx.members();
    if let Some(node) = members.nodes.get(to) {
        send(&node.info, msg, out);
    }
}
