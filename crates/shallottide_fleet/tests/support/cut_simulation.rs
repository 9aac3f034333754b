//! Simulates nodes that are cut off from upstreams and relay calls to each other.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};
use shallottide_fleet::NodeEntry;
use shallottide_fleet::relay_limit::RelayLimit;
use shallottide_fleet::relay_targets::{RelayNeed, RelayTargets};
use shallottide_fleet::upstream_links::{
    ConnectionFailure, FAULT_VERDICT_DELAY, LinkState, Probe, UpstreamLinks,
};
use shallottide_fleet::view::{Change, ClusterView};
use shallottide_types::id::{DomainId, NodeId, ServiceId, UpstreamId};

use super::cut_scenario::{CutOutcome, CutScenario, LinkFailure, SimConnectionFailure, SimTry};
use super::id;

/// Time limit on opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(450);
/// Time to open a connection, or to send a call to another node.
const HOP: Duration = Duration::from_millis(2);
/// Time for which a connection is kept.
const IDLE_TIME: Duration = Duration::from_secs(2);
/// Time after which a caller gives up.
const CALL_TIMEOUT: Duration = Duration::from_secs(4);
const PROBE_TICK: Duration = Duration::from_millis(50);
/// Time between two parts of a response.
const CHUNK_PAUSE: Duration = Duration::from_millis(60);
/// Most nodes to which one call is offered.
const MAX_OFFERS: usize = 3;
/// Most requests of one call that are written to upstreams.
const MAX_ATTEMPTS: u32 = 2;
/// Most connections that one node tries to open for one call.
const MAX_CONNECTS: u32 = 2;
/// First time for which an upstream that failed gets no requests; doubles with each failure in a row.
const BACKOFF: Duration = Duration::from_millis(400);

/// An upstream: its service and number.
type Upstream = (usize, usize);

struct SimNode {
    name: NodeId,
    domain: DomainId,
    capacity: u32,
    links: UpstreamLinks,
    targets: RelayTargets,
    limit: RelayLimit,
    own_in_flight: u32,
    /// Ends of the idle times of kept connections.
    kept: BTreeMap<Upstream, Vec<Instant>>,
    /// Open connections in use, and attempts to open one.
    in_use: BTreeMap<Upstream, usize>,
    /// Failures in a row, and the end of the back-off.
    backoffs: BTreeMap<Upstream, (u32, Instant)>,
    states: Vec<LinkState>,
}

struct Call {
    home: usize,
    service: usize,
    sent: Instant,
    is_repeatable: bool,
    /// The node that runs it.
    runner: usize,
    written: u32,
    connects: u32,
    tried: Vec<usize>,
    offered: Vec<NodeId>,
    helpers: Vec<usize>,
    attempt: Option<u64>,
    is_served: Option<bool>,
}

/// A connection attempt, or a request on a connection.
struct Attempt {
    node: usize,
    upstream: Upstream,
    /// `None` for a probe.
    call: Option<usize>,
    is_written: bool,
    began: Instant,
}

/// Why a node refused the call of another one.
#[derive(Debug, Clone, Copy)]
enum Refusal {
    CutOff,
    AtLimit,
    /// The upstreams that it chose refused connections, or have no place.
    NoUpstream,
}

#[derive(Debug, Clone, Copy)]
enum Event {
    Arrival(usize, usize),
    Tick(usize),
    Connected(u64),
    ConnectFailed(u64),
    Chunk(u64, u32),
    Reset(u64),
    Offer(usize, usize),
    /// A node refused a call.
    Refused(usize, usize, Refusal),
    Timeout(usize),
    /// Whose fault a failure is; with its number.
    AskFault(usize, usize, ConnectionFailure),
    FailureStarts(usize),
}

/// Simulated nodes, upstreams and callers.
pub(crate) struct CutSimulation<'a> {
    scenario: &'a CutScenario,
    rng: StdRng,
    start: Instant,
    now: Instant,
    events: BTreeMap<(Instant, u64), Event>,
    next_id: u64,
    nodes: Vec<SimNode>,
    view: ClusterView,
    services: Vec<ServiceId>,
    upstreams: Vec<Vec<UpstreamId>>,
    calls: Vec<Call>,
    attempts: BTreeMap<u64, Attempt>,
    outcome: CutOutcome,
}

/// Plays a scenario.
pub(crate) fn play_cut(scenario: &CutScenario, seed: u64) -> CutOutcome {
    let mut simulation = CutSimulation::new(scenario, seed);
    simulation.play();
    let start = simulation.start;
    let calls = simulation.calls.iter();
    simulation.outcome.tries = calls
        .filter_map(|call| {
            Some(SimTry {
                node: call.home,
                sent: call.sent - start,
                is_served: call.is_served?,
                helpers: call.helpers.clone(),
            })
        })
        .collect();
    simulation.outcome
}

impl<'a> CutSimulation<'a> {
    fn new(scenario: &'a CutScenario, seed: u64) -> Self {
        let start = Instant::now() + Duration::from_secs(1);
        let domain = |number: usize| id(&format!("zone-{}", number % scenario.domains));
        let nodes: Vec<_> = (0..scenario.nodes)
            .map(|number| SimNode {
                name: id(&format!("node-{number:04}")),
                domain: domain(number),
                capacity: [250, 120, 250, 500][number % 4],
                links: UpstreamLinks::default(),
                targets: RelayTargets::default(),
                limit: RelayLimit::default(),
                own_in_flight: 0,
                kept: BTreeMap::new(),
                in_use: BTreeMap::new(),
                backoffs: BTreeMap::new(),
                states: vec![LinkState::Up; scenario.services.len()],
            })
            .collect();
        let mut view = ClusterView::default();
        for (number, node) in nodes.iter().enumerate() {
            let entry = NodeEntry {
                peers: format!("10.0.{}.{}:80", number / 250, number % 250)
                    .parse()
                    .expect("an address"),
                domain: node.domain.clone(),
                capacity: node.capacity,
            };
            view.apply(Change::Node(node.name.clone(), Some(entry)), start);
        }
        let numbers = 0..scenario.services.len();
        let services = numbers.map(|service| id(&format!("service-{service}")));
        let upstreams = scenario.services.iter().enumerate().map(|(number, s)| {
            let numbers = 0..s.upstreams;
            numbers.map(|u| id(&format!("u-{number}-{u}"))).collect()
        });
        let mut simulation = Self {
            scenario,
            rng: StdRng::seed_from_u64(seed),
            start,
            now: start,
            events: BTreeMap::new(),
            next_id: 0,
            nodes,
            view,
            services: services.collect(),
            upstreams: upstreams.collect(),
            calls: Vec::new(),
            attempts: BTreeMap::new(),
            outcome: CutOutcome::default(),
        };
        for node in 0..scenario.nodes {
            let phase = simulation.rng.random_range(0..50);
            simulation.after(Duration::from_millis(phase), Event::Tick(node));
            for service in 0..scenario.services.len() {
                simulation.schedule_arrival(node, service);
            }
        }
        for (number, failure) in scenario.failures.iter().enumerate() {
            simulation.after(failure.from, Event::FailureStarts(number));
        }
        simulation
    }

    fn play(&mut self) {
        let end = self.start + self.scenario.length;
        while let Some(((at, _), event)) = self.events.pop_first() {
            if at > end {
                return;
            }
            self.now = at;
            if let Some(resumes) = self.pause_end(&event) {
                let event = self.after_pause(event, resumes);
                let number = self.next_number();
                self.events.insert((resumes, number), event);
                continue;
            }
            self.handle(event);
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrival(node, service) => self.arrive(node, service),
            Event::Tick(node) => self.tick(node),
            Event::Connected(attempt) => self.connected(attempt),
            Event::ConnectFailed(attempt) => self.connect_failed(attempt),
            Event::Chunk(attempt, left) => self.chunk(attempt, left),
            Event::Reset(attempt) => self.reset(attempt),
            Event::Offer(call, peer) => self.offer(call, peer),
            Event::Refused(call, peer, refusal) => self.refused(call, peer, refusal),
            Event::Timeout(call) => self.time_out(call),
            Event::AskFault(_, number, failure) => self.ask_fault(number, failure),
            Event::FailureStarts(number) => self.failure_starts(number),
        }
    }

    fn after(&mut self, time: Duration, event: Event) {
        let number = self.next_number();
        self.events.insert((self.now + time, number), event);
    }

    fn next_number(&mut self) -> u64 {
        self.next_id += 1;
        self.next_id
    }

    /// Returns when the process that handles an event continues, if it is suspended.
    fn pause_end(&self, event: &Event) -> Option<Instant> {
        let node = match event {
            Event::Arrival(node, _) | Event::Tick(node) | Event::AskFault(node, ..) => *node,
            Event::Connected(attempt)
            | Event::ConnectFailed(attempt)
            | Event::Chunk(attempt, _)
            | Event::Reset(attempt) => self.attempts.get(attempt)?.node,
            Event::Offer(_, peer) => *peer,
            Event::Refused(call, ..) | Event::Timeout(call) => self.calls[*call].home,
            Event::FailureStarts(_) => return None,
        };
        let mut pauses = self.scenario.pauses.iter();
        let is_paused = |from: Duration, until: Duration| {
            (self.start + from..self.start + until).contains(&self.now)
        };
        let pause = pauses.find(|(n, from, until)| *n == node && is_paused(*from, *until));
        pause.map(|(.., until)| self.start + *until)
    }

    /// After a pause, the time limit of a connection attempt may be noticed before its success.
    fn after_pause(&mut self, event: Event, resumes: Instant) -> Event {
        match event {
            Event::Connected(attempt)
                if resumes - self.attempts[&attempt].began >= CONNECT_TIMEOUT
                    && self.rng.random() =>
            {
                Event::ConnectFailed(attempt)
            }
            other => other,
        }
    }

    fn failure(&self, node: usize, (service, upstream): Upstream) -> Option<LinkFailure> {
        let at = self.now - self.start;
        let mut failures = self.scenario.failures.iter();
        failures
            .find(|f| (f.from..f.until).contains(&at) && f.concerns(node, service, upstream))
            .map(|f| f.kind)
    }

    fn schedule_arrival(&mut self, node: usize, service: usize) {
        let mean = self.scenario.services[service].interval;
        let wait = mean.mul_f64(-(1.0 - self.rng.random::<f64>()).ln());
        self.after(wait, Event::Arrival(node, service));
    }

    fn arrive(&mut self, node: usize, service: usize) {
        self.schedule_arrival(node, service);
        let is_repeatable = self.rng.random();
        self.calls.push(Call {
            home: node,
            service,
            sent: self.now,
            is_repeatable,
            runner: node,
            written: 0,
            connects: 0,
            tried: Vec::new(),
            offered: Vec::new(),
            helpers: Vec::new(),
            attempt: None,
            is_served: None,
        });
        let call = self.calls.len() - 1;
        self.nodes[node].own_in_flight += 1;
        self.after(CALL_TIMEOUT, Event::Timeout(call));
        self.dispatch(call);
    }

    /// Sends a call from the node that it was sent to.
    fn dispatch(&mut self, call: usize) {
        let Call { home, service, .. } = self.calls[call];
        let draw = self.rng.random();
        let links = &self.nodes[home].links;
        if links.allows_own(&self.services[service], self.now, draw) {
            self.send(call);
        } else {
            self.relay(call);
        }
    }

    /// Sends a call from the node that runs it to an upstream.
    fn send(&mut self, call: usize) {
        let Call {
            runner, service, ..
        } = self.calls[call];
        let node = &self.nodes[runner];
        let now = self.now;
        let is_free = |number: &usize| {
            let backoff = node.backoffs.get(&(service, *number));
            backoff.is_none_or(|(_, until)| now >= *until)
        };
        let numbers = 0..self.upstreams[service].len();
        let numbers = numbers.filter(|n| {
            let is_tried = self.calls[call].tried.contains(n);
            !is_tried && is_free(n) && self.has_room(runner, (service, *n))
        });
        let numbers: Vec<_> = numbers.collect();
        let Some(&number) = numbers.choose(&mut self.rng) else {
            return self.not_sent(call, false);
        };
        self.calls[call].tried.push(number);
        let upstream = (service, number);
        let kept = self.nodes[runner].kept.entry(upstream).or_default();
        kept.retain(|until| now < *until);
        if kept.pop().is_some() {
            self.write(call, upstream);
        } else {
            self.calls[call].connects += 1;
            self.connect(runner, upstream, Some(call));
        }
    }

    fn connect(&mut self, node: usize, upstream: Upstream, call: Option<usize>) {
        let attempt = self.start_attempt(node, upstream, call, false);
        match self.failure(node, upstream) {
            Some(LinkFailure::Hang) => {
                self.after(CONNECT_TIMEOUT, Event::ConnectFailed(attempt));
            }
            Some(LinkFailure::Reset | LinkFailure::HalfCut) => {
                self.after(HOP / 2, Event::ConnectFailed(attempt));
            }
            Some(LinkFailure::Silence) | None => self.after(HOP, Event::Connected(attempt)),
        }
    }

    fn write(&mut self, call: usize, upstream: Upstream) {
        self.calls[call].written += 1;
        let runner = self.calls[call].runner;
        let attempt = self.start_attempt(runner, upstream, Some(call), true);
        let service = &self.scenario.services[upstream.0];
        let first_byte = self.rng.random_range(service.first_byte.clone());
        let chunks = service.chunks;
        self.after(
            Duration::from_millis(first_byte),
            Event::Chunk(attempt, chunks),
        );
    }

    fn start_attempt(
        &mut self,
        node: usize,
        upstream: Upstream,
        call: Option<usize>,
        is_written: bool,
    ) -> u64 {
        let number = self.next_number();
        let attempt = Attempt {
            node,
            upstream,
            call,
            is_written,
            began: self.now,
        };
        self.attempts.insert(number, attempt);
        *self.nodes[node].in_use.entry(upstream).or_default() += 1;
        if let Some(call) = call {
            self.calls[call].attempt = Some(number);
        }
        let (service, id) = self.ids(upstream);
        let now = self.now;
        self.nodes[node].links.record_waiting(&service, &id, now);
        number
    }

    fn end_attempt(&mut self, number: u64) -> Option<Attempt> {
        let attempt = self.attempts.remove(&number)?;
        let in_use = &mut self.nodes[attempt.node].in_use;
        *in_use.get_mut(&attempt.upstream).expect("it was counted") -= 1;
        Some(attempt)
    }

    /// Returns whether a node has a kept connection to an upstream, or may open one.
    fn has_room(&self, node: usize, upstream: Upstream) -> bool {
        let node = &self.nodes[node];
        let in_use = node.in_use.get(&upstream).copied().unwrap_or(0);
        let kept = node.kept.get(&upstream).into_iter().flatten();
        let kept = kept.filter(|until| self.now < **until).count();
        let max = self.scenario.services[upstream.0].max_connections;
        kept > 0 || in_use < max
    }

    fn ids(&self, (service, number): Upstream) -> (ServiceId, UpstreamId) {
        let upstream = self.upstreams[service][number].clone();
        (self.services[service].clone(), upstream)
    }

    fn connected(&mut self, number: u64) {
        let Some(attempt) = self.end_attempt(number) else {
            return;
        };
        let (service, id) = self.ids(attempt.upstream);
        let node = &mut self.nodes[attempt.node];
        node.links.record_connected(&service, &id, self.now);
        node.backoffs.remove(&attempt.upstream);
        let idle_until = self.now + IDLE_TIME;
        if let Some(call) = attempt.call {
            self.write(call, attempt.upstream);
        } else {
            let kept = node.kept.entry(attempt.upstream).or_default();
            kept.push(idle_until);
        }
        self.observe_states(attempt.node);
    }

    fn connect_failed(&mut self, number: u64) {
        let Some(attempt) = self.end_attempt(number) else {
            return;
        };
        let (service, id) = self.ids(attempt.upstream);
        let links = &mut self.nodes[attempt.node].links;
        let failed = links.record_unreachable(&service, &id, attempt.began, self.now);
        self.record_failure(&attempt, failed);
        if let Some(call) = attempt.call {
            self.calls[call].attempt = None;
            self.not_sent(call, true);
        }
    }

    fn record_failure(&mut self, attempt: &Attempt, failed: ConnectionFailure) {
        let (node, upstream) = (attempt.node, attempt.upstream);
        self.observe_states(node);
        let backoff = self.nodes[node].backoffs.entry(upstream);
        let (failures, until) = backoff.or_insert((0, self.now));
        *until = self.now + BACKOFF * 2_u32.pow((*failures).min(3));
        *failures += 1;
        let (at, number) = (self.now - self.start, self.outcome.failures.len());
        self.outcome.failures.push(SimConnectionFailure {
            node,
            service: upstream.0,
            upstream: upstream.1,
            at,
            is_upstreams: false,
        });
        for delay in [FAULT_VERDICT_DELAY, CONNECT_TIMEOUT + FAULT_VERDICT_DELAY] {
            self.after(delay, Event::AskFault(node, number, failed));
        }
    }

    fn ask_fault(&mut self, number: usize, failed: ConnectionFailure) {
        let failure = &self.outcome.failures[number];
        let (service, id) = self.ids((failure.service, failure.upstream));
        let links = &self.nodes[failure.node].links;
        let is_upstreams = links.is_upstreams_fault(&service, &id, &failed, self.now);
        self.outcome.failures[number].is_upstreams |= is_upstreams;
    }

    /// No byte of a call was sent by the node that runs it; `has_place`: another upstream may get it.
    fn not_sent(&mut self, call: usize, has_place: bool) {
        let Call {
            home,
            runner,
            service,
            connects,
            written,
            ..
        } = self.calls[call];
        let state = self.nodes[runner]
            .links
            .state(&self.services[service], self.now);
        if state >= LinkState::Suspected && state != LinkState::Returning {
            if runner == home {
                self.relay(call);
            } else {
                let is_lost = state == LinkState::Lost;
                let refusal = if is_lost {
                    Refusal::CutOff
                } else {
                    Refusal::NoUpstream
                };
                self.refuse(call, runner, refusal);
            }
        } else if has_place && connects < MAX_CONNECTS && written < MAX_ATTEMPTS {
            self.send(call);
        } else if runner == home {
            self.end_call(call, false);
        } else {
            self.refuse(call, runner, Refusal::NoUpstream);
        }
    }

    /// Ends the work of a helper on a call that was not sent, and tells the call's node.
    fn refuse(&mut self, call: usize, helper: usize, refusal: Refusal) {
        self.nodes[helper].limit.end();
        self.calls[call].helpers.pop();
        self.after(HOP, Event::Refused(call, helper, refusal));
    }

    fn relay(&mut self, call: usize) {
        let Call { home, .. } = self.calls[call];
        let node = &self.nodes[home];
        let offered = &self.calls[call].offered;
        let need = RelayNeed {
            own: (&node.name, &node.domain),
            domains: None,
            tried: offered,
        };
        let is_allowed = offered.len() < MAX_OFFERS;
        let draw = self.rng.random();
        let chosen = node.targets.choose(&need, &self.view, self.now, draw);
        let Some((target, _)) = chosen.filter(|_| is_allowed) else {
            return self.send_without_peer(call);
        };
        self.nodes[home].targets.started(&target);
        let peer = target.as_str()[5..].parse().expect("a number");
        self.calls[call].offered.push(target);
        self.after(HOP, Event::Offer(call, peer));
    }

    /// Sends a call that no other node takes over links that return, if it was not sent before.
    fn send_without_peer(&mut self, call: usize) {
        let Call {
            home,
            service,
            written,
            connects,
            ..
        } = self.calls[call];
        let links = &self.nodes[home].links;
        let is_returning = links.state(&self.services[service], self.now) == LinkState::Returning;
        if is_returning && written < MAX_ATTEMPTS && connects < MAX_CONNECTS {
            self.send(call);
        } else {
            self.end_call(call, false);
        }
    }

    fn offer(&mut self, call: usize, peer: usize) {
        if self.calls[call].is_served.is_some() {
            return;
        }
        let service = self.calls[call].service;
        let draw = self.rng.random();
        let node = &mut self.nodes[peer];
        if !node
            .links
            .allows_own(&self.services[service], self.now, draw)
        {
            self.after(HOP, Event::Refused(call, peer, Refusal::CutOff));
        } else if node.limit.try_begin(node.own_in_flight, node.capacity) {
            let call_state = &mut self.calls[call];
            call_state.runner = peer;
            call_state.connects = 0;
            call_state.tried.clear();
            call_state.helpers.push(peer);
            self.send(call);
        } else {
            self.after(HOP, Event::Refused(call, peer, Refusal::AtLimit));
        }
    }

    fn refused(&mut self, call: usize, peer: usize, refusal: Refusal) {
        let home = self.calls[call].home;
        let (name, domain) = (
            self.nodes[peer].name.clone(),
            self.nodes[peer].domain.clone(),
        );
        let targets = &mut self.nodes[home].targets;
        if self.calls[call].is_served.is_some() {
            return;
        }
        targets.ended(&name);
        match refusal {
            Refusal::CutOff => targets.record_cut_off(&name, &domain, self.now),
            Refusal::AtLimit => targets.record_busy(&name, self.now),
            Refusal::NoUpstream => {}
        }
        self.calls[call].runner = home;
        self.relay(call);
    }

    fn chunk(&mut self, number: u64, left: u32) {
        let Some(attempt) = self.attempts.get(&number) else {
            return;
        };
        let (node, upstream) = (attempt.node, attempt.upstream);
        match self.failure(node, upstream) {
            Some(LinkFailure::Silence) => {
                return self.after(CHUNK_PAUSE, Event::Chunk(number, left));
            }
            Some(LinkFailure::Hang | LinkFailure::Reset) => return,
            Some(LinkFailure::HalfCut) | None => {}
        }
        let call = attempt.call.expect("a probe sends no request");
        let (service, id) = self.ids(upstream);
        let now = self.now;
        self.nodes[node].links.record_received(&service, &id, now);
        if left > 1 {
            return self.after(CHUNK_PAUSE, Event::Chunk(number, left - 1));
        }
        self.end_attempt(number);
        self.calls[call].attempt = None;
        let node = &mut self.nodes[node];
        node.links.record_wait_ended(&service, &id, now);
        let kept = node.kept.entry(upstream).or_default();
        kept.push(now + IDLE_TIME);
        self.end_call(call, true);
    }

    fn reset(&mut self, number: u64) {
        let Some(attempt) = self.end_attempt(number) else {
            return;
        };
        let (service, id) = self.ids(attempt.upstream);
        let links = &mut self.nodes[attempt.node].links;
        let failed = links.record_reset(&service, &id, self.now);
        self.record_failure(&attempt, failed);
        let Some(call) = attempt.call else {
            return;
        };
        let state = &mut self.calls[call];
        state.attempt = None;
        if !state.is_repeatable || state.written >= MAX_ATTEMPTS || state.runner != state.home {
            self.end_call(call, false);
        } else {
            self.dispatch(call);
        }
    }

    fn time_out(&mut self, call: usize) {
        if self.calls[call].is_served.is_none() {
            if let Some(attempt) = self.calls[call].attempt.take()
                && let Some(attempt) = self.end_attempt(attempt)
            {
                let (service, id) = self.ids(attempt.upstream);
                let links = &mut self.nodes[attempt.node].links;
                links.record_wait_ended(&service, &id, self.now);
            }
            self.end_call(call, false);
        }
    }

    fn end_call(&mut self, call: usize, is_served: bool) {
        let state = &mut self.calls[call];
        state.is_served = Some(is_served);
        let home = state.home;
        self.nodes[home].own_in_flight -= 1;
        if let Some(&helper) = state.helpers.last() {
            self.nodes[helper].limit.end();
            let name = self.nodes[helper].name.clone();
            let targets = &mut self.nodes[home].targets;
            targets.ended(&name);
            if is_served {
                targets.record_success(&name, self.now);
            }
        }
    }

    fn failure_starts(&mut self, number: usize) {
        let failure = &self.scenario.failures[number];
        if failure.kind != LinkFailure::Reset {
            return;
        }
        let concerns = |node, (service, upstream)| failure.concerns(node, service, upstream);
        for (number, node) in self.nodes.iter_mut().enumerate() {
            node.kept.retain(|upstream, _| !concerns(number, *upstream));
        }
        let attempts = self.attempts.iter();
        let reset: Vec<_> = attempts
            .filter(|(_, a)| a.is_written && concerns(a.node, a.upstream))
            .map(|(number, _)| *number)
            .collect();
        for number in reset {
            let delay = self.rng.random_range(0..5);
            self.after(Duration::from_millis(delay), Event::Reset(number));
        }
    }

    fn tick(&mut self, node: usize) {
        self.after(PROBE_TICK, Event::Tick(node));
        let draw = self.rng.random();
        let probes = self.nodes[node].links.due_probes(self.now, draw);
        for probe in probes {
            self.probe(node, &probe);
        }
        self.observe_states(node);
    }

    fn probe(&mut self, node: usize, probe: &Probe) {
        let service = self.services.iter().position(|id| *id == probe.service);
        let service = service.expect("a known service");
        let ids = &self.upstreams[service];
        let mut order: Vec<_> = (0..ids.len())
            .map(|number| {
                let is_preferred = probe.prefer.contains(&ids[number]);
                let is_avoided = probe.avoid.contains(&ids[number]);
                (is_avoided, !is_preferred, self.rng.random::<u32>(), number)
            })
            .collect();
        order.sort_unstable();
        for (.., number) in order.into_iter().take(probe.count) {
            if self.has_room(node, (service, number)) {
                *self.outcome.probes.entry(node).or_default() += 1;
                self.connect(node, (service, number), None);
            }
        }
    }

    /// Records changes of the states of a node's links, and acts on them.
    fn observe_states(&mut self, node: usize) {
        let at = self.now - self.start;
        let mut found_lost = Vec::new();
        for (service, id) in self.services.iter().enumerate() {
            let sim = &mut self.nodes[node];
            let state = sim.links.state(id, self.now);
            let old = std::mem::replace(&mut sim.states[service], state);
            if state == LinkState::Up && old == LinkState::Up {
                continue;
            }
            let times = self.outcome.links.entry((node, service)).or_default();
            if state == LinkState::Lost {
                if old != LinkState::Lost {
                    times.lost.push(at);
                    found_lost.push(service);
                }
                if !sim.links.is_half_lost(id) {
                    sim.kept.retain(|(s, _), _| *s != service);
                }
            } else if old == LinkState::Lost {
                sim.backoffs.retain(|(s, _), _| *s != service);
            }
            if state != LinkState::Up {
                times.last_not_up = Some((at, state));
            }
        }
        for service in found_lost {
            if !self.nodes[node].links.is_half_lost(&self.services[service]) {
                self.move_calls(node, service);
            }
        }
    }

    /// Sends the repeatable calls that wait for upstreams of lost links to other nodes.
    fn move_calls(&mut self, node: usize, service: usize) {
        let attempts = self.attempts.iter();
        let waiting = attempts.filter(|(_, attempt)| {
            let call = attempt.call.map(|call| &self.calls[call]);
            let may_move = |call: &Call| {
                call.is_repeatable && call.home == node && call.written < MAX_ATTEMPTS
            };
            attempt.node == node
                && attempt.is_written
                && attempt.upstream.0 == service
                && call.is_some_and(may_move)
        });
        let waiting: Vec<_> = waiting.map(|(number, _)| *number).collect();
        for number in waiting {
            let attempt = self.end_attempt(number).expect("a waiting request");
            let (service, id) = self.ids(attempt.upstream);
            let links = &mut self.nodes[node].links;
            links.record_wait_ended(&service, &id, self.now);
            let call = attempt.call.expect("a request of a call");
            self.calls[call].attempt = None;
            self.relay(call);
        }
    }
}
