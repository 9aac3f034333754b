//! The service that forms groups of VMs and publishes the placement and the engine reports.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use shallottide_types::id::{DomainId, NodeId, StoreIndex};
use shallottide_types::peer::{NodeInfo, PeerMsg};

use super::GroupOptions;
use super::alive_nodes::AliveNodes;
use super::controller::{ControlInput, Controller};
use super::peer_vm_lists::PeerVmLists;
use super::placement_copy::PlacementCopy;
use super::report_tracker::ReportTracker;
use super::vm_directory::VmDirectory;
use crate::kernel::names::{ENGINES, GROUPS, PEERS, PLATFORM};
use crate::kernel::{Context, Name, Outbox, Service};
use crate::message::{
    Message, PeerReceived, PeerSend, PlatformAnswer, PlatformOp, PlatformReply, PlatformRequest,
};

mod placement_relay;
mod polling;

/// Forms groups, sends orders to their engines, polls the engines and shares the results with
/// peers.
pub struct GroupService {
    options: GroupOptions,
    /// State that depends on this node's failure domain; created on the first message.
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
    placement_copy: PlacementCopy,
    directory: VmDirectory,
    reports: ReportTracker,
    last_request_token: u64,
    pending_calls: BTreeMap<u64, Purpose>,
    watch_index: Option<StoreIndex>,
    next_due: BTreeMap<Purpose, Instant>,
    peer_vm_lists: PeerVmLists,
    candidates: Vec<NodeId>,
    /// Time since which this node has considered less than half of its failure domain alive.
    isolated_since: Option<Instant>,
    engine_view_changed: bool,
}

/// Purpose of a platform call or of a periodic step.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Purpose {
    Lease,
    Store,
    Watch,
    VmList,
    ResendPlacement,
    PeerVmLists,
    Poll,
}

impl State {
    fn new(options: &GroupOptions, cx: &Context) -> Self {
        let me = cx.me();
        Self {
            options: options.clone(),
            controller: Controller::new(&me.domain, &me.node, options),
            placement_copy: PlacementCopy::default(),
            directory: VmDirectory::default(),
            reports: ReportTracker::new(options),
            last_request_token: 0,
            pending_calls: BTreeMap::new(),
            watch_index: None,
            next_due: BTreeMap::new(),
            peer_vm_lists: PeerVmLists::default(),
            candidates: Vec::new(),
            isolated_since: None,
            engine_view_changed: false,
            me: me.node,
            domain: me.domain,
        }
    }

    fn handle(&mut self, message: Message, cx: &Context, out: &mut Outbox) {
        match message {
            Message::Tick => self.tick(cx, out),
            Message::Stop => self.release_lease(out),
            Message::PlatformReply(reply) => self.handle_platform_reply(reply, cx, out),
            Message::PeerReceived(received) => self.handle_peer_message(received, cx, out),
            Message::EnginePollResult(reported) => self.handle_engine_report(reported, cx),
            Message::EngineOrderResult(ordered) => self.controller.handle_order_result(&ordered),
            _ => {}
        }
    }

    fn tick(&mut self, cx: &Context, out: &mut Outbox) {
        let nodes = AliveNodes::from_context(cx);
        let now = cx.now();
        self.update_candidates(&nodes);
        self.directory.expire(self.placement_copy.get(), now);
        self.reports.retain(self.directory.vms(), now);
        let is_candidate = self.is_candidate() && self.may_control(cx, out);
        if let Some(op) = self.controller.lease().next_op(is_candidate, now) {
            self.request(Purpose::Lease, op, out);
        }
        self.watch_placement(now, out);
        self.request_vm_list(now, out);
        self.run_controller(&nodes, cx, out);
        self.poll_engines(&nodes, now, out);
        self.send_vm_lists(&nodes, now, out);
        self.send_placement_to_peers(&nodes, now, out);
        self.publish_engine_view(cx);
    }

    /// Returns whether this node may compete for the controller lease.
    ///
    /// Releases the lease if not, so that nodes that reach each other can take over.
    fn may_control(&mut self, cx: &Context, out: &mut Outbox) -> bool {
        if !cx.members().is_isolated(&cx.me(), cx.now()) {
            self.isolated_since = None;
            return true;
        }
        let now = cx.now();
        let since = *self.isolated_since.get_or_insert(now);
        let grace = self.options.isolation_grace;
        let timed_out = now.saturating_duration_since(since) >= grace;
        if !timed_out {
            self.release_lease(out);
        }
        timed_out
    }

    fn release_lease(&mut self, out: &mut Outbox) {
        if let Some(op) = self.controller.lease().release() {
            self.request(Purpose::Lease, op, out);
        }
    }

    fn update_candidates(&mut self, nodes: &AliveNodes) {
        let order = nodes.controller_candidates(&self.domain);
        if order != self.candidates {
            self.candidates = order;
            self.reports.resend_all_reports();
        }
    }

    fn is_candidate(&self) -> bool {
        self.candidates.contains(&self.me)
    }

    fn is_first_candidate(&self) -> bool {
        self.candidates.first() == Some(&self.me)
    }

    fn request(&mut self, purpose: Purpose, op: PlatformOp, out: &mut Outbox) {
        self.last_request_token += 1;
        let token = self.last_request_token;
        self.pending_calls.insert(token, purpose);
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

    fn has_pending_call(&self, purpose: Purpose) -> bool {
        self.pending_calls.values().any(|other| *other == purpose)
    }

    /// Returns whether a periodic step is due; if so, schedules the next one.
    fn is_due(&mut self, purpose: Purpose, interval: Duration, now: Instant) -> bool {
        let due = self.next_due.get(&purpose).is_none_or(|at| now >= *at);
        if due {
            self.next_due.insert(purpose, now + interval);
        }
        due
    }

    fn request_vm_list(&mut self, now: Instant, out: &mut Outbox) {
        let interval = self.options.vm_list_interval;
        let idle = !self.has_pending_call(Purpose::VmList);
        if self.is_candidate() && idle && self.is_due(Purpose::VmList, interval, now) {
            let op = PlatformOp::Vms(self.domain.clone());
            self.request(Purpose::VmList, op, out);
        }
    }

    /// Runs one controller step; it has no effect while another node holds the lease.
    fn run_controller(&mut self, nodes: &AliveNodes, cx: &Context, out: &mut Outbox) {
        let (op, orders) = self.controller.step(&ControlInput {
            nodes: &nodes.active_ids,
            config: &cx.config(),
            directory: &self.directory,
            reports: &self.reports,
            local_placement: self.placement_copy.get(),
            now: cx.now(),
        });
        if let Some(op) = op {
            self.request(Purpose::Store, op, out);
        }
        for order in orders {
            out.send(ENGINES, order);
        }
    }

    fn handle_platform_reply(&mut self, reply: PlatformReply, cx: &Context, out: &mut Outbox) {
        let now = cx.now();
        match self.pending_calls.remove(&reply.token) {
            Some(Purpose::Lease) => self.controller.lease().handle_answer(reply.result, now),
            Some(Purpose::Store) => {
                if let Some(placement) = self.controller.handle_store_answer(reply.result) {
                    self.apply_placement(&placement, true, cx, out);
                }
            }
            Some(Purpose::Watch) => self.handle_watch_answer(reply.result, cx, out),
            Some(Purpose::VmList) => {
                if let Ok(PlatformAnswer::Vms(vms)) = reply.result {
                    self.directory.apply_platform_list(&self.domain, vms, now);
                    self.engine_view_changed = true;
                }
            }
            _ => {}
        }
    }

    fn handle_peer_message(&mut self, received: PeerReceived, cx: &Context, out: &mut Outbox) {
        let now = cx.now();
        match received.msg {
            PeerMsg::Placement(placement) => {
                self.handle_peer_placement(&placement, &received.from, cx, out);
            }
            PeerMsg::Reports(copies) => {
                for copy in copies {
                    self.reports.record_peer_report(copy, now);
                }
                self.engine_view_changed = true;
            }
            PeerMsg::Vms(vms) => {
                self.directory.apply_peer_list(&self.domain, vms, now);
                self.engine_view_changed = true;
            }
            _ => {}
        }
    }
}

fn send_peer(to: &NodeInfo, msg: PeerMsg, out: &mut Outbox) {
    let address = to.address;
    out.send(PEERS, PeerSend { address, msg });
}
