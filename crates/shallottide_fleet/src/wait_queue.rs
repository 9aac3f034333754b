//! Requests that wait for a place, in the order in which they get one.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Instant;

use compact_str::CompactString;

/// Number of one waiting request.
pub type Ticket = u64;

/// A waiting request's place: rank first, then the time until which it waits.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Place {
    priority: u8,
    wanted_by: Instant,
    ticket: Ticket,
}

/// Requests that wait, by what they wait for.
#[derive(Debug, Default)]
pub struct WaitQueue {
    queues: BTreeMap<CompactString, BTreeSet<Place>>,
    places: BTreeMap<Ticket, (CompactString, Place)>,
    next: Ticket,
}

impl WaitQueue {
    /// Adds a request that waits for `what`.
    pub fn enter(&mut self, what: &CompactString, priority: u8, wanted_by: Instant) -> Ticket {
        self.next += 1;
        let place = Place {
            priority,
            wanted_by,
            ticket: self.next,
        };
        self.queues.entry(what.clone()).or_default().insert(place);
        self.places.insert(self.next, (what.clone(), place));
        self.next
    }

    /// Removes a request.
    pub fn leave(&mut self, ticket: Ticket) {
        let Some((what, place)) = self.places.remove(&ticket) else {
            return;
        };
        if let Some(queue) = self.queues.get_mut(&what) {
            queue.remove(&place);
            if queue.is_empty() {
                self.queues.remove(&what);
            }
        }
    }

    /// Tells whether a request is the next to be served.
    #[must_use]
    pub fn is_first(&self, ticket: Ticket) -> bool {
        self.places.get(&ticket).is_some_and(|(what, place)| {
            self.queues.get(what).and_then(|queue| queue.first()) == Some(place)
        })
    }

    /// Returns the requests that are next, one for each thing waited for.
    pub fn firsts(&self) -> impl Iterator<Item = Ticket> + '_ {
        self.queues
            .values()
            .filter_map(|queue| queue.first().map(|place| place.ticket))
    }

    /// Returns how many wait for `what`.
    #[must_use]
    pub fn len(&self, what: &str) -> usize {
        self.queues.get(what).map_or(0, BTreeSet::len)
    }

    /// Tells whether nobody waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.places.is_empty()
    }
}
