//! Links of a simulated node to the upstreams of its service.

use std::time::Instant;

use rand::RngExt;
use rand::rngs::StdRng;
use shallottide_fleet::crash_evidence::Lifetime;
use shallottide_fleet::undecided::EntryState;
use shallottide_fleet::upstream_links::{
    ConnectionFailure, LinkState, LinkVerdict, Probe, UpstreamLinks,
};
use shallottide_types::id::{ServiceId, UpstreamId};

use super::id;

/// A node's links, and what it knows of its upstreams' lifetimes.
pub(super) struct NodeLinks {
    links: UpstreamLinks,
    service: ServiceId,
    upstreams: Vec<UpstreamId>,
    /// Lifetimes by the store, as this node last heard.
    pub(super) lifetimes: Vec<Lifetime>,
    /// Until when the node reaches no upstream.
    pub(super) cut_until: Option<Instant>,
}

impl NodeLinks {
    pub(super) fn new(service: &ServiceId, lifetimes: Vec<Lifetime>) -> Self {
        let numbers = 0..lifetimes.len();
        Self {
            links: UpstreamLinks::default(),
            service: service.clone(),
            upstreams: numbers.map(upstream_id).collect(),
            lifetimes,
            cut_until: None,
        }
    }

    pub(super) fn is_cut(&self, now: Instant) -> bool {
        self.cut_until.is_some_and(|until| now < until)
    }

    pub(super) fn is_lost(&self, now: Instant) -> bool {
        self.links.state(&self.service, now) == LinkState::Lost
    }

    pub(super) fn allows_own(&self, now: Instant, rng: &mut StdRng) -> bool {
        self.links.allows_own(&self.service, now, rng.random())
    }

    /// Opens a connection to an upstream; returns whether that succeeds.
    pub(super) fn connect(&mut self, number: usize, is_up: bool, now: Instant) -> bool {
        let (service, upstream) = (&self.service, &self.upstreams[number]);
        let succeeds = is_up && !self.is_cut(now);
        self.links.record_waiting(service, upstream, now);
        if succeeds {
            self.links.record_connected(service, upstream, now);
        } else {
            self.links.record_unreachable(service, upstream, now, now);
        }
        succeeds
    }

    pub(super) fn sent(&mut self, number: usize, now: Instant) {
        let upstream = &self.upstreams[number];
        self.links.record_waiting(&self.service, upstream, now);
    }

    pub(super) fn answered(&mut self, number: usize, now: Instant) {
        let upstream = &self.upstreams[number];
        self.links.record_received(&self.service, upstream, now);
        self.links.record_wait_ended(&self.service, upstream, now);
    }

    pub(super) fn reset(&mut self, number: usize, now: Instant) -> ConnectionFailure {
        let upstream = &self.upstreams[number];
        self.links.record_reset(&self.service, upstream, now)
    }

    pub(super) fn judge(
        &self,
        number: usize,
        failure: &ConnectionFailure,
        now: Instant,
    ) -> LinkVerdict {
        let upstream = &self.upstreams[number];
        self.links.judge(&self.service, upstream, failure, now)
    }

    /// Probes upstreams, of which those in `up` accept connections, and compares lifetimes.
    pub(super) fn tick(&mut self, up: &[bool], now: Instant, rng: &mut StdRng) {
        let (upstreams, lifetimes) = (&self.upstreams, &self.lifetimes);
        let lifetime = |id: &UpstreamId| {
            let number = upstreams.iter().position(|other| other == id)?;
            Some(lifetimes[number])
        };
        self.links.observe_lifetimes(lifetime, now);
        for Probe {
            count,
            prefer,
            avoid,
            ..
        } in self.links.due_probes(now, rng.random())
        {
            let mut order: Vec<_> = (0..self.upstreams.len())
                .map(|number| {
                    let id = &self.upstreams[number];
                    let rank = (avoid.contains(id), !prefer.contains(id));
                    (rank, rng.random::<u32>(), number)
                })
                .collect();
            order.sort_unstable();
            for (.., number) in order.into_iter().take(count) {
                self.connect(number, up[number], now);
            }
        }
    }

    /// Returns what the store says of an upstream, as far as this node knows.
    pub(super) fn entry(&self, id: &UpstreamId) -> EntryState {
        let number = self.upstreams.iter().position(|other| other == id);
        number.map_or(EntryState::Gone, |n| EntryState::Present(self.lifetimes[n]))
    }
}

pub(super) fn upstream_id(number: usize) -> UpstreamId {
    id(&format!("e{number}"))
}
