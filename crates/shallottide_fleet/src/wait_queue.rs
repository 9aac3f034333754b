//! Queues of requests that wait for an upstream with free capacity.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Instant;

use compact_str::CompactString;

/// Id of a waiting request.
pub type Ticket = u64;

/// A waiting request's position: by priority, then deadline, then arrival.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Position {
    priority: u8,
    deadline: Instant,
    ticket: Ticket,
}

/// Waiting requests, in one queue per resource that they wait for.
#[derive(Debug, Default)]
pub struct WaitQueue {
    queues: BTreeMap<CompactString, BTreeSet<Position>>,
    positions: BTreeMap<Ticket, (CompactString, Position)>,
    next: Ticket,
}

impl WaitQueue {
    /// Adds a request that waits for a resource.
    pub fn enter(&mut self, resource: &CompactString, priority: u8, deadline: Instant) -> Ticket {
        self.next += 1;
        let position = Position {
            priority,
            deadline,
            ticket: self.next,
        };
        self.queues
            .entry(resource.clone())
            .or_default()
            .insert(position);
        self.positions
            .insert(self.next, (resource.clone(), position));
        self.next
    }

    /// Removes a request.
    pub fn leave(&mut self, ticket: Ticket) {
        let Some((resource, position)) = self.positions.remove(&ticket) else {
            return;
        };
        if let Some(queue) = self.queues.get_mut(&resource) {
            queue.remove(&position);
            if queue.is_empty() {
                self.queues.remove(&resource);
            }
        }
    }

    /// Returns whether a request is the first of its queue.
    #[must_use]
    pub fn is_first(&self, ticket: Ticket) -> bool {
        self.positions
            .get(&ticket)
            .is_some_and(|(resource, position)| {
                self.queues.get(resource).and_then(|queue| queue.first()) == Some(position)
            })
    }

    /// Returns the first request of each queue.
    pub fn firsts(&self) -> impl Iterator<Item = Ticket> + '_ {
        self.queues
            .values()
            .filter_map(|queue| queue.first().map(|position| position.ticket))
    }

    /// Returns the number of requests that wait for a resource.
    #[must_use]
    pub fn len(&self, resource: &str) -> usize {
        self.queues.get(resource).map_or(0, BTreeSet::len)
    }

    /// Returns whether no request waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.positions.is_empty()
    }
}
