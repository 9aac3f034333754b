//! Config and members services of many nodes over a simulated network and platform, in one thread.
#![allow(dead_code, unused_imports, reason = "each test uses only a part")]

mod fake_platform;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use shallottide::config::{ConfigOptions, ConfigService};
use shallottide::kernel::{Context, Name, Outbox, Service, names};
use shallottide::members::{MemberOptions, MemberService};
use shallottide::message::{Message, PeerReceived, PlatformReply, PlatformRequest};
use shallottide::peer_codec::encode;
use shallottide_types::clock::{Clock, ManualClock};
use shallottide_types::id::Incarnation;
use shallottide_types::peer::{NodeInfo, PeerMsg};

pub(crate) use fake_platform::{FakePlatform, Reach, upstream_json};

/// Time between two ticks of a node.
const TICK_INTERVAL: Duration = Duration::from_millis(200);

/// Largest delivery delay of a message, in milliseconds.
const MAX_DELAY_MS: u64 = 20;

/// Services and counters of one simulated node.
pub(crate) struct Node {
    pub(crate) cx: Context,
    pub(crate) config: ConfigService,
    pub(crate) members: MemberService,
    /// Whether the node runs; messages to a node that does not are lost.
    pub(crate) running: bool,
    /// Whether the node is frozen; messages to it are delayed.
    pub(crate) paused: bool,
    pub(crate) messages_sent: usize,
    /// Bytes of control messages sent and received.
    pub(crate) traffic_bytes: usize,
    /// Highest limit of each upstream that has been in force, to detect reverts.
    highest_limits: BTreeMap<String, u32>,
}

enum Event {
    Tick(usize),
    Deliver(usize, Name, Box<Message>),
    Platform(usize, PlatformRequest),
}

/// Simulated cluster: the nodes, the messages in flight between them, and the platform.
pub(crate) struct Cluster {
    pub(crate) clock: ManualClock,
    pub(crate) nodes: Vec<Node>,
    pub(crate) platform: FakePlatform,
    /// Whether messages from the first node to the second are delivered.
    pub(crate) link_is_up: Box<dyn Fn(usize, usize) -> bool>,
    /// Fraction of messages between nodes that is lost.
    pub(crate) loss_rate: f64,
    events: BTreeMap<(Instant, u64), Event>,
    /// Number of scheduled events, which orders events of the same time.
    event_count: u64,
    rng: StdRng,
}

pub(crate) fn domain_name(node: usize, per_domain: usize) -> String {
    format!("domain-{}", node / per_domain)
}

impl Cluster {
    /// Starts nodes without records, with the first two nodes as seeds.
    pub(crate) fn new(domains: usize, per_domain: usize, seed: u64) -> Self {
        let mut cluster = Self {
            clock: ManualClock::default(),
            nodes: Vec::new(),
            platform: FakePlatform::default(),
            link_is_up: Box::new(|_, _| true),
            loss_rate: 0.0,
            events: BTreeMap::new(),
            event_count: 0,
            rng: StdRng::seed_from_u64(seed),
        };
        for i in 0..domains * per_domain {
            let domain = domain_name(i, per_domain);
            let node = cluster.start_node(i, &domain, 1);
            cluster.nodes.push(node);
            let phase = Duration::from_millis(cluster.rng.random_range(0..1_000));
            cluster.schedule(phase, Event::Tick(i));
        }
        cluster
    }

    fn start_node(&self, i: usize, domain: &str, incarnation: u64) -> Node {
        let info = NodeInfo {
            node: format!("{domain}-entry-{i:03}").parse().unwrap(),
            incarnation: Incarnation(incarnation),
            domain: domain.parse().unwrap(),
            address: address(i),
            stopping: false,
        };
        let seed = i as u64;
        let members = MemberOptions {
            seeds: vec![address(0), address(1)],
            seed,
            ..MemberOptions::default()
        };
        let config = ConfigOptions {
            seed,
            ..ConfigOptions::default()
        };
        Node {
            cx: Context::new(Arc::new(self.clock.clone()), info),
            config: ConfigService::new(config),
            members: MemberService::new(members),
            running: true,
            paused: false,
            messages_sent: 0,
            traffic_bytes: 0,
            highest_limits: BTreeMap::new(),
        }
    }

    /// Restarts a node with empty state and a higher incarnation.
    pub(crate) fn restart(&mut self, i: usize) {
        let me = self.nodes[i].cx.me();
        let incarnation = me.incarnation.0 + 1;
        self.nodes[i] = self.start_node(i, me.domain.as_str(), incarnation);
    }

    fn schedule(&mut self, after: Duration, event: Event) {
        self.event_count += 1;
        let at = self.clock.now() + after;
        self.events.insert((at, self.event_count), event);
    }

    fn delay(&mut self) -> Duration {
        Duration::from_millis(self.rng.random_range(1..=MAX_DELAY_MS))
    }

    /// Advances the clock by `time`, handling all events that become due.
    pub(crate) fn run(&mut self, time: Duration) {
        let end = self.clock.now() + time;
        while let Some(first) = self.events.first_entry().filter(|e| e.key().0 <= end) {
            let ((at, _), event) = first.remove_entry();
            self.clock.advance(at - self.clock.now());
            self.handle(event);
        }
        self.clock.advance(end - self.clock.now());
    }

    /// Advances the clock until a condition holds and returns the time it took, or `None` if it
    /// does not hold within `timeout`.
    pub(crate) fn run_until(
        &mut self,
        timeout: Duration,
        done: impl Fn(&Self) -> bool,
    ) -> Option<Duration> {
        let start = self.clock.now();
        while self.clock.now() - start <= timeout {
            if done(self) {
                return Some(self.clock.now() - start);
            }
            self.run(TICK_INTERVAL);
        }
        None
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Tick(i) => {
                if self.nodes[i].running && !self.nodes[i].paused {
                    self.deliver(i, names::MEMBERS, Message::Tick);
                    self.deliver(i, names::CONFIG, Message::Tick);
                }
                self.schedule(TICK_INTERVAL, Event::Tick(i));
            }
            Event::Deliver(i, name, message) if self.nodes[i].paused => {
                self.schedule(TICK_INTERVAL, Event::Deliver(i, name, message));
            }
            Event::Deliver(i, name, message) => self.deliver(i, name, *message),
            Event::Platform(i, request) => self.call_platform(i, request),
        }
        for (i, reply_to, reply) in self.platform.take_due_replies(self.clock.now()) {
            self.reply(i, reply_to, reply);
        }
    }

    fn call_platform(&mut self, i: usize, request: PlatformRequest) {
        let domain = self.nodes[i].cx.me().domain;
        let now = self.clock.now();
        let reply_to = request.reply_to;
        if let Some(reply) = self.platform.call(i, &domain, request, now) {
            self.reply(i, reply_to, reply);
        }
    }

    fn reply(&mut self, i: usize, to: Name, reply: PlatformReply) {
        let delay = self.delay();
        self.schedule(delay, Event::Deliver(i, to, Box::new(reply.into())));
    }

    /// Delivers a message to a service of a node and schedules the messages that it sends.
    pub(crate) fn deliver(&mut self, i: usize, to: Name, message: Message) {
        let node = &mut self.nodes[i];
        if !node.running {
            return;
        }
        let mut out = Outbox::default();
        if to == names::CONFIG {
            node.config.handle(message, &node.cx, &mut out);
            node.check_never_reverts();
        } else {
            node.members.handle(message, &node.cx, &mut out);
        }
        for (to, message) in out.take() {
            let delay = self.delay();
            match message {
                Message::PeerSend(send) => self.send(i, send.address.port(), send.msg),
                Message::PlatformRequest(request) => {
                    self.schedule(delay, Event::Platform(i, request));
                }
                other => panic!("unexpected message to {to}: {other:?}"),
            }
        }
    }

    fn send(&mut self, from: usize, port: u16, msg: PeerMsg) {
        let to = usize::from(port - FIRST_PORT);
        let bytes = encode(&msg).len();
        self.nodes[from].messages_sent += 1;
        self.nodes[from].traffic_bytes += bytes;
        if !(self.link_is_up)(from, to) || self.rng.random_bool(self.loss_rate) {
            return;
        }
        self.nodes[to].traffic_bytes += bytes;
        let name = match msg {
            PeerMsg::Heartbeat(_) => names::MEMBERS,
            _ => names::CONFIG,
        };
        let from = self.nodes[from].cx.me().node;
        let delay = self.delay();
        let message = Box::new(PeerReceived { from, msg }.into());
        self.schedule(delay, Event::Deliver(to, name, message));
    }

    /// Returns whether an upstream has this limit on all running nodes.
    pub(crate) fn is_in_force(&self, upstream: &str, limit: Option<u32>) -> bool {
        let mut running = self.nodes.iter().filter(|node| node.running);
        running.all(|node| node.limit(upstream) == limit)
    }
}

impl Node {
    /// Returns the limit of an upstream in force on this node, which tests use as the record's
    /// version.
    pub(crate) fn limit(&self, upstream: &str) -> Option<u32> {
        let id = upstream.parse().unwrap();
        let config = self.cx.config();
        config.upstreams.get(&id).map(|record| record.full_limit)
    }

    fn check_never_reverts(&mut self) {
        for record in self.cx.config().upstreams.values() {
            let highest = self
                .highest_limits
                .entry(record.id.to_string())
                .or_default();
            assert!(record.full_limit >= *highest, "{} reverted", record.id);
            *highest = record.full_limit;
        }
    }
}

/// Port of the first node; the others follow.
const FIRST_PORT: u16 = 10_000;

fn address(i: usize) -> std::net::SocketAddr {
    let port = FIRST_PORT + u16::try_from(i).unwrap();
    ([127, 0, 0, 1], port).into()
}
