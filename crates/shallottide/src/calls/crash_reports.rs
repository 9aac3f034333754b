//! Reports of calls that end upstreams, between the nodes.

use std::time::Duration;

use shallottide_types::id::{CallDigest, NodeId};
use shallottide_types::peer::{NodeInfo, PeerMsg, SlotTag};
use shallottide_types::refusal::{Refusal, RefusalKind};

use super::CallService;
use super::call::Call;
use super::claiming::call_digest;
use super::crashing_calls::REFUSAL_TIME;
use super::refusals::not_run;
use crate::kernel::{Context, Outbox, names};
use crate::members::ring;
use crate::message::PeerSend;
use crate::routing::Route;

/// Nodes that count the losses of one call.
const WATCHERS: usize = 2;

impl CallService {
    /// Returns the refusal of a call that ends upstreams.
    pub(super) fn refusal_of_crashing(&self, call: &Call, cx: &Context) -> Option<Refusal> {
        if self.crashing.is_empty() {
            return None;
        }
        let wait = self.crashing.refused_for(call_digest(call), cx.now())?;
        let message =
            "upstreams end when they run this call: change it, or retry when they are repaired";
        Some(not_run(RefusalKind::Quarantined, message, wait))
    }

    /// Returns whether a call has ended more than one upstream; its node does not send it again.
    pub(super) fn is_suspect(&self, call: &Call) -> bool {
        !self.crashing.is_empty() && self.crashing.is_suspect(call_digest(call))
    }

    /// Reports that the answer of an attempt was lost.
    pub(super) fn report_loss(
        &mut self,
        call: &Call,
        route: &Route,
        cx: &Context,
        out: &mut Outbox,
    ) {
        let slot = match route {
            Route::Local { slot, .. } | Route::Peer { slot, .. } => ring::slot_tag(slot),
            Route::Domain { node } => SlotTag(ring::node_tag(node).0),
        };
        let digest = call_digest(call);
        tracing::info!(call = %call.head.id, %digest, ?slot, "answer lost");
        self.on_loss(digest, slot, cx, out);
        send_to_watchers(digest, &PeerMsg::CallLost { call: digest, slot }, cx, out);
    }

    /// Reports that a call of which losses are known was answered.
    pub(super) fn report_answer(&mut self, call: &Call, cx: &Context, out: &mut Outbox) {
        if self.crashing.is_empty() || call.is_from_peer() {
            return;
        }
        let digest = call_digest(call);
        if self.crashing.is_known(digest) {
            self.crashing.record_answer(digest);
            send_to_watchers(digest, &PeerMsg::CallAnswered(digest), cx, out);
        }
    }

    /// Handles a peer's report.
    pub(super) fn on_peer_report(&mut self, msg: &PeerMsg, cx: &Context, out: &mut Outbox) {
        match msg {
            PeerMsg::CallLost { call, slot } => self.on_loss(*call, *slot, cx, out),
            PeerMsg::CallAnswered(call) => self.crashing.record_answer(*call),
            PeerMsg::CallRefused { call, time } => self.refuse_crashing(*call, *time, cx),
            _ => {}
        }
    }

    fn on_loss(&mut self, call: CallDigest, slot: SlotTag, cx: &Context, out: &mut Outbox) {
        if !self.crashing.record_loss(call, slot, cx.now()) {
            return;
        }
        self.refuse_crashing(call, REFUSAL_TIME, cx);
        let msg = PeerMsg::CallRefused {
            call,
            time: REFUSAL_TIME,
        };
        for node in alive_nodes(cx) {
            send(&node, msg.clone(), out);
        }
    }

    fn refuse_crashing(&mut self, call: CallDigest, time: Duration, cx: &Context) {
        tracing::warn!(%call, ?time, "call ends upstreams: refused");
        self.crashing.refuse(call, time, cx.now());
    }
}

/// Returns the other nodes that are alive.
fn alive_nodes(cx: &Context) -> Vec<NodeInfo> {
    let (me, members) = (cx.me(), cx.members());
    let nodes = members.nodes.values().filter(|node| node.alive);
    let others = nodes.filter(|node| node.info.node != me.node);
    others.map(|node| node.info.clone()).collect()
}

fn send_to_watchers(call: CallDigest, msg: &PeerMsg, cx: &Context, out: &mut Outbox) {
    let (me, nodes) = (cx.me().node, alive_nodes(cx));
    let ids = nodes.iter().map(|info| &info.node).chain([&me]);
    let watchers: Vec<NodeId> = ring::first_ranked(&call.to_string(), ids, WATCHERS)
        .into_iter()
        .cloned()
        .collect();
    for node in nodes.iter().filter(|info| watchers.contains(&info.node)) {
        send(node, msg.clone(), out);
    }
}

fn send(to: &NodeInfo, msg: PeerMsg, out: &mut Outbox) {
    let address = to.address;
    out.send(names::PEERS, PeerSend { address, msg });
}
