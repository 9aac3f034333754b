//! Simulation of the groups services of several nodes with one platform and fake engines.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::{Duration, Instant};

use shallottide::groups::{GroupOptions, GroupService};
use shallottide::kernel::{Context, Outbox, Service};
use shallottide::message::{
    EngineOrder, EngineOrderResult, EnginePollResult, Message, PeerReceived, PlatformAnswer,
    PlatformOp, PlatformReply, PlatformRequest,
};
use shallottide::view::{ConfigView, EngineView, MemberView, NodeState};
use shallottide_types::clock::{Clock, ManualClock};
use shallottide_types::id::{FencingToken, NodeId, StoreIndex, VmId};
use shallottide_types::peer::{NodeInfo, PeerMsg};
use shallottide_types::placement::{Group, Placement};
use shallottide_types::platform::{Platform, PlatformError, Precondition, SwapOutcome, Vm};
use shallottide_types::record::Record;
use standin::platform::{MemoryPlatform, PlatformOptions};

use super::{DOMAIN, FakeEngine, node_info};

pub(crate) const STEP: Duration = Duration::from_millis(100);

pub(crate) struct SimNode {
    pub(crate) info: NodeInfo,
    pub(crate) cx: Context,
    service: GroupService,
    inbox: Vec<Message>,
    watches: Vec<(PlatformRequest, Instant)>,
    /// Whether the node is dead or paused; it then handles no message.
    pub(crate) down: bool,
    /// Orders sent by the node that the network has not delivered yet.
    pub(crate) held_orders: Vec<EngineOrder>,
    pub(crate) hold_orders: bool,
    pub(crate) cut_off: CutOff,
    last_seen: Instant,
}

/// Network partitions of a node, in both directions.
#[derive(Default)]
pub(crate) struct CutOff {
    pub(crate) platform: bool,
    pub(crate) peers: bool,
}

/// A simulated failure domain.
pub(crate) struct DomainSim {
    pub(crate) clock: ManualClock,
    pub(crate) platform: MemoryPlatform,
    pub(crate) config: ConfigView,
    pub(crate) nodes: BTreeMap<NodeId, SimNode>,
    pub(crate) engines: BTreeMap<VmId, FakeEngine>,
    vms: Vec<Vm>,
    /// The formation that each engine is ready for, and since when.
    ready_for: BTreeMap<VmId, (Option<FencingToken>, Instant)>,
    pub(crate) options: GroupOptions,
    /// Number of platform calls by all nodes; a waiting watch counts as one.
    pub(crate) platform_calls: u64,
    /// Whether the platform was restored from a backup, so that nodes may be ahead of it.
    restored: bool,
    /// Processor time used by each node's service, for measurements only.
    pub(crate) cpu_time: BTreeMap<NodeId, Duration>,
    /// Encoded size in bytes of the messages that each node sent to peers.
    pub(crate) peer_bytes: BTreeMap<NodeId, usize>,
}

impl DomainSim {
    pub(crate) fn new(nodes: usize, vms: Vec<Vm>, records: Vec<Record>) -> Self {
        let clock = ManualClock::default();
        let platform = MemoryPlatform::new(Arc::new(clock.clone()), PlatformOptions::default());
        let engine = |vm: &Vm| (vm.id.clone(), FakeEngine::new(&vm.id, vm.fences_orders));
        let engines = vms.iter().map(engine).collect();
        platform.set_vms(vms.clone());
        let mut config = ConfigView {
            index: StoreIndex(1),
            ..ConfigView::default()
        };
        for record in records {
            config.insert(record);
        }
        let mut sim = Self {
            clock,
            platform,
            config,
            nodes: BTreeMap::new(),
            engines,
            vms,
            ready_for: BTreeMap::new(),
            options: GroupOptions::default(),
            platform_calls: 0,
            restored: false,
            peer_bytes: BTreeMap::new(),
            cpu_time: BTreeMap::new(),
        };
        for number in 0..nodes {
            sim.add_node(&format!("entry-{number}"));
        }
        sim
    }

    pub(crate) fn add_node(&mut self, name: &str) {
        let port = 7_000 + u16::try_from(self.nodes.len()).expect("few nodes");
        let info = node_info(name, DOMAIN, port);
        let cx = Context::new(Arc::new(self.clock.clone()), info.clone());
        let node = SimNode {
            info: info.clone(),
            cx,
            service: GroupService::new(self.options.clone()),
            inbox: Vec::new(),
            watches: Vec::new(),
            down: false,
            held_orders: Vec::new(),
            hold_orders: false,
            cut_off: CutOff::default(),
            last_seen: self.clock.now(),
        };
        self.nodes.insert(info.node, node);
    }

    /// Starts the planned stop of a node.
    pub(crate) fn stop_node(&mut self, id: &NodeId) {
        let node = self.nodes.get_mut(id).expect("known node");
        node.info.stopping = true;
        node.cx.set_stopping();
        node.inbox.push(Message::Stop);
    }

    pub(crate) fn now(&self) -> Instant {
        self.clock.now()
    }

    pub(crate) fn change_vm(&mut self, number: usize, change: impl FnOnce(&mut Vm)) {
        change(&mut self.vms[number]);
        self.platform.set_vms(self.vms.clone());
    }

    pub(crate) fn engine(&mut self, number: usize) -> &mut FakeEngine {
        let vm = &self.vms[number].id;
        self.engines.get_mut(vm).expect("known VM")
    }

    /// Advances the simulation by `time`, with all checks on every step.
    pub(crate) fn run(&mut self, time: Duration) {
        let end = self.now() + time;
        while self.now() < end {
            self.step();
        }
    }

    pub(crate) fn step(&mut self) {
        self.clock.advance(STEP);
        self.publish_members();
        let ids: Vec<NodeId> = self.nodes.keys().cloned().collect();
        for id in &ids {
            if !self.nodes[id].down {
                self.step_node(id);
            }
        }
        self.check_stored_placement();
        self.check_serving_groups();
    }

    /// Checks that no dispatcher counts a group as complete after a member has been missing for
    /// longer than the maximum report age.
    fn check_serving_groups(&mut self) {
        let now = self.now();
        let up = self.nodes.values().filter(|node| !node.down);
        let serving_groups: Vec<Group> = up
            .flat_map(|node| Self::groups_served_by(node, now))
            .collect();
        for (vm, engine) in &self.engines {
            let formed = engine.assignment.as_ref().map(|held| held.formed);
            let ready_for = formed.filter(|_| engine.is_ready(now));
            let (was, since) = self.ready_for.entry(vm.clone()).or_insert((ready_for, now));
            if *was != ready_for {
                (*was, *since) = (ready_for, now);
            }
        }
        for group in &serving_groups {
            for vm in &group.members {
                let (ready_for, since) = self.ready_for[vm];
                let age = now.duration_since(since);
                let is_ready_for_group = ready_for == Some(group.formed);
                let limit = EngineView::MAX_REPORT_AGE + STEP;
                assert!(
                    is_ready_for_group || age <= limit,
                    "{vm} is missing for {age:?} from {group:?}"
                );
            }
        }
    }

    fn publish_members(&mut self) {
        let now = self.now();
        for node in self.nodes.values_mut().filter(|node| !node.down) {
            node.last_seen = now;
        }
        let state = |node: &SimNode| {
            let state = NodeState {
                info: node.info.clone(),
                last_seen: node.last_seen,
                alive: !node.down,
                config_index: StoreIndex(1),
            };
            (node.info.node.clone(), state)
        };
        let nodes: BTreeMap<_, _> = self.nodes.values().map(state).collect();
        let partitioned: BTreeSet<&NodeId> = self
            .nodes
            .values()
            .filter(|node| node.cut_off.peers)
            .map(|node| &node.info.node)
            .collect();
        for node in self.nodes.values() {
            let mut nodes = nodes.clone();
            for (id, state) in nodes.iter_mut().filter(|(id, _)| **id != node.info.node) {
                state.alive &= !node.cut_off.peers && !partitioned.contains(id);
            }
            node.cx.publish_config(self.config.clone());
            node.cx.publish_members(MemberView {
                nodes,
                loads: BTreeMap::new(),
            });
        }
    }

    fn step_node(&mut self, id: &NodeId) {
        self.answer_watches(id);
        let node = self.nodes.get_mut(id).expect("known node");
        let mut messages = std::mem::take(&mut node.inbox);
        messages.push(Message::Tick);
        let mut out = Outbox::default();
        let started = Instant::now();
        for message in messages {
            node.service.handle(message, &node.cx, &mut out);
        }
        *self.cpu_time.entry(id.clone()).or_default() += started.elapsed();
        for (_, message) in out.take() {
            self.deliver(id, message);
        }
    }

    fn deliver(&mut self, id: &NodeId, message: Message) {
        match message {
            Message::PlatformRequest(request) => self.handle_platform_request(id, request),
            Message::PeerSend(send) => {
                let bytes = bincode::serde::encode_to_vec(&send.msg, bincode::config::standard());
                let bytes = bytes.expect("messages can be encoded").len();
                *self.peer_bytes.entry(id.clone()).or_default() += bytes;
                let from = id.clone();
                if self.nodes[id].cut_off.peers {
                    return;
                }
                let mut nodes = self.nodes.values_mut().filter(|node| !node.cut_off.peers);
                let to = nodes.find(|node| node.info.address == send.address && !node.down);
                if let Some(to) = to {
                    let msg = send.msg;
                    to.inbox.push(PeerReceived { from, msg }.into());
                }
            }
            Message::EngineOrder(order) => {
                let node = self.nodes.get_mut(id).expect("known node");
                if node.hold_orders {
                    node.held_orders.push(order);
                } else {
                    self.deliver_order(id, &order);
                }
            }
            Message::EnginePoll(poll) => {
                let now = self.now();
                let result = self.engines[&poll.vm].report(now);
                self.reply(
                    id,
                    EnginePollResult {
                        vm: poll.vm,
                        result,
                    },
                );
            }
            _ => {}
        }
    }

    fn reply(&mut self, id: &NodeId, message: impl Into<Message>) {
        let node = self.nodes.get_mut(id).expect("known node");
        node.inbox.push(message.into());
    }

    fn deliver_order(&mut self, id: &NodeId, order: &EngineOrder) {
        let now = self.now();
        let engine = self.engines.get_mut(&order.vm).expect("known VM");
        let result = engine.order(&order.order, now);
        let (vm, fencing_token) = (order.vm.clone(), order.order.fencing_token);
        self.reply(
            id,
            EngineOrderResult {
                vm,
                fencing_token,
                result,
            },
        );
    }

    /// Delivers the held orders of a node, in the order sent or in reverse; returns their number.
    pub(crate) fn release_orders(&mut self, id: &NodeId, reverse: bool) -> usize {
        let node = self.nodes.get_mut(id).expect("known node");
        node.hold_orders = false;
        let mut orders = std::mem::take(&mut node.held_orders);
        if reverse {
            orders.reverse();
        }
        for order in &orders {
            self.deliver_order(id, order);
        }
        orders.len()
    }

    fn handle_platform_request(&mut self, id: &NodeId, request: PlatformRequest) {
        self.platform_calls += 1;
        let node = self.nodes.get_mut(id).expect("known node");
        if let PlatformOp::List { after: Some(_), .. } = &request.op {
            node.watches.push((request, self.clock.now()));
            return;
        }
        let result = if node.cut_off.platform {
            Err(partition_error())
        } else {
            call_platform(&self.platform, &request.op)
        };
        let token = request.token;
        self.reply(id, PlatformReply { token, result });
    }

    /// Answers the watches whose prefix has changed or whose wait has ended.
    fn answer_watches(&mut self, id: &NodeId) {
        let now = self.now();
        let platform = self.platform.clone();
        let node = self.nodes.get_mut(id).expect("known node");
        for (request, since) in std::mem::take(&mut node.watches) {
            let PlatformOp::List {
                prefix,
                after,
                wait,
            } = &request.op
            else {
                continue;
            };
            let token = request.token;
            let result = if node.cut_off.platform {
                Err(partition_error())
            } else {
                platform.list(prefix, None, Duration::ZERO)
            };
            let wait_ended = now.duration_since(since) >= *wait;
            let changed = result.as_ref().map_or(true, |listing| {
                listing
                    .entries
                    .iter()
                    .any(|entry| Some(entry.index) > *after)
            });
            if changed || wait_ended {
                let result = result.map(PlatformAnswer::Listing);
                node.inbox.push(PlatformReply { token, result }.into());
            } else {
                node.watches.push((request, since));
            }
        }
    }

    /// Returns the placement stored in the platform.
    pub(crate) fn placement(&self) -> Option<Placement> {
        let faults = self.platform.faults();
        self.platform.change_faults(|faults| faults.down = false);
        let entry = self.platform.get(&format!("placement/{DOMAIN}"));
        self.platform.set_faults(faults);
        serde_json::from_slice(&entry.ok()??.value).ok()
    }

    /// Replaces the stored placement with an old one, as a restore from a backup does.
    pub(crate) fn restore(&mut self, backup: &Placement) {
        let key = format!("placement/{DOMAIN}");
        let entry = self.platform.get(&key).expect("up").expect("written");
        let value = serde_json::to_vec(backup).expect("text keys");
        let swap = self
            .platform
            .swap(&key, &value, Precondition::Index(entry.index));
        assert_eq!(swap, Ok(SwapOutcome::Written));
        self.restored = true;
    }

    fn check_stored_placement(&self) {
        let Some(placement) = self.placement() else {
            return;
        };
        let mut seen = BTreeSet::new();
        for vm in placement.groups.values().flat_map(|g| &g.members) {
            assert!(
                seen.insert(vm.clone()),
                "{vm} is in two groups: {placement:?}"
            );
        }
        for (id, node) in self.nodes.iter().filter(|(_, node)| !node.down) {
            let view = node.cx.placement();
            let fencing_token = view.domains.get(&placement.domain).map(|p| p.fencing_token);
            let not_ahead = fencing_token <= Some(placement.fencing_token);
            assert!(not_ahead || self.restored, "{id} is ahead of the platform");
        }
    }

    /// Returns the number of groups that their own dispatchers count as complete.
    pub(crate) fn serving(&self) -> usize {
        let now = self.now();
        let up = self.nodes.values().filter(|node| !node.down);
        up.map(|node| Self::groups_served_by(node, now).len()).sum()
    }

    /// Returns the groups that a node may send requests to.
    pub(crate) fn groups_served_by(node: &SimNode, now: Instant) -> Vec<Group> {
        let view = node.cx.placement();
        let placed = view.domains.values().flat_map(|p| p.groups.values());
        let own = placed.filter(|group| group.dispatcher == node.info.node);
        let complete = own.filter(|group| node.cx.engines().is_complete(group, now));
        complete.cloned().collect()
    }

    /// Returns the node that holds the controller lease at the platform.
    pub(crate) fn controller(&self) -> NodeId {
        self.controller_or_none().expect("a node holds the lease")
    }

    pub(crate) fn controller_or_none(&self) -> Option<NodeId> {
        let entry = self.platform.get(&format!("lease/{DOMAIN}/controller"));
        let entry = entry.ok()??;
        entry.session?;
        String::from_utf8(entry.value).ok()?.parse().ok()
    }

    /// Sends a message from one node of the domain to every node.
    pub(crate) fn send_to_all(&mut self, msg: &PeerMsg) {
        let from: NodeId = super::id("entry-0");
        for node in self.nodes.values_mut() {
            let (from, msg) = (from.clone(), msg.clone());
            node.inbox.push(PeerReceived { from, msg }.into());
        }
    }

    pub(crate) fn node(&mut self, id: &NodeId) -> &mut SimNode {
        self.nodes.get_mut(id).expect("known node")
    }
}

fn partition_error() -> PlatformError {
    PlatformError::Unreachable {
        address: "platform".into(),
        reason: "cut off".into(),
    }
}

fn call_platform(
    platform: &MemoryPlatform,
    op: &PlatformOp,
) -> Result<PlatformAnswer, PlatformError> {
    Ok(match op {
        PlatformOp::Get(key) => PlatformAnswer::Entry(platform.get(key)?),
        PlatformOp::List { prefix, .. } => {
            PlatformAnswer::Listing(platform.list(prefix, None, Duration::ZERO)?)
        }
        PlatformOp::Swap { key, value, expect } => {
            PlatformAnswer::Swap(platform.swap(key, value, *expect)?)
        }
        PlatformOp::OpenSession(ttl) => PlatformAnswer::Session(platform.open_session(*ttl)?),
        PlatformOp::RenewSession(id) => PlatformAnswer::Done(platform.renew_session(id)?),
        PlatformOp::Acquire {
            key,
            value,
            session,
        } => PlatformAnswer::Done(platform.acquire(key, value, session)?),
        PlatformOp::Release { key, session } => {
            PlatformAnswer::Done(platform.release(key, session)?)
        }
        PlatformOp::Remove { key, expect } => PlatformAnswer::Swap(platform.remove(key, *expect)?),
        PlatformOp::Vms(domain) => PlatformAnswer::Vms(platform.vms(domain)?),
    })
}
