//! Chooses the nodes to which calls are relayed.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use shallottide_types::id::{DomainId, NodeId, ServiceId};

use crate::node_entry::NodeEntry;
use crate::view::ClusterView;

/// Time for which a node that is cut off from upstreams as well gets no calls.
const CUT_OFF_AVOIDANCE: Duration = Duration::from_secs(2);
/// Time for which a node at its limit gets no calls.
const BUSY_AVOIDANCE: Duration = Duration::from_millis(50);
/// First time for which an unreachable node gets no calls; doubles with each failure in a row.
const MIN_UNREACHABLE_AVOIDANCE: Duration = Duration::from_millis(400);
/// Most doublings of [`MIN_UNREACHABLE_AVOIDANCE`].
const MAX_DOUBLINGS: u32 = 4;
/// Time for which a node that accepted a call is preferred to nodes without an outcome.
const SUCCESS_TIME: Duration = Duration::from_secs(3);
/// Weight of the newest outcome in the moving average.
const OUTCOME_WEIGHT: f64 = 0.2;
/// Smallest weight of a node without a recent outcome, and its weight for calls that were refused
/// before, as a fraction of that of nodes that accepted a call recently.
const MIN_UNKNOWN_WEIGHT: f64 = 0.05;
/// Weight of nodes in other failure domains, as a fraction of that of nodes in the own one.
const OTHER_DOMAIN_WEIGHT: f64 = 0.8;

/// Requirements of a call on the node to which it is relayed.
#[derive(Debug, Clone)]
pub struct RelayNeed<'a> {
    /// This node and its failure domain.
    pub own: (&'a NodeId, &'a DomainId),
    /// Failure domains whose nodes may get the call; all if not set.
    pub domains: Option<&'a BTreeSet<DomainId>>,
    /// Nodes that refused the call.
    pub tried: &'a [NodeId],
}

#[derive(Debug, Clone, Default)]
struct RelayTarget {
    /// Calls of this node at the target.
    in_flight: u32,
    avoided_until: Option<Instant>,
    /// Whether it is avoided only because it was cut off when last asked.
    is_cut_off: bool,
    unreachable_in_row: u32,
    /// When it last accepted a call.
    succeeded: Option<Instant>,
}

/// Outcomes of relayed calls of each service: a node may be cut off from the upstreams of one service
/// and reach those of another.
#[derive(Debug, Clone, Default)]
pub struct ServiceRelayTargets(BTreeMap<ServiceId, RelayTargets>);

impl ServiceRelayTargets {
    /// Returns the outcomes of a service's calls.
    pub fn of(&mut self, service: &ServiceId) -> &mut RelayTargets {
        self.0.entry(service.clone()).or_default()
    }

    /// Drops nodes that are no longer known.
    pub fn retain(&mut self, known: impl Fn(&NodeId) -> bool) {
        for targets in self.0.values_mut() {
            targets.retain(&known);
        }
    }
}

/// Outcomes of relayed calls, by which the next nodes are chosen.
#[derive(Debug, Clone, Default)]
pub struct RelayTargets {
    targets: BTreeMap<NodeId, RelayTarget>,
    /// Until when the nodes of a failure domain are not preferred for being near.
    cut_off_domains: BTreeMap<DomainId, Instant>,
    /// Moving average of the refusals by nodes without a recent outcome, from 0 to 1.
    refusal_rate: f64,
}

impl RelayTargets {
    /// Chooses the node to which a call is relayed: of two nodes drawn at random by capacity, the one
    /// with fewer calls of this node in flight for its capacity. If there is none, one that was cut off
    /// when last asked, for calls without an offer yet. `draw` is a uniform random number.
    ///
    /// Returns `None` when the call is to be refused at once.
    #[must_use]
    pub fn choose(
        &self,
        need: &RelayNeed<'_>,
        view: &ClusterView,
        now: Instant,
        draw: u64,
    ) -> Option<(NodeId, SocketAddr)> {
        let mut rng = StdRng::seed_from_u64(draw);
        let mut candidates = self.candidates(need, view, now);
        if candidates.iter().any(|candidate| !candidate.is_cut_off) {
            candidates.retain(|candidate| !candidate.is_cut_off);
        } else if !need.tried.is_empty() {
            return None;
        }
        let first = draw_index(&candidates, &mut rng)?;
        let first = candidates.swap_remove(first);
        let second = draw_index(&candidates, &mut rng).map(|index| &candidates[index]);
        let chosen = second
            .filter(|second| second.load < first.load)
            .unwrap_or(&first);
        Some((chosen.node.clone(), chosen.entry.peers))
    }

    /// Records that a call was sent to a node.
    pub fn started(&mut self, node: &NodeId) {
        self.targets.entry(node.clone()).or_default().in_flight += 1;
    }

    /// Records that a relayed call has ended, in whatever way.
    pub fn ended(&mut self, node: &NodeId) {
        if let Some(target) = self.targets.get_mut(node) {
            target.in_flight = target.in_flight.saturating_sub(1);
        }
    }

    /// Records that a node refused a call because it is cut off from upstreams as well.
    pub fn record_cut_off(&mut self, node: &NodeId, domain: &DomainId, now: Instant) {
        self.cut_off_domains
            .insert(domain.clone(), now + CUT_OFF_AVOIDANCE);
        self.refusal_rate += OUTCOME_WEIGHT * (1.0 - self.refusal_rate);
        let target = self.avoid(node, CUT_OFF_AVOIDANCE, now);
        target.succeeded = None;
        target.is_cut_off = true;
    }

    /// Records that a node refused a call because it is at its limit.
    pub fn record_busy(&mut self, node: &NodeId, now: Instant) {
        self.avoid(node, BUSY_AVOIDANCE, now);
    }

    /// Records that a node could not be reached, or that the connection to it broke.
    pub fn record_unreachable(&mut self, node: &NodeId, now: Instant) {
        let target = self.targets.entry(node.clone()).or_default();
        target.succeeded = None;
        let doublings = target.unreachable_in_row.min(MAX_DOUBLINGS);
        target.unreachable_in_row += 1;
        self.avoid(node, MIN_UNREACHABLE_AVOIDANCE * 2_u32.pow(doublings), now);
    }

    /// Records that a node accepted a call.
    pub fn record_success(&mut self, node: &NodeId, now: Instant) {
        let target = self.targets.entry(node.clone()).or_default();
        let is_known = target.is_known_good(now);
        target.succeeded = Some(now);
        target.unreachable_in_row = 0;
        if !is_known {
            self.refusal_rate *= 1.0 - OUTCOME_WEIGHT;
        }
    }

    /// Drops nodes that are no longer known and have no call in flight.
    pub fn retain(&mut self, known: impl Fn(&NodeId) -> bool) {
        self.targets
            .retain(|id, target| target.in_flight > 0 || known(id));
    }

    fn avoid(&mut self, node: &NodeId, time: Duration, now: Instant) -> &mut RelayTarget {
        let target = self.targets.entry(node.clone()).or_default();
        target.avoided_until = target.avoided_until.max(Some(now + time));
        target.is_cut_off = false;
        target
    }

    /// Returns the nodes that may get a call, with their weights.
    fn candidates<'a>(
        &self,
        need: &RelayNeed<'_>,
        view: &'a ClusterView,
        now: Instant,
    ) -> Vec<Candidate<'a>> {
        let cut_off_until = self.cut_off_domains.get(need.own.1);
        let is_near_preferred = cut_off_until.is_none_or(|until| now >= *until);
        let mut unknown_weight = (1.0 - self.refusal_rate).max(MIN_UNKNOWN_WEIGHT);
        if !need.tried.is_empty() {
            unknown_weight *= MIN_UNKNOWN_WEIGHT;
        }
        let mut targets = self.targets.iter().peekable();
        let mut candidates = Vec::with_capacity(view.nodes.len());
        for (node, entry) in &view.nodes {
            while targets.next_if(|(id, _)| *id < node).is_some() {}
            let target = targets.next_if(|(id, _)| *id == node).map(|(_, t)| t);
            let is_avoided = target
                .and_then(|target| target.avoided_until)
                .is_some_and(|until| now < until);
            let is_allowed = need
                .domains
                .is_none_or(|domains| domains.contains(&entry.domain));
            let is_cut_off = is_avoided && target.is_some_and(|target| target.is_cut_off);
            if (is_avoided && !is_cut_off)
                || !is_allowed
                || node == need.own.0
                || need.tried.contains(node)
            {
                continue;
            }
            let capacity = f64::from(entry.capacity.max(1));
            let mut weight = capacity;
            if !target.is_some_and(|target| target.is_known_good(now)) {
                weight *= unknown_weight;
            }
            if entry.domain != *need.own.1 || !is_near_preferred {
                weight *= OTHER_DOMAIN_WEIGHT;
            }
            let in_flight = target.map_or(0, |target| target.in_flight);
            candidates.push(Candidate {
                node,
                entry,
                weight,
                is_cut_off,
                load: f64::from(in_flight) / capacity,
            });
        }
        candidates
    }
}

/// A node that may get a call.
struct Candidate<'a> {
    node: &'a NodeId,
    entry: &'a NodeEntry,
    /// Relative probability of being drawn.
    weight: f64,
    is_cut_off: bool,
    /// Calls of this node there, for its capacity.
    load: f64,
}

impl RelayTarget {
    fn is_known_good(&self, now: Instant) -> bool {
        self.succeeded
            .is_some_and(|at| now.saturating_duration_since(at) < SUCCESS_TIME)
    }
}

/// Draws a node by weight.
fn draw_index(candidates: &[Candidate<'_>], rng: &mut StdRng) -> Option<usize> {
    let total: f64 = candidates.iter().map(|candidate| candidate.weight).sum();
    let mut left = rng.random::<f64>() * total;
    let drawn = candidates.iter().position(|candidate| {
        left -= candidate.weight;
        left < 0.0
    });
    drawn.or(candidates.len().checked_sub(1))
}
