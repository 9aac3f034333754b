//! Members services of all nodes of a failure domain, run on one thread.

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

use crate::domain_fixture::{DomainFixture, DomainSize, domain, node};
use crate::fake_platform::FakePlatform;

/// Time between two ticks of a node.
const TICK: Duration = Duration::from_millis(100);

/// Number of servers of the failure domain.
const SERVERS: u32 = 160;

/// Sums over all nodes.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct GossipTotals {
    /// Time spent in the services.
    pub(crate) work: Duration,
    /// Part of `work` spent handling messages from peers.
    pub(crate) handling: Duration,
    /// Number of messages sent to peers.
    pub(crate) messages: u32,
    /// Encoded size of these messages in bytes, without framing.
    pub(crate) bytes: u32,
}

struct GossipNode {
    cx: Context,
    service: MemberService,
}

/// Members services of all nodes of a failure domain, run on one thread with simulated time.
pub(crate) struct GossipDomain {
    clock: ManualClock,
    platform: FakePlatform,
    nodes: BTreeMap<SocketAddr, GossipNode>,
    totals: GossipTotals,
}

impl GossipDomain {
    /// Creates a failure domain with `count` nodes. `seed` determines their random choices.
    #[must_use]
    pub(crate) fn new(count: u32, seed: u64) -> Self {
        let fixture = DomainFixture::new(DomainSize {
            nodes: count,
            servers: SERVERS,
            upstreams: 0,
        });
        let clock = fixture.clock.clone();
        let start = |number: u32| {
            let info = node(number);
            let cx = Context::new(std::sync::Arc::new(clock.clone()), info.clone());
            let domains = BTreeMap::from([(domain(), fixture.placement())]);
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

    /// Resets the totals to zero.
    pub(crate) fn reset_totals(&mut self) {
        self.totals = GossipTotals::default();
    }

    /// Returns the sums over all nodes since the last reset.
    #[must_use]
    pub(crate) fn totals(&self) -> GossipTotals {
        self.totals
    }

    /// Advances the simulated time by `time`, with all ticks and messages in it.
    pub(crate) fn run(&mut self, time: Duration) {
        for _ in 0..time.as_millis() / TICK.as_millis() {
            self.clock.advance(TICK);
            self.step();
        }
    }

    /// Sends a tick to each node and delivers messages until none is left.
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

    /// Returns the loads of the slots that a node is the dispatcher of.
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

    /// Delivers a message to a node, answers its platform requests and returns what it sends to peers.
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
                    let result = self.platform.run_op(request.op);
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
