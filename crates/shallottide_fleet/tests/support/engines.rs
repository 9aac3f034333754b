//! Simulated engines that carry out a controller's orders, some of them late, and assert its
//! invariants.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use shallottide_fleet::ClusterView;
use shallottide_fleet::adapter::{EngineReport, OrderOutcome};
use shallottide_fleet::catalog::Catalog;
use shallottide_fleet::groups::{Action, Controller, ControllerOptions, Order};
use shallottide_fleet::upstream::{Formation, GroupState, Membership, Upstream};
use shallottide_fleet::view::Change;
use shallottide_types::id::{ModelId, StoreIndex, UpstreamId};

use super::sample::{catalog, engine_upstream, id};

/// Time of one step of the simulation.
const STEP: Duration = Duration::from_millis(50);
/// Time between two heartbeats.
const HEARTBEAT: Duration = Duration::from_millis(1_200);
/// Missed heartbeats after which an entry is removed.
const MISSED_HEARTBEATS: u32 = 3;
/// Time after which a head without a member is broken.
const STALL: Duration = Duration::from_secs(5);
/// Time to join with staged weights, and with a weight load.
const WARM_JOIN_TIME: Duration = Duration::from_millis(1_600);
const LOAD_TIME: Duration = Duration::from_secs(16);

/// Rates of the injected faults.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Faults {
    /// Probability that an order gets no answer and is carried out 2 to 12 s later.
    pub(crate) late_orders: f64,
    /// Probability per second and engine of a permanent crash.
    pub(crate) crashes: f64,
    /// Probability per second and engine of a restart under the same id.
    pub(crate) restarts: f64,
    /// Probability per second that another controller takes over.
    pub(crate) takeovers: f64,
    /// Probability per second and engine of a partition from the store and the controller, for 6 s.
    pub(crate) partitions: f64,
    /// Probability per second of a partition of the controller from engines and store, for 8 s.
    pub(crate) controller_partitions: f64,
    /// Probability that an entry shows an earlier state of its engine when another controller takes
    /// over.
    pub(crate) stale_entries: f64,
}

#[derive(Debug, Clone)]
struct Engine {
    upstream: Upstream,
    /// The entries that changed its group; the last one is current.
    entries: Vec<Upstream>,
    is_crashed: bool,
    /// Until when it is partitioned from the store and the controller.
    partitioned_until: Option<Instant>,
    members: Vec<UpstreamId>,
    highest_epoch: u64,
    /// Orders accepted in its lifetime.
    order_count: u64,
    joined_at: Option<Instant>,
    staging: Option<(ModelId, Instant)>,
    /// Since when it heads a group that lacks a member.
    stalled_since: Option<Instant>,
    next_heartbeat: Instant,
    last_heartbeat: Instant,
    has_entry: bool,
    /// Formations, with their members, under which it was ready in any lifetime.
    was_ready: Vec<(Formation, Vec<UpstreamId>)>,
}

struct LateOrder {
    at: Instant,
    to: UpstreamId,
    order: Order,
}

/// A failure domain's engines, with the view and the controller.
pub(crate) struct Engines {
    by_id: BTreeMap<UpstreamId, Engine>,
    pub(crate) view: ClusterView,
    pub(crate) controller: Controller,
    catalog: Catalog,
    options: ControllerOptions,
    late_orders: Vec<LateOrder>,
    rng: StdRng,
    pub(crate) now: Instant,
    start: Instant,
    faults: Faults,
    /// Until when the controller is partitioned from the engines and the store.
    controller_partitioned_until: Option<Instant>,
    index: u64,
    /// Whether there is traffic, so that loads are limited.
    pub(crate) traffic: bool,
    /// Requested work by model; equal upstream time for both models unless changed.
    pub(crate) work: Option<BTreeMap<ModelId, Duration>>,
    /// Whether the store passes on only entries that changed besides the heartbeat.
    pub(crate) omits_heartbeats: bool,
    /// Number of probes sent.
    pub(crate) probes: usize,
    /// Start times of all loads.
    pub(crate) loads: Vec<Instant>,
    claims: u64,
    next_engine: u64,
    /// Crashed engines in whose place another one was added.
    replaced: BTreeSet<UpstreamId>,
}

impl Engines {
    /// Starts `racks` fabric domains of `size` engines.
    pub(crate) fn start(racks: usize, size: usize, faults: Faults, seed: u64) -> Self {
        Self::start_with(racks, size, catalog(1), options(), faults, seed)
    }

    /// Starts `racks` fabric domains of `size` engines under other settings.
    pub(crate) fn start_with(
        racks: usize,
        size: usize,
        catalog: Catalog,
        options: ControllerOptions,
        faults: Faults,
        seed: u64,
    ) -> Self {
        let now = Instant::now();
        let mut this = Self {
            by_id: BTreeMap::new(),
            view: ClusterView::default(),
            controller: Controller::new(options.clone(), StoreIndex(1), true, now),
            catalog,
            options,
            late_orders: Vec::new(),
            rng: StdRng::seed_from_u64(seed),
            now,
            start: now,
            faults,
            controller_partitioned_until: None,
            index: 1,
            traffic: false,
            work: Some(BTreeMap::from([
                (id("large"), Duration::from_secs(1)),
                (id("small"), Duration::from_secs(2)),
            ])),
            omits_heartbeats: false,
            probes: 0,
            loads: Vec::new(),
            claims: 1,
            next_engine: 0,
            replaced: BTreeSet::new(),
        };
        let catalog = Box::new(this.catalog.clone());
        this.view.apply(Change::Catalog(catalog), now);
        for rack in 0..racks {
            for _ in 0..size {
                this.add(rack);
            }
        }
        this
    }

    /// Adds an engine to a fabric domain.
    pub(crate) fn add(&mut self, rack: usize) -> UpstreamId {
        self.next_engine += 1;
        let name = format!("e{:03}", self.next_engine);
        let upstream = engine_upstream(&name, &format!("rack-{rack}"));
        let engine = Engine {
            entries: vec![upstream.clone()],
            upstream,
            is_crashed: false,
            partitioned_until: None,
            members: Vec::new(),
            highest_epoch: 0,
            order_count: 0,
            joined_at: None,
            staging: None,
            stalled_since: None,
            next_heartbeat: self.now,
            last_heartbeat: self.now,
            has_entry: true,
            was_ready: Vec::new(),
        };
        let id = engine.upstream.id.clone();
        self.by_id.insert(id.clone(), engine);
        id
    }

    /// Runs the simulation for a time.
    pub(crate) fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.step();
        }
    }

    /// Crashes an engine permanently; its entry stays until enough heartbeats are missed.
    pub(crate) fn kill(&mut self, id: &UpstreamId) {
        self.by_id.get_mut(id).expect("an engine").is_crashed = true;
    }

    /// Returns the heads that serve whole groups, by model.
    pub(crate) fn serving(&self, model: &str) -> Vec<UpstreamId> {
        let model: ModelId = id(model);
        let heads = self.by_id.values().filter(|e| {
            !e.is_crashed && e.upstream.is_open_head() && e.upstream.model.as_ref() == Some(&model)
        });
        heads
            .filter(|e| e.members.iter().all(|m| self.is_in(m, e)))
            .map(|e| e.upstream.id.clone())
            .collect()
    }

    /// Returns the members of a head's group.
    pub(crate) fn members(&self, head: &UpstreamId) -> Vec<UpstreamId> {
        self.by_id[head].members.clone()
    }

    /// Returns the most loads that began within a window.
    pub(crate) fn most_loads_within(&self, window: Duration) -> usize {
        let within = |from: &Instant| {
            let in_window = |at: &&Instant| **at >= *from && **at - *from < window;
            self.loads.iter().filter(in_window).count()
        };
        self.loads.iter().map(within).max().unwrap_or(0)
    }

    fn is_in(&self, member: &UpstreamId, head: &Engine) -> bool {
        let formation = |e: &Engine| e.upstream.membership.as_ref().map(|m| m.formation.clone());
        self.by_id
            .get(member)
            .is_some_and(|e| !e.is_crashed && formation(e) == formation(head))
    }

    fn step(&mut self) {
        self.now += STEP;
        self.inject_faults();
        let due: Vec<_> = {
            let now = self.now;
            let (due, later) = std::mem::take(&mut self.late_orders)
                .into_iter()
                .partition(|l| l.at <= now);
            self.late_orders = later;
            due
        };
        for late_order in due {
            self.carry_out(&late_order.to, &late_order.order);
        }
        self.advance_engines();
        self.write_entries();
        self.tick();
    }

    fn inject_faults(&mut self) {
        let per_step = STEP.as_secs_f64();
        let ids: Vec<_> = self.by_id.keys().cloned().collect();
        for id in ids {
            if self.rng.random_bool(self.faults.crashes * per_step) {
                self.kill(&id);
            }
            if self.rng.random_bool(self.faults.partitions * per_step) {
                let until = self.now + Duration::from_secs(6);
                self.by_id
                    .get_mut(&id)
                    .expect("an engine")
                    .partitioned_until = Some(until);
            }
            if self.rng.random_bool(self.faults.restarts * per_step) {
                self.restart(&id);
            }
        }
        if self
            .rng
            .random_bool(self.faults.controller_partitions * per_step)
        {
            self.controller_partitioned_until = Some(self.now + Duration::from_secs(8));
        }
        if self.rng.random_bool(self.faults.takeovers * per_step) {
            self.claims += 1;
            let claim = StoreIndex(self.claims);
            self.controller = Controller::new(self.options.clone(), claim, false, self.now);
            if self.faults.stale_entries > 0.0 {
                self.replace_view();
            }
        }
    }

    /// Replaces the view by a new listing with some old entries, as a controller in another process
    /// reads it.
    fn replace_view(&mut self) {
        self.view = ClusterView::default();
        self.view.index = StoreIndex(self.index);
        self.view
            .apply(Change::Catalog(Box::new(self.catalog.clone())), self.now);
        let engines = self.by_id.values().filter(|engine| engine.has_entry);
        for engine in engines {
            let is_stale = self.rng.random_bool(self.faults.stale_entries);
            let back = if is_stale {
                self.rng.random_range(0..6)
            } else {
                0
            };
            let entries = &engine.entries;
            let entry = &entries[entries.len().saturating_sub(1 + back)];
            let id = entry.id.clone();
            self.view.apply(
                Change::Upstream(id, Some(Box::new(entry.clone()))),
                self.now,
            );
        }
    }

    /// Restarts an engine under its id; only the weights staged on its VM remain.
    pub(crate) fn restart(&mut self, id: &UpstreamId) {
        let now = self.now;
        let engine = self.by_id.get_mut(id).expect("an engine");
        engine.upstream.born += 1;
        engine.upstream.membership = None;
        engine.upstream.model = None;
        engine.members.clear();
        engine.highest_epoch = 0;
        engine.order_count = 0;
        engine.joined_at = None;
        engine.stalled_since = None;
        engine.next_heartbeat = now;
    }

    fn carry_out(&mut self, to: &UpstreamId, order: &Order) -> OrderOutcome {
        let state = |this: &Self| {
            let engine = &this.by_id[to];
            (engine.upstream.membership.clone(), engine.staging.clone())
        };
        let before = state(self);
        if let Order::Join {
            order_count: Some(count),
            ..
        } = order
            && *count != self.by_id[to].order_count
        {
            return OrderOutcome::Refused;
        }
        let outcome = self.change_state(to, order);
        if state(self) != before {
            self.by_id.get_mut(to).expect("an engine").order_count += 1;
        }
        outcome
    }

    fn change_state(&mut self, to: &UpstreamId, order: &Order) -> OrderOutcome {
        match order {
            Order::Join {
                formation,
                model,
                members,
                order_count: _,
            } => self.join(to, formation, model, members),
            Order::Open(formation) => self.open(to, formation),
            Order::Close { formation, preempt } => {
                let engine = self.by_id.get_mut(to).expect("an engine");
                let Some(m) = membership_in(engine, formation) else {
                    return OrderOutcome::Refused;
                };
                if matches!(m.state, GroupState::Open | GroupState::Closing) {
                    m.state = if *preempt {
                        GroupState::Ready
                    } else {
                        GroupState::Closing
                    };
                }
                engine.next_heartbeat = self.now;
                OrderOutcome::Accepted
            }
            Order::Leave(formation) => {
                let engine = self.by_id.get_mut(to).expect("an engine");
                if membership_in(engine, formation).is_none() {
                    return OrderOutcome::Refused;
                }
                engine.upstream.membership = None;
                engine.members.clear();
                engine.stalled_since = None;
                engine.next_heartbeat = self.now;
                OrderOutcome::Accepted
            }
            Order::Stage(model) => {
                let at = self.now
                    + if self.traffic {
                        LOAD_TIME
                    } else {
                        LOAD_TIME / 10
                    };
                let engine = self.by_id.get_mut(to).expect("an engine");
                engine.staging.get_or_insert((model.clone(), at));
                self.loads.push(self.now);
                OrderOutcome::Accepted
            }
        }
    }

    fn join(
        &mut self,
        to: &UpstreamId,
        formation: &Formation,
        model: &ModelId,
        members: &[UpstreamId],
    ) -> OrderOutcome {
        self.check_head_of_previous_group(to, formation);
        let now = self.now;
        let engine = self.by_id.get_mut(to).expect("an engine");
        if formation.epoch < engine.highest_epoch {
            return OrderOutcome::Refused;
        }
        if membership_in(engine, formation).is_some() {
            let same = engine.members == members;
            return if same {
                OrderOutcome::Accepted
            } else {
                OrderOutcome::Refused
            };
        }
        let is_last = engine.upstream.model.as_ref() == Some(model);
        let time = if is_last {
            Duration::from_millis(200)
        } else if engine.upstream.staged.contains(model) {
            WARM_JOIN_TIME
        } else {
            self.loads.push(now);
            if self.traffic {
                LOAD_TIME
            } else {
                LOAD_TIME / 10
            }
        };
        engine.highest_epoch = formation.epoch;
        engine.upstream.staged = vec![model.clone()];
        engine.upstream.model = Some(model.clone());
        engine.upstream.membership = Some(Membership {
            formation: formation.clone(),
            rank: members.iter().position(|m| m == to).expect("a member"),
            state: GroupState::Joining,
        });
        engine.members = members.to_vec();
        engine.joined_at = Some(now + time);
        engine.stalled_since = None;
        engine.next_heartbeat = now;
        OrderOutcome::Accepted
    }

    /// Asserts that the head of the engine's previous group can no longer serve.
    fn check_head_of_previous_group(&self, to: &UpstreamId, joins: &Formation) {
        let engine = &self.by_id[to];
        let Some(last) = &engine.upstream.membership else {
            return;
        };
        if last.formation == *joins || joins.epoch < engine.highest_epoch {
            return;
        }
        let Some(head) = engine.members.first().and_then(|head| self.by_id.get(head)) else {
            return;
        };
        let state = head
            .upstream
            .membership
            .as_ref()
            .filter(|m| m.formation == last.formation);
        let serves = state.is_some_and(|m| {
            matches!(m.state, GroupState::Open | GroupState::Closing) && !head.is_crashed
        });
        assert!(
            !serves || head.upstream.id == *to,
            "{to} joins {joins} while {} serves {}",
            head.upstream.id,
            last.formation
        );
        let is_own = head.upstream.id == *to && serves;
        assert!(
            !is_own,
            "{to} joins {joins} while it serves {}",
            last.formation
        );
    }

    fn open(&mut self, to: &UpstreamId, formation: &Formation) -> OrderOutcome {
        let engine = &self.by_id[to];
        let is_ready = engine
            .upstream
            .membership
            .as_ref()
            .is_some_and(|m| m.formation == *formation && m.state == GroupState::Ready);
        let is_open = engine
            .upstream
            .membership
            .as_ref()
            .is_some_and(|m| m.formation == *formation && m.state == GroupState::Open);
        if is_open {
            return OrderOutcome::Accepted;
        }
        if !is_ready {
            return OrderOutcome::Refused;
        }
        let members = engine.members.clone();
        for member in &members {
            let known = (formation.clone(), members.clone());
            let was_ready = self.by_id[member].was_ready.contains(&known);
            assert!(
                was_ready,
                "{to} opens {formation}, but {member} never was ready"
            );
        }
        let now = self.now;
        let engine = self.by_id.get_mut(to).expect("an engine");
        if let Some(m) = &mut engine.upstream.membership {
            m.state = GroupState::Open;
        }
        engine.next_heartbeat = now;
        OrderOutcome::Accepted
    }

    fn advance_engines(&mut self) {
        let now = self.now;
        let ids: Vec<_> = self.by_id.keys().cloned().collect();
        for id in ids {
            let lacks_member = {
                let engine = &self.by_id[&id];
                engine.upstream.is_open_head()
                    && !engine.members.iter().all(|m| self.is_in(m, engine))
            };
            let engine = self.by_id.get_mut(&id).expect("an engine");
            if engine.staging.as_ref().is_some_and(|(_, at)| *at <= now)
                && let Some((model, _)) = engine.staging.take()
            {
                engine.upstream.staged = vec![model];
                engine.next_heartbeat = now;
            }
            let Some(m) = &mut engine.upstream.membership else {
                continue;
            };
            if m.state == GroupState::Joining && engine.joined_at.is_some_and(|at| at <= now) {
                m.state = GroupState::Ready;
                engine
                    .was_ready
                    .push((m.formation.clone(), engine.members.clone()));
                engine.next_heartbeat = now;
            }
            if m.state == GroupState::Closing {
                m.state = GroupState::Ready;
                engine.next_heartbeat = now;
            }
            if !lacks_member {
                engine.stalled_since = None;
            } else if now - *engine.stalled_since.get_or_insert(now) >= STALL {
                m.state = GroupState::Broken;
                engine.next_heartbeat = now;
            }
        }
    }

    fn write_entries(&mut self) {
        let now = self.now;
        if self
            .controller_partitioned_until
            .is_some_and(|until| now < until)
        {
            return;
        }
        for engine in self.by_id.values_mut() {
            let is_partitioned = engine.partitioned_until.is_some_and(|until| now < until);
            let id = engine.upstream.id.clone();
            if engine.is_crashed || is_partitioned {
                if engine.has_entry && now - engine.last_heartbeat >= HEARTBEAT * MISSED_HEARTBEATS
                {
                    engine.has_entry = false;
                    self.index += 1;
                    self.view.index = StoreIndex(self.index);
                    self.view.apply(Change::UpstreamRemoved(id), now);
                }
                continue;
            }
            if now >= engine.next_heartbeat {
                engine.has_entry = true;
                engine.last_heartbeat = now;
                engine.next_heartbeat = now + HEARTBEAT;
                self.index += 1;
                self.view.index = StoreIndex(self.index);
                engine.upstream.heartbeat_seq += 1;
                let last = engine.entries.last_mut().expect("at least one");
                let is_same = Upstream {
                    heartbeat_seq: last.heartbeat_seq,
                    ..engine.upstream.clone()
                } == *last;
                if last.membership == engine.upstream.membership {
                    *last = engine.upstream.clone();
                } else {
                    engine.entries.push(engine.upstream.clone());
                }
                if self.omits_heartbeats && is_same && self.view.upstreams.contains_key(&id) {
                    continue;
                }
                let upstream = Box::new(engine.upstream.clone());
                self.view.apply(Change::Upstream(id, Some(upstream)), now);
            }
        }
        self.view.expire(now);
        self.view.index_serving();
    }

    fn is_reachable(&self, to: &UpstreamId) -> bool {
        let engine = &self.by_id[to];
        let is_over = |until: Option<Instant>| until.is_none_or(|until| self.now >= until);
        !engine.is_crashed
            && is_over(engine.partitioned_until)
            && is_over(self.controller_partitioned_until)
    }

    fn tick(&mut self) {
        let actions = {
            let work = self.work.as_ref();
            self.controller
                .tick(&self.view, work, !self.traffic, self.now)
        };
        for action in actions {
            match action {
                Action::Order { to, number, order } => {
                    let outcome = if !self.is_reachable(&to.id) {
                        OrderOutcome::Unknown
                    } else if self.rng.random_bool(self.faults.late_orders) {
                        let wait = Duration::from_millis(self.rng.random_range(2_000..12_000));
                        let at = self.now + wait;
                        self.late_orders.push(LateOrder {
                            at,
                            to: to.id.clone(),
                            order,
                        });
                        OrderOutcome::Unknown
                    } else {
                        self.carry_out(&to.id, &order)
                    };
                    self.controller
                        .record_order_outcome(number, outcome, self.now);
                }
                Action::Probe(to) => {
                    self.probes += 1;
                    let engine = &self.by_id[&to.id];
                    let report = self.is_reachable(&to.id).then(|| EngineReport {
                        upstream: engine.upstream.clone(),
                        order_count: Some(engine.order_count),
                    });
                    self.controller
                        .record_probe_result(&to.id, report, self.now);
                }
            }
        }
    }

    /// Adds an engine to the fabric domain of each one that has crashed since the last call.
    pub(crate) fn replace_crashed(&mut self) {
        let crashed = self.by_id.values().filter(|engine| engine.is_crashed);
        let crashed: Vec<_> = crashed
            .map(|engine| engine.upstream.clone())
            .filter(|upstream| self.replaced.insert(upstream.id.clone()))
            .collect();
        for upstream in crashed {
            let fabric = upstream.fabric.expect("an engine");
            let rack = fabric.as_str().rsplit('-').next().expect("a number");
            self.add(rack.parse().expect("a number"));
        }
    }

    /// Reports the heads whose streams stall, as the request path does.
    pub(crate) fn suspect_stalled(&mut self) {
        let is_stalled =
            |engine: &&Engine| engine.upstream.is_open_head() && engine.stalled_since.is_some();
        let heads = self
            .by_id
            .values()
            .filter(|e| is_stalled(e) || e.is_crashed);
        let heads: Vec<_> = heads.map(|engine| engine.upstream.id.clone()).collect();
        for head in heads {
            self.controller.suspect(&head, self.now);
        }
    }

    /// Returns the time since the start.
    pub(crate) fn elapsed(&self) -> Duration {
        self.now - self.start
    }
}

fn membership_in<'a>(engine: &'a mut Engine, formation: &Formation) -> Option<&'a mut Membership> {
    let m = engine.upstream.membership.as_mut()?;
    (m.formation == *formation).then_some(m)
}

pub(crate) fn options() -> ControllerOptions {
    ControllerOptions {
        domain: id("zone-a"),
        ..ControllerOptions::default()
    }
}
