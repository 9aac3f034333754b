//! Queues of requests that wait for an upstream with free capacity.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use compact_str::CompactString;

use crate::decaying_rate::DecayingRate;
use crate::load_keys::TeamKey;
use crate::team_weights::TeamWeights;

/// Window over which admitted work counts in the order of teams.
const WORK_WINDOW: Duration = Duration::from_secs(1);
/// Rate of admitted work, per second, below which it is dropped.
const NEGLIGIBLE_RATE: f64 = 1e-3;

/// Id of a waiting request.
pub type Ticket = u64;

/// A waiting request's position in its team: by priority, then deadline, then arrival.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Position {
    priority: u8,
    deadline: Instant,
    ticket: Ticket,
}

/// The requests that wait for one resource.
#[derive(Debug, Default)]
struct Queue {
    /// No team is without a request.
    teams: BTreeMap<TeamKey, BTreeSet<Position>>,
}

/// Waiting requests, in one queue per resource that they wait for.
///
/// The order is by priority, then by the work of the team that was admitted recently, divided by its
/// weight, then by deadline and arrival. The work of the request itself does not count, so that long
/// requests are not starved by short ones.
#[derive(Debug, Default)]
pub struct WaitQueue {
    queues: BTreeMap<CompactString, Queue>,
    positions: BTreeMap<Ticket, (CompactString, TeamKey, Position)>,
    next: Ticket,
    weights: TeamWeights,
    /// Admitted work by resource and team; both are named by the configuration, which bounds them.
    admitted: BTreeMap<CompactString, BTreeMap<TeamKey, DecayingRate>>,
    /// Latest time at which work was admitted. All rates decay alike, so that any time at or after
    /// this one gives the same order.
    latest: Option<Instant>,
}

impl WaitQueue {
    /// Adds a request without a team that waits for a resource.
    pub fn enter(&mut self, resource: &CompactString, priority: u8, deadline: Instant) -> Ticket {
        self.enter_for_team(resource, None, priority, deadline)
    }

    /// Adds a request of a team that waits for a resource; those without a team count as one team.
    pub fn enter_for_team(
        &mut self,
        resource: &CompactString,
        team: Option<&str>,
        priority: u8,
        deadline: Instant,
    ) -> Ticket {
        self.next += 1;
        let team = TeamKey::of(team);
        let position = Position {
            priority,
            deadline,
            ticket: self.next,
        };
        let queue = self.queues.entry(resource.clone()).or_default();
        queue.teams.entry(team).or_default().insert(position);
        self.positions
            .insert(self.next, (resource.clone(), team, position));
        self.next
    }

    /// Sets the weights of teams; others have a weight of 1.
    pub fn set_weights(&mut self, weights: &BTreeMap<CompactString, f64>) {
        self.weights = TeamWeights::new(weights);
    }

    /// Records work of a team that was admitted to a resource, whether it had waited or not.
    pub fn record_admitted(
        &mut self,
        resource: &CompactString,
        team: Option<&str>,
        work: f64,
        now: Instant,
    ) {
        self.latest = self.latest.max(Some(now));
        let teams = self.admitted.entry(resource.clone()).or_default();
        teams.retain(|_, rate| rate.per_second(now) >= NEGLIGIBLE_RATE);
        let rate = teams.entry(TeamKey::of(team));
        let rate = rate.or_insert_with(|| DecayingRate::new(WORK_WINDOW));
        rate.add(work, now);
    }

    /// Removes a request.
    pub fn leave(&mut self, ticket: Ticket) {
        let Some((resource, team, position)) = self.positions.remove(&ticket) else {
            return;
        };
        let Some(queue) = self.queues.get_mut(&resource) else {
            return;
        };
        if let Some(requests) = queue.teams.get_mut(&team) {
            requests.remove(&position);
            if requests.is_empty() {
                queue.teams.remove(&team);
            }
        }
        if queue.teams.is_empty() {
            self.queues.remove(&resource);
        }
    }

    /// Returns whether a request is the first of its queue.
    #[must_use]
    pub fn is_first(&self, ticket: Ticket) -> bool {
        let Some((resource, ..)) = self.positions.get(&ticket) else {
            return false;
        };
        let queue = self.queues.get(resource);
        queue.and_then(|queue| self.first(resource, queue)) == Some(ticket)
    }

    /// Returns the first request of each queue.
    pub fn firsts(&self) -> impl Iterator<Item = Ticket> + '_ {
        let queues = self.queues.iter();
        queues.filter_map(|(resource, queue)| self.first(resource, queue))
    }

    /// Returns the number of requests that wait for a resource.
    #[must_use]
    pub fn len(&self, resource: &str) -> usize {
        let queue = self.queues.get(resource);
        queue.map_or(0, |queue| queue.teams.values().map(BTreeSet::len).sum())
    }

    /// Returns whether no request waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.positions.is_empty()
    }

    fn first(&self, resource: &CompactString, queue: &Queue) -> Option<Ticket> {
        let admitted = self.admitted.get(resource);
        let work = |team: TeamKey| {
            let rate = admitted.and_then(|teams| teams.get(&team));
            let work = rate.zip(self.latest).map(|(rate, at)| rate.per_second(at));
            work.unwrap_or(0.0) / self.weights.weight(team)
        };
        let firsts = queue.teams.iter().filter_map(|(team, requests)| {
            let position = requests.first()?;
            Some((work(*team), position))
        });
        let first = firsts.min_by(|(a_work, a), (b_work, b)| {
            let by_priority = a.priority.cmp(&b.priority);
            by_priority
                .then_with(|| a_work.total_cmp(b_work))
                .then_with(|| a.cmp(b))
        });
        first.map(|(_, position)| position.ticket)
    }
}
