//! A members service that has heard many nodes.

use shallottide::kernel::{Outbox, Service};
use shallottide::members::{MemberOptions, MemberService};
use shallottide::message::{Message, PeerReceived};
use shallottide_types::id::{FencingToken, StoreIndex};
use shallottide_types::peer::{Heartbeat, LoadSummary, PeerMsg, Slot};

use crate::world::{World, WorldSize, id, node};

/// A members service that has heard many nodes, each with one slot.
pub(crate) struct HeldNodes {
    world: World,
    service: MemberService,
}

impl HeldNodes {
    /// Creates a service that has heard so many nodes.
    #[must_use]
    pub(crate) fn new(count: u32) -> Self {
        let world = World::new(WorldSize {
            nodes: 1,
            servers: 0,
            upstreams: 0,
        });
        let mut held = Self {
            world,
            service: MemberService::new(MemberOptions::default()),
        };
        for number in 1..=count {
            held.hear(number);
        }
        held.handle(Message::Tick);
        held
    }

    /// Returns the number of nodes that count as alive.
    #[must_use]
    pub(crate) fn alive(&self) -> usize {
        let members = self.world.cx.members();
        members.nodes.values().filter(|node| node.alive).count()
    }

    fn hear(&mut self, number: u32) {
        let load = LoadSummary {
            slot: Slot::Group(id(&format!("tide-{number:03}"))),
            in_flight: 30,
            limit: 64,
        };
        let beat = Heartbeat {
            from: node(number),
            seq: 1,
            config_index: StoreIndex(1),
            placement_token: FencingToken(1),
            updates: Vec::new(),
            loads: vec![load],
            compact_updates: Vec::new(),
        };
        let from = node(number).node;
        let msg = PeerMsg::Heartbeat(beat);
        self.handle(PeerReceived { from, msg }.into());
    }

    fn handle(&mut self, message: Message) {
        let mut out = Outbox::default();
        self.service.handle(message, &self.world.cx, &mut out);
    }
}
