//! Selection of the nodes that receive heartbeats.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Instant;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use shallottide_types::id::{DomainId, NodeId};
use shallottide_types::peer::NodeInfo;

use super::{Member, MemberOptions, MemberTable, ring};

/// Number of nodes in a failure domain that send heartbeats to a given other domain, and number of
/// nodes in that domain that receive them.
const LINK_NODES: usize = 2;

/// One in this many heartbeat rounds also goes to the other failure domains.
const ROUNDS_PER_OTHER_DOMAIN_HEARTBEAT: u64 = 2;

/// One receiver of a heartbeat.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct HeartbeatTarget {
    /// Address of its peer port.
    pub(super) address: SocketAddr,
    /// Id of the node; `None` for a seed address whose node is unknown.
    pub(super) node: Option<NodeId>,
    /// Whether the receiver is in another failure domain.
    pub(super) is_other_domain: bool,
}

impl HeartbeatTarget {
    /// Creates a target for a known node; `domain` is the failure domain of this node.
    pub(super) fn new(info: &NodeInfo, domain: &DomainId) -> Self {
        Self {
            address: info.address,
            node: Some(info.node.clone()),
            is_other_domain: info.domain != *domain,
        }
    }
}

/// Chooses the receivers of each heartbeat round.
///
/// The number of receivers doesn't grow with the number of nodes.
#[derive(Debug)]
pub(super) struct HeartbeatTargets {
    rng: StdRng,
    seeds: Vec<SocketAddr>,
    fanout: usize,
    rounds: u64,
    /// Binary logarithm of the last distance chosen on the ring.
    distance_exponent: u32,
}

impl HeartbeatTargets {
    /// Creates a selection with the seed of the options.
    pub(super) fn new(options: &MemberOptions) -> Self {
        Self {
            rng: StdRng::seed_from_u64(options.seed),
            seeds: options.seeds.clone(),
            fanout: options.fanout,
            rounds: 0,
            distance_exponent: 0,
        }
    }

    /// Chooses the receivers of this heartbeat round.
    pub(super) fn choose(
        &mut self,
        me: &NodeInfo,
        table: &MemberTable,
        now: Instant,
    ) -> Vec<HeartbeatTarget> {
        let mut targets = self.own_domain_targets(me, table, now);
        self.rounds += 1;
        if self
            .rounds
            .is_multiple_of(ROUNDS_PER_OTHER_DOMAIN_HEARTBEAT)
        {
            targets.extend(self.other_domain_targets(me, table, now));
        }
        if table.alive_in(&me.domain, now).next().is_none() {
            targets.extend(self.seed_target(me, table));
        }
        targets
    }

    /// Chooses nodes at doubling distances on the ring, a few in each round, and one node that
    /// counts as dead.
    ///
    /// Every node receives as many heartbeats as it sends, and an update reaches all nodes in
    /// about log2 of their number of rounds.
    fn own_domain_targets(
        &mut self,
        me: &NodeInfo,
        table: &MemberTable,
        now: Instant,
    ) -> Vec<HeartbeatTarget> {
        let alive = table.alive_in(&me.domain, now).map(|member| &member.info);
        let ring = ring::ring_after(&me.node, alive);
        let mut chosen = if ring.len() <= self.fanout {
            ring
        } else {
            self.next_at_doubling_distances(&ring)
        };
        let dead: Vec<&NodeInfo> = table
            .members_in(&me.domain)
            .filter(|member| !table.is_alive(member, now))
            .map(|member| &member.info)
            .collect();
        chosen.extend(self.pick_random(&dead).copied());
        chosen
            .into_iter()
            .map(|info| HeartbeatTarget::new(info, &me.domain))
            .collect()
    }

    /// Returns the next `fanout` of the nodes at distances 1, 2, 4 and so on.
    ///
    /// The ring must not be empty.
    fn next_at_doubling_distances<'a>(&mut self, ring: &[&'a NodeInfo]) -> Vec<&'a NodeInfo> {
        let exponents = ring.len().ilog2() + 1;
        let mut chosen = Vec::new();
        for _ in 0..self.fanout {
            self.distance_exponent = (self.distance_exponent + 1) % exponents;
            chosen.push(ring[(1 << self.distance_exponent) - 1]);
        }
        chosen
    }

    /// Chooses nodes of the other failure domains to which this node is a link.
    ///
    /// In a domain with fewer than [`LINK_NODES`] alive nodes, one random known node is chosen as
    /// well.
    fn other_domain_targets(
        &mut self,
        me: &NodeInfo,
        table: &MemberTable,
        now: Instant,
    ) -> Vec<HeartbeatTarget> {
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
            if !ring::first_ranked(&purpose, own, LINK_NODES).contains(&&me.node) {
                continue;
            }
            let alive = table.alive_in(domain, now).map(|m| &m.info.node);
            let links = ring::first_ranked(&purpose, alive, LINK_NODES);
            let found = links.len();
            chosen.extend(links.iter().filter_map(|node| table.members().get(*node)));
            if found < LINK_NODES {
                let all: Vec<&Member> = table.members_in(domain).collect();
                chosen.extend(self.pick_random(&all).copied());
            }
        }
        chosen
            .into_iter()
            .map(|member| HeartbeatTarget::new(&member.info, &me.domain))
            .collect()
    }

    /// Chooses a random seed address that belongs to no known node.
    ///
    /// Only a node that knows no other alive node of its failure domain contacts seeds, so that
    /// seeds aren't overloaded.
    fn seed_target(&mut self, me: &NodeInfo, table: &MemberTable) -> Option<HeartbeatTarget> {
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
        let address = *self.pick_random(&unknown)?;
        Some(HeartbeatTarget {
            address,
            node: None,
            is_other_domain: false,
        })
    }

    fn pick_random<'a, T>(&mut self, from: &'a [T]) -> Option<&'a T> {
        if from.is_empty() {
            return None;
        }
        from.get(self.rng.random_range(0..from.len()))
    }
}

/// Returns the ranking purpose of the link between two domains, equal at both ends.
fn link_purpose(a: &DomainId, b: &DomainId) -> String {
    format!("link {} {}", a.min(b), a.max(b))
}
