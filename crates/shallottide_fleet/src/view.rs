//! What a node believes about the fleet.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use compact_str::CompactString;
use serde::{Deserialize, Serialize};
use shallottide_types::id::{DomainId, ModelId, NodeId, ServiceId, StoreIndex, UpstreamId};

use crate::catalog::Catalog;
use crate::change_log::ChangeLog;
use crate::groups::has_all_members;
use crate::upstream::{Formation, Upstream};

/// Time after trouble of the store during which removed entries may come back; the platform states
/// about two seconds.
pub const LAPSE_GRACE: Duration = Duration::from_millis(2_100);

/// Time for which an entry of an earlier lifetime may still arrive.
const LATE_ENTRY: Duration = Duration::from_secs(3);

/// How far an announced end of a cold phase may move before followers are told.
const COLD_SLACK: Duration = Duration::from_millis(500);

/// One change in the platform's store.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Change {
    /// The operators' configuration.
    Catalog(Box<Catalog>),
    /// An upstream wrote its entry; `None` when the entry can't be used.
    Upstream(UpstreamId, Option<Box<Upstream>>),
    /// An upstream's entry went away.
    UpstreamGone(UpstreamId),
    /// Operators take a failure domain out (`true`) or back.
    Evacuated(DomainId, bool),
    /// A node's own entry, with the address of its peers' interface.
    Node(NodeId, Option<CompactString>),
    /// Who stewards the groups of a domain, with the revision of the claim.
    Controller(DomainId, Option<ControllerClaim>),
}

/// A claim on the groups of a domain.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ControllerClaim {
    /// The node that holds it.
    pub holder: NodeId,
    /// The store's revision of the claim; later claims have higher ones.
    pub since: StoreIndex,
}

/// An upstream and what this node knows about the age of that.
#[derive(Debug, Clone)]
pub struct Known {
    /// What it last said.
    pub upstream: Upstream,
    /// When that arrived here.
    pub seen: Instant,
    /// Until when it is cold.
    pub cold_until: Option<Instant>,
    /// When its entry went away while the store was in trouble.
    pub lapsed: Option<Instant>,
}

impl Known {
    /// Tells whether it is cold.
    #[must_use]
    pub fn is_cold(&self, now: Instant) -> bool {
        self.cold_until.is_some_and(|until| now < until)
    }
}

/// The whole state, as passed between nodes while one of them can't reach the store.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct Snapshot {
    /// The store's revision that it shows.
    pub index: StoreIndex,
    /// How long ago the sender last heard from the store.
    pub age: Duration,
    /// All entries, as changes.
    pub changes: Vec<Change>,
}

/// What a node believes.
#[derive(Debug, Clone, Default)]
pub struct ClusterView {
    /// The store's revision up to which changes were applied.
    pub index: StoreIndex,
    /// The configuration in force; never replaced by an older version.
    pub catalog: Option<Catalog>,
    /// Upstreams by id.
    pub upstreams: BTreeMap<UpstreamId, Known>,
    /// Upstreams that may get requests, by service and, for engines, model.
    pub serving: BTreeMap<(ServiceId, Option<ModelId>), Vec<UpstreamId>>,
    /// The generation that `serving` was made from.
    serving_generation: Option<u64>,
    /// Members by rank of each formation that an entry names or named.
    pub formations: BTreeMap<Formation, BTreeMap<usize, UpstreamId>>,
    /// Domains that operators have taken out.
    pub evacuated: BTreeSet<DomainId>,
    /// Nodes with an entry, and their peers' interface.
    pub nodes: BTreeMap<NodeId, CompactString>,
    /// Stewards by domain.
    pub controllers: BTreeMap<DomainId, ControllerClaim>,
    /// When the store last failed a call of this node.
    pub store_trouble: Option<Instant>,
    /// Whether the last call to the store failed.
    pub store_lost: bool,
    /// Rises with each change that routing depends on.
    pub generation: u64,
    /// What followers of this node need.
    log: ChangeLog,
}

impl ClusterView {
    /// Applies changes up to a revision, and keeps for followers what alters a belief.
    pub fn advance(&mut self, index: StoreIndex, changes: Vec<Change>, now: Instant) {
        let index = index.max(self.index);
        let mut news = Vec::new();
        for change in changes {
            if self.is_news(&change, now) {
                news.push(change.clone());
            }
            self.apply(change, now);
        }
        self.log.push(index, news);
        self.index = index;
    }

    /// Returns what a follower at a revision lacks, or `None` when it needs the whole view.
    #[must_use]
    pub fn changes_since(&self, index: StoreIndex) -> Option<Vec<Change>> {
        self.log.since(index)
    }

    /// Tells whether a follower at a revision lacks anything.
    #[must_use]
    pub fn has_updates(&self, index: StoreIndex) -> bool {
        self.log.has_updates(index)
    }

    /// Notes that all entries still stood in the store at a time.
    ///
    /// A follower hears no heartbeats; the node that it follows does.
    pub fn confirm(&mut self, at: Instant) {
        for known in self.upstreams.values_mut() {
            known.seen = known.seen.max(at);
        }
    }

    /// Tells whether a node is a domain's steward.
    #[must_use]
    pub fn is_controller(&self, node: &NodeId) -> bool {
        self.controllers.values().any(|claim| claim.holder == *node)
    }

    /// Tells whether a change alters a belief: a heartbeat that says nothing else does not.
    fn is_news(&self, change: &Change, now: Instant) -> bool {
        match change {
            Change::Catalog(catalog) => {
                let current = self.catalog.as_ref().map(|c| c.version);
                current.is_none_or(|version| catalog.version > version)
            }
            Change::Upstream(id, Some(upstream)) => self.upstreams.get(id).is_none_or(|old| {
                !is_older(upstream, old, now)
                    && (old.lapsed.is_some()
                        || !same_facts(&old.upstream, upstream)
                        || is_cold_phase_moved(upstream, old, now))
            }),
            Change::Upstream(id, None) | Change::UpstreamGone(id) => {
                self.upstreams.contains_key(id)
            }
            Change::Evacuated(domain, is_out) => self.evacuated.contains(domain) != *is_out,
            Change::Node(id, address) => self.nodes.get(id) != address.as_ref(),
            Change::Controller(domain, claim) => self.controllers.get(domain) != claim.as_ref(),
        }
    }

    /// Applies one change.
    pub fn apply(&mut self, change: Change, now: Instant) {
        match change {
            Change::Catalog(catalog) => self.apply_catalog(*catalog),
            Change::Upstream(id, Some(upstream)) => self.apply_upstream(id, *upstream, now),
            Change::Upstream(id, None) => {
                if self.upstreams.remove(&id).is_some() {
                    tracing::warn!(upstream = %id, "upstream entry can't be used: upstream left out");
                    self.generation += 1;
                }
            }
            Change::UpstreamGone(id) => self.upstream_gone(&id, now),
            Change::Evacuated(domain, true) => {
                if self.evacuated.insert(domain.clone()) {
                    self.generation += 1;
                    tracing::info!(%domain, index = %self.index, "domain evacuated");
                }
            }
            Change::Evacuated(domain, false) => {
                if self.evacuated.remove(&domain) {
                    self.generation += 1;
                    tracing::info!(%domain, index = %self.index, "domain taken back");
                }
            }
            Change::Node(id, Some(address)) => {
                self.nodes.insert(id, address);
            }
            Change::Node(id, None) => {
                self.nodes.remove(&id);
            }
            Change::Controller(domain, Some(claim)) => {
                tracing::info!(%domain, holder = %claim.holder, since = %claim.since, "steward known");
                self.controllers.insert(domain, claim);
            }
            Change::Controller(domain, None) => {
                tracing::info!(%domain, "steward gone");
                self.controllers.remove(&domain);
            }
        }
    }

    fn apply_catalog(&mut self, catalog: Catalog) {
        let current = self.catalog.as_ref().map(|c| c.version);
        if current.is_some_and(|version| catalog.version <= version) {
            return;
        }
        tracing::info!(
            version = catalog.version,
            replaced = current,
            index = %self.index,
            routes = catalog.routes.len(),
            "configuration in force"
        );
        self.catalog = Some(catalog);
        self.generation += 1;
    }

    fn apply_upstream(&mut self, id: UpstreamId, upstream: Upstream, now: Instant) {
        let cold_until = (!upstream.cold_left.is_zero()).then(|| now + upstream.cold_left);
        let old = self.upstreams.get(&id);
        if old.is_some_and(|old| is_older(&upstream, old, now)) {
            tracing::info!(upstream = %id, beat = upstream.heartbeat_seq, "entry older than the last one");
            return;
        }
        if old.is_none_or(|old| !same_facts(&old.upstream, &upstream)) {
            self.generation += 1;
            tracing::debug!(upstream = %id, draining = upstream.draining, "upstream changed");
        }
        if let Some(m) = &upstream.membership {
            let members = self.formations.entry(m.formation.clone()).or_default();
            members.insert(m.rank, id.clone());
        }
        let known = Known {
            upstream,
            seen: now,
            cold_until,
            lapsed: None,
        };
        self.upstreams.insert(id, known);
    }

    fn upstream_gone(&mut self, id: &UpstreamId, now: Instant) {
        let troubled = self.is_troubled(now);
        let Some(known) = self.upstreams.get_mut(id) else {
            return;
        };
        if troubled && !known.upstream.draining {
            known.lapsed = Some(now);
            tracing::info!(upstream = %id, "entry lapsed during trouble of the store: kept for now");
            return;
        }
        self.upstreams.remove(id);
        self.generation += 1;
        tracing::info!(upstream = %id, index = %self.index, "upstream gone");
    }

    /// Forgets formations that no entry names any more.
    fn forget_formations(&mut self) {
        let named: BTreeSet<_> = self
            .upstreams
            .values()
            .filter_map(|known| known.upstream.membership.as_ref())
            .map(|membership| membership.formation.clone())
            .collect();
        self.formations
            .retain(|formation, _| named.contains(formation));
    }

    /// Removes entries that lapsed and did not come back in time.
    pub fn expire(&mut self, now: Instant) {
        self.forget_formations();
        if self.is_troubled(now) {
            return;
        }
        let gone: Vec<_> = self
            .upstreams
            .iter()
            .filter(|(_, known)| known.lapsed.is_some())
            .map(|(id, _)| id.clone())
            .collect();
        for id in gone {
            self.upstreams.remove(&id);
            self.generation += 1;
            tracing::info!(upstream = %id, "lapsed upstream did not come back: gone");
        }
    }

    /// Tells whether entries that went away may still come back.
    fn is_troubled(&self, now: Instant) -> bool {
        self.store_trouble
            .is_some_and(|at| now.saturating_duration_since(at) < LAPSE_GRACE)
    }

    /// Notes that a call to the store failed.
    pub fn store_failed(&mut self, now: Instant) {
        self.store_trouble = Some(now);
    }

    /// Replaces all but the configuration's version by a full listing of the store.
    ///
    /// Entries that the listing lacks are treated like removed ones.
    pub fn replace(&mut self, index: StoreIndex, changes: Vec<Change>, now: Instant) {
        self.index = index;
        self.log.reset(index);
        let mut seen = Listed::default();
        for change in &changes {
            seen.note(change);
        }
        let gone: Vec<_> = self
            .upstreams
            .keys()
            .filter(|id| !seen.upstreams.contains(*id))
            .cloned()
            .collect();
        for id in gone {
            let lapsed = self.upstreams.get(&id).is_some_and(|k| k.lapsed.is_some());
            if !lapsed {
                self.upstream_gone(&id, now);
            }
        }
        let before = self.evacuated.len();
        self.evacuated
            .retain(|domain| seen.evacuated.contains(domain));
        if self.evacuated.len() != before {
            self.generation += 1;
        }
        self.nodes.retain(|id, _| seen.nodes.contains(id));
        self.controllers
            .retain(|domain, _| seen.stewards.contains(domain));
        for change in changes {
            self.apply(change, now);
        }
    }

    /// Brings `serving` up to date.
    pub fn index_serving(&mut self) {
        if self.serving_generation == Some(self.generation) {
            return;
        }
        self.serving_generation = Some(self.generation);
        let mut serving: BTreeMap<_, Vec<_>> = BTreeMap::new();
        for (id, known) in &self.upstreams {
            let upstream = &known.upstream;
            if upstream.draining || self.evacuated.contains(&upstream.domain) {
                continue;
            }
            let model = if upstream.fabric.is_some() {
                if !upstream.is_open_head() || !has_all_members(upstream, self) {
                    continue;
                }
                upstream.model.clone()
            } else {
                None
            };
            let key = (upstream.service.clone(), model);
            serving.entry(key).or_default().push(id.clone());
        }
        self.serving = serving;
    }

    /// Returns the upstreams that may get requests of a service and model.
    #[must_use]
    pub fn serving(&self, service: &ServiceId, model: Option<&ModelId>) -> &[UpstreamId] {
        let key = (service.clone(), model.cloned());
        self.serving.get(&key).map_or(&[], Vec::as_slice)
    }

    /// Returns the whole view for a peer.
    #[must_use]
    pub fn snapshot(&self, age: Duration, now: Instant) -> Snapshot {
        let mut changes = Vec::with_capacity(self.upstreams.len() + 8);
        changes.extend(self.catalog.clone().map(|c| Change::Catalog(Box::new(c))));
        for (id, known) in &self.upstreams {
            if known.lapsed.is_some() {
                continue;
            }
            let mut upstream = known.upstream.clone();
            upstream.cold_left = known
                .cold_until
                .map_or(Duration::ZERO, |until| until.saturating_duration_since(now));
            changes.push(Change::Upstream(id.clone(), Some(Box::new(upstream))));
        }
        let evacuated = self.evacuated.iter().cloned();
        changes.extend(evacuated.map(|domain| Change::Evacuated(domain, true)));
        let nodes = self.nodes.iter();
        changes.extend(nodes.map(|(id, address)| Change::Node(id.clone(), Some(address.clone()))));
        let stewards = self.controllers.iter();
        changes.extend(
            stewards.map(|(domain, claim)| Change::Controller(domain.clone(), Some(claim.clone()))),
        );
        Snapshot {
            index: self.index,
            age,
            changes,
        }
    }

    /// Takes over a peer's view if it is newer than this one.
    pub fn adopt(&mut self, snapshot: Snapshot, now: Instant) -> bool {
        if snapshot.index <= self.index {
            return false;
        }
        // Lapses that the peer saw are not told apart from removals, so removals stay graced.
        self.replace(snapshot.index, snapshot.changes, now);
        true
    }
}

#[derive(Debug, Default)]
struct Listed {
    upstreams: BTreeSet<UpstreamId>,
    evacuated: BTreeSet<DomainId>,
    nodes: BTreeSet<NodeId>,
    stewards: BTreeSet<DomainId>,
}

impl Listed {
    fn note(&mut self, change: &Change) {
        match change {
            Change::Upstream(id, _) => {
                self.upstreams.insert(id.clone());
            }
            Change::Evacuated(domain, true) => {
                self.evacuated.insert(domain.clone());
            }
            Change::Node(id, Some(_)) => {
                self.nodes.insert(id.clone());
            }
            Change::Controller(domain, Some(_)) => {
                self.stewards.insert(domain.clone());
            }
            _ => {}
        }
    }
}

/// Tells whether an entry was written before the one that is known.
fn is_older(entry: &Upstream, known: &Known, now: Instant) -> bool {
    let last = &known.upstream;
    if entry.born == last.born {
        return entry.heartbeat_seq < last.heartbeat_seq;
    }
    // A clock that was set back makes a new lifetime look older, but only for a while.
    entry.born < last.born && now.saturating_duration_since(known.seen) < LATE_ENTRY
}

/// Compares two entries without what changes at each heartbeat.
fn same_facts(a: &Upstream, b: &Upstream) -> bool {
    let Upstream {
        id,
        service,
        address,
        domain,
        slots,
        draining,
        cold_left,
        born,
        heartbeat_seq: _,
        fabric,
        staged,
        model,
        membership,
    } = a;
    *id == b.id
        && *service == b.service
        && *address == b.address
        && *domain == b.domain
        && *slots == b.slots
        && *draining == b.draining
        && cold_left.is_zero() == b.cold_left.is_zero()
        && *born == b.born
        && *fabric == b.fabric
        && *staged == b.staged
        && *model == b.model
        && *membership == b.membership
}

/// Tells whether an upstream is cold for noticeably longer or shorter than was known.
fn is_cold_phase_moved(entry: &Upstream, known: &Known, now: Instant) -> bool {
    let old = known
        .cold_until
        .map_or(Duration::ZERO, |until| until.saturating_duration_since(now));
    old.abs_diff(entry.cold_left) > COLD_SLACK
}
