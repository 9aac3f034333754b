//! What a node knows of the store's contents.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};
use shallottide_types::id::{DomainId, ModelId, NodeId, ServiceId, StoreIndex, UpstreamId};

use crate::catalog::Catalog;
use crate::change_log::ChangeLog;
use crate::crash_evidence::Lifetime;
use crate::crash_trigger::TriggerKey;
use crate::domain_claims::OpenClaims;
use crate::groups::has_all_members;
use crate::held_back_entries::{HeldBackEntries, LATE_ENTRY_TIME};
use crate::node_entry::NodeEntry;
use crate::quarantine::{Quarantine, QuarantineRecord};
use crate::restored::{RemovedUpstreams, Unconfirmed};
use crate::upstream::{Formation, MAX_COLD_TIME, Upstream};

/// Time after a failure of the store during which removed entries may return; the platform states
/// about two seconds.
pub const LAPSE_GRACE: Duration = Duration::from_millis(2_100);

/// Change of the announced end of a cold phase above which followers are notified.
const COLD_TOLERANCE: Duration = Duration::from_millis(500);

/// One change in the platform's store.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Change {
    /// The operators' configuration.
    Catalog(Box<Catalog>),
    /// An upstream wrote its entry; `None` when the entry can't be used.
    Upstream(UpstreamId, Option<Box<Upstream>>),
    /// An upstream's entry was removed.
    UpstreamRemoved(UpstreamId),
    /// Operators evacuated a failure domain (`true`) or returned it to service.
    Evacuated(DomainId, bool),
    /// A node's entry; `None` when it was removed.
    Node(NodeId, Option<NodeEntry>),
    /// The claim on the groups of a domain; `None` when it was removed.
    Controller(DomainId, Option<ControllerClaim>),
    /// The record that opens claims to all nodes; `None` when it was removed.
    OpenClaims(Option<OpenClaims>),
    /// One more crash puts a request at fault (`true`), or no longer does.
    Suspected(TriggerKey, bool),
    /// A request or prompt part was quarantined or tried; `None` when it was released.
    Quarantined(TriggerKey, Option<QuarantineRecord>),
}

/// A node's claim to be the controller of a domain's groups.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ControllerClaim {
    /// The node that holds the claim.
    pub holder: NodeId,
    /// Store revision of the claim; later claims have higher ones.
    pub since: StoreIndex,
}

/// An upstream's last entry, with the times that this node derived from it.
#[derive(Debug, Clone)]
pub struct KnownUpstream {
    /// The last entry.
    pub upstream: Upstream,
    /// When the entry arrived, or was last confirmed.
    pub seen: Instant,
    /// Until when it is cold; `None` when its entry states that it is not.
    pub cold_until: Option<Instant>,
    /// When its entry was removed while the store was failing; `None` while it has an entry.
    pub lapsed_at: Option<Instant>,
    /// Start time of the lifetime that this one replaced, if that is later than its own: its clock was
    /// set back in between.
    pub replaced_born: Option<u64>,
}

impl KnownUpstream {
    /// Returns its lifetime.
    #[must_use]
    pub fn lifetime(&self) -> Lifetime {
        Lifetime::new(&self.upstream.id, self.upstream.born)
    }

    /// Returns whether it is still cold.
    #[must_use]
    pub fn is_cold(&self, now: Instant) -> bool {
        self.cold_until.is_some_and(|until| now < until)
    }
}

/// A node's whole view, for a node that can't reach the store or is too far behind.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct Snapshot {
    /// Store revision that it reflects.
    pub index: StoreIndex,
    /// Time since the sender's last answer from the store.
    pub age: Duration,
    /// All entries, as changes.
    pub changes: Vec<Change>,
}

/// What this node knows of the store's contents.
#[derive(Debug, Clone, Default)]
pub struct ClusterView {
    /// Store revision up to which changes were applied.
    pub index: StoreIndex,
    /// The configuration in force; never replaced by an older version.
    pub catalog: Option<Catalog>,
    /// Upstreams by id.
    pub upstreams: BTreeMap<UpstreamId, KnownUpstream>,
    /// Upstreams that may get requests, by service and, for engines, model.
    pub serving: BTreeMap<(ServiceId, Option<ModelId>), Vec<UpstreamId>>,
    /// The generation for which `serving` was computed.
    serving_generation: Option<u64>,
    /// Members by rank of each formation that an entry names or named.
    pub formations: BTreeMap<Formation, BTreeMap<usize, UpstreamId>>,
    /// Failure domains that operators have evacuated.
    pub evacuated: BTreeSet<DomainId>,
    /// All nodes with an entry.
    pub nodes: BTreeMap<NodeId, NodeEntry>,
    /// Claims on the groups, by domain.
    pub controllers: BTreeMap<DomainId, ControllerClaim>,
    /// The era in which all nodes may claim; differs from the view's while leases of an earlier one may
    /// hold.
    pub open_claims: Option<OpenClaims>,
    /// Requests and prompt parts that end the upstreams which run them.
    pub quarantine: Quarantine,
    /// When a call of this node to the store last failed.
    pub last_store_failure: Option<Instant>,
    /// Whether the last call to the store failed.
    pub store_lost: bool,
    /// Time without a heartbeat after which an entry may lapse at the earliest; an entry that is missing
    /// sooner was removed by its upstream.
    pub shortest_lapse: Duration,
    /// Increases with each change that affects routing.
    pub generation: u64,
    /// Recent changes, for followers of this node.
    log: ChangeLog,
    /// What does not count yet of a store that was restored.
    unconfirmed: Unconfirmed,
    removed: RemovedUpstreams,
    /// Entries of upstreams that the store holds, where they don't count.
    held_back: HeldBackEntries,
}

impl ClusterView {
    /// Applies changes up to a revision, and logs those that alter the view for followers.
    pub fn advance(&mut self, index: StoreIndex, changes: Vec<Change>, now: Instant) {
        let index = index.max(self.index);
        let mut updates = Vec::new();
        for entry in self.take_due_lifetimes(now) {
            updates.push(Change::UpstreamRemoved(entry.id.clone()));
            updates.push(Change::Upstream(entry.id.clone(), Some(Box::new(entry))));
        }
        for change in changes {
            if self.alters_view(&change, now) {
                if let Some(id) = self.replaces_later_lifetime(&change, now) {
                    updates.push(Change::UpstreamRemoved(id));
                }
                updates.push(change.clone());
            }
            self.apply(change, now);
        }
        self.log.push(index, updates);
        self.index = index;
    }

    /// Returns the changes that a follower at a revision lacks, or `None` when it needs a snapshot.
    #[must_use]
    pub fn changes_since(&self, index: StoreIndex) -> Option<Vec<Change>> {
        self.log.since(index)
    }

    /// Returns whether a follower at a revision lacks any changes.
    #[must_use]
    pub fn has_updates(&self, index: StoreIndex) -> bool {
        self.log.has_updates(index)
    }

    /// Records that all entries still existed in the store at a time.
    ///
    /// A follower gets no heartbeats itself; the node that it follows does.
    pub fn confirm(&mut self, at: Instant) {
        for known in self.upstreams.values_mut() {
            known.seen = known.seen.max(at);
        }
    }

    /// Returns the last position in the store that a node knows, which its own claims are ahead of
    /// until the view has caught up.
    #[must_use]
    pub fn last_position(&self, node: &NodeId) -> StoreIndex {
        let claims = self.controllers.values();
        let own = claims.filter(|claim| claim.holder == *node);
        own.map(|claim| claim.since)
            .fold(self.index, StoreIndex::max)
    }

    /// Returns whether a node is the controller of any domain.
    #[must_use]
    pub fn is_controller(&self, node: &NodeId) -> bool {
        self.controllers.values().any(|claim| claim.holder == *node)
    }

    /// Returns whether a change alters the view; an entry in which only the heartbeat changed does
    /// not.
    fn alters_view(&self, change: &Change, now: Instant) -> bool {
        match change {
            Change::Catalog(catalog) => {
                let current = self.catalog.as_ref().map(|c| c.version);
                current.is_none_or(|version| catalog.version > version)
            }
            Change::Upstream(id, Some(upstream)) => self.upstreams.get(id).is_none_or(|known| {
                // Compared with what the store held, whether that counts here or not: a follower may
                // judge it otherwise.
                let last = self.held_back.get(id).unwrap_or(&known.upstream);
                let is_same = is_same_but_heartbeat(last, upstream)
                    && (last.born != known.upstream.born
                        || !is_cold_phase_moved(upstream, known, now));
                known.lapsed_at.is_some() || !is_same
            }),
            Change::Upstream(id, None) | Change::UpstreamRemoved(id) => {
                self.upstreams.contains_key(id)
            }
            Change::Evacuated(domain, is_evacuated) => {
                self.evacuated.contains(domain) != *is_evacuated
                    || self.unconfirmed.is_returned(domain)
            }
            Change::Node(id, entry) => {
                self.nodes.get(id) != entry.as_ref() || self.unconfirmed.is_missing(id)
            }
            Change::Controller(domain, claim) => self.controllers.get(domain) != claim.as_ref(),
            Change::OpenClaims(open) => self.open_claims != *open,
            Change::Suspected(key, is_suspected) => {
                self.quarantine.is_suspected(key) != *is_suspected
            }
            Change::Quarantined(key, record) => self.quarantine.record(key) != *record,
        }
    }

    /// Returns the id of an upstream whose entry is of a lifetime that replaces one which began later
    /// by its clock.
    ///
    /// Followers can't compare the two, as they get no heartbeats; a removal before the entry makes
    /// them take it.
    fn replaces_later_lifetime(&self, change: &Change, now: Instant) -> Option<UpstreamId> {
        let Change::Upstream(id, Some(upstream)) = change else {
            return None;
        };
        let known = self.upstreams.get(id)?;
        let is_current = self.compare(upstream, known, now) == EntryAge::Current;
        let has_earlier_clock =
            upstream.born < known.upstream.born || known.replaced_born.is_some();
        (is_current && has_earlier_clock).then(|| id.clone())
    }

    /// Compares an entry with the known one.
    fn compare(&self, entry: &Upstream, known: &KnownUpstream, now: Instant) -> EntryAge {
        let last = &known.upstream;
        if entry.born == last.born {
            return if entry.heartbeat_seq < last.heartbeat_seq {
                EntryAge::Outdated
            } else {
                EntryAge::Current
            };
        }
        if known.replaced_born == Some(entry.born) {
            return EntryAge::Outdated;
        }
        // A removed entry that returns is current: the known one is no longer in the store.
        if entry.born > last.born || known.lapsed_at.is_some() {
            return EntryAge::Current;
        }
        let deferred = self.held_back.deferred(&entry.id);
        let is_deferred = deferred.is_some_and(|deferred| deferred.born == entry.born);
        if is_deferred || now.saturating_duration_since(known.seen) < LATE_ENTRY_TIME {
            EntryAge::Unclear
        } else {
            EntryAge::Current
        }
    }

    /// Applies one change.
    pub fn apply(&mut self, change: Change, now: Instant) {
        match change {
            Change::Catalog(catalog) => self.apply_catalog(*catalog),
            Change::Upstream(id, Some(upstream)) => self.apply_upstream(id, *upstream, now),
            Change::Upstream(id, None) => {
                self.held_back.remove(&id);
                if self.forget_upstream(&id, now) {
                    tracing::warn!(upstream = %id, "unusable upstream entry: upstream removed");
                    self.generation += 1;
                }
            }
            Change::UpstreamRemoved(id) => self.remove_upstream(&id, now),
            Change::Evacuated(domain, true) => {
                self.unconfirmed.confirm_domain(&domain);
                if self.evacuated.insert(domain.clone()) {
                    self.generation += 1;
                    tracing::info!(%domain, index = %self.index, "domain evacuated");
                }
            }
            Change::Evacuated(domain, false) => {
                self.unconfirmed.confirm_domain(&domain);
                if self.evacuated.remove(&domain) {
                    self.generation += 1;
                    tracing::info!(%domain, index = %self.index, "domain returned to service");
                }
            }
            Change::Node(id, Some(entry)) => {
                self.unconfirmed.confirm_node(&id);
                self.nodes.insert(id, entry);
            }
            Change::Node(id, None) => {
                self.unconfirmed.confirm_node(&id);
                self.nodes.remove(&id);
            }
            Change::Controller(domain, Some(claim)) => {
                tracing::info!(%domain, holder = %claim.holder, since = %claim.since, "controller claim observed");
                self.controllers.insert(domain, claim);
            }
            Change::Controller(domain, None) => {
                tracing::info!(%domain, "controller claim removed");
                self.controllers.remove(&domain);
            }
            Change::OpenClaims(open) => self.open_claims = open,
            Change::Suspected(key, is_suspected) => {
                self.quarantine.apply_suspected(key, is_suspected, now);
            }
            Change::Quarantined(key, record) => self.quarantine.apply(key, record, now),
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
            "configuration applied"
        );
        self.catalog = Some(catalog);
        self.generation += 1;
    }

    fn apply_upstream(&mut self, id: UpstreamId, upstream: Upstream, now: Instant) {
        let cold_time = cold_time(&upstream);
        let cold_until = (!cold_time.is_zero()).then(|| now + cold_time);
        let old = self.upstreams.get(&id);
        match old.map(|old| self.compare(&upstream, old, now)) {
            Some(EntryAge::Outdated) => {
                tracing::info!(upstream = %id, beat = upstream.heartbeat_seq, "ignored an upstream entry older than the known one");
                self.generation += 1;
                if old.is_some_and(|old| is_same_but_heartbeat(&old.upstream, &upstream)) {
                    self.held_back.remove(&id);
                } else {
                    self.held_back.keep_outdated(upstream, now);
                }
                return;
            }
            Some(EntryAge::Unclear) => return self.defer(upstream, now),
            Some(EntryAge::Current) | None => {}
        }
        if self.held_back.remove(&id) {
            self.generation += 1;
        }
        let replaced_born = match old {
            Some(old) if upstream.born == old.upstream.born => old.replaced_born,
            Some(old) => Some(old.upstream.born),
            None => self.removed.last_born(&id),
        };
        let replaced_born = replaced_born.filter(|born| *born > upstream.born);
        if old.is_none_or(|old| !is_same_but_heartbeat(&old.upstream, &upstream)) {
            self.generation += 1;
            tracing::debug!(upstream = %id, draining = upstream.draining, "upstream changed");
        }
        if let Some(m) = &upstream.membership {
            let members = self.formations.entry(m.formation.clone()).or_default();
            members.insert(m.rank, id.clone());
        }
        let known = KnownUpstream {
            upstream,
            seen: now,
            cold_until,
            lapsed_at: None,
            replaced_born,
        };
        self.upstreams.insert(id, known);
    }

    /// Keeps an entry that does not count yet.
    fn defer(&mut self, entry: Upstream, now: Instant) {
        if self.held_back.deferred(&entry.id).is_none() {
            tracing::info!(upstream = %entry.id, born = entry.born, "deferred an upstream entry that began before the known one");
        }
        self.generation += 1;
        self.held_back.defer(entry, now);
    }

    fn remove_upstream(&mut self, id: &UpstreamId, now: Instant) {
        if self.held_back.remove(id) {
            self.generation += 1;
        }
        let may_return = self.is_grace_period(now);
        let is_restored = self.unconfirmed.is_pending(now);
        let Some(known) = self.upstreams.get_mut(id) else {
            return;
        };
        let is_lapse = now.saturating_duration_since(known.seen) >= self.shortest_lapse;
        if may_return && (is_lapse || is_restored) && !known.upstream.draining {
            known.lapsed_at = Some(now);
            tracing::info!(upstream = %id, "upstream entry removed while the store was failing: kept for the grace period");
            return;
        }
        self.forget_upstream(id, now);
        tracing::info!(upstream = %id, index = %self.index, "upstream removed");
    }

    /// Removes an upstream; returns whether it was known.
    fn forget_upstream(&mut self, id: &UpstreamId, now: Instant) -> bool {
        let Some(known) = self.upstreams.remove(id) else {
            return false;
        };
        self.removed.record(&known.upstream, now);
        self.generation += 1;
        true
    }

    /// Removes formations that no entry names any more.
    fn remove_unnamed_formations(&mut self) {
        let named: BTreeSet<_> = self
            .upstreams
            .values()
            .filter_map(|known| known.upstream.membership.as_ref())
            .map(|membership| membership.formation.clone())
            .collect();
        self.formations
            .retain(|formation, _| named.contains(formation));
    }

    /// Removes lapsed upstreams whose entries did not return in time, and takes a restored store as it
    /// is once what it lost must have been written again.
    pub fn expire(&mut self, now: Instant) {
        self.remove_unnamed_formations();
        self.removed.expire(now);
        self.take_due_lifetimes(now);
        let (returned, missing_nodes) = self.unconfirmed.take_due(now);
        for domain in returned {
            self.apply(Change::Evacuated(domain, false), now);
        }
        for id in missing_nodes {
            self.apply(Change::Node(id, None), now);
        }
        if self.is_grace_period(now) {
            return;
        }
        let removed: Vec<_> = self
            .upstreams
            .iter()
            .filter(|(_, known)| known.lapsed_at.is_some())
            .map(|(id, _)| id.clone())
            .collect();
        for id in removed {
            self.forget_upstream(&id, now);
            tracing::info!(upstream = %id, "lapsed upstream did not return: removed");
        }
    }

    /// Replaces lifetimes by those of deferred entries that count from now on; returns these.
    fn take_due_lifetimes(&mut self, now: Instant) -> Vec<Upstream> {
        let due = self.held_back.take_due(now);
        for entry in &due {
            let id = &entry.id;
            tracing::info!(upstream = %id, born = entry.born, "deferred entry counts: its clock was set back");
            self.forget_upstream(id, now);
            self.apply_upstream(id.clone(), entry.clone(), now);
        }
        due
    }

    /// Returns whether removed entries may still return.
    fn is_grace_period(&self, now: Instant) -> bool {
        self.last_store_failure
            .is_some_and(|at| now.saturating_duration_since(at) < LAPSE_GRACE)
    }

    /// Records that a call to the store failed.
    pub fn store_failed(&mut self, now: Instant) {
        self.last_store_failure = Some(now);
    }

    /// Replaces the view by a full listing of the store, but never the configuration by an older
    /// one.
    ///
    /// Entries that the listing lacks are treated as removed; those that a restored store lacks, once
    /// they must have been written again.
    pub fn replace(&mut self, index: StoreIndex, changes: Vec<Change>, now: Instant) {
        if index.era() > self.index.era() && self.index != StoreIndex::default() {
            tracing::info!(%index, known = %self.index, "view follows the restored store");
            self.unconfirmed.start(now);
            // Entries that the copy lacks return as they do after an outage.
            self.store_failed(now);
        }
        self.take_due_lifetimes(now);
        self.index = index;
        self.log.reset(index);
        let mut listed = Listed::default();
        for change in &changes {
            listed.record(change);
        }
        let removed: Vec<_> = self
            .upstreams
            .keys()
            .filter(|id| !listed.upstreams.contains(*id))
            .cloned()
            .collect();
        for id in removed {
            let is_lapsed = self
                .upstreams
                .get(&id)
                .is_some_and(|k| k.lapsed_at.is_some());
            if !is_lapsed {
                self.remove_upstream(&id, now);
            }
        }
        self.open_claims = None;
        self.quarantine.retain_suspected(&listed.suspected);
        self.controllers
            .retain(|domain, _| listed.controllers.contains(domain));
        if self.unconfirmed.is_pending(now) {
            self.unconfirmed
                .compare_domains(&self.evacuated, &listed.evacuated);
            self.unconfirmed
                .compare_nodes(self.nodes.keys(), &listed.nodes);
            self.quarantine.rewrite_unlisted(&listed.quarantined, now);
        } else {
            let old_count = self.evacuated.len();
            self.evacuated
                .retain(|domain| listed.evacuated.contains(domain));
            if self.evacuated.len() != old_count {
                self.generation += 1;
            }
            self.nodes.retain(|id, _| listed.nodes.contains(id));
            self.quarantine.retain_listed(&listed.quarantined);
        }
        for change in changes {
            if !self.is_brought_back(&change, now) {
                self.apply(change, now);
            } else if let Change::Upstream(id, Some(entry)) = change
                && let Some(known) = self.upstreams.get(&id)
                && known.upstream.born != entry.born
            {
                self.defer(*entry, now);
            }
        }
    }

    /// Returns whether a listed change is one that a restored store has brought back from before what
    /// this node knows.
    fn is_brought_back(&self, change: &Change, now: Instant) -> bool {
        if !self.unconfirmed.is_pending(now) {
            return false;
        }
        match change {
            Change::Upstream(id, Some(entry)) => {
                let known = self.upstreams.get(id).map(|known| &known.upstream);
                let is_older = known.is_some_and(|known| {
                    (entry.born, entry.heartbeat_seq) < (known.born, known.heartbeat_seq)
                });
                is_older || (known.is_none() && self.removed.contains(entry))
            }
            _ => false,
        }
    }

    /// Recomputes `serving` if routing has changed since the last call.
    pub fn index_serving(&mut self) {
        if self.serving_generation == Some(self.generation) {
            return;
        }
        self.serving_generation = Some(self.generation);
        let mut serving: BTreeMap<_, Vec<_>> = BTreeMap::new();
        for (id, known) in &self.upstreams {
            let upstream = &known.upstream;
            let may_drain = self
                .held_back
                .deferred(id)
                .is_some_and(|entry| entry.draining);
            if upstream.draining || may_drain || self.evacuated.contains(&upstream.domain) {
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

    /// Returns the whole view for a peer, without lapsed upstreams, and with the entries of the others
    /// that the store holds: the peer decides for itself which of them count.
    #[must_use]
    pub fn snapshot(&self, age: Duration, now: Instant) -> Snapshot {
        let mut changes = Vec::with_capacity(self.upstreams.len() + 8);
        changes.extend(self.catalog.clone().map(|c| Change::Catalog(Box::new(c))));
        for (id, known) in &self.upstreams {
            if known.lapsed_at.is_some() {
                continue;
            }
            if known.replaced_born.is_some() {
                changes.push(Change::UpstreamRemoved(id.clone()));
            }
            let upstream = match self.held_back.get(id) {
                Some(entry) => entry.clone(),
                None => Upstream {
                    cold_left: known
                        .cold_until
                        .map_or(Duration::ZERO, |until| until.saturating_duration_since(now)),
                    ..known.upstream.clone()
                },
            };
            changes.push(Change::Upstream(id.clone(), Some(Box::new(upstream))));
        }
        // A peer decides for itself what counts of a restored store.
        let evacuated = self.evacuated.iter();
        let evacuated = evacuated.filter(|domain| !self.unconfirmed.is_returned(domain));
        changes.extend(evacuated.map(|domain| Change::Evacuated(domain.clone(), true)));
        let nodes = self.nodes.iter();
        let nodes = nodes.filter(|(id, _)| !self.unconfirmed.is_missing(id));
        changes.extend(nodes.map(|(id, entry)| Change::Node(id.clone(), Some(entry.clone()))));
        let controllers = self.controllers.iter();
        changes.extend(
            controllers
                .map(|(domain, claim)| Change::Controller(domain.clone(), Some(claim.clone()))),
        );
        changes.extend(self.open_claims.map(|open| Change::OpenClaims(Some(open))));
        let suspected = self.quarantine.suspected();
        changes.extend(suspected.map(|key| Change::Suspected(key.clone(), true)));
        let quarantined = self.quarantine.records();
        changes.extend(
            quarantined.map(|(key, record)| Change::Quarantined(key.clone(), Some(record))),
        );
        Snapshot {
            index: self.index,
            age,
            changes,
        }
    }

    /// Returns whether a peer's changes would let callers without a key use routes that need one now.
    ///
    /// Only the store can lift that: peers of earlier versions send the same for a configuration
    /// whose last key was revoked.
    #[must_use]
    pub fn opens_routes(&self, changes: &[Change]) -> bool {
        let current = self.catalog.as_ref();
        current.is_some_and(|current| {
            current.access.needs_key()
                && changes.iter().any(|change| {
                    matches!(change, Change::Catalog(catalog)
                        if catalog.version > current.version && !catalog.access.needs_key())
                })
        })
    }

    /// Replaces the view by a peer's snapshot if that is newer and does not lift the need for keys.
    ///
    /// Returns whether the view was replaced.
    pub fn adopt(&mut self, snapshot: Snapshot, now: Instant) -> bool {
        if snapshot.index <= self.index || self.opens_routes(&snapshot.changes) {
            return false;
        }
        // The snapshot lacks both lapsed and removed entries, so both get the grace period here.
        self.replace(snapshot.index, snapshot.changes, now);
        true
    }
}

/// Ids of the entries in a listing of the store.
#[derive(Debug, Default)]
struct Listed {
    upstreams: BTreeSet<UpstreamId>,
    evacuated: BTreeSet<DomainId>,
    nodes: BTreeSet<NodeId>,
    controllers: BTreeSet<DomainId>,
    suspected: BTreeSet<TriggerKey>,
    quarantined: BTreeSet<TriggerKey>,
}

impl Listed {
    fn record(&mut self, change: &Change) {
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
                self.controllers.insert(domain.clone());
            }
            Change::Suspected(key, true) => {
                self.suspected.insert(key.clone());
            }
            Change::Quarantined(key, Some(_)) => {
                self.quarantined.insert(key.clone());
            }
            _ => {}
        }
    }
}

/// How an entry compares with the known one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum EntryAge {
    /// It replaces the known one.
    Current,
    /// It was written before the known one.
    Outdated,
    /// It is a late one of an earlier lifetime, or of a new lifetime whose clock was set back.
    Unclear,
}

/// Returns whether two entries are equal but for what changes with each heartbeat.
fn is_same_but_heartbeat(a: &Upstream, b: &Upstream) -> bool {
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

/// Returns whether the end of an upstream's cold phase has moved by more than the tolerance.
fn is_cold_phase_moved(entry: &Upstream, known: &KnownUpstream, now: Instant) -> bool {
    let old = known
        .cold_until
        .map_or(Duration::ZERO, |until| until.saturating_duration_since(now));
    old.abs_diff(cold_time(entry)) > COLD_TOLERANCE
}

/// Returns how long an entry says that its upstream stays cold, at most [`MAX_COLD_TIME`].
fn cold_time(entry: &Upstream) -> Duration {
    entry.cold_left.min(MAX_COLD_TIME)
}
