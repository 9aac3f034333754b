//! The service that tracks the entry VMs and the loads of their slots.

use std::time::{Duration, Instant};

use shallottide_types::id::FencingToken;
use shallottide_types::peer::{Heartbeat, NodeInfo, PeerMsg};
use shallottide_types::platform::Listing;

use super::gossip::{self, Gossip, GossipScope, SlotTags};
use super::heartbeat_targets::{HeartbeatTarget, HeartbeatTargets};
use super::member_table::{LivenessChange, dispatcher_load};
use super::node_list::{self, ListReader, NodeListSchedule};
use super::own_loads::OwnLoads;
use super::registration::Registration;
use super::{MemberOptions, MemberTable, ring};
use crate::kernel::{Context, Name, Outbox, Service, names};
use crate::message::{Message, PeerSend};
use crate::view::NodeState;

/// Purpose that ranks the node which lists all nodes on behalf of its failure domain.
const LIST_PURPOSE: &str = "node-list";

/// Minimum number of node updates in a heartbeat to another failure domain, which carries nothing
/// else.
const MIN_UPDATES_TO_OTHER_DOMAIN: usize = 2;

/// Shortest time between two published views, because each view is built from scratch.
const PUBLISH_INTERVAL: Duration = Duration::from_millis(300);

/// Tracks the entry VMs by heartbeats, publishes which are alive, and disseminates the loads of
/// slots.
#[derive(Debug)]
pub struct MemberService {
    options: MemberOptions,
    targets: HeartbeatTargets,
    gossip: Gossip,
    registration: Registration,
    own_loads: OwnLoads,
    slots: SlotTags,
    slots_fencing_token: Option<FencingToken>,
    heartbeat_seq: u64,
    next_heartbeat_at: Option<Instant>,
    node_list: NodeListSchedule,
    changed: bool,
    next_publish: Option<Instant>,
    table: Option<MemberTable>,
}

impl MemberService {
    /// Creates the service; it knows no other node yet.
    #[must_use]
    pub fn new(options: MemberOptions) -> Self {
        Self {
            targets: HeartbeatTargets::new(&options),
            gossip: Gossip::default(),
            registration: Registration::new(&options),
            own_loads: OwnLoads::default(),
            slots: SlotTags::default(),
            slots_fencing_token: None,
            heartbeat_seq: 0,
            next_heartbeat_at: None,
            node_list: NodeListSchedule::new(&options),
            changed: true,
            next_publish: None,
            table: None,
            options,
        }
    }

    fn table(&mut self, cx: &Context) -> &mut MemberTable {
        let options = &self.options;
        self.table
            .get_or_insert_with(|| MemberTable::new(&cx.me(), options))
    }

    fn tick(&mut self, cx: &Context, out: &mut Outbox) {
        let now = cx.now();
        let me = cx.me();
        self.update_slots(cx);
        if self.next_heartbeat_at.is_none_or(|at| now >= at) {
            self.next_heartbeat_at = Some(now + self.options.heartbeat_interval);
            self.send_heartbeats(&me, cx, out);
            self.changed = true;
        }
        self.request_listing_if_due(&me, cx);
        self.registration.tick(&me, now, out);
        if self.changed && self.next_publish.is_none_or(|at| now >= at) {
            self.changed = false;
            self.next_publish = Some(now + PUBLISH_INTERVAL);
            self.publish(cx);
        }
    }

    /// Sends one round of heartbeats.
    fn send_heartbeats(&mut self, me: &NodeInfo, cx: &Context, out: &mut Outbox) {
        let now = cx.now();
        self.table(cx);
        let Some(table) = &self.table else {
            return;
        };
        let targets = self.targets.choose(me, table, now);
        self.heartbeat_seq += 1;
        self.own_loads.next_batch(self.options.max_own_loads);
        let config = cx.config().index;
        let own_domain = GossipScope::new(table, &me.domain, false, config, now);
        let other_domains = GossipScope::new(table, &me.domain, true, config, now);
        let max_updates = self.options.max_node_updates;
        for target in targets {
            let scope = if target.is_other_domain {
                &other_domains
            } else {
                &own_domain
            };
            self.send_heartbeat(&target, scope, max_updates, cx, out);
        }
    }

    fn send_heartbeat(
        &mut self,
        to: &HeartbeatTarget,
        scope: &GossipScope,
        max_updates: usize,
        cx: &Context,
        out: &mut Outbox,
    ) {
        let Some(table) = &mut self.table else {
            return;
        };
        let node = to.node.as_ref();
        let max_updates = if to.is_other_domain {
            max_updates.max(MIN_UPDATES_TO_OTHER_DOMAIN)
        } else {
            max_updates
        };
        let mut heartbeat = Self::own_heartbeat(self.heartbeat_seq, cx);
        heartbeat.updates = self.gossip.node_updates(table, node, scope, max_updates);
        if !to.is_other_domain {
            heartbeat.compact_updates = Gossip::compact_updates(table, node, scope, &self.options);
            heartbeat.loads = self.own_loads.batch(self.options.max_own_loads);
        }
        send(to, heartbeat, out);
    }

    /// Returns a heartbeat with information about this node only.
    fn own_heartbeat(heartbeat_seq: u64, cx: &Context) -> Heartbeat {
        let me = cx.me();
        Heartbeat {
            seq: heartbeat_seq,
            config_index: cx.config().index,
            placement_token: own_fencing_token(&me, cx),
            updates: Vec::new(),
            loads: Vec::new(),
            compact_updates: Vec::new(),
            from: me,
        }
    }

    fn handle_heartbeat(&mut self, heartbeat: &Heartbeat, cx: &Context, out: &mut Outbox) {
        let now = cx.now();
        self.changed = true;
        self.table(cx);
        let Some(table) = &mut self.table else {
            return;
        };
        let known = table.members().get(&heartbeat.from.node);
        let same_incarnation =
            known.filter(|known| known.info.incarnation == heartbeat.from.incarnation);
        if same_incarnation.is_some_and(|known| heartbeat.seq <= known.heartbeat_seq) {
            return;
        }
        let change = table.record_seen_alive(&heartbeat.from, now, heartbeat.config_index, now);
        if change == LivenessChange::Ignored {
            return;
        }
        if let Some(member) = table.get_mut(&heartbeat.from.node) {
            member.heartbeat_seq = heartbeat.seq;
            for load in &heartbeat.loads {
                member.record_load(load.clone(), now);
            }
        }
        gossip::apply_heartbeat(table, heartbeat, &self.slots, now);
        if change == LivenessChange::Returned {
            self.send_rejoin_updates(&heartbeat.from, cx, out);
        }
    }

    /// Sends the infos of other nodes to a node that was not alive before.
    fn send_rejoin_updates(&mut self, to: &NodeInfo, cx: &Context, out: &mut Outbox) {
        let me = cx.me();
        let Some(table) = &self.table else {
            return;
        };
        let target = HeartbeatTarget::new(to, &me.domain);
        let config = cx.config().index;
        let scope = GossipScope::new(table, &me.domain, target.is_other_domain, config, cx.now());
        self.heartbeat_seq += 1;
        let max_updates = self.options.max_rejoin_updates;
        self.send_heartbeat(&target, &scope, max_updates, cx, out);
    }

    /// Notifies all alive nodes of this failure domain that this node is stopping.
    fn notify_stopping(&mut self, cx: &Context, out: &mut Outbox) {
        cx.set_stopping();
        let me = cx.me();
        let now = cx.now();
        self.table(cx);
        let Some(table) = &self.table else {
            return;
        };
        let targets: Vec<HeartbeatTarget> = table
            .alive_in(&me.domain, now)
            .map(|member| HeartbeatTarget::new(&member.info, &me.domain))
            .collect();
        self.heartbeat_seq += 1;
        for target in targets {
            send(&target, Self::own_heartbeat(self.heartbeat_seq, cx), out);
        }
    }

    fn request_listing_if_due(&mut self, me: &NodeInfo, cx: &Context) {
        let should_list = match self.node_list.due(cx.now()) {
            Some(ListReader::AllNodes) => true,
            Some(ListReader::Lister) => self.is_lister(me, cx),
            None => false,
        };
        if should_list {
            self.registration.request_listing();
        }
    }

    /// Returns whether this node lists all nodes on behalf of its failure domain.
    fn is_lister(&mut self, me: &NodeInfo, cx: &Context) -> bool {
        let alive = self.table(cx).alive_in(&me.domain, cx.now());
        let nodes = alive.map(|member| &member.info.node).chain([&me.node]);
        ring::first_ranked(LIST_PURPOSE, nodes, 1) == [&me.node]
    }

    fn handle_listing(&mut self, listing: &Listing, cx: &Context, out: &mut Outbox) {
        self.changed = true;
        let me = cx.me();
        let remove_after = self.options.remove_after;
        let is_lister = self.is_lister(&me, cx);
        let table = self.table(cx);
        let dead = node_list::apply_listing(table, listing, &me, cx.now(), remove_after);
        for entry in dead.into_iter().filter(|_| is_lister) {
            self.registration.remove(entry, out);
        }
    }

    fn update_slots(&mut self, cx: &Context) {
        let placement = cx.placement();
        let own = placement.domains.get(&cx.me().domain);
        let fencing_token = own.map(|own| own.fencing_token);
        if fencing_token != self.slots_fencing_token {
            self.slots_fencing_token = fencing_token;
            self.slots = own.map(SlotTags::from_placement).unwrap_or_default();
        }
    }

    fn publish(&mut self, cx: &Context) {
        let now = cx.now();
        let me = cx.me();
        let max_age = self.options.max_load_age;
        let mut view = self.table(cx).view(now);
        for (load, at) in self.own_loads.all() {
            if now.saturating_duration_since(at) <= max_age {
                let own_load = dispatcher_load(&me.node, load, at);
                view.loads.insert(load.slot.clone(), own_load);
            }
        }
        let state = NodeState {
            last_seen: now,
            alive: true,
            config_index: cx.config().index,
            info: me.clone(),
        };
        view.nodes.insert(me.node, state);
        cx.publish_members(view);
    }
}

impl Service for MemberService {
    fn name(&self) -> Name {
        names::MEMBERS
    }

    fn handle(&mut self, message: Message, cx: &Context, out: &mut Outbox) {
        match message {
            Message::Tick => self.tick(cx, out),
            Message::Stop => self.notify_stopping(cx, out),
            Message::OwnLoads(loads) => {
                self.own_loads.replace(loads, cx.now());
                self.changed = true;
            }
            Message::PlatformReply(reply) => {
                if let Some(listing) = self.registration.handle_reply(reply, &cx.me(), cx.now()) {
                    self.handle_listing(&listing, cx, out);
                }
            }
            Message::PeerReceived(received) => {
                if let PeerMsg::Heartbeat(heartbeat) = received.msg
                    && heartbeat.from.node == received.from
                {
                    self.handle_heartbeat(&heartbeat, cx, out);
                }
            }
            _ => {}
        }
    }
}

fn send(to: &HeartbeatTarget, heartbeat: Heartbeat, out: &mut Outbox) {
    let address = to.address;
    let msg = PeerMsg::Heartbeat(heartbeat);
    out.send(names::PEERS, PeerSend { address, msg });
}

fn own_fencing_token(me: &NodeInfo, cx: &Context) -> FencingToken {
    let placement = cx.placement();
    let own = placement.domains.get(&me.domain);
    own.map(|own| own.fencing_token).unwrap_or_default()
}
