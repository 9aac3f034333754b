//! Receives the placement from the platform and from peers, and relays it.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use shallottide_types::id::NodeId;
use shallottide_types::peer::{NodeInfo, PeerMsg};
use shallottide_types::placement::Placement;
use shallottide_types::platform::{Listing, PlatformError};

use super::{AliveNodes, Purpose, State, send_peer};
use crate::groups::placement_store::{parse_placement, placement_key};
use crate::kernel::{Context, Outbox};
use crate::message::{PlatformAnswer, PlatformOp};
use crate::view::PlacementView;

/// Delay before the placement is watched again after a failed watch.
const WATCH_RETRY_DELAY: Duration = Duration::from_secs(1);

impl State {
    /// Keeps one placement watch open for the whole failure domain, on the first candidate.
    pub(super) fn watch_placement(&mut self, now: Instant, out: &mut Outbox) {
        let idle = !self.has_pending_call(Purpose::Watch);
        if self.is_first_candidate() && idle && self.is_due(Purpose::Watch, Duration::ZERO, now) {
            let op = PlatformOp::List {
                prefix: placement_key(&self.domain),
                after: self.watch_index,
                wait: self.options.watch_wait,
            };
            self.request(Purpose::Watch, op, out);
        }
    }

    pub(super) fn handle_watch_answer(
        &mut self,
        result: Result<PlatformAnswer, PlatformError>,
        cx: &Context,
        out: &mut Outbox,
    ) {
        let Ok(PlatformAnswer::Listing(Listing { index, entries })) = result else {
            self.watch_index = None;
            self.next_due
                .insert(Purpose::Watch, cx.now() + WATCH_RETRY_DELAY);
            return;
        };
        self.watch_index = Some(index);
        let key = placement_key(&self.domain);
        let entry = entries.iter().find(|entry| entry.key == key);
        if let Some(placement) = entry.and_then(|entry| parse_placement(&self.domain, entry)) {
            self.apply_placement(&placement, true, cx, out);
        }
    }

    /// Sends the placement to nodes that became alive, and periodically to the next peer.
    pub(super) fn send_placement_to_peers(
        &mut self,
        nodes: &AliveNodes,
        now: Instant,
        out: &mut Outbox,
    ) {
        let mut peers = self.placement_copy.newly_alive(&self.me, &nodes.all);
        if !self.is_candidate() {
            peers.clear();
        }
        if self.is_due(Purpose::ResendPlacement, self.options.resend_interval, now) {
            peers.extend(self.placement_copy.next_peer(&self.me, &nodes.all));
        }
        for info in peers {
            self.send_placement(&info, out);
        }
    }

    pub(super) fn send_placement(&self, to: &NodeInfo, out: &mut Outbox) {
        if let Some(placement) = self.placement_copy.get() {
            send_peer(to, PeerMsg::Placement(placement.clone()), out);
        }
    }

    /// Publishes a placement on this node if it is newer, and relays it to peers.
    pub(super) fn apply_placement(
        &mut self,
        placement: &Placement,
        is_origin: bool,
        cx: &Context,
        out: &mut Outbox,
    ) {
        if placement.domain != self.domain || !self.placement_copy.replace_if_newer(placement) {
            return;
        }
        let domains = BTreeMap::from([(self.domain.clone(), placement.clone())]);
        cx.publish_placement(PlacementView { domains });
        let nodes = AliveNodes::from_context(cx);
        for info in self
            .placement_copy
            .relay_targets(&self.me, is_origin, &nodes.all)
        {
            self.send_placement(&info, out);
        }
    }

    /// Applies a peer's placement if it is newer; sends this node's placement to a peer whose
    /// placement is older.
    pub(super) fn handle_peer_placement(
        &mut self,
        placement: &Placement,
        from: &NodeId,
        cx: &Context,
        out: &mut Outbox,
    ) {
        self.apply_placement(placement, false, cx, out);
        let older = placement.domain == self.domain
            && placement.fencing_token < self.placement_copy.fencing_token();
        if let Some(info) = cx.members().alive_node(from).filter(|_| older) {
            self.send_placement(info, out);
        }
    }
}
