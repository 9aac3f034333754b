//! Members service that has received heartbeats from many nodes.

use shallottide::kernel::{Outbox, Service};
use shallottide::members::{MemberOptions, MemberService};
use shallottide::message::{Message, PeerReceived};
use shallottide_types::id::{FencingToken, StoreIndex};
use shallottide_types::peer::{Heartbeat, LoadSummary, PeerMsg, Slot};

use crate::domain_fixture::{DomainFixture, DomainSize, id, node};

/// Members service that has received heartbeats from many nodes, each with the load of one slot.
pub(crate) struct MembersFixture {
    fixture: DomainFixture,
    service: MemberService,
}

impl MembersFixture {
    /// Creates a service that has received a heartbeat from each of `count` nodes.
    #[must_use]
    pub(crate) fn new(count: u32) -> Self {
        let fixture = DomainFixture::new(DomainSize {
            nodes: 1,
            servers: 0,
            upstreams: 0,
        });
        let mut fixture = Self {
            fixture,
            service: MemberService::new(MemberOptions::default()),
        };
        for number in 1..=count {
            fixture.receive_heartbeat(number);
        }
        fixture.handle(Message::Tick);
        fixture
    }

    /// Returns the number of nodes that the service considers alive, itself included.
    #[must_use]
    pub(crate) fn alive_count(&self) -> usize {
        let members = self.fixture.cx.members();
        members.nodes.values().filter(|node| node.alive).count()
    }

    fn receive_heartbeat(&mut self, number: u32) {
        let load = LoadSummary {
            slot: Slot::Group(id(&format!("tide-{number:03}"))),
            in_flight: 30,
            limit: 64,
        };
        let heartbeat = Heartbeat {
            from: node(number),
            seq: 1,
            config_index: StoreIndex(1),
            placement_token: FencingToken(1),
            updates: Vec::new(),
            loads: vec![load],
            compact_updates: Vec::new(),
        };
        let from = node(number).node;
        let msg = PeerMsg::Heartbeat(heartbeat);
        self.handle(PeerReceived { from, msg }.into());
    }

    fn handle(&mut self, message: Message) {
        let mut out = Outbox::default();
        self.service.handle(message, &self.fixture.cx, &mut out);
    }
}
