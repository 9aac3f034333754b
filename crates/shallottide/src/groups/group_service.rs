//! The service that forms groups of VMs and publishes placement and fleet.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use shallottide_types::id::{DomainId, NodeId, StoreIndex};
use shallottide_types::peer::{NodeInfo, PeerMsg};

use super::GroupOptions;
use super::alive_nodes::AliveNodes;
use super::controller::{ControlInput, Controller};
use super::parts::Parts;
use super::placement_copy::PlacementCopy;
use super::report_book::ReportBook;
use super::vm_directory::VmDirectory;
use crate::kernel::names::{ENGINES, GROUPS, PEERS, PLATFORM};
use crate::kernel::{Context, Name, Outbox, Service};
use crate::message::{
    Message, PeerReceived, PeerSend, PlatformAnswer, PlatformOp, PlatformReply, PlatformRequest,
};

mod polling;
mod spread;

/// Forms groups, orders their engines about, polls them and tells everyone.
pub struct GroupService {
    options: GroupOptions,
    /// The parts that need this node's failure domain, made on the first message.
    state: Option<State>,
}

impl GroupService {
    /// Creates the service.
    #[must_use]
    pub fn new(options: GroupOptions) -> Self {
        Self {
            options,
            state: None,
        }
    }
}

impl Service for GroupService {
    fn name(&self) -> Name {
        GROUPS
    }

    fn handle(&mut self, message: Message, cx: &Context, out: &mut Outbox) {
        let options = &self.options;
        let state = self.state.get_or_insert_with(|| State::new(options, cx));
        state.handle(message, cx, out);
    }
}

struct State {
    options: GroupOptions,
    me: NodeId,
    domain: DomainId,
    controller: Controller,
    copy: PlacementCopy,
    directory: VmDirectory,
    reports: ReportBook,
    next_token: u64,
    purposes: BTreeMap<u64, Purpose>,
    watch_index: Option<StoreIndex>,
    due: BTreeMap<Purpose, Instant>,
    parts: Parts,
    candidates: Vec<NodeId>,
    /// Since when this node hears less than half of its failure domain.
    isolated_since: Option<Instant>,
    fleet_changed: bool,
}

/// What a platform call or a periodic step is for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Purpose {
    Lease,
    Store,
    Watch,
    VmList,
    Push,
    Parts,
    Poll,
}

impl State {
    fn new(options: &GroupOptions, cx: &Context) -> Self {
        let me = cx.me();
        Self {
            options: options.clone(),
            controller: Controller::new(&me.domain, &me.node, options),
            copy: PlacementCopy::default(),
            directory: VmDirectory::default(),
            reports: ReportBook::new(options),
            next_token: 0,
            purposes: BTreeMap::new(),
            watch_index: None,
            due: BTreeMap::new(),
            parts: Parts::default(),
            candidates: Vec::new(),
            isolated_since: None,
            fleet_changed: false,
            me: me.node,
            domain: me.domain,
        }
    }

    fn handle(&mut self, message: Message, cx: &Context, out: &mut Outbox) {
        match message {
            Message::Tick => self.tick(cx, out),
            Message::Stop => self.stop(out),
            Message::PlatformReply(reply) => self.platform_reply(reply, cx, out),
            Message::PeerReceived(received) => self.peer_received(received, cx, out),
            Message::EnginePollResult(reported) => self.engine_reported(reported, cx),
            Message::EngineOrderResult(ordered) => self.controller.ordered(&ordered),
            _ => {}
        }
    }

    fn tick(&mut self, cx: &Context, out: &mut Outbox) {
        let nodes = AliveNodes::of(cx);
        let now = cx.now();
        self.choose_candidates(&nodes);
        self.directory.expire(self.copy.get(), now);
        self.reports.retain(self.directory.vms(), now);
        let candidate = self.is_candidate() && self.hears_enough(cx, out);
        if let Some(op) = self.controller.lease().next_op(candidate, now) {
            self.request(Purpose::Lease, op, out);
        }
        self.watch(now, out);
        self.read_vms(now, out);
        self.control(&nodes, cx, out);
        self.poll(&nodes, now, out);
        self.send_parts(&nodes, now, out);
        self.push_placement(&nodes, now, out);
        self.publish_engines(cx);
    }

    /// Tells whether this node may take part in control; gives the lease back if not, so that
    /// nodes that hear each other take over.
    fn hears_enough(&mut self, cx: &Context, out: &mut Outbox) -> bool {
        if !cx.members().is_isolated(&cx.me(), cx.now()) {
            self.isolated_since = None;
            return true;
        }
        let now = cx.now();
        let since = *self.isolated_since.get_or_insert(now);
        let hold = self.options.isolation_hold;
        let enough = now.saturating_duration_since(since) >= hold;
        if !enough {
            self.stop(out);
        }
        enough
    }

    fn stop(&mut self, out: &mut Outbox) {
        if let Some(op) = self.controller.lease().release() {
            self.request(Purpose::Lease, op, out);
        }
    }

    fn choose_candidates(&mut self, nodes: &AliveNodes) {
        let order = nodes.candidates(&self.domain);
        if order != self.candidates {
            self.candidates = order;
            self.reports.share_again();
        }
    }

    fn is_candidate(&self) -> bool {
        self.candidates.contains(&self.me)
    }

    fn is_first(&self) -> bool {
        self.candidates.first() == Some(&self.me)
    }

    fn request(&mut self, purpose: Purpose, op: PlatformOp, out: &mut Outbox) {
        self.next_token += 1;
        let token = self.next_token;
        self.purposes.insert(token, purpose);
        let reply_to = GROUPS;
        out.send(
            PLATFORM,
            PlatformRequest {
                reply_to,
                token,
                op,
            },
        );
    }

    fn is_under_way(&self, purpose: Purpose) -> bool {
        self.purposes.values().any(|other| *other == purpose)
    }

    /// Tells whether a periodic step is due, and sets when it is due again.
    fn is_due(&mut self, purpose: Purpose, every: Duration, now: Instant) -> bool {
        let due = self.due.get(&purpose).is_none_or(|at| now >= *at);
        if due {
            self.due.insert(purpose, now + every);
        }
        due
    }

    fn read_vms(&mut self, now: Instant, out: &mut Outbox) {
        let every = self.options.vm_list_every;
        let idle = !self.is_under_way(Purpose::VmList);
        if self.is_candidate() && idle && self.is_due(Purpose::VmList, every, now) {
            let op = PlatformOp::Vms(self.domain.clone());
            self.request(Purpose::VmList, op, out);
        }
    }

    /// Does the controller's work while this node holds the lease.
    fn control(&mut self, nodes: &AliveNodes, cx: &Context, out: &mut Outbox) {
        let (op, orders) = self.controller.step(&ControlInput {
            nodes: &nodes.ids,
            config: &cx.config(),
            directory: &self.directory,
            reports: &self.reports,
            in_force: self.copy.get(),
            now: cx.now(),
        });
        if let Some(op) = op {
            self.request(Purpose::Store, op, out);
        }
        for order in orders {
            out.send(ENGINES, order);
        }
    }

    fn platform_reply(&mut self, reply: PlatformReply, cx: &Context, out: &mut Outbox) {
        let now = cx.now();
        match self.purposes.remove(&reply.token) {
            Some(Purpose::Lease) => self.controller.lease().answered(reply.result, now),
            Some(Purpose::Store) => {
                if let Some(placement) = self.controller.store_answered(reply.result) {
                    self.adopt(&placement, true, cx, out);
                }
            }
            Some(Purpose::Watch) => self.watched(reply.result, cx, out),
            Some(Purpose::VmList) => {
                if let Ok(PlatformAnswer::Vms(vms)) = reply.result {
                    self.directory.take_list(&self.domain, vms, now);
                    self.fleet_changed = true;
                }
            }
            _ => {}
        }
    }

    fn peer_received(&mut self, received: PeerReceived, cx: &Context, out: &mut Outbox) {
        let now = cx.now();
        match received.msg {
            PeerMsg::Placement(placement) => {
                self.placement_received(&placement, &received.from, cx, out);
            }
            PeerMsg::Reports(copies) => {
                for copy in copies {
                    self.reports.heard(copy, now);
                }
                self.fleet_changed = true;
            }
            PeerMsg::Vms(vms) => {
                self.directory.take_part(&self.domain, vms, now);
                self.fleet_changed = true;
            }
            _ => {}
        }
    }
}

fn send_peer(to: &NodeInfo, msg: PeerMsg, out: &mut Outbox) {
    let address = to.address;
    out.send(PEERS, PeerSend { address, msg });
}
