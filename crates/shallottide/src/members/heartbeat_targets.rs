//! To whom heartbeats go.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Instant;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use shallottide_types::id::{DomainId, NodeId};
use shallottide_types::peer::NodeInfo;

use super::{Member, MemberOptions, MemberTable, ring};

/// Nodes of a failure domain that talk to each other domain, and whom they talk to there.
const LINKS: usize = 2;

/// Heartbeats within the failure domain to one to another.
const BEATS_ABROAD: u64 = 2;

/// One receiver of a heartbeat.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct Target {
    /// Address of its peer port.
    pub(super) address: SocketAddr,
    /// Who it is; `None` for a seed that was never heard.
    pub(super) node: Option<NodeId>,
    /// Whether it is of another failure domain.
    pub(super) abroad: bool,
}

impl Target {
    /// Names a known node.
    pub(super) fn of(info: &NodeInfo, domain: &DomainId) -> Self {
        Self {
            address: info.address,
            node: Some(info.node.clone()),
            abroad: info.domain != *domain,
        }
    }
}

/// Chooses the receivers of each heartbeat; their number doesn't grow with the nodes.
#[derive(Debug)]
pub(super) struct HeartbeatTargets {
    rng: StdRng,
    seeds: Vec<SocketAddr>,
    fanout: usize,
    beats: u64,
    /// The binary logarithm of the last distance on the ring.
    step: u32,
}

impl HeartbeatTargets {
    /// Creates a choice by seed.
    pub(super) fn new(options: &MemberOptions) -> Self {
        Self {
            rng: StdRng::seed_from_u64(options.seed),
            seeds: options.seeds.clone(),
            fanout: options.fanout,
            beats: 0,
            step: 0,
        }
    }

    /// Chooses the receivers of this beat.
    pub(super) fn choose(
        &mut self,
        me: &NodeInfo,
        table: &MemberTable,
        now: Instant,
    ) -> Vec<Target> {
        let mut targets = self.in_domain(me, table, now);
        self.beats += 1;
        if self.beats.is_multiple_of(BEATS_ABROAD) {
            targets.extend(self.abroad(me, table, now));
        }
        if table.alive_in(&me.domain, now).next().is_none() {
            targets.extend(self.seed(me, table));
        }
        targets
    }

    /// Chooses nodes at doubling distances on the ring, a few in each beat, and one node that
    /// counts as dead. So every node gets as many heartbeats as it sends, and news reach all
    /// in about as many steps as the number of nodes has binary digits.
    fn in_domain(&mut self, me: &NodeInfo, table: &MemberTable, now: Instant) -> Vec<Target> {
        let alive = table.alive_in(&me.domain, now).map(|member| &member.info);
        let ring = ring::ring_after(&me.node, alive);
        let mut chosen = if ring.len() <= self.fanout {
            ring
        } else {
            self.at_doubling_distances(&ring)
        };
        let dead: Vec<&NodeInfo> = table
            .members_of(&me.domain)
            .filter(|member| !table.counts_alive(member, now))
            .map(|member| &member.info)
            .collect();
        chosen.extend(self.any(&dead).copied());
        chosen
            .into_iter()
            .map(|info| Target::of(info, &me.domain))
            .collect()
    }

    /// Takes the next few of the nodes at distances 1, 2, 4 and so on. The ring is not empty.
    fn at_doubling_distances<'a>(&mut self, ring: &[&'a NodeInfo]) -> Vec<&'a NodeInfo> {
        let steps = ring.len().ilog2() + 1;
        let mut chosen = Vec::new();
        for _ in 0..self.fanout {
            self.step = (self.step + 1) % steps;
            chosen.push(ring[(1 << self.step) - 1]);
        }
        chosen
    }

    /// Chooses nodes of other failure domains, where this node is a link to them. To a domain
    /// without a node known to be alive, any of its nodes is tried.
    fn abroad(&mut self, me: &NodeInfo, table: &MemberTable, now: Instant) -> Vec<Target> {
        let domains: BTreeSet<&DomainId> = table
            .members()
            .values()
            .map(|member| &member.info.domain)
            .filter(|domain| **domain != me.domain)
            .collect();
        let mut chosen = Vec::new();
        for domain in domains {
            let purpose = link_purpose(&me.domain, domain);
            let own = table.alive_in(&me.domain, now).map(|m| &m.info.node);
            let own = own.chain([&me.node]);
            if !ring::first_ranked(&purpose, own, LINKS).contains(&&me.node) {
                continue;
            }
            let alive = table.alive_in(domain, now).map(|m| &m.info.node);
            let links = ring::first_ranked(&purpose, alive, LINKS);
            let found = links.len();
            chosen.extend(links.iter().filter_map(|node| table.members().get(*node)));
            if found < LINKS {
                let all: Vec<&Member> = table.members_of(domain).collect();
                chosen.extend(self.any(&all).copied());
            }
        }
        chosen
            .into_iter()
            .map(|member| Target::of(&member.info, &me.domain))
            .collect()
    }

    /// Chooses a seed that no known node has as its address. Seeds are tried only by a node
    /// without another of its failure domain, so that they aren't flooded.
    fn seed(&mut self, me: &NodeInfo, table: &MemberTable) -> Option<Target> {
        let known: BTreeSet<SocketAddr> = table
            .members()
            .values()
            .map(|member| member.info.address)
            .chain([me.address])
            .collect();
        let unknown: Vec<SocketAddr> = self
            .seeds
            .iter()
            .filter(|seed| !known.contains(seed))
            .copied()
            .collect();
        let address = *self.any(&unknown)?;
        Some(Target {
            address,
            node: None,
            abroad: false,
        })
    }

    fn any<'a, T>(&mut self, from: &'a [T]) -> Option<&'a T> {
        if from.is_empty() {
            return None;
        }
        from.get(self.rng.random_range(0..from.len()))
    }
}

/// Names the link between two failure domains the same at both ends.
fn link_purpose(a: &DomainId, b: &DomainId) -> String {
    format!("link {} {}", a.min(b), a.max(b))
}
