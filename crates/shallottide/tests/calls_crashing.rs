//! Calls that end the upstreams which run them are refused at all nodes, and sound ones are answered.

mod call_support;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use call_support::{
    Fakes, Kind, ServiceHarness, SharedFakes, arriving_call, calls_node_at, local, node_info,
};
use shallottide::calls::CallOptions;
use shallottide::message::{
    AttemptEvent, AttemptFailure, CallArrived, Message, PeerReceived, ReplyTo,
};
use shallottide::view::{MemberView, NodeState};
use shallottide_types::call::{ReplyEvent, ReplyHead};
use shallottide_types::cases;
use shallottide_types::id::StoreIndex;
use shallottide_types::peer::NodeInfo;
use shallottide_types::refusal::{Ran, RefusalKind};

/// Sends to upstreams that a crashing call may cause once it has ended three.
const MAX_LATE: usize = 3;
const UPSTREAMS: usize = 12;
const CRASHING_BODY: &str = "crashes";
/// Time from an attempt to its end.
const RUN_TIME: Duration = Duration::from_millis(50);

/// The calls services of many nodes, which reach all upstreams and each other.
struct Cluster {
    nodes: Vec<ServiceHarness>,
    by_address: BTreeMap<SocketAddr, usize>,
    next_call: u64,
    /// Sends of the crashing call, and upstreams that it ended.
    crashes: usize,
}

/// How a call ended for its caller.
#[derive(Debug, PartialEq, Eq)]
enum Outcome {
    Answered,
    Refused(RefusalKind, Ran),
}

fn info(number: usize) -> NodeInfo {
    let port = 10_000 + u16::try_from(number).expect("a small number");
    NodeInfo {
        address: ([127, 0, 0, 1], port).into(),
        ..node_info(&format!("node-{number}"), &format!("dom-{}", number % 3))
    }
}

impl Cluster {
    fn new(count: usize) -> Self {
        let mut cluster = Self {
            nodes: Vec::new(),
            by_address: (0..count)
                .map(|number| (info(number).address, number))
                .collect(),
            next_call: 0,
            crashes: 0,
        };
        for number in 0..count {
            cluster.nodes.push(start_node(number, count));
        }
        cluster
    }

    /// Sends a call to a node and processes everything until it has ended.
    fn call(&mut self, node: usize, kind: Kind, body: &str) -> Outcome {
        self.next_call += 1;
        let reply_to = ReplyTo::Front(self.next_call);
        let arrived = CallArrived {
            body: body.to_string().into(),
            ..arriving_call(kind, reply_to)
        };
        let mut queue = vec![(node, Message::CallArrived(arrived))];
        let mut outcome = None;
        while let Some((at, message)) = queue.pop() {
            for (_, message) in self.nodes[at].send(message) {
                match message {
                    Message::Dispatch(dispatch) => {
                        self.nodes[at].clock.advance(RUN_TIME);
                        let is_crashing = dispatch.body == CRASHING_BODY;
                        self.crashes += usize::from(is_crashing);
                        let events = if is_crashing {
                            vec![AttemptEvent::Failed(AttemptFailure::Lost("reset".into()))]
                        } else {
                            let head = ReplyHead {
                                status: 200,
                                content_type: "text/plain".into(),
                            };
                            vec![AttemptEvent::End, AttemptEvent::Head(head)]
                        };
                        let attempt = dispatch.attempt;
                        let events = events.into_iter();
                        queue.extend(events.map(|event| (at, Message::Attempt(attempt, event))));
                    }
                    Message::PeerSend(send) => {
                        let from = info(at).node;
                        let received = PeerReceived {
                            from,
                            msg: send.msg,
                        };
                        let to = self.by_address[&send.address];
                        queue.insert(0, (to, received.into()));
                    }
                    Message::Reply(reply) => match reply.event {
                        ReplyEvent::End => outcome = Some(Outcome::Answered),
                        ReplyEvent::Fail(refusal) => {
                            outcome = Some(Outcome::Refused(refusal.kind, refusal.ran));
                        }
                        _ => {}
                    },
                    _ => {}
                }
            }
        }
        outcome.expect("the call has ended")
    }

    fn advance(&mut self, time: Duration) {
        for node in &mut self.nodes {
            node.clock.advance(time);
            node.send(Message::Tick);
        }
    }
}

fn start_node(number: usize, count: usize) -> ServiceHarness {
    let routes = (0..UPSTREAMS).map(|upstream| local(&format!("u-{upstream}")));
    let mut routes: Vec<_> = routes.collect();
    routes.rotate_left(number % UPSTREAMS);
    let fakes = SharedFakes::default();
    *fakes.0.borrow_mut() = Fakes {
        routes,
        ..Fakes::default()
    };
    let node = calls_node_at(info(number), CallOptions::default(), &fakes);
    let mut view = MemberView::default();
    for other in 0..count {
        let state = NodeState {
            info: info(other),
            last_seen: node.cx.now(),
            alive: true,
            config_index: StoreIndex(0),
        };
        view.nodes.insert(info(other).node, state);
    }
    node.cx.publish_members(view);
    node
}

/// Guards against a call that ends upstream after upstream each time that it comes, at any node: it
/// has ended three after its second time, and reaches few others, while sound calls are answered.
fn crashing_call_is_refused_everywhere(nodes: usize, kind: Kind) {
    let mut cluster = Cluster::new(nodes);
    let mut at_third = None;
    for number in 0..30 {
        let node = (number * 7) % nodes;
        cluster.call(node, kind, CRASHING_BODY);
        if cluster.crashes >= 3 {
            at_third.get_or_insert(cluster.crashes);
        }
        assert_eq!(cluster.call(node, kind, "sound"), Outcome::Answered);
        cluster.advance(Duration::from_millis(500));
    }
    let late = cluster.crashes - at_third.expect("three crashes");
    assert!(late <= MAX_LATE, "{late} sends after the third crash");
    for node in 0..nodes {
        let outcome = cluster.call(node, kind, CRASHING_BODY);
        assert_eq!(outcome, Outcome::Refused(RefusalKind::Quarantined, Ran::No));
    }
}

cases! {
    crashing_call_is_refused_everywhere;
    at_two_nodes: 2, Kind::Count;
    at_seven_nodes: 7, Kind::Count;
    at_hundred_nodes: 100, Kind::Count;
    at_four_hundred_nodes: 400, Kind::Count;
    stream_at_seven_nodes: 7, Kind::Stream;
    stream_that_may_not_resume_at_seven_nodes: 7, Kind::NonResumableStream;
}

/// Guards against a call that is refused for good: it is sent again after a time, and one crash more
/// refuses it again.
#[test]
fn call_is_tried_again_after_a_time() {
    let mut cluster = Cluster::new(7);
    for node in 0..7 {
        cluster.call(node, Kind::Count, CRASHING_BODY);
    }
    let before = cluster.crashes;
    cluster.advance(Duration::from_secs(121));
    for node in 0..7 {
        cluster.call(node, Kind::Count, CRASHING_BODY);
    }
    let again = cluster.crashes - before;
    assert!((1..=MAX_LATE).contains(&again), "{again} sends");
}

/// Guards against a sound call that is refused because its answers were lost at two upstreams before.
#[test]
fn answered_call_is_not_refused() {
    let mut cluster = Cluster::new(2);
    let outcome = cluster.call(0, Kind::Count, CRASHING_BODY);
    assert_eq!(
        outcome,
        Outcome::Refused(RefusalKind::UpstreamFailed, Ran::Unknown)
    );
    assert_eq!(cluster.crashes, 2, "not sent a third time by its node");
    assert_eq!(cluster.call(0, Kind::Count, "sound"), Outcome::Answered);
}
