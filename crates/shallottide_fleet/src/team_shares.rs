//! Shares of teams in the capacity for a kind of call while it is scarce.
//!
//! Nodes divide capacity by the rates that they and their peers counted, without asking anyone at the
//! time of a call. A node cuts a team to the fraction of its demand that the division grants it, which
//! needs no agreement on totals: if the reports of some nodes are lost, the fraction is that of the
//! nodes heard.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use compact_str::CompactString;
use shallottide_types::id::NodeId;
use shallottide_types::rendezvous::weight;

use crate::decaying_rate::DecayingRate;
use crate::load_keys::{Kind, KindKey, TeamKey};
use crate::team_division::{TeamDivision, UsageTotals};
use crate::team_usage_report::{MAX_REPORTED, TeamUsageReport};
use crate::team_weights::TeamWeights;

/// Window of the rates; unused shares are lent and reclaimed within about this time.
const RATE_WINDOW: Duration = Duration::from_secs(1);
/// Window of the rate of refusals for want of capacity; shorter, as capacity that is unused shows in it
/// first.
const REFUSAL_WINDOW: Duration = Duration::from_millis(500);
/// Time after a refusal for want of capacity for which a kind is scarce.
const SCARCE_TIME: Duration = Duration::from_secs(1);
/// Time for which a peer's report counts.
const REPORT_LIFETIME: Duration = Duration::from_millis(1_500);
/// Time in which the weight of a peer's report falls by a factor of e, so that changes of the load are not
/// covered up by older reports.
const REPORT_WEIGHT_TIME: Duration = Duration::from_millis(500);
/// Time for which a division is used before it is computed again.
const DIVISION_LIFETIME: Duration = Duration::from_millis(100);
/// Largest credit or debt of a team, in calls; bounds the burst after a pause.
const MAX_CREDIT_CALLS: f64 = 2.0;
/// Rate, in work per second, below which counts are dropped.
const NEGLIGIBLE_RATE: f64 = 1e-3;

/// Whether a call may take capacity, and why.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ShareDecision {
    /// Whether the call may take capacity.
    pub is_allowed: bool,
    /// Whether the kind is scarce; if not, shares do not bind.
    pub is_scarce: bool,
    /// The team's share, in work per second at all nodes.
    pub share: f64,
    /// What was admitted of the team, in work per second at all nodes.
    pub usage: f64,
    /// What arrived of the team, in work per second at all nodes.
    pub demand: f64,
    /// The capacity that is divided, in work per second at all nodes.
    pub capacity: f64,
    /// Nodes whose counts were used, with this one.
    pub nodes_heard: usize,
    /// Time since the division was computed.
    pub age: Duration,
}

/// A node's counts of one team and kind.
#[derive(Debug, Clone, Copy)]
struct TeamUsage {
    arrived: DecayingRate,
    admitted: DecayingRate,
    /// Work that the team may still have admitted here, from -`MAX_CREDIT_CALLS` to
    /// `MAX_CREDIT_CALLS` calls.
    credit: f64,
    /// Work of the latest call.
    last_work: f64,
}

impl TeamUsage {
    /// Uses up the credit for the latest call if there is enough, or if the call is allowed anyway.
    fn take_credit(&mut self, is_free: bool) -> bool {
        let is_allowed = is_free || self.credit >= self.last_work / 2.0;
        if is_allowed {
            let limit = -MAX_CREDIT_CALLS * self.last_work;
            self.credit = (self.credit - self.last_work).max(limit.min(self.credit));
        }
        is_allowed
    }
}

#[derive(Debug, Clone)]
struct KindState {
    teams: BTreeMap<TeamKey, TeamUsage>,
    /// Work of calls that this node refused for want of capacity, by the work of the latest arrival.
    refused: DecayingRate,
    /// When this node last refused a call for want of capacity.
    refused_at: Option<Instant>,
    /// When a peer last did, by its report.
    peer_refused_at: Option<Instant>,
    /// Work of the latest arrival of any team.
    last_work: f64,
    division: Option<TeamDivision>,
}

impl Default for KindState {
    fn default() -> Self {
        Self {
            teams: BTreeMap::new(),
            refused: DecayingRate::new(REFUSAL_WINDOW),
            refused_at: None,
            last_work: 0.0,
            peer_refused_at: None,
            division: None,
        }
    }
}

impl KindState {
    /// Returns the time since the last refusal that was heard of, while the kind is scarce.
    fn scarce_since(&self, now: Instant) -> Option<Duration> {
        let at = self.refused_at.max(self.peer_refused_at)?;
        let age = now.saturating_duration_since(at);
        (age < SCARCE_TIME).then_some(age)
    }
}

/// The latest report of a peer.
#[derive(Debug, Clone)]
struct PeerReport {
    number: u32,
    at: Instant,
    entries: Vec<TeamUsageReport>,
}

/// Divides the capacity for each kind of call among teams while it is scarce.
#[derive(Debug, Clone)]
pub struct TeamShares {
    own: NodeId,
    weights: TeamWeights,
    node_count: usize,
    kinds: BTreeMap<KindKey, KindState>,
    peers: BTreeMap<NodeId, PeerReport>,
    /// Number of the latest own report.
    number: u32,
}

impl TeamShares {
    /// Creates the shares of a node without knowledge of any load, and with equal weights.
    #[must_use]
    pub fn new(own: NodeId) -> Self {
        Self {
            own,
            weights: TeamWeights::default(),
            node_count: 1,
            kinds: BTreeMap::new(),
            peers: BTreeMap::new(),
            number: 0,
        }
    }

    /// Sets the weights of teams; others have a weight of 1.
    pub fn set_weights(&mut self, weights: &BTreeMap<CompactString, f64>) {
        self.weights = TeamWeights::new(weights);
    }

    /// Sets the number of nodes, with this one, to which totals are scaled.
    pub fn set_node_count(&mut self, nodes: usize) {
        self.node_count = nodes.max(1);
    }

    /// Records a call that arrived at this node; `work` is in the same unit on all nodes.
    pub fn record_arrival(&mut self, kind: &Kind, team: Option<&str>, work: f64, now: Instant) {
        let (kind, team) = (KindKey::of(kind), TeamKey::of(team));
        let fraction = if self.is_scarce(kind, now) {
            let part = self.division(kind, now).parts.get(&team).copied();
            part.map_or(1.0, |part| part.fraction)
        } else {
            1.0
        };
        let usage = self.usage(kind, team, work);
        usage.arrived.add(work, now);
        usage.last_work = work;
        let limit = MAX_CREDIT_CALLS * work;
        usage.credit = (usage.credit + fraction * work).min(limit.max(usage.credit));
        self.kinds.entry(kind).or_default().last_work = work;
    }

    /// Records a call that took capacity.
    pub fn record_admitted(&mut self, kind: &Kind, team: Option<&str>, work: f64, now: Instant) {
        let usage = self.usage(KindKey::of(kind), TeamKey::of(team), work);
        usage.admitted.add(work, now);
    }

    /// Records a call that was refused as no upstream had room, rather than by a decision on shares.
    pub fn record_refused_for_room(&mut self, kind: &Kind, now: Instant) {
        let state = self.kinds.entry(KindKey::of(kind)).or_default();
        state.refused_at = Some(now);
        state.refused.add(state.last_work, now);
    }

    /// Decides whether the team's latest call may take capacity.
    ///
    /// It is asked once for each call, right after the arrival: a call that is allowed uses up credit,
    /// whether or not an upstream then has room. Otherwise, teams would gather credit from refusals for
    /// want of capacity, and no cut would hold.
    pub fn decide(&mut self, kind: &Kind, team: Option<&str>, now: Instant) -> ShareDecision {
        let (kind, team) = (KindKey::of(kind), TeamKey::of(team));
        let is_scarce = self.is_scarce(kind, now);
        let usage = (self.kinds.get_mut(&kind)).and_then(|kind| kind.teams.get_mut(&team));
        let is_allowed = usage.is_none_or(|usage| usage.take_credit(!is_scarce));
        let node_count = self.node_count;
        let division = self.division(kind, now);
        let part = division.parts.get(&team).copied().unwrap_or_default();
        let scale = division.scale(node_count);
        ShareDecision {
            is_allowed,
            is_scarce,
            share: part.demand * part.fraction * scale,
            usage: part.usage * scale,
            demand: part.demand * scale,
            capacity: division.capacity * scale,
            nodes_heard: division.nodes_heard,
            age: now.saturating_duration_since(division.at),
        }
    }

    /// Returns this node's largest usages of scarce kinds, the largest first.
    ///
    /// It is empty while no kind is scarce, and has an entry without work if this node has no calls of
    /// the scarce kinds, so that peers count it as heard.
    pub fn report(&mut self, now: Instant) -> Vec<TeamUsageReport> {
        self.number = self.number.wrapping_add(1);
        let number = self.number;
        let scarce = self.kinds.iter();
        let scarce = scarce.filter(|(_, state)| state.scarce_since(now).is_some());
        let mut entries = Vec::new();
        for (kind, state) in scarce.clone() {
            let age = |at| now.saturating_duration_since(at);
            let refused = state.refused_at.map(age).filter(|age| *age < SCARCE_TIME);
            let refused = refused.and_then(|age| u16::try_from(age.as_millis()).ok());
            let entry = |team: TeamKey, arrived: f64, admitted: f64| TeamUsageReport {
                number,
                kind: *kind,
                team,
                arrived: encode_rate(arrived),
                admitted: encode_rate(admitted),
                refused: encode_rate(state.refused.per_second(now)),
                refused_ms_ago: refused,
            };
            entries.extend(state.teams.iter().filter_map(|(team, usage)| {
                let arrived = usage.arrived.per_second(now);
                let is_counted = arrived >= NEGLIGIBLE_RATE;
                is_counted.then(|| entry(*team, arrived, usage.admitted.per_second(now)))
            }));
            if entries.last().is_none_or(|last| last.kind != *kind) {
                entries.push(entry(TeamKey::default(), 0.0, 0.0));
            }
        }
        entries.sort_by(|a, b| b.arrived.total_cmp(&a.arrived));
        entries.truncate(MAX_REPORTED);
        entries
    }

    /// Takes in a peer's report, unless it is empty, damaged, or no later than the latest one.
    pub fn merge(&mut self, from: &NodeId, reports: &[TeamUsageReport], now: Instant) {
        let Some(first) = reports.first() else {
            return;
        };
        let is_later = self.peers.get(from).is_none_or(|known| {
            // A peer that restarted numbers its reports from 1; its earlier ones count no longer.
            let is_old = now.saturating_duration_since(known.at) >= REPORT_LIFETIME;
            is_old || first.number > known.number
        });
        let is_valid = reports.len() <= MAX_REPORTED
            && (reports.iter()).all(|entry| entry.is_valid() && entry.number == first.number);
        if !is_later || !is_valid || *from == self.own {
            return;
        }
        for entry in reports {
            let Some(age) = entry.refused_ms_ago else {
                continue;
            };
            let at = now.checked_sub(Duration::from_millis(age.into()));
            let state = self.kinds.entry(entry.kind).or_default();
            state.peer_refused_at = state.peer_refused_at.max(at);
        }
        let report = PeerReport {
            number: first.number,
            at: now,
            entries: reports.to_vec(),
        };
        self.peers.insert(from.clone(), report);
    }

    /// Drops counts that have decayed and reports that no longer count.
    pub fn expire(&mut self, now: Instant) {
        let is_recent = |at: Instant| now.saturating_duration_since(at) < REPORT_LIFETIME;
        self.peers.retain(|_, report| is_recent(report.at));
        self.kinds.retain(|_, state| {
            let is_counted = |usage: &TeamUsage| usage.arrived.per_second(now) >= NEGLIGIBLE_RATE;
            state.teams.retain(|_, usage| is_counted(usage));
            !state.teams.is_empty() || state.scarce_since(now).is_some()
        });
    }

    fn is_scarce(&self, kind: KindKey, now: Instant) -> bool {
        let state = self.kinds.get(&kind);
        state.is_some_and(|state| state.scarce_since(now).is_some())
    }

    fn usage(&mut self, kind: KindKey, team: TeamKey, work: f64) -> &mut TeamUsage {
        let teams = &mut self.kinds.entry(kind).or_default().teams;
        let own = &self.own;
        teams.entry(team).or_insert_with(|| {
            // Nodes start at different phases, so that they do not all admit the first call.
            let key = u64::from(kind.0) << 32 | u64::from(team.0);
            let [phase, ..] = weight(key, own.as_str()).to_le_bytes();
            TeamUsage {
                arrived: DecayingRate::new(RATE_WINDOW),
                admitted: DecayingRate::new(RATE_WINDOW),
                credit: (f64::from(phase) / f64::from(u8::MAX) - 0.5) * work,
                last_work: work,
            }
        })
    }

    /// Returns the division of a kind, computed again if it is too old.
    fn division(&mut self, kind: KindKey, now: Instant) -> &TeamDivision {
        let known = self.kinds.get_mut(&kind).and_then(|s| s.division.take());
        let is_recent = |division: &TeamDivision| {
            now.saturating_duration_since(division.at) < DIVISION_LIFETIME
        };
        let division = known.filter(is_recent);
        let division = division.unwrap_or_else(|| self.compute(kind, now));
        let state = self.kinds.entry(kind).or_default();
        state.division.insert(division)
    }

    fn compute(&self, kind: KindKey, now: Instant) -> TeamDivision {
        let is_recent = |at: Instant| now.saturating_duration_since(at) < REPORT_LIFETIME;
        let mut totals = UsageTotals::default();
        if let Some(state) = self.kinds.get(&kind) {
            totals.add_refused(state.refused.per_second(now));
            for (team, usage) in &state.teams {
                let (arrived, admitted) = (&usage.arrived, &usage.admitted);
                totals.add(*team, arrived.per_second(now), admitted.per_second(now));
            }
        }
        for peer in self.peers.values().filter(|peer| is_recent(peer.at)) {
            let age = now.saturating_duration_since(peer.at);
            let weight = (-age.div_duration_f64(REPORT_WEIGHT_TIME)).exp();
            totals.add_peer(weight);
            let entries = peer.entries.iter().filter(|entry| entry.kind == kind);
            // Each entry of a kind names the refusals of the whole kind.
            if let Some(first) = entries.clone().next() {
                totals.add_refused(weight * f64::from(first.refused));
            }
            for entry in entries {
                let (arrived, admitted) = (f64::from(entry.arrived), f64::from(entry.admitted));
                totals.add(entry.team, weight * arrived, weight * admitted);
            }
        }
        totals.divide(&self.weights, now)
    }
}

#[allow(
    clippy::cast_possible_truncation,
    reason = "reports need no more than the precision of f32"
)]
fn encode_rate(rate: f64) -> f32 {
    rate as f32
}
