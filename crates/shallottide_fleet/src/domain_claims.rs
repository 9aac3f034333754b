//! Which failure domains a node claims, and which of its claims are lost.
//!
//! A claim excludes others as long as the store keeps it under its holder's lease. A store that was
//! restored from an older copy may have lost it while its holder still acts. Until every lease of
//! the earlier era has ended, only the holder may claim its domain again; then a node opens claims to
//! all in a record that names the era.

use std::collections::BTreeMap;
use std::fmt;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};
use shallottide_types::id::{DomainId, FencingToken, NodeId, StoreEra, StoreIndex};

use crate::adapter::Lease;
use crate::feed_tree::duty_rank;
use crate::lease_term::{is_duty_term, longest_claim_term};
use crate::lease_validity::LeaseValidity;
use crate::node_entry::NodeEntry;
use crate::options::NodeOptions;
use crate::view::ClusterView;

/// Delay of a claim for each node that ranks before this one, so that nodes don't race.
const CLAIM_RANK_DELAY: Duration = Duration::from_millis(150);
/// Most nodes that add to this delay.
const MAX_RANKS: usize = 10;
/// Further delay before claiming another domain, so that the domain's own nodes come first.
const FOREIGN_CLAIM_DELAY: Duration = Duration::from_millis(1_800);
/// Time between two attempts to open claims.
const OPENING_INTERVAL: Duration = Duration::from_secs(1);
/// Bits of a fencing token below the era. A restored store must have lost fewer revisions than they
/// count, or tokens would not increase.
const TOKEN_REVISION_BITS: u32 = 28;

/// The record that opens claims to all nodes in an era of the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct OpenClaims {
    /// The era.
    pub era: StoreEra,
    /// Position of the record in the store.
    pub index: StoreIndex,
}

/// Returns the fencing token of a claim, which is higher than those of all earlier claims.
#[must_use]
pub fn fencing_token(claim: StoreIndex) -> FencingToken {
    FencingToken((claim.era().0 << TOKEN_REVISION_BITS) + claim.revision())
}

/// What a node knows when it decides on claims.
#[derive(Debug, Clone, Copy)]
pub struct ClaimInput<'a> {
    /// The node.
    pub options: &'a NodeOptions,
    /// Its view of the store.
    pub view: &'a ClusterView,
    /// Its claims under which controllers run.
    pub held: &'a BTreeMap<DomainId, StoreIndex>,
    /// Its lease.
    pub lease: Option<Lease>,
    /// How long it may act under its leases.
    pub validity: &'a LeaseValidity,
    /// Whether the whole deployment starts for the first time, so that no earlier claim exists.
    pub first_start: bool,
    /// Whether the node reaches engines; one that does not can't tell which of them have failed.
    pub reaches_engines: bool,
    /// The time.
    pub now: Instant,
    /// The time since the VM's boot.
    pub boot_time: Duration,
}

impl ClaimInput<'_> {
    /// Returns whether the node may act under a claim, as the lease that it was made under still holds.
    fn may_act(&self, claim: StoreIndex) -> bool {
        self.validity.may_act(claim, self.boot_time)
    }

    /// Returns why the node may not claim any domain now, if it may not.
    fn obstacle(&self) -> Option<ClaimObstacle> {
        let era = self.view.index.era();
        if !self.reaches_engines {
            return Some(ClaimObstacle::NoEngines);
        }
        if self.view.store_lost {
            return Some(ClaimObstacle::StoreLost);
        }
        let Some(lease) = self.lease else {
            return Some(ClaimObstacle::NoLease);
        };
        if lease.era != era {
            return Some(ClaimObstacle::EarlierEra);
        }
        if !is_duty_term(lease.asked, self.options) {
            return Some(ClaimObstacle::PlainLease);
        }
        (!self.validity.holds(era, self.boot_time)).then_some(ClaimObstacle::LeaseNotValid)
    }

    /// Returns how long to wait before claiming a domain.
    ///
    /// Nodes of the domain with the most capacity claim first; all nodes agree on that order.
    fn claim_delay(&self, domain: &DomainId) -> Duration {
        let options = self.options;
        let own = duty_rank(domain, &options.node, options.capacity);
        let is_own_domain = *domain == options.domain;
        let is_candidate = |entry: &NodeEntry| !is_own_domain || entry.domain == *domain;
        let is_ahead = |(id, entry): &(&NodeId, &NodeEntry)| {
            is_candidate(entry) && duty_rank(domain, id, entry.capacity) < own
        };
        let ahead = self.view.nodes.iter().filter(is_ahead).count();
        let ranks = u32::try_from(ahead.min(MAX_RANKS)).unwrap_or(u32::MAX);
        let rank_delay = CLAIM_RANK_DELAY * ranks;
        if is_own_domain {
            rank_delay
        } else {
            FOREIGN_CLAIM_DELAY + rank_delay
        }
    }
}

/// Why a node may not claim a domain.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ClaimObstacle {
    /// It reaches no engines.
    NoEngines,
    /// It does not reach the store.
    StoreLost,
    /// It has no lease.
    NoLease,
    /// Its lease is of an earlier era of the store.
    EarlierEra,
    /// It asked for a lease of a node without a duty.
    PlainLease,
    /// Its lease may end before an order arrives: it was renewed too long ago, or granted for too short.
    LeaseNotValid,
}

impl fmt::Display for ClaimObstacle {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::NoEngines => "no_engines",
            Self::StoreLost => "store_lost",
            Self::NoLease => "no_lease",
            Self::EarlierEra => "earlier_era",
            Self::PlainLease => "plain_lease",
            Self::LeaseNotValid => "lease_not_valid",
        })
    }
}

/// What a node does with its claims now.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ClaimDecisions {
    /// Domains whose claim by this node is lost: their controllers end.
    pub lost: Vec<DomainId>,
    /// Domains to claim; in place of the claim at this position, if there is one.
    pub due: Vec<(DomainId, Option<StoreIndex>)>,
    /// Whether to open claims to all nodes in the view's era.
    pub opens_claims: bool,
    /// A domain that the node would claim now, and why it may not.
    pub withheld: Option<(DomainId, ClaimObstacle)>,
}

/// Decides on a node's claims.
#[derive(Debug, Clone, Default)]
pub struct ClaimPolicy {
    /// Since when each domain without a claim is known to have none.
    unclaimed: BTreeMap<DomainId, Instant>,
    /// The view's era, and when this node learned of it.
    era: Option<(StoreEra, Instant)>,
    /// Whether the store was restored since this node knows it.
    saw_restore: bool,
    /// When this node last tried to open claims.
    opening_since: Option<Instant>,
}

impl ClaimPolicy {
    /// Returns what to do now.
    pub fn decide(&mut self, input: &ClaimInput<'_>) -> ClaimDecisions {
        let mut decisions = ClaimDecisions::default();
        if input.view.index == StoreIndex::default() {
            return decisions;
        }
        let era = input.view.index.era();
        self.saw_restore |= self.era.is_some_and(|(known, _)| known != era);
        let known_since = match self.era {
            Some((known, since)) if known == era => since,
            _ => input.now,
        };
        self.era = Some((era, known_since));
        let is_new = input.first_start && !self.saw_restore;
        let is_open = input.view.open_claims.is_some_and(|open| open.era == era);
        let obstacle = input.obstacle();
        let can_claim = obstacle.is_none();
        if !is_open && can_claim {
            decisions.opens_claims = self.opens_claims(known_since, is_new, input);
        }
        for domain in input.options.domains.keys() {
            let claim = input.view.controllers.get(domain);
            let held = input.held.get(domain).copied();
            let is_void = held.is_some_and(|held| input.validity.is_void(held));
            if is_void || (held.is_some() && !input.reaches_engines) {
                decisions.lost.push(domain.clone());
                continue;
            }
            if let Some(held) = held
                && (held.era() < era || claim.is_some_and(|claim| claim.since > held))
            {
                // What the restored store says of the claim is older than the claim.
                let is_held = input.may_act(held)
                    && held.era() < era
                    && claim.is_none_or(|claim| claim.holder == input.options.node);
                if !is_held {
                    decisions.lost.push(domain.clone());
                } else if can_claim {
                    let replaces = claim.map(|claim| claim.since);
                    decisions.due.push((domain.clone(), replaces));
                }
                continue;
            }
            if !is_open && !is_new {
                continue;
            }
            if let Some(claim) = claim {
                self.unclaimed.remove(domain);
                // The claim of an earlier process of this node.
                let is_stale = claim.holder == input.options.node && held.is_none();
                if is_stale && can_claim {
                    decisions.due.push((domain.clone(), Some(claim.since)));
                }
                continue;
            }
            if input.view.catalog.is_none() {
                continue;
            }
            let since = *self.unclaimed.entry(domain.clone()).or_insert(input.now);
            let waited = input.now.saturating_duration_since(since);
            if waited < input.claim_delay(domain) {
                continue;
            }
            match obstacle {
                None => decisions.due.push((domain.clone(), None)),
                Some(obstacle) => decisions.withheld = Some((domain.clone(), obstacle)),
            }
        }
        for (domain, _) in &decisions.due {
            self.unclaimed.remove(domain);
        }
        decisions
    }

    /// Returns whether to open claims now in an era that this node has known since `known_since`.
    fn opens_claims(&mut self, known_since: Instant, is_new: bool, input: &ClaimInput<'_>) -> bool {
        let mut wait = input.claim_delay(&input.options.domain);
        if !is_new {
            wait += longest_claim_term(input.options);
        }
        let since = |at: Instant| input.now.saturating_duration_since(at);
        let is_due = since(known_since) >= wait
            && self
                .opening_since
                .is_none_or(|at| since(at) >= OPENING_INTERVAL);
        if is_due {
            self.opening_since = Some(input.now);
        }
        is_due
    }
}
