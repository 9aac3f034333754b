//! The service that knows the entry VMs and their loads.

use std::time::Instant;

use shallottide_types::id::Fence;
use shallottide_types::peer::{Heartbeat, NodeInfo, PeerMsg};
use shallottide_types::platform::Listing;

use super::gossip::{self, Gossip, Scope, SlotTags};
use super::heartbeat_targets::{HeartbeatTargets, Target};
use super::member_table::{Heard, dispatcher_load};
use super::own_loads::OwnLoads;
use super::registration::{self, Registration};
use super::{MemberOptions, MemberTable, ring};
use crate::kernel::{Context, Name, Outbox, Service, names};
use crate::message::{Message, PeerSend};
use crate::view::NodeState;

/// Purpose by which the node is ranked that lists the nodes for its failure domain.
const LIST_PURPOSE: &str = "node-list";

/// Knows the entry VMs, tells which are alive and spreads the loads of slots.
#[derive(Debug)]
pub struct MemberService {
    options: MemberOptions,
    targets: HeartbeatTargets,
    gossip: Gossip,
    registration: Registration,
    own_loads: OwnLoads,
    slots: SlotTags,
    slots_fence: Option<Fence>,
    seq: u64,
    next_beat: Option<Instant>,
    next_list: Option<Instant>,
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
            next_list: None,
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
        }
        self.list_when_due(&me, cx);
        self.registration.tick(&me, now, out);
        self.publish(cx);
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
        for target in targets {
            let news = self.options.max_news;
            self.send_heartbeat(&target, news, cx, out);
        }
    }

    fn send_heartbeat(&mut self, to: &Target, news: usize, cx: &Context, out: &mut Outbox) {
        let me = cx.me();
        let config = cx.config().index;
        let scope = Scope {
            domain: &me.domain,
            abroad: to.abroad,
            config,
            now: cx.now(),
        };
        let Some(table) = &mut self.table else {
            return;
        };
        let node = to.node.as_ref();
        let news = if to.abroad { gossip::CONTACTS } else { news };
        let news = self.gossip.news(table, node, &scope, news);
        let sightings = if to.abroad {
            Vec::new()
        } else {
            Gossip::sightings(table, node, &scope, &self.options)
        };
        let loads = if to.abroad {
            0
        } else {
            self.options.max_own_loads
        };
        let beat = Heartbeat {
            seq: self.seq,
            config,
            placement: own_fence(&me, cx),
            news,
            loads: self.own_loads.part(loads),
            sightings,
            from: me,
        };
        let address = to.address;
        let msg = PeerMsg::Heartbeat(beat);
        out.send(names::PEERS, PeerSend { address, msg });
    }

    fn heartbeat(&mut self, beat: &Heartbeat, cx: &Context, out: &mut Outbox) {
        let now = cx.now();
        self.table(cx);
        let Some(table) = &mut self.table else {
            return;
        };
        let known = table.members().get(&beat.from.node);
        let same_start = known.filter(|known| known.info.incarnation == beat.from.incarnation);
        if same_start.is_some_and(|known| beat.seq <= known.seq) {
            return;
        }
        let heard = table.hear(&beat.from, now, beat.config, now);
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
            let target = Target::of(&beat.from, &cx.me().domain);
            self.seq += 1;
            let news = self.options.max_introductions;
            self.send_heartbeat(&target, news, cx, out);
        }
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
            let beat = Heartbeat {
                from: me.clone(),
                seq: self.seq,
                config: cx.config().index,
                placement: own_fence(&me, cx),
                news: Vec::new(),
                loads: Vec::new(),
                sightings: Vec::new(),
            };
            let address = target.address;
            let msg = PeerMsg::Heartbeat(beat);
            out.send(names::PEERS, PeerSend { address, msg });
        }
    }

    fn list_when_due(&mut self, me: &NodeInfo, cx: &Context) {
        let now = cx.now();
        if self.next_list.is_none() {
            self.next_list = Some(now + self.options.list_interval);
        }
        if self.next_list.is_some_and(|at| now < at) {
            return;
        }
        self.next_list = Some(now + self.options.list_interval);
        let alive = self.table(cx).alive_in(&me.domain, now);
        let nodes = alive.map(|member| &member.info.node).chain([&me.node]);
        if ring::first_ranked(LIST_PURPOSE, nodes, 1) == [&me.node] {
            self.registration.list_again();
        }
    }

    fn listed(&mut self, listing: &Listing, cx: &Context) {
        let now = cx.now();
        let table = self.table(cx);
        for entry in &listing.entries {
            let Some(info) = registration::read_node(entry) else {
                tracing::warn!(key = entry.key, "node entry can't be read");
                continue;
            };
            if let Some(member) = table.learn(&info, now) {
                // Every node can read the list, so that there is no need to tell of it.
                member.news_sent = gossip::NEWS_SENDS;
            }
        }
    }

    fn update_slots(&mut self, cx: &Context) {
        let placement = cx.placement();
        let own = placement.domains.get(&cx.me().domain);
        let fence = own.map(|own| own.fence);
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
            heard_at: now,
            alive: true,
            config: cx.config().index,
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
            Message::OwnLoads(loads) => self.own_loads.replace(loads, cx.now()),
            Message::PlatformReply(reply) => {
                if let Some(listing) = self.registration.finish(reply, &cx.me(), cx.now()) {
                    self.listed(&listing, cx);
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

fn own_fence(me: &NodeInfo, cx: &Context) -> Fence {
    let placement = cx.placement();
    let own = placement.domains.get(&me.domain);
    own.map(|own| own.fence).unwrap_or_default()
}
