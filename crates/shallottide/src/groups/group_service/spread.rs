//! Learns the placement from the platform and from peers, and passes it on.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use shallottide_types::id::NodeId;
use shallottide_types::peer::{NodeInfo, PeerMsg};
use shallottide_types::placement::Placement;
use shallottide_types::platform::{Listing, PlatformError};

use super::{AliveNodes, Purpose, State, send_peer};
use crate::groups::placement_store::{parse, placement_key};
use crate::kernel::{Context, Outbox};
use crate::message::{PlatformAnswer, PlatformOp};
use crate::view::PlacementView;

/// Wait after a failed watch.
const RETRY: Duration = Duration::from_secs(1);

impl State {
    /// Keeps one watch of the placement for the whole failure domain.
    pub(super) fn watch(&mut self, now: Instant, out: &mut Outbox) {
        let idle = !self.is_under_way(Purpose::Watch);
        if self.is_first() && idle && self.is_due(Purpose::Watch, Duration::ZERO, now) {
            let op = PlatformOp::List {
                prefix: placement_key(&self.domain),
                after: self.watch_index,
                wait: self.options.watch_wait,
            };
            self.request(Purpose::Watch, op, out);
        }
    }

    pub(super) fn watched(
        &mut self,
        result: Result<PlatformAnswer, PlatformError>,
        cx: &Context,
        out: &mut Outbox,
    ) {
        let Ok(PlatformAnswer::Listing(Listing { index, entries })) = result else {
            self.watch_index = None;
            self.due.insert(Purpose::Watch, cx.now() + RETRY);
            return;
        };
        self.watch_index = Some(index);
        let key = placement_key(&self.domain);
        let entry = entries.iter().find(|entry| entry.key == key);
        if let Some(placement) = entry.and_then(|entry| parse(&self.domain, entry)) {
            self.adopt(&placement, true, cx, out);
        }
    }

    /// Tells nodes that came alive the placement, and another peer from time to time.
    pub(super) fn push_placement(&mut self, nodes: &AliveNodes, now: Instant, out: &mut Outbox) {
        let mut peers = self.copy.newcomers(&self.me, &nodes.listeners);
        if !self.is_candidate() {
            peers.clear();
        }
        if self.is_due(Purpose::Push, self.options.repeat_every, now) {
            peers.extend(self.copy.next_peer(&self.me, &nodes.listeners));
        }
        for info in peers {
            self.send_placement(&info, out);
        }
    }

    pub(super) fn send_placement(&self, to: &NodeInfo, out: &mut Outbox) {
        if let Some(placement) = self.copy.get() {
            send_peer(to, PeerMsg::Placement(placement.clone()), out);
        }
    }

    /// Puts a placement in force if it is newer, and passes it on.
    pub(super) fn adopt(
        &mut self,
        placement: &Placement,
        origin: bool,
        cx: &Context,
        out: &mut Outbox,
    ) {
        if placement.domain != self.domain || !self.copy.adopt(placement) {
            return;
        }
        let domains = BTreeMap::from([(self.domain.clone(), placement.clone())]);
        cx.publish_placement(PlacementView { domains });
        let nodes = AliveNodes::of(cx);
        for info in self.copy.children(&self.me, origin, &nodes.listeners) {
            self.send_placement(&info, out);
        }
    }

    /// Adopts a peer's placement; a peer with an older one gets this node's.
    pub(super) fn placement_received(
        &mut self,
        placement: &Placement,
        from: &NodeId,
        cx: &Context,
        out: &mut Outbox,
    ) {
        self.adopt(placement, false, cx, out);
        let older = placement.domain == self.domain && placement.fencing_token < self.copy.fence();
        if let Some(info) = cx.members().alive_node(from).filter(|_| older) {
            self.send_placement(info, out);
        }
    }
}
