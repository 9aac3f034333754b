//! The members services of a whole failure domain on one thread.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use shallottide::kernel::{Context, Outbox, Service};
use shallottide::members::{MemberOptions, MemberService};
use shallottide::message::{Message, PeerReceived, PeerSend, PlatformReply};
use shallottide::peer_codec::encode;
use shallottide::view::PlacementView;
use shallottide_types::clock::ManualClock;
use shallottide_types::id::NodeId;
use shallottide_types::peer::{LoadSummary, Slot};

use crate::fake_platform::FakePlatform;
use crate::world::{World, WorldSize, domain, node};

/// Time between two ticks of the kernel.
const TICK: Duration = Duration::from_millis(100);

/// Servers of the failure domain.
const SERVERS: u32 = 160;

/// What all nodes did together.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct GossipTotals {
    /// Processor time of the services.
    pub(crate) work: Duration,
    /// The part of it that handled messages.
    pub(crate) handling: Duration,
    /// Messages sent.
    pub(crate) messages: u32,
    /// Their bytes.
    pub(crate) bytes: u32,
}

struct GossipNode {
    cx: Context,
    service: MemberService,
}

/// The members services of a whole failure domain on one thread.
pub(crate) struct GossipDomain {
    clock: ManualClock,
    platform: FakePlatform,
    nodes: BTreeMap<SocketAddr, GossipNode>,
    totals: GossipTotals,
}

impl GossipDomain {
    /// Starts so many nodes; the seed fixes their random choices.
    #[must_use]
    pub(crate) fn new(count: u32, seed: u64) -> Self {
        let world = World::new(WorldSize {
            nodes: count,
            servers: SERVERS,
            upstreams: 0,
        });
        let clock = world.clock.clone();
        let start = |number: u32| {
            let info = node(number);
            let cx = Context::new(std::sync::Arc::new(clock.clone()), info.clone());
            let domains = BTreeMap::from([(domain(), world.placement())]);
            cx.publish_placement(PlacementView { domains });
            let options = MemberOptions {
                seed: seed * 1_000 + u64::from(number),
                ..MemberOptions::default()
            };
            let service = MemberService::new(options);
            (info.address, GossipNode { cx, service })
        };
        Self {
            platform: FakePlatform::new(&clock),
            nodes: (0..count).map(start).collect(),
            totals: GossipTotals::default(),
            clock,
        }
    }

    /// Forgets what was counted.
    pub(crate) fn reset(&mut self) {
        self.totals = GossipTotals::default();
    }

    /// Returns what all nodes did together.
    #[must_use]
    pub(crate) fn totals(&self) -> GossipTotals {
        self.totals
    }

    /// Lets time pass.
    pub(crate) fn run(&mut self, time: Duration) {
        for _ in 0..time.as_millis() / TICK.as_millis() {
            self.clock.advance(TICK);
            self.step();
        }
    }

    fn step(&mut self) {
        let addresses: Vec<SocketAddr> = self.nodes.keys().copied().collect();
        let mut sent = Vec::new();
        for address in addresses {
            let loads = self.own_loads(address);
            sent.extend(self.handle(address, Message::OwnLoads(loads)));
            sent.extend(self.handle(address, Message::Tick));
        }
        while let Some((from, PeerSend { address, msg })) = sent.pop() {
            self.totals.messages += 1;
            self.totals.bytes += u32::try_from(encode(&msg).len()).expect("short");
            let before = self.totals.work;
            let received = PeerReceived { from, msg };
            sent.extend(self.handle(address, received.into()));
            self.totals.handling += self.totals.work.saturating_sub(before);
        }
    }

    /// Loads of the slots that a node dispatches to.
    fn own_loads(&self, address: SocketAddr) -> Vec<LoadSummary> {
        let cx = &self.nodes[&address].cx;
        let placement = cx.placement();
        let groups = &placement.domains[&domain()].groups;
        let own = groups.iter().filter(|(_, g)| g.dispatcher == cx.me().node);
        let load = |id: &shallottide_types::id::GroupId| LoadSummary {
            slot: Slot::Group(id.clone()),
            in_flight: 30,
            limit: 64,
        };
        own.map(|(id, _)| load(id)).collect()
    }

    /// Lets a node handle a message; returns what it sends to peers.
    fn handle(&mut self, address: SocketAddr, message: Message) -> Vec<(NodeId, PeerSend)> {
        let Some(node) = self.nodes.get_mut(&address) else {
            return Vec::new();
        };
        let mut out = Outbox::default();
        let start = Instant::now();
        node.service.handle(message, &node.cx, &mut out);
        self.totals.work += start.elapsed();
        let mut sends = Vec::new();
        let mut replies = Vec::new();
        let me = node.cx.me().node;
        for (_, message) in out.take() {
            match message {
                Message::PeerSend(send) => sends.push((me.clone(), send)),
                Message::PlatformRequest(request) => {
                    let token = request.token;
                    let result = self.platform.run(request.op);
                    replies.push(PlatformReply { token, result });
                }
                _ => {}
            }
        }
        for reply in replies {
            sends.extend(self.handle(address, reply.into()));
        }
        sends
    }
}
