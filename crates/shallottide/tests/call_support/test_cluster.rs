//! Several entry VMs with calls and claims services over one platform, simulated event by event.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use shallottide::calls::{CallOptions, CallService};
use shallottide::claims::{ClaimOptions, ClaimService};
use shallottide::kernel::{Context, Name, Outbox, Service, names};
use shallottide::message::{AttemptEvent, AttemptFailure, CallArrived, Message};
use shallottide::message::{
    MintTickets, PeerReceived, PeerSend, PlatformAnswer, PlatformReply, PlatformRequest, ReplyTo,
};
use shallottide::routing::Route;
use shallottide::view::{MemberView, NodeState};
use shallottide_types::call::{ReplyEvent, ReplyHead};
use shallottide_types::clock::{Clock, ManualClock};
use shallottide_types::id::{AttemptId, CallId, Incarnation, StoreIndex};
use shallottide_types::peer::{NodeInfo, PeerMsg};
use shallottide_types::refusal::{Ran, Refusal, RefusalKind};

use super::platform::{FakePlatform, unreachable};
use super::{Kind, SharedFakes, arriving_call, local, node_info, peer, records};

/// Matches any incarnation: for messages to whichever process has the address.
const ANY_INCARNATION: u64 = 0;

/// An event in transit.
#[derive(Debug, Clone)]
pub(crate) enum Event {
    /// A message to a node's service: node, incarnation, service and message.
    Deliver(usize, u64, Name, Box<Message>),
    /// A platform call of a node and incarnation.
    Platform(usize, u64, PlatformRequest),
    /// An attempt on its way to the upstream: node, incarnation, attempt, call and key.
    Run(usize, u64, AttemptId, CallId, String),
}

impl Event {
    pub(crate) fn is_dispatch(&self) -> bool {
        matches!(self, Self::Run(..))
    }

    /// Returns whether the event is a claim or an outcome sent to a peer.
    pub(crate) fn is_relay(&self) -> bool {
        matches!(self, Self::Deliver(_, _, _, message) if matches!(&**message,
            Message::PeerReceived(received)
                if matches!(received.msg, PeerMsg::Claim(_) | PeerMsg::ClaimEnded(_))))
    }

    pub(crate) fn is_claim_answer(&self) -> bool {
        let Self::Deliver(_, _, _, message) = self else {
            return false;
        };
        matches!(&**message, Message::PeerReceived(received)
            if matches!(received.msg, PeerMsg::Claimed { .. }))
    }

    pub(crate) fn is_answer(&self) -> bool {
        matches!(self, Self::Deliver(_, _, _, message) if matches!(**message, Message::Attempt(..)))
    }

    pub(crate) fn is_swap_reply(&self) -> bool {
        let Self::Deliver(_, _, _, message) = self else {
            return false;
        };
        matches!(&**message, Message::PlatformReply(reply)
            if matches!(reply.result, Ok(PlatformAnswer::Swap(_))))
    }
}

/// One entry VM.
pub(crate) struct Node {
    pub(crate) info: NodeInfo,
    cx: Context,
    calls: CallService,
    claims: ClaimService,
    pub(crate) fakes: SharedFakes,
    pub(crate) options: CallOptions,
    pub(crate) claim_options: ClaimOptions,
    pub(crate) paused: bool,
    pub(crate) cut_off: bool,
}

/// All entry VMs, the platform and one upstream.
pub(crate) struct TestCluster {
    pub(crate) clock: ManualClock,
    pub(crate) nodes: Vec<Node>,
    pub(crate) platform: FakePlatform,
    /// Events in transit, oldest first.
    pub(crate) events: Vec<Event>,
    /// Number of platform calls of all nodes, including those that did not reach the platform.
    pub(crate) platform_calls: u64,
    pub(crate) runs_by_key: BTreeMap<String, u32>,
    pub(crate) runs_by_call: BTreeMap<CallId, u32>,
    /// Reply events received by each caller, by call number.
    pub(crate) replies: BTreeMap<u64, Vec<ReplyEvent>>,
    calls: BTreeMap<u64, (CallId, String)>,
    /// Forwarded calls: origin, its incarnation and attempt, receiver.
    forwards: BTreeMap<u64, (usize, u64, AttemptId, usize)>,
    /// Attempts with a dropped event, whose later events are dropped as well.
    cut_attempts: BTreeSet<AttemptKey>,
    claim_options: ClaimOptions,
    last_number: u64,
}

/// An attempt of one incarnation of a node.
type AttemptKey = (usize, u64, AttemptId);

impl TestCluster {
    pub(crate) fn new(count: usize, claim_options: ClaimOptions) -> Self {
        let mut cluster = Self {
            clock: ManualClock::default(),
            nodes: Vec::new(),
            platform: FakePlatform::default(),
            events: Vec::new(),
            platform_calls: 0,
            runs_by_key: BTreeMap::new(),
            runs_by_call: BTreeMap::new(),
            replies: BTreeMap::new(),
            calls: BTreeMap::new(),
            forwards: BTreeMap::new(),
            cut_attempts: BTreeSet::new(),
            claim_options,
            last_number: 0,
        };
        for i in 0..count {
            let node = cluster.new_node(i, 1);
            cluster.nodes.push(node);
        }
        cluster.publish_members();
        cluster
    }

    fn new_node(&self, i: usize, incarnation: u64) -> Node {
        let mut info = node_info(&format!("node-{i}"), &format!("dom-{}", i % 2));
        info.address.set_port(u16::try_from(i).unwrap() + 1);
        info.incarnation = Incarnation(incarnation);
        let cx = Context::new(Arc::new(self.clock.clone()), info.clone());
        cx.publish_config(records());
        let fakes = SharedFakes::default();
        fakes.0.borrow_mut().routes = vec![local("a"), local("b")];
        let options = CallOptions::default();
        let claim_options = ClaimOptions {
            counts: Arc::default(),
            ..self.claim_options.clone()
        };
        let (router, admission) = (Box::new(fakes.clone()), Box::new(fakes.clone()));
        Node {
            info,
            cx,
            calls: CallService::new(options.clone(), router, admission),
            claims: ClaimService::new(claim_options.clone()),
            fakes,
            options,
            claim_options,
            paused: false,
            cut_off: false,
        }
    }

    /// Routes a node's calls through the next node.
    pub(crate) fn forward_from(&mut self, i: usize) {
        let mut route = peer("a");
        if let Route::Peer { node, .. } = &mut route {
            *node = self.nodes[(i + 1) % self.nodes.len()].info.clone();
        }
        self.nodes[i].fakes.0.borrow_mut().routes = vec![route];
    }

    pub(crate) fn publish_members(&self) {
        for i in 0..self.nodes.len() {
            self.publish_view(i, |_| true);
        }
    }

    /// Publishes a member view to one node in which only some nodes are alive.
    pub(crate) fn publish_view(&self, i: usize, alive: impl Fn(usize) -> bool) {
        let mut view = MemberView::default();
        for (j, node) in self.nodes.iter().enumerate() {
            let state = NodeState {
                info: node.info.clone(),
                last_seen: self.clock.now(),
                alive: alive(j),
                config_index: StoreIndex(0),
            };
            view.nodes.insert(node.info.node.clone(), state);
        }
        self.nodes[i].cx.publish_members(view);
    }

    /// Restarts a node with a new incarnation; events in transit to the old one are lost.
    pub(crate) fn restart(&mut self, i: usize) {
        let next = self.nodes[i].info.incarnation.next();
        self.nodes[i] = self.new_node(i, next.0);
        self.publish_members();
    }

    /// Sends calls with distinct keys to all nodes in turn.
    pub(crate) fn book_many(&mut self, prefix: &str, count: usize) {
        for i in 0..count {
            self.book(i % self.nodes.len(), &format!("{prefix}-{i}"));
        }
    }

    /// Sends a call with a key to a node and returns its number.
    pub(crate) fn book(&mut self, i: usize, key: &str) -> u64 {
        self.book_with_body(i, key, &format!("book {key}"))
    }

    pub(crate) fn book_with_body(&mut self, i: usize, key: &str, body: &str) -> u64 {
        self.book_for_team("team", i, key, body)
    }

    pub(crate) fn book_for_team(&mut self, team: &str, i: usize, key: &str, body: &str) -> u64 {
        self.last_number += 1;
        let number = self.last_number;
        let mut call = arriving_call(Kind::Booking, ReplyTo::Front(number));
        call.head.team = team.parse().unwrap();
        call.head.key = Some(key.parse().unwrap());
        call.body = body.to_string().into();
        self.calls
            .insert(number, (call.head.id.clone(), key.into()));
        self.replies.insert(number, Vec::new());
        self.send(i, names::CALLS, Message::CallArrived(call));
        number
    }

    /// Mints tickets at a node.
    pub(crate) fn mint(&mut self, i: usize, count: usize) -> Result<Vec<String>, Refusal> {
        self.mint_for("team", i, count)
    }

    pub(crate) fn mint_for(
        &mut self,
        team: &str,
        i: usize,
        count: usize,
    ) -> Result<Vec<String>, Refusal> {
        self.last_number += 1;
        let number = self.last_number;
        let wanted = MintTickets {
            reply_to: ReplyTo::Front(number),
            team: team.parse().unwrap(),
            count,
        };
        let id = "mint".parse().unwrap();
        self.calls.insert(number, (id, String::new()));
        self.send(i, names::CLAIMS, wanted.into());
        let events = self.replies.remove(&number).unwrap();
        match events.as_slice() {
            [ReplyEvent::Fail(refusal)] => Err(refusal.clone()),
            [ReplyEvent::Head(_), ReplyEvent::Data(body), ReplyEvent::End] => {
                let body: serde_json::Value = serde_json::from_slice(body).unwrap();
                Ok(serde_json::from_value(body["tickets"].clone()).unwrap())
            }
            other => panic!("not an answer: {other:?}"),
        }
    }

    pub(crate) fn send(&mut self, i: usize, to: Name, message: Message) {
        let node = &mut self.nodes[i];
        let mut out = Outbox::default();
        if to == names::CLAIMS {
            node.claims.handle(message, &node.cx, &mut out);
        } else {
            node.calls.handle(message, &node.cx, &mut out);
        }
        for (to, message) in out.take() {
            self.route(i, to, message);
        }
    }

    fn route(&mut self, i: usize, to: Name, message: Message) {
        let incarnation = self.nodes[i].info.incarnation.0;
        match message {
            Message::PlatformRequest(request) => {
                self.platform_calls += 1;
                self.events.push(Event::Platform(i, incarnation, request));
            }
            Message::PeerSend(PeerSend { address, msg }) => {
                let from = self.nodes[i].info.node.clone();
                let to = usize::from(address.port()) - 1;
                let message = Box::new(PeerReceived { from, msg }.into());
                let event = Event::Deliver(to, ANY_INCARNATION, names::CLAIMS, message);
                self.events.push(event);
            }
            Message::Dispatch(dispatch) => {
                let key = dispatch
                    .head
                    .key
                    .map_or(String::new(), |key| key.to_string());
                let event = Event::Run(i, incarnation, dispatch.attempt, dispatch.head.id, key);
                self.events.push(event);
            }
            Message::Forward(forward) => {
                self.last_number += 1;
                let to = usize::from(forward.node.address.port()) - 1;
                let from = (i, incarnation, forward.attempt, to);
                self.forwards.insert(self.last_number, from);
                let call = CallArrived {
                    reply_to: ReplyTo::Peer(self.last_number),
                    head: forward.call.head,
                    body: forward.call.body,
                    slot: forward.call.slot,
                    resume_from: forward.call.resume_from,
                };
                self.deliver_to_current(to, names::CALLS, call.into());
            }
            Message::CancelAttempt(cancel) => self.cancel(i, incarnation, cancel.attempt),
            Message::Reply(reply) => match reply.reply_to {
                ReplyTo::Front(number) => self.record_reply(number, reply.event),
                ReplyTo::Peer(number) => self.reply_to_peer(number, reply.event),
            },
            message => self.send(i, to, message),
        }
    }

    /// Records a reply event. Checks that `Ran::No` holds for all requests with the key so far.
    fn record_reply(&mut self, number: u64, event: ReplyEvent) {
        if let ReplyEvent::Fail(refusal) = &event {
            let key = &self.calls[&number].1;
            let runs = self.runs_by_key.get(key).copied().unwrap_or(0);
            // The call that first used the key may have run; the refused one has another body.
            let other_call = refusal.kind == RefusalKind::KeyReused;
            assert!(
                refusal.ran != Ran::No || runs == 0 || other_call,
                "false 'not run': {refusal}"
            );
        }
        self.replies.entry(number).or_default().push(event);
    }

    fn deliver_to_current(&mut self, to: usize, name: Name, message: Message) {
        let incarnation = self.nodes[to].info.incarnation.0;
        self.events
            .push(Event::Deliver(to, incarnation, name, Box::new(message)));
    }

    fn cancel(&mut self, i: usize, incarnation: u64, attempt: AttemptId) {
        let matches = |from: &(usize, u64, AttemptId, usize)| {
            (from.0, from.1, from.2) == (i, incarnation, attempt)
        };
        let found = self.forwards.iter().find(|(_, from)| matches(from));
        if let Some((&number, &(.., to))) = found {
            let message = Message::ReceiverDisconnected(ReplyTo::Peer(number));
            self.deliver_to_current(to, names::CALLS, message);
        }
    }

    fn reply_to_peer(&mut self, number: u64, event: ReplyEvent) {
        let Some(&(origin, incarnation, attempt, _)) = self.forwards.get(&number) else {
            return;
        };
        let event = match event {
            ReplyEvent::Head(head) => AttemptEvent::Head(head),
            ReplyEvent::Data(data) => AttemptEvent::Data(data),
            ReplyEvent::End => AttemptEvent::End,
            ReplyEvent::Fail(refusal) => AttemptEvent::Failed(AttemptFailure::Refused(refusal)),
        };
        let message = Message::Attempt(attempt, event);
        let deliver = Event::Deliver(origin, incarnation, names::CALLS, Box::new(message));
        self.events.push(deliver);
    }

    /// Drops an event, and all later events of its attempt if it belongs to one.
    pub(crate) fn drop_event(&mut self, event: &Event) {
        self.cut_attempts.extend(attempt_of(event));
    }

    /// Processes one event.
    pub(crate) fn process(&mut self, event: Event) {
        if attempt_of(&event).is_some_and(|attempt| self.cut_attempts.contains(&attempt)) {
            return;
        }
        match event {
            Event::Deliver(i, incarnation, name, message) => {
                if incarnation == ANY_INCARNATION || self.nodes[i].info.incarnation.0 == incarnation
                {
                    self.send(i, name, *message);
                }
            }
            Event::Platform(i, incarnation, request) => {
                let result = if self.nodes[i].cut_off {
                    Err(unreachable())
                } else {
                    self.platform.run(request.op)
                };
                let token = request.token;
                let reply = PlatformReply { token, result }.into();
                self.events.push(Event::Deliver(
                    i,
                    incarnation,
                    names::CLAIMS,
                    Box::new(reply),
                ));
            }
            Event::Run(i, incarnation, attempt, call, key) => {
                *self.runs_by_call.entry(call).or_default() += 1;
                *self.runs_by_key.entry(key.clone()).or_default() += 1;
                let head = ReplyHead {
                    status: 201,
                    content_type: "text/plain".into(),
                };
                let data = format!("booked {key}").into();
                let events = [
                    AttemptEvent::Head(head),
                    AttemptEvent::Data(data),
                    AttemptEvent::End,
                ];
                for event in events {
                    let message = Message::Attempt(attempt, event);
                    self.events.push(Event::Deliver(
                        i,
                        incarnation,
                        names::CALLS,
                        Box::new(message),
                    ));
                }
            }
        }
    }

    fn is_paused(&self, event: &Event) -> bool {
        let (Event::Deliver(i, ..) | Event::Platform(i, ..) | Event::Run(i, ..)) = event;
        self.nodes[*i].paused
    }

    /// Removes an event unless its node is paused. Events of one attempt keep their order.
    pub(crate) fn take_event(&mut self, at: usize) -> Option<Event> {
        let event = self.events.get(at)?;
        let at = match attempt_of(event) {
            None => at,
            attempt => self.events.iter().position(|e| attempt_of(e) == attempt)?,
        };
        (!self.is_paused(&self.events[at])).then(|| self.events.remove(at))
    }

    /// Removes the oldest event whose node is not paused.
    pub(crate) fn next_event(&mut self) -> Option<Event> {
        let at = self
            .events
            .iter()
            .position(|event| !self.is_paused(event))?;
        Some(self.events.remove(at))
    }

    /// Processes events until one matches `until`, which stays queued, or none is left.
    ///
    /// Returns whether an event matched.
    pub(crate) fn run_until(&mut self, until: impl Fn(&Event) -> bool) -> bool {
        while let Some(event) = self.next_event() {
            if until(&event) {
                self.events.insert(0, event);
                return true;
            }
            self.process(event);
        }
        false
    }

    pub(crate) fn tick(&mut self) {
        for i in 0..self.nodes.len() {
            if !self.nodes[i].paused {
                self.send(i, names::CALLS, Message::Tick);
                self.send(i, names::CLAIMS, Message::Tick);
            }
        }
    }

    /// Advances the clock in ticks and processes all events after each.
    pub(crate) fn advance_time(&mut self, time: Duration) {
        const TICK: Duration = Duration::from_millis(100);
        let mut left = time;
        while left > Duration::ZERO {
            self.clock.advance(TICK);
            left = left.saturating_sub(TICK);
            self.tick();
            self.run_until(|_| false);
        }
    }

    /// Checks the invariants: at most one run per key, complete answers to the right calls, and no
    /// refusal that wrongly states that a call did not run.
    pub(crate) fn check_invariants(&self) {
        for (key, runs) in &self.runs_by_key {
            assert!(*runs <= 1, "{key} ran {runs} times");
        }
        for (number, events) in &self.replies {
            let (call, key) = &self.calls[number];
            self.check_reply(call, key, events);
        }
    }

    fn check_reply(&self, call: &CallId, key: &str, events: &[ReplyEvent]) {
        match events {
            [] => {}
            [ReplyEvent::Fail(refusal)] => {
                let runs = self.runs_by_call.get(call).copied().unwrap_or(0);
                assert!(
                    refusal.ran != Ran::No || runs == 0,
                    "false 'not run': {refusal}"
                );
            }
            [ReplyEvent::Head(_), ReplyEvent::Data(data), ReplyEvent::End] => {
                assert_eq!(data.as_ref(), format!("booked {key}").as_bytes());
            }
            other => panic!("not an answer: {other:?}"),
        }
    }

    /// Checks that no place, call or claim is left once no event is in transit.
    pub(crate) fn check_idle(&self) {
        for node in &self.nodes {
            let fakes = node.fakes.0.borrow();
            assert_eq!(
                (fakes.permits, fakes.open_routes),
                (0, 0),
                "place not released"
            );
            let counts = &node.options.counts;
            assert_eq!(
                (counts.in_flight(), counts.forwarded()),
                (0, 0),
                "call still in flight"
            );
            assert_eq!(
                node.claim_options.counts.pending(),
                0,
                "claim still pending"
            );
        }
    }
}

fn attempt_of(event: &Event) -> Option<AttemptKey> {
    match event {
        Event::Deliver(i, incarnation, _, message) => match **message {
            Message::Attempt(attempt, _) => Some((*i, *incarnation, attempt)),
            _ => None,
        },
        _ => None,
    }
}
