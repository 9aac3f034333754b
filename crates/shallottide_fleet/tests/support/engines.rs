//! Engines that carry out a steward's orders, some of them late, and check its promises.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use shallottide_fleet::ClusterView;
use shallottide_fleet::border::OrderOutcome;
use shallottide_fleet::groups::{Action, Controller, ControllerOptions, Order};
use shallottide_fleet::upstream::{Formation, GroupState, Membership, Upstream};
use shallottide_fleet::view::Change;
use shallottide_types::id::{ModelId, StoreIndex, UpstreamId};

use super::sample::{catalog, engine_upstream, id};

/// Time of one step of the simulation.
const STEP: Duration = Duration::from_millis(50);
/// Time between two heartbeats.
const HEARTBEAT: Duration = Duration::from_millis(1_200);
/// Heartbeats without which an entry goes away.
const MISSED: u32 = 3;
/// Time after which a head without a member is broken.
const STALL: Duration = Duration::from_secs(5);
/// Time to join from the VM's own copy of the weights, and by a load.
const WARM: Duration = Duration::from_millis(1_600);
const LOAD: Duration = Duration::from_secs(16);

/// How much goes wrong.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Mischief {
    /// Chance of an order to go without an answer and be carried out 2 to 12 s later.
    pub(crate) late_orders: f64,
    /// Chance per second and engine to die for good.
    pub(crate) deaths: f64,
    /// Chance per second and engine to start again under its id.
    pub(crate) restarts: f64,
    /// Chance per second of another steward taking over.
    pub(crate) takeovers: f64,
    /// Chance per second and engine to lose its way to the store for 6 s, and to this steward.
    pub(crate) cuts: f64,
    /// Chance per second of the steward to reach nobody for 8 s, nor to see new entries.
    pub(crate) steward_cuts: f64,
    /// Chance of an entry to show what an engine was before, when another steward takes over.
    pub(crate) old_entries: f64,
}

#[derive(Debug, Clone)]
struct Engine {
    upstream: Upstream,
    /// The entries that changed its group, the last one as it is now.
    entries: Vec<Upstream>,
    dead: bool,
    /// Until when neither the store nor the steward hears of it.
    cut_until: Option<Instant>,
    members: Vec<UpstreamId>,
    seen_epoch: u64,
    joined_at: Option<Instant>,
    staging: Option<(ModelId, Instant)>,
    /// Since when it heads a group that lacks a member.
    stalls_since: Option<Instant>,
    next_beat: Instant,
    last_beat: Instant,
    has_entry: bool,
    /// Formations, with their members, under which it was ready in any life.
    was_ready: Vec<(Formation, Vec<UpstreamId>)>,
}

struct Late {
    at: Instant,
    to: UpstreamId,
    order: Order,
}

/// A failure domain's engines, their view and their steward.
pub(crate) struct Engines {
    fleet: BTreeMap<UpstreamId, Engine>,
    pub(crate) view: ClusterView,
    pub(crate) steward: Controller,
    late: Vec<Late>,
    rng: StdRng,
    pub(crate) now: Instant,
    start: Instant,
    mischief: Mischief,
    /// Until when the steward reaches nobody.
    steward_cut_until: Option<Instant>,
    index: u64,
    /// Whether callers are served, so that loads are bounded.
    pub(crate) traffic: bool,
    /// What callers ask of each model; as much of one as of the other unless changed.
    pub(crate) work: Option<BTreeMap<ModelId, Duration>>,
    /// Loads begun, with their times.
    pub(crate) loads: Vec<Instant>,
    claims: u64,
    next_engine: u64,
}

impl Engines {
    /// Starts `racks` fabric domains of `size` engines.
    pub(crate) fn start(racks: usize, size: usize, mischief: Mischief, seed: u64) -> Self {
        let now = Instant::now();
        let mut this = Self {
            fleet: BTreeMap::new(),
            view: ClusterView::default(),
            steward: Controller::new(options(), StoreIndex(1), true, now),
            late: Vec::new(),
            rng: StdRng::seed_from_u64(seed),
            now,
            start: now,
            mischief,
            steward_cut_until: None,
            index: 1,
            traffic: false,
            work: Some(BTreeMap::from([
                (id("large"), Duration::from_secs(1)),
                (id("small"), Duration::from_secs(2)),
            ])),
            loads: Vec::new(),
            claims: 1,
            next_engine: 0,
        };
        this.view.apply(Change::Catalog(Box::new(catalog(1))), now);
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
            dead: false,
            cut_until: None,
            members: Vec::new(),
            seen_epoch: 0,
            joined_at: None,
            staging: None,
            stalls_since: None,
            next_beat: self.now,
            last_beat: self.now,
            has_entry: true,
            was_ready: Vec::new(),
        };
        let id = engine.upstream.id.clone();
        self.fleet.insert(id.clone(), engine);
        id
    }

    /// Runs for a time; `each` looks at every step.
    pub(crate) fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.step();
        }
    }

    /// Ends an engine for good, without a word.
    pub(crate) fn kill(&mut self, id: &UpstreamId) {
        self.fleet.get_mut(id).expect("an engine").dead = true;
    }

    /// Returns the heads that serve whole groups, by model.
    pub(crate) fn serving(&self, model: &str) -> Vec<UpstreamId> {
        let model: ModelId = id(model);
        let heads = self.fleet.values().filter(|e| {
            !e.dead && e.upstream.is_open_head() && e.upstream.model.as_ref() == Some(&model)
        });
        heads
            .filter(|e| e.members.iter().all(|m| self.is_in(m, e)))
            .map(|e| e.upstream.id.clone())
            .collect()
    }

    /// Returns the members of a head's group.
    pub(crate) fn members(&self, head: &UpstreamId) -> Vec<UpstreamId> {
        self.fleet[head].members.clone()
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
        self.fleet
            .get(member)
            .is_some_and(|e| !e.dead && formation(e) == formation(head))
    }

    fn step(&mut self) {
        self.now += STEP;
        self.make_mischief();
        let due: Vec<_> = {
            let now = self.now;
            let (due, later) = std::mem::take(&mut self.late)
                .into_iter()
                .partition(|l| l.at <= now);
            self.late = later;
            due
        };
        for late in due {
            self.carry_out(&late.to, &late.order);
        }
        self.advance_engines();
        self.beat();
        self.tick();
    }

    fn make_mischief(&mut self) {
        let per_step = STEP.as_secs_f64();
        let ids: Vec<_> = self.fleet.keys().cloned().collect();
        for id in ids {
            if self.rng.random_bool(self.mischief.deaths * per_step) {
                self.kill(&id);
            }
            if self.rng.random_bool(self.mischief.cuts * per_step) {
                let until = self.now + Duration::from_secs(6);
                self.fleet.get_mut(&id).expect("an engine").cut_until = Some(until);
            }
            if self.rng.random_bool(self.mischief.restarts * per_step) {
                self.restart(&id);
            }
        }
        if self.rng.random_bool(self.mischief.steward_cuts * per_step) {
            self.steward_cut_until = Some(self.now + Duration::from_secs(8));
        }
        if self.rng.random_bool(self.mischief.takeovers * per_step) {
            self.claims += 1;
            let claim = StoreIndex(self.claims);
            self.steward = Controller::new(options(), claim, false, self.now);
            if self.mischief.old_entries > 0.0 {
                self.start_view_anew();
            }
        }
    }

    /// Forgets the view, as another process does, and lists entries, some of them old.
    fn start_view_anew(&mut self) {
        self.view = ClusterView::default();
        self.view.index = StoreIndex(self.index);
        self.view
            .apply(Change::Catalog(Box::new(catalog(1))), self.now);
        let fleet = self.fleet.values().filter(|engine| engine.has_entry);
        for engine in fleet {
            let is_old = self.rng.random_bool(self.mischief.old_entries);
            let back = if is_old {
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

    /// Starts an engine again under its id: it knows nothing but what its VM has staged.
    pub(crate) fn restart(&mut self, id: &UpstreamId) {
        let now = self.now;
        let engine = self.fleet.get_mut(id).expect("an engine");
        engine.upstream.born += 1;
        engine.upstream.membership = None;
        engine.upstream.model = None;
        engine.members.clear();
        engine.seen_epoch = 0;
        engine.joined_at = None;
        engine.stalls_since = None;
        engine.next_beat = now;
    }

    fn carry_out(&mut self, to: &UpstreamId, order: &Order) -> OrderOutcome {
        match order {
            Order::Join {
                formation,
                model,
                members,
            } => self.join(to, formation, model, members),
            Order::Open(formation) => self.open(to, formation),
            Order::Close { formation, preempt } => {
                let engine = self.fleet.get_mut(to).expect("an engine");
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
                engine.next_beat = self.now;
                OrderOutcome::Accepted
            }
            Order::Leave(formation) => {
                let engine = self.fleet.get_mut(to).expect("an engine");
                if membership_in(engine, formation).is_none() {
                    return OrderOutcome::Refused;
                }
                engine.upstream.membership = None;
                engine.members.clear();
                engine.stalls_since = None;
                engine.next_beat = self.now;
                OrderOutcome::Accepted
            }
            Order::Stage(model) => {
                let at = self.now + if self.traffic { LOAD } else { LOAD / 10 };
                let engine = self.fleet.get_mut(to).expect("an engine");
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
        self.check_head_of_last_group(to, formation);
        let now = self.now;
        let engine = self.fleet.get_mut(to).expect("an engine");
        if formation.epoch < engine.seen_epoch {
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
            WARM
        } else {
            self.loads.push(now);
            if self.traffic { LOAD } else { LOAD / 10 }
        };
        engine.seen_epoch = formation.epoch;
        engine.upstream.staged = vec![model.clone()];
        engine.upstream.model = Some(model.clone());
        engine.upstream.membership = Some(Membership {
            formation: formation.clone(),
            rank: members.iter().position(|m| m == to).expect("a member"),
            state: GroupState::Joining,
        });
        engine.members = members.to_vec();
        engine.joined_at = Some(now + time);
        engine.stalls_since = None;
        engine.next_beat = now;
        OrderOutcome::Accepted
    }

    /// The promise about two groups: the head of the last one can no longer serve.
    fn check_head_of_last_group(&self, to: &UpstreamId, joins: &Formation) {
        let engine = &self.fleet[to];
        let Some(last) = &engine.upstream.membership else {
            return;
        };
        if last.formation == *joins || joins.epoch < engine.seen_epoch {
            return;
        }
        let Some(head) = engine.members.first().and_then(|head| self.fleet.get(head)) else {
            return;
        };
        let state = head
            .upstream
            .membership
            .as_ref()
            .filter(|m| m.formation == last.formation);
        let serves = state.is_some_and(|m| {
            matches!(m.state, GroupState::Open | GroupState::Closing) && !head.dead
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
        let engine = &self.fleet[to];
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
            let was_ready = self.fleet[member].was_ready.contains(&known);
            assert!(
                was_ready,
                "{to} opens {formation}, {member} never was ready"
            );
        }
        let now = self.now;
        let engine = self.fleet.get_mut(to).expect("an engine");
        if let Some(m) = &mut engine.upstream.membership {
            m.state = GroupState::Open;
        }
        engine.next_beat = now;
        OrderOutcome::Accepted
    }

    fn advance_engines(&mut self) {
        let now = self.now;
        let ids: Vec<_> = self.fleet.keys().cloned().collect();
        for id in ids {
            let lacks = {
                let engine = &self.fleet[&id];
                engine.upstream.is_open_head()
                    && !engine.members.iter().all(|m| self.is_in(m, engine))
            };
            let engine = self.fleet.get_mut(&id).expect("an engine");
            if engine.staging.as_ref().is_some_and(|(_, at)| *at <= now)
                && let Some((model, _)) = engine.staging.take()
            {
                engine.upstream.staged = vec![model];
                engine.next_beat = now;
            }
            let Some(m) = &mut engine.upstream.membership else {
                continue;
            };
            if m.state == GroupState::Joining && engine.joined_at.is_some_and(|at| at <= now) {
                m.state = GroupState::Ready;
                engine
                    .was_ready
                    .push((m.formation.clone(), engine.members.clone()));
                engine.next_beat = now;
            }
            if m.state == GroupState::Closing {
                m.state = GroupState::Ready;
                engine.next_beat = now;
            }
            if !lacks {
                engine.stalls_since = None;
            } else if now - *engine.stalls_since.get_or_insert(now) >= STALL {
                m.state = GroupState::Broken;
                engine.next_beat = now;
            }
        }
    }

    fn beat(&mut self) {
        let now = self.now;
        if self.steward_cut_until.is_some_and(|until| now < until) {
            return;
        }
        for engine in self.fleet.values_mut() {
            let is_cut = engine.cut_until.is_some_and(|until| now < until);
            let id = engine.upstream.id.clone();
            if engine.dead || is_cut {
                if engine.has_entry && now - engine.last_beat >= HEARTBEAT * MISSED {
                    engine.has_entry = false;
                    self.index += 1;
                    self.view.index = StoreIndex(self.index);
                    self.view.apply(Change::UpstreamGone(id), now);
                }
                continue;
            }
            if now >= engine.next_beat {
                engine.has_entry = true;
                engine.last_beat = now;
                engine.next_beat = now + HEARTBEAT;
                self.index += 1;
                self.view.index = StoreIndex(self.index);
                engine.upstream.heartbeat_seq += 1;
                let last = engine.entries.last_mut().expect("at least one");
                if last.membership == engine.upstream.membership {
                    *last = engine.upstream.clone();
                } else {
                    engine.entries.push(engine.upstream.clone());
                }
                let upstream = Box::new(engine.upstream.clone());
                self.view.apply(Change::Upstream(id, Some(upstream)), now);
            }
        }
        self.view.expire(now);
        self.view.index_serving();
    }

    fn reaches(&self, to: &UpstreamId) -> bool {
        let engine = &self.fleet[to];
        let is_over = |until: Option<Instant>| until.is_none_or(|until| self.now >= until);
        !engine.dead && is_over(engine.cut_until) && is_over(self.steward_cut_until)
    }

    fn tick(&mut self) {
        let actions = {
            let work = self.work.as_ref();
            self.steward.tick(&self.view, work, !self.traffic, self.now)
        };
        for action in actions {
            match action {
                Action::Order { to, number, order } => {
                    let outcome = if !self.reaches(&to.id) {
                        OrderOutcome::Unknown
                    } else if self.rng.random_bool(self.mischief.late_orders) {
                        let wait = Duration::from_millis(self.rng.random_range(2_000..12_000));
                        let at = self.now + wait;
                        self.late.push(Late {
                            at,
                            to: to.id.clone(),
                            order,
                        });
                        OrderOutcome::Unknown
                    } else {
                        self.carry_out(&to.id, &order)
                    };
                    self.steward.record_order_outcome(number, outcome, self.now);
                }
                Action::Probe(to) => {
                    let report = self
                        .reaches(&to.id)
                        .then(|| self.fleet[&to.id].upstream.clone());
                    self.steward.record_probe_result(&to.id, report, self.now);
                }
            }
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

fn options() -> ControllerOptions {
    ControllerOptions {
        domain: id("zone-a"),
        ..ControllerOptions::default()
    }
}
