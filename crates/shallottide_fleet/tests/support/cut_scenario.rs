//! Scenarios of nodes that are cut off from upstreams, and what came of them.

use std::collections::{BTreeMap, BTreeSet};
use std::ops::Range;
use std::time::Duration;

use shallottide_fleet::upstream_links::LinkState;

/// How connections fail.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum LinkFailure {
    /// Nothing is answered.
    Hang,
    /// All connections are reset, and new ones are refused.
    Reset,
    /// New connections are refused, open ones live on.
    HalfCut,
    /// Connections are accepted, and responses arrive after the end.
    Silence,
}

/// A service that all nodes call.
#[derive(Debug, Clone)]
pub(crate) struct SimService {
    pub(crate) upstreams: usize,
    /// Mean time between two calls at a node.
    pub(crate) interval: Duration,
    /// Time to the first byte of a response, in milliseconds.
    pub(crate) first_byte: Range<u64>,
    /// Parts of a response.
    pub(crate) chunks: u32,
    /// Most open connections of a node to an upstream.
    pub(crate) max_connections: usize,
}

/// A time in which some nodes can't reach some upstreams.
#[derive(Debug, Clone)]
pub(crate) struct SimFailure {
    pub(crate) kind: LinkFailure,
    pub(crate) nodes: BTreeSet<usize>,
    /// The service and its upstreams; all upstreams of all services if not set.
    pub(crate) upstreams: Option<(usize, Range<usize>)>,
    pub(crate) from: Duration,
    pub(crate) until: Duration,
}

/// A simulated time at some nodes.
#[derive(Debug, Clone)]
pub(crate) struct CutScenario {
    pub(crate) nodes: usize,
    /// Failure domains; nodes are in them by turns.
    pub(crate) domains: usize,
    pub(crate) services: Vec<SimService>,
    pub(crate) failures: Vec<SimFailure>,
    /// Times in which a node's process is suspended.
    pub(crate) pauses: Vec<(usize, Duration, Duration)>,
    pub(crate) length: Duration,
}

/// The first try of a call.
#[derive(Debug, Clone)]
pub(crate) struct SimTry {
    pub(crate) node: usize,
    pub(crate) sent: Duration,
    pub(crate) is_served: bool,
    /// Nodes that accepted it from the node that it was sent to.
    pub(crate) helpers: Vec<usize>,
}

/// What a node learned of a service's links.
#[derive(Debug, Clone, Default)]
pub(crate) struct LinkTimes {
    /// When they were found lost.
    pub(crate) lost: Vec<Duration>,
    /// The last time at which they were not up.
    pub(crate) last_not_up: Option<(Duration, LinkState)>,
}

/// A failure of a connection.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct SimConnectionFailure {
    pub(crate) node: usize,
    pub(crate) service: usize,
    pub(crate) upstream: usize,
    pub(crate) at: Duration,
    /// Whether the node held it to be the upstream's, after the time in which a probe is answered.
    pub(crate) is_upstreams: bool,
}

/// What came of a scenario.
#[derive(Debug, Clone, Default)]
pub(crate) struct CutOutcome {
    pub(crate) tries: Vec<SimTry>,
    /// By node and service.
    pub(crate) links: BTreeMap<(usize, usize), LinkTimes>,
    pub(crate) failures: Vec<SimConnectionFailure>,
    /// Connections that were opened as probes, by node.
    pub(crate) probes: BTreeMap<usize, usize>,
}

/// Milliseconds as a time.
pub(crate) const fn ms(time: u64) -> Duration {
    Duration::from_millis(time)
}

/// A service with tens of upstreams and the usual load.
pub(crate) fn large_service() -> SimService {
    SimService {
        upstreams: 30,
        interval: ms(40),
        first_byte: 40..300,
        chunks: 4,
        max_connections: 100,
    }
}

/// A service with few upstreams and calls.
pub(crate) fn small_service() -> SimService {
    SimService {
        upstreams: 3,
        interval: ms(400),
        first_byte: 20..200,
        chunks: 1,
        max_connections: 100,
    }
}

impl CutScenario {
    /// Nodes without any failure.
    pub(crate) fn new(nodes: usize, services: Vec<SimService>, length: Duration) -> Self {
        Self {
            nodes,
            domains: 3,
            services,
            failures: Vec::new(),
            pauses: Vec::new(),
            length,
        }
    }

    /// Adds a time in which nodes can't reach any upstream.
    pub(crate) fn cut(
        mut self,
        kind: LinkFailure,
        nodes: impl IntoIterator<Item = usize>,
        from: Duration,
        until: Duration,
    ) -> Self {
        self.failures.push(SimFailure {
            kind,
            nodes: nodes.into_iter().collect(),
            upstreams: None,
            from,
            until,
        });
        self
    }

    /// Adds a time in which no node can reach some upstreams of a service.
    pub(crate) fn fail_upstreams(
        mut self,
        kind: LinkFailure,
        service: usize,
        upstreams: Range<usize>,
        from: Duration,
        until: Duration,
    ) -> Self {
        self.failures.push(SimFailure {
            kind,
            nodes: (0..self.nodes).collect(),
            upstreams: Some((service, upstreams)),
            from,
            until,
        });
        self
    }
}

impl SimFailure {
    /// Returns whether it is a cut of nodes from all upstreams.
    pub(crate) fn is_cut(&self) -> bool {
        self.upstreams.is_none()
    }

    pub(crate) fn concerns(&self, node: usize, service: usize, upstream: usize) -> bool {
        self.nodes.contains(&node)
            && self
                .upstreams
                .as_ref()
                .is_none_or(|(s, upstreams)| *s == service && upstreams.contains(&upstream))
    }
}

impl CutOutcome {
    /// Returns the failures that nodes held to be the upstreams'.
    pub(crate) fn faults(&self) -> Vec<&SimConnectionFailure> {
        self.failures.iter().filter(|f| f.is_upstreams).collect()
    }

    /// Returns the tries and the served ones, of those sent to some nodes in a time.
    pub(crate) fn served(
        &self,
        at: impl Fn(usize) -> bool,
        sent: &Range<Duration>,
    ) -> (usize, usize) {
        let tries = self
            .tries
            .iter()
            .filter(|t| at(t.node) && sent.contains(&t.sent));
        tries.fold((0, 0), |(all, served), t| {
            (all + 1, served + usize::from(t.is_served))
        })
    }
}
