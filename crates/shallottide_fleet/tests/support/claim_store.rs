//! Simulated leases and claims in a store that is restored from older copies, and nodes that claim
//! failure domains.

use std::collections::BTreeMap;
use std::ops::Range;
use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use shallottide_fleet::adapter::Lease;
use shallottide_fleet::domain_claims::{ClaimInput, ClaimPolicy, OpenClaims, fencing_token};
use shallottide_fleet::lease_term::{PLAIN_TTL, fits, lease_ttl, renewal_interval};
use shallottide_fleet::lease_validity::LeaseValidity;
use shallottide_fleet::view::{Change, ControllerClaim};
use shallottide_fleet::{ClusterView, NodeOptions};
use shallottide_types::id::{DomainId, FencingToken, NodeId, StoreEra, StoreIndex};

use super::{catalog, id};

const TICK: Duration = Duration::from_millis(100);
/// Time after the last disturbance until every domain must have a controller that acts; twice that in
/// which the operators' platform lets a duty go without one.
const RECOVERY_TIME: Duration = Duration::from_secs(8);
const DOMAINS: usize = 3;

/// How long the store lets a lease run that was asked for some time.
#[derive(Debug, Clone, Copy)]
pub(crate) enum GrantedTime {
    AsAsked,
    /// Rounded up to whole seconds.
    WholeSeconds,
    AtLeast(Duration),
    /// A share of what was asked for, in percent.
    Share(u32),
    /// Between these shares, another one at each grant and renewal.
    Varying(u32, u32),
}

impl GrantedTime {
    fn apply(self, asked: Duration, rng: &mut StdRng) -> Duration {
        match self {
            Self::AsAsked => asked,
            Self::WholeSeconds => {
                let more = u64::from(asked.subsec_nanos() > 0);
                Duration::from_secs(asked.as_secs() + more)
            }
            Self::AtLeast(least) => asked.max(least),
            Self::Share(percent) => asked * percent / 100,
            Self::Varying(least, most) => asked * rng.random_range(least..=most) / 100,
        }
    }

    /// Returns the longest time that the store grants.
    fn longest(self) -> Duration {
        match self {
            Self::AtLeast(least) => least.max(PLAIN_TTL),
            Self::Varying(_, most) => PLAIN_TTL * most.max(100) / 100,
            Self::AsAsked | Self::WholeSeconds | Self::Share(_) => PLAIN_TTL,
        }
    }
}

/// An entry of the store with the lease that it depends on; 0 for none.
#[derive(Clone)]
struct Item {
    change: Change,
    lease: u64,
}

#[derive(Clone, Default)]
struct SimStore {
    era: StoreEra,
    revision: u64,
    /// When each lease ends, with its time to live.
    leases: BTreeMap<u64, (Instant, Duration)>,
    nodes: BTreeMap<NodeId, Item>,
    claims: BTreeMap<DomainId, (NodeId, u64, u64)>,
    open: Option<(StoreEra, u64)>,
}

impl SimStore {
    fn index(&self) -> StoreIndex {
        StoreIndex::new(self.era, self.revision)
    }

    fn expire(&mut self, now: Instant) {
        self.leases.retain(|_, (end, _)| *end > now);
        let leases = &self.leases;
        let count = self.nodes.len() + self.claims.len();
        self.nodes
            .retain(|_, item| leases.contains_key(&item.lease));
        self.claims
            .retain(|_, (_, lease, _)| leases.contains_key(lease));
        if self.nodes.len() + self.claims.len() != count {
            self.revision += 1;
        }
    }

    fn grant(&mut self, asked: Duration, ttl: Duration, now: Instant) -> Lease {
        self.revision += 1;
        // Ids are given out again after a restore.
        self.leases.insert(self.revision, (now + ttl, ttl));
        Lease {
            id: self.revision,
            era: self.era,
            asked,
            ttl,
        }
    }

    fn renew(&mut self, lease: Lease, ttl: Duration, now: Instant) -> Option<Lease> {
        let held = self.leases.get_mut(&lease.id)?;
        *held = (now + ttl, ttl);
        (lease.era == self.era).then_some(Lease { ttl, ..lease })
    }

    fn claim(
        &mut self,
        lease: Lease,
        domain: &DomainId,
        node: &NodeId,
        replaces: Option<StoreIndex>,
    ) -> Option<StoreIndex> {
        let known = self.claims.get(domain).map(|(_, _, revision)| *revision);
        if !self.leases.contains_key(&lease.id) || known != replaces.map(StoreIndex::revision) {
            return None;
        }
        self.revision += 1;
        let claim = (node.clone(), lease.id, self.revision);
        self.claims.insert(domain.clone(), claim);
        (self.era == lease.era).then(|| self.index())
    }

    fn listing(&self) -> Vec<Change> {
        let nodes = self.nodes.values().map(|item| item.change.clone());
        let claims = self.claims.iter().map(|(domain, (holder, _, revision))| {
            let claim = ControllerClaim {
                holder: holder.clone(),
                since: StoreIndex::new(self.era, *revision),
            };
            Change::Controller(domain.clone(), Some(claim))
        });
        let open = self.open.map(|(era, revision)| {
            let index = StoreIndex::new(self.era, revision);
            Change::OpenClaims(Some(OpenClaims { era, index }))
        });
        let config = Change::Catalog(Box::new(catalog(1)));
        let others = [config].into_iter().chain(open);
        nodes.chain(claims).chain(others).collect()
    }
}

/// A node process; restarts lose all but its options.
struct Claimant {
    options: NodeOptions,
    view: ClusterView,
    policy: ClaimPolicy,
    validity: LeaseValidity,
    lease: Option<Lease>,
    held: BTreeMap<DomainId, StoreIndex>,
    cut_until: Instant,
    renew_at: Instant,
    is_down_until: Instant,
    /// Until when its process is suspended; its state is unchanged when it resumes.
    stopped_until: Instant,
    /// From when it hears of changes in the store again.
    follows_from: Instant,
    /// When it last acquired a lease.
    acquired_at: Instant,
}

impl Claimant {
    fn new(options: NodeOptions, now: Instant) -> Self {
        Self {
            options,
            view: ClusterView::default(),
            policy: ClaimPolicy::default(),
            validity: LeaseValidity::default(),
            lease: None,
            held: BTreeMap::new(),
            cut_until: now,
            renew_at: now,
            is_down_until: now,
            stopped_until: now,
            follows_from: now,
            acquired_at: now,
        }
    }

    /// Returns the claims under which it gives orders.
    fn acting(&self, boot: Duration) -> impl Iterator<Item = (&DomainId, StoreIndex)> {
        let held = self.held.iter().map(|(domain, claim)| (domain, *claim));
        held.filter(move |(domain, claim)| {
            let known = self.view.controllers.get(*domain);
            known.is_some_and(|known| known.since == *claim)
                && self.validity.may_act(*claim, boot)
                && self.view.index >= *claim
        })
    }
}

/// The last controller of a domain that gave orders.
#[derive(Clone)]
struct Actor {
    node: usize,
    token: FencingToken,
}

/// A day on which nodes claim domains while the store is restored and nodes are cut off and killed.
pub(crate) struct ClaimDay {
    rng: StdRng,
    seed: u64,
    start: Instant,
    now: Instant,
    store: SimStore,
    copies: Vec<SimStore>,
    up_at: Option<Instant>,
    nodes: Vec<Claimant>,
    last_actors: BTreeMap<DomainId, Actor>,
    disturbed_at: Instant,
    calm_from: Duration,
    granted: GrantedTime,
}

impl ClaimDay {
    /// Plays a day of `length` before a calm part in which every domain gets a controller.
    pub(crate) fn play(
        options: Vec<NodeOptions>,
        seed: u64,
        length: Duration,
        granted: GrantedTime,
    ) {
        let length = length + granted.longest().saturating_sub(PLAIN_TTL) * 2;
        let start = Instant::now();
        let mut day = Self {
            rng: StdRng::seed_from_u64(seed),
            seed,
            start,
            now: start,
            store: SimStore::default(),
            copies: Vec::new(),
            up_at: None,
            nodes: options
                .into_iter()
                .map(|options| Claimant::new(options, start))
                .collect(),
            last_actors: BTreeMap::new(),
            disturbed_at: start,
            calm_from: length.saturating_sub(recovery_time(granted) * 2),
            granted,
        };
        while day.boot() < length {
            day.now += TICK;
            day.store.expire(day.now);
            day.copies.push(day.store.clone());
            day.disturb();
            for number in 0..day.nodes.len() {
                day.step(number);
            }
            day.check();
        }
    }

    fn boot(&self) -> Duration {
        self.now.duration_since(self.start)
    }

    fn millis(&mut self, range: Range<u64>) -> Duration {
        Duration::from_millis(self.rng.random_range(range))
    }

    fn disturb(&mut self) {
        let now = self.now;
        if self.up_at.is_some_and(|at| now >= at) {
            self.up_at = None;
            let age = self.rng.random_range(1..120);
            let copy = self.copies[self.copies.len().saturating_sub(age)].clone();
            let mut leases = copy.leases.clone();
            // Leases pause while the store is away, or run out.
            if self.rng.random() {
                for (end, ttl) in leases.values_mut() {
                    *end = now + *ttl;
                }
            }
            self.store = SimStore {
                era: self.store.era.next(),
                leases,
                ..copy
            };
            self.disturbed_at = now;
        }
        if self.boot() > self.calm_from {
            return;
        }
        if self.up_at.is_none() && self.rng.random_range(0..80) == 0 {
            self.up_at = Some(now + self.millis(100..3_000));
        }
        if self.rng.random_range(0..15) == 0 {
            let number = self.rng.random_range(0..self.nodes.len());
            self.nodes[number].cut_until = now + self.millis(300..9_000);
            self.disturbed_at = now;
        }
        if self.rng.random_range(0..40) == 0 {
            let number = self.rng.random_range(0..self.nodes.len());
            let stopped_until = now + self.millis(300..12_000);
            self.nodes[number].stopped_until = stopped_until;
            self.nodes[number].follows_from = stopped_until + self.millis(0..1_000);
            self.disturbed_at = now;
        }
        let kills = match self.rng.random_range(0..300) {
            0 => self.nodes.len(),
            1..10 => 1 + self.nodes.len() / 8,
            _ => 0,
        };
        for _ in 0..kills {
            let number = self.rng.random_range(0..self.nodes.len());
            let down = now + self.millis(200..2_500);
            let options = self.nodes[number].options.clone();
            self.nodes[number] = Claimant {
                is_down_until: down,
                ..Claimant::new(options, now)
            };
            self.disturbed_at = now;
        }
    }

    fn step(&mut self, number: usize) {
        let (now, boot) = (self.now, self.boot());
        let is_first = boot < Duration::from_secs(2);
        let node = &mut self.nodes[number];
        let is_cut = now < node.cut_until || self.up_at.is_some();
        if now < node.is_down_until.max(node.stopped_until) {
            return;
        }
        node.view.store_lost = is_cut;
        if !is_cut {
            let index = self.store.index();
            let is_changed = index != node.view.index || node.view.catalog.is_none();
            if is_changed && now >= node.follows_from {
                node.view.replace(index, self.store.listing(), now);
            }
            node.view.expire(now);
            renew(
                node,
                &mut self.store,
                (now, boot),
                self.granted,
                &mut self.rng,
            );
        }
        let decisions = node.policy.decide(&ClaimInput {
            options: &node.options,
            view: &node.view,
            held: &node.held,
            lease: node.lease,
            validity: &node.validity,
            first_start: is_first,
            reaches_engines: true,
            now,
            boot_time: boot,
        });
        for domain in &decisions.lost {
            node.held.remove(domain);
        }
        if is_cut {
            return;
        }
        if decisions.opens_claims {
            let known = self.store.open.map(|(_, revision)| revision);
            let replaces = node.view.open_claims.map(|open| open.index.revision());
            if known == replaces {
                self.store.revision += 1;
                self.store.open = Some((node.view.index.era(), self.store.revision));
            }
        }
        for (domain, replaces) in decisions.due {
            let lease = node.lease.expect("a lease under which it claims");
            let claimed = self
                .store
                .claim(lease, &domain, &node.options.node, replaces);
            let Some(claim) = claimed else {
                continue;
            };
            let earlier = node.held.insert(domain.clone(), claim);
            let goes_on = earlier.filter(|earlier| {
                earlier.era() < claim.era() && node.validity.may_act(*earlier, boot)
            });
            if let (Some(earlier), Some(actor)) = (goes_on, self.last_actors.get(&domain)) {
                let is_alone = actor.node == number || actor.token < fencing_token(earlier);
                let seed = self.seed;
                assert!(
                    is_alone,
                    "seed {seed}, {boot:?}: another controller of {domain} acted meanwhile"
                );
            }
            let holder = node.options.node.clone();
            let claim = ControllerClaim {
                holder,
                since: claim,
            };
            node.view
                .apply(Change::Controller(domain, Some(claim)), now);
        }
    }

    fn check(&mut self) {
        let boot = self.boot();
        let mut actors: BTreeMap<DomainId, Actor> = BTreeMap::new();
        for (number, node) in self.nodes.iter().enumerate() {
            if self.now < node.is_down_until.max(node.stopped_until) {
                continue;
            }
            for (domain, claim) in node.acting(boot) {
                let actor = Actor {
                    node: number,
                    token: fencing_token(claim),
                };
                let other = actors.insert(domain.clone(), actor);
                let other = other.map(|other| other.node);
                assert_eq!(
                    other, None,
                    "seed {}, {boot:?}: {number} acts for {domain} too",
                    self.seed
                );
            }
        }
        for (domain, actor) in &actors {
            let last = self.last_actors.get(domain);
            let is_fenced = last.is_none_or(|last| {
                last.token < actor.token || (last.token == actor.token && last.node == actor.node)
            });
            assert!(
                is_fenced,
                "seed {}, {boot:?}: {domain} has a token that is not higher than an earlier one",
                self.seed
            );
        }
        let recovery_time = recovery_time(self.granted);
        let is_calm = self.now.duration_since(self.disturbed_at) > recovery_time
            && self
                .nodes
                .iter()
                .all(|node| self.now > node.cut_until.max(node.follows_from) + recovery_time)
            && self.up_at.is_none();
        let acquires = |node: &Claimant| node.acquired_at == self.now;
        assert!(
            !is_calm || !self.nodes.iter().any(acquires),
            "seed {}, {boot:?}: a lease was acquired although one was held",
            self.seed
        );
        assert!(
            !is_calm || actors.len() == DOMAINS,
            "seed {}, {boot:?}: only {:?} have a controller",
            self.seed,
            actors.keys()
        );
        self.last_actors.extend(actors);
    }
}

/// Returns the time after the last disturbance until every domain must have a controller that acts: a
/// dead node's claim holds for as long as the store lets its lease run.
fn recovery_time(granted: GrantedTime) -> Duration {
    RECOVERY_TIME + granted.longest().saturating_sub(PLAIN_TTL)
}

/// Renews a node's lease, or acquires one and writes the node's entry under it.
fn renew(
    node: &mut Claimant,
    store: &mut SimStore,
    (now, boot): (Instant, Duration),
    granted: GrantedTime,
    rng: &mut StdRng,
) {
    let needed = lease_ttl(&node.view, &node.options);
    if let Some(lease) = node.lease {
        let is_kept =
            fits(&lease, needed, &node.options) || node.view.is_controller(&node.options.node);
        let is_current = lease.era >= node.view.index.era();
        if is_kept && is_current && now < node.renew_at {
            return;
        }
        if is_kept && is_current {
            node.renew_at = now + renewal_interval(&lease);
            let ttl = granted.apply(lease.asked, rng);
            if let Some(renewed) = store.renew(lease, ttl, now) {
                node.validity.renewed(&renewed, boot);
                node.lease = Some(renewed);
                return;
            }
            if store.era == lease.era {
                node.validity.ended(lease.era);
            }
            node.lease = None;
        }
    }
    let lease = store.grant(needed, granted.apply(needed, rng), now);
    node.acquired_at = now;
    let known = node.view.last_position(&node.options.node);
    node.validity.acquired(&lease, known, boot);
    node.renew_at = now + renewal_interval(&lease);
    node.lease = Some(lease);
    let change = Change::Node(node.options.node.clone(), Some(node.options.entry()));
    let item = Item {
        change,
        lease: lease.id,
    };
    store.nodes.insert(node.options.node.clone(), item);
}

/// Returns the options of nodes over three failure domains.
pub(crate) fn claim_nodes(count: usize) -> Vec<NodeOptions> {
    let domain = |number: usize| id::<DomainId>(&format!("zone-{number}"));
    let domains: BTreeMap<_, _> = (0..DOMAINS)
        .map(|number| (domain(number), id("here")))
        .collect();
    let options = |number: usize| NodeOptions {
        domains: domains.clone(),
        ..super::node_options(&format!("node-{number}"), domain(number % DOMAINS).as_str())
    };
    (0..count).map(options).collect()
}
