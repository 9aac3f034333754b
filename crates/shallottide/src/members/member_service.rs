//! The service that knows the entry VMs and their loads.

use std::time::{Duration, Instant};

use shallottide_types::id::FencingToken;
use shallottide_types::peer::{Heartbeat, NodeInfo, PeerMsg};
use shallottide_types::platform::Listing;

use super::gossip::{self, Gossip, Scope, SlotTags};
use super::heartbeat_targets::{HeartbeatTargets, Target};
use super::member_table::{Heard, dispatcher_load};
use super::node_list::{self, ListReader, NodeList};
use super::own_loads::OwnLoads;
use super::registration::Registration;
use super::{MemberOptions, MemberTable, ring};
use crate::kernel::{Context, Name, Outbox, Service, names};
use crate::message::{Message, PeerSend};
use crate::view::NodeState;

/// Purpose by which the node is ranked that lists the nodes for its failure domain.
const LIST_PURPOSE: &str = "node-list";

/// Nodes introduced in a heartbeat to another failure domain, which tells nothing else.
const NEWS_ABROAD: usize = 2;

/// Shortest time between two views, which are built whole.
const PUBLISH_INTERVAL: Duration = Duration::from_millis(300);

/// Knows the entry VMs, tells which are alive and spreads the loads of slots.
#[derive(Debug)]
pub struct MemberService {
    options: MemberOptions,
    targets: HeartbeatTargets,
    gossip: Gossip,
    registration: Registration,
    own_loads: OwnLoads,
    slots: SlotTags,
    slots_fence: Option<FencingToken>,
    seq: u64,
    next_beat: Option<Instant>,
    node_list: NodeList,
    changed: bool,
    next_publish: Option<Instant>,
    table: Option<MemberTable>,
}

impl MemberService {
    /// Creates the service without any other node.
    #[must_use]
    pub fn new(options: MemberOptions) -> Self {
        Self {
            targets: HeartbeatTargets::new(&options),
            gossip: Gossip::default(),
            registration: Registration::new(&options),
            own_loads: OwnLoads::default(),
            slots: SlotTags::default(),
            slots_fence: None,
            seq: 0,
            next_beat: None,
            node_list: NodeList::new(&options),
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
        if self.next_beat.is_none_or(|at| now >= at) {
            self.next_beat = Some(now + self.options.period);
            self.beat(&me, cx, out);
            self.changed = true;
        }
        self.list_when_due(&me, cx);
        self.registration.tick(&me, now, out);
        if self.changed && self.next_publish.is_none_or(|at| now >= at) {
            self.changed = false;
            self.next_publish = Some(now + PUBLISH_INTERVAL);
            self.publish(cx);
        }
    }

    /// Sends this beat's heartbeats.
    fn beat(&mut self, me: &NodeInfo, cx: &Context, out: &mut Outbox) {
        let now = cx.now();
        self.table(cx);
        let Some(table) = &self.table else {
            return;
        };
        let targets = self.targets.choose(me, table, now);
        self.seq += 1;
        self.own_loads.next_turn(self.options.max_own_loads);
        let config = cx.config().index;
        let home = Scope::new(table, &me.domain, false, config, now);
        let abroad = Scope::new(table, &me.domain, true, config, now);
        let news = self.options.max_news;
        for target in targets {
            let scope = if target.abroad { &abroad } else { &home };
            self.send_heartbeat(&target, scope, news, cx, out);
        }
    }

    fn send_heartbeat(
        &mut self,
        to: &Target,
        scope: &Scope,
        news: usize,
        cx: &Context,
        out: &mut Outbox,
    ) {
        let Some(table) = &mut self.table else {
            return;
        };
        let node = to.node.as_ref();
        let news = if to.abroad {
            news.max(NEWS_ABROAD)
        } else {
            news
        };
        let mut beat = Self::bare_beat(self.seq, cx);
        beat.updates = self.gossip.news(table, node, scope, news);
        if !to.abroad {
            beat.compact_updates = Gossip::sightings(table, node, scope, &self.options);
            beat.loads = self.own_loads.part(self.options.max_own_loads);
        }
        send(to, beat, out);
    }

    /// Returns a heartbeat that tells of this node only.
    fn bare_beat(seq: u64, cx: &Context) -> Heartbeat {
        let me = cx.me();
        Heartbeat {
            seq,
            config_index: cx.config().index,
            placement_token: own_fence(&me, cx),
            updates: Vec::new(),
            loads: Vec::new(),
            compact_updates: Vec::new(),
            from: me,
        }
    }

    fn heartbeat(&mut self, beat: &Heartbeat, cx: &Context, out: &mut Outbox) {
        let now = cx.now();
        self.changed = true;
        self.table(cx);
        let Some(table) = &mut self.table else {
            return;
        };
        let known = table.members().get(&beat.from.node);
        let same_start = known.filter(|known| known.info.incarnation == beat.from.incarnation);
        if same_start.is_some_and(|known| beat.seq <= known.seq) {
            return;
        }
        let heard = table.hear(&beat.from, now, beat.config_index, now);
        if heard == Heard::Nothing {
            return;
        }
        if let Some(member) = table.get_mut(&beat.from.node) {
            member.seq = beat.seq;
            for load in &beat.loads {
                member.load(load.clone(), now);
            }
        }
        gossip::absorb(table, beat, &self.slots, now);
        if heard == Heard::Returned {
            self.introduce(&beat.from, cx, out);
        }
    }

    /// Tells a node that was not alive before where others are.
    fn introduce(&mut self, to: &NodeInfo, cx: &Context, out: &mut Outbox) {
        let me = cx.me();
        let Some(table) = &self.table else {
            return;
        };
        let target = Target::of(to, &me.domain);
        let config = cx.config().index;
        let scope = Scope::new(table, &me.domain, target.abroad, config, cx.now());
        self.seq += 1;
        let news = self.options.max_introductions;
        self.send_heartbeat(&target, &scope, news, cx, out);
    }

    /// Tells all nodes of this failure domain at once that this node is stopping.
    fn stop(&mut self, cx: &Context, out: &mut Outbox) {
        cx.set_stopping();
        let me = cx.me();
        let now = cx.now();
        self.table(cx);
        let Some(table) = &self.table else {
            return;
        };
        let targets: Vec<Target> = table
            .alive_in(&me.domain, now)
            .map(|member| Target::of(&member.info, &me.domain))
            .collect();
        self.seq += 1;
        for target in targets {
            send(&target, Self::bare_beat(self.seq, cx), out);
        }
    }

    fn list_when_due(&mut self, me: &NodeInfo, cx: &Context) {
        let wanted = match self.node_list.due(cx.now()) {
            Some(ListReader::Everyone) => true,
            Some(ListReader::Lister) => self.is_lister(me, cx),
            None => false,
        };
        if wanted {
            self.registration.list_again();
        }
    }

    /// Tells whether this node lists the nodes for its failure domain.
    fn is_lister(&mut self, me: &NodeInfo, cx: &Context) -> bool {
        let alive = self.table(cx).alive_in(&me.domain, cx.now());
        let nodes = alive.map(|member| &member.info.node).chain([&me.node]);
        ring::first_ranked(LIST_PURPOSE, nodes, 1) == [&me.node]
    }

    fn listed(&mut self, listing: &Listing, cx: &Context, out: &mut Outbox) {
        self.changed = true;
        let me = cx.me();
        let remove_after = self.options.remove_after;
        let is_lister = self.is_lister(&me, cx);
        let table = self.table(cx);
        let dead = node_list::take_in(table, listing, &me, cx.now(), remove_after);
        for entry in dead.into_iter().filter(|_| is_lister) {
            self.registration.remove(entry, out);
        }
    }

    fn update_slots(&mut self, cx: &Context) {
        let placement = cx.placement();
        let own = placement.domains.get(&cx.me().domain);
        let fence = own.map(|own| own.fencing_token);
        if fence != self.slots_fence {
            self.slots_fence = fence;
            self.slots = own.map(SlotTags::of).unwrap_or_default();
        }
    }

    fn publish(&mut self, cx: &Context) {
        let now = cx.now();
        let me = cx.me();
        let max_age = self.options.max_load_age;
        let mut view = self.table(cx).view(now);
        for (load, at) in self.own_loads.all() {
            if now.saturating_duration_since(at) <= max_age {
                let load_of_me = dispatcher_load(&me.node, load, at);
                view.loads.insert(load.slot.clone(), load_of_me);
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
            Message::Stop => self.stop(cx, out),
            Message::OwnLoads(loads) => {
                self.own_loads.replace(loads, cx.now());
                self.changed = true;
            }
            Message::PlatformReply(reply) => {
                if let Some(listing) = self.registration.finish(reply, &cx.me(), cx.now()) {
                    self.listed(&listing, cx, out);
                }
            }
            Message::PeerReceived(received) => {
                if let PeerMsg::Heartbeat(beat) = received.msg
                    && beat.from.node == received.from
                {
                    self.heartbeat(&beat, cx, out);
                }
            }
            _ => {}
        }
    }
}

fn send(to: &Target, beat: Heartbeat, out: &mut Outbox) {
    let address = to.address;
    let msg = PeerMsg::Heartbeat(beat);
    out.send(names::PEERS, PeerSend { address, msg });
}

fn own_fence(me: &NodeInfo, cx: &Context) -> FencingToken {
    let placement = cx.placement();
    let own = placement.domains.get(&me.domain);
    own.map(|own| own.fencing_token).unwrap_or_default()
}
