//! Choice of the nodes to which calls are relayed, and their limits.

mod support;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Instant;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use shallottide_fleet::NodeEntry;
use shallottide_fleet::relay_limit::RelayLimit;
use shallottide_fleet::relay_targets::{RelayNeed, RelayTargets, ServiceRelayTargets};
use shallottide_fleet::view::{Change, ClusterView};
use shallottide_types::cases;
use shallottide_types::id::{DomainId, NodeId};
use support::{id, ms};

/// Nodes named `n0` and so on, given by domain and capacity.
fn view_of_nodes(nodes: &[(&str, u32)]) -> ClusterView {
    let mut view = ClusterView::default();
    for (number, (domain, capacity)) in nodes.iter().enumerate() {
        let entry = NodeEntry {
            peers: format!("10.0.0.{number}:80").parse().expect("an address"),
            domain: id(domain),
            capacity: *capacity,
        };
        let change = Change::Node(id(&format!("n{number}")), Some(entry));
        view.apply(change, Instant::now());
    }
    view
}

/// The node `own` in `zone-a`, which relays calls.
struct Relay {
    targets: RelayTargets,
    own: NodeId,
    domain: DomainId,
    domains: Option<BTreeSet<DomainId>>,
    rng: StdRng,
    now: Instant,
}

impl Relay {
    fn new(seed: u64) -> Self {
        Self {
            targets: RelayTargets::default(),
            own: id("own"),
            domain: id("zone-a"),
            domains: None,
            rng: StdRng::seed_from_u64(seed),
            now: Instant::now(),
        }
    }

    fn choose(&mut self, view: &ClusterView, tried: &[NodeId]) -> Option<NodeId> {
        let need = RelayNeed {
            own: (&self.own, &self.domain),
            domains: self.domains.as_ref(),
            tried,
        };
        let chosen = self
            .targets
            .choose(&need, view, self.now, self.rng.random())?;
        assert_eq!(chosen.1, view.nodes[&chosen.0].peers);
        Some(chosen.0)
    }

    /// Returns how many of some calls each node gets, of which none ends.
    fn spread(&mut self, view: &ClusterView, calls: usize) -> BTreeMap<NodeId, usize> {
        let mut counts = BTreeMap::new();
        for _ in 0..calls {
            let node = self.choose(view, &[]).expect("a node");
            self.targets.started(&node);
            *counts.entry(node).or_default() += 1;
        }
        counts
    }
}

/// Guards against helpers that get most of the calls because many nodes choose alike.
fn many_nodes_spread_their_calls_by_capacity(capacities: &[u32], relays: u64) {
    let nodes: Vec<_> = capacities.iter().map(|c| ("zone-b", *c)).collect();
    let view = view_of_nodes(&nodes);
    let mut counts: BTreeMap<NodeId, usize> = BTreeMap::new();
    for seed in 0..relays {
        for (node, count) in Relay::new(seed).spread(&view, 10) {
            *counts.entry(node).or_default() += count;
        }
    }
    let all: u64 = 10 * relays;
    let sum: u64 = capacities.iter().copied().map(u64::from).sum();
    for (number, capacity) in capacities.iter().enumerate() {
        let even = usize::try_from(all * u64::from(*capacity) / sum).expect("a small number");
        let count = counts.get(&id(&format!("n{number}"))).copied();
        let count = count.unwrap_or(0);
        let is_fair = count * 2 + 10 >= even && count <= even * 2 + 10;
        assert!(is_fair, "{count} at n{number}, an even part is {even}");
    }
}

cases! {
    many_nodes_spread_their_calls_by_capacity;
    over_two_nodes: &[250, 250], 100;
    over_nodes_of_three_sizes: &[120, 250, 500, 250, 120], 100;
    over_thirty_nodes: &[250; 30], 300;
}

/// Guards against a node that gets call after call although it answered that it is cut off as well.
#[test]
fn cut_off_nodes_are_avoided_for_two_seconds() {
    let view = view_of_nodes(&[("zone-a", 250), ("zone-b", 250)]);
    let mut relay = Relay::new(1);
    let (n0, n1): (NodeId, NodeId) = (id("n0"), id("n1"));
    let now = relay.now;
    relay.targets.record_cut_off(&n0, &id("zone-a"), now);
    relay.now += ms(1_900);
    for _ in 0..100 {
        assert_eq!(relay.choose(&view, &[]), Some(n1.clone()));
    }
    relay.now += ms(200);
    let chosen: BTreeSet<_> = (0..100).map(|_| relay.choose(&view, &[])).collect();
    assert!(chosen.contains(&Some(n0)), "tried again");
}

/// Guards against calls that are refused because a node is cut off from the upstreams of another service.
#[test]
fn node_cut_off_from_one_service_gets_calls_of_others() {
    let view = view_of_nodes(&[("zone-a", 250)]);
    let (own, domain, n0) = (id("own"), id("zone-a"), id("n0"));
    let need = RelayNeed {
        own: (&own, &domain),
        domains: None,
        tried: &[],
    };
    let now = Instant::now();
    let mut targets = ServiceRelayTargets::default();
    targets.of(&id("booking")).record_unreachable(&n0, now);
    let chosen = |targets: &mut ServiceRelayTargets, service| {
        let chosen = targets.of(&id(service)).choose(&need, &view, now, 0);
        chosen.map(|(node, _)| node)
    };
    assert_eq!(chosen(&mut targets, "booking"), None);
    assert_eq!(chosen(&mut targets, "engines"), Some(n0.clone()));
}

/// Guards against a refusal of calls that a node could take, and a call that is offered twice to one.
#[test]
fn calls_without_an_eligible_node_are_refused() {
    let view = view_of_nodes(&[("zone-a", 250), ("zone-b", 250)]);
    let mut relay = Relay::new(1);
    let (n0, n1): (NodeId, NodeId) = (id("n0"), id("n1"));
    assert_eq!(
        relay.choose(&view, std::slice::from_ref(&n0)),
        Some(n1.clone())
    );
    assert_eq!(relay.choose(&view, &[n0.clone(), n1.clone()]), None);
    assert_eq!(relay.choose(&ClusterView::default(), &[]), None);
    relay.own = n0;
    relay.targets.record_busy(&n1, relay.now);
    assert_eq!(relay.choose(&view, &[]), None);
    relay.now += ms(500);
    assert_eq!(relay.choose(&view, &[]), Some(n1));
}

/// Guards against calls that are refused for two seconds because the only other node was cut off for a
/// moment.
#[test]
fn cut_off_nodes_are_asked_if_there_are_no_others() {
    let view = view_of_nodes(&[("zone-a", 250), ("zone-b", 250)]);
    let mut relay = Relay::new(1);
    let (n0, n1): (NodeId, NodeId) = (id("n0"), id("n1"));
    let now = relay.now;
    relay.targets.record_unreachable(&n0, now);
    relay.targets.record_cut_off(&n1, &id("zone-b"), now);
    assert_eq!(relay.choose(&view, &[]), Some(n1.clone()));
    let refused = [n1.clone()];
    assert_eq!(relay.choose(&view, &refused), None, "offered once");
    assert_eq!(
        relay.choose(&view, &[id("other")]),
        None,
        "refused by another"
    );
}

/// Guards against bodies that leave the regions in which a route may run.
#[test]
fn only_nodes_of_allowed_domains_get_calls() {
    let view = view_of_nodes(&[("zone-a", 250), ("zone-b", 250), ("zone-c", 250)]);
    let mut relay = Relay::new(1);
    relay.domains = Some([id("zone-c")].into());
    for _ in 0..100 {
        assert_eq!(relay.choose(&view, &[]), Some(id("n2")));
    }
    relay.domains = Some([id("zone-d")].into());
    assert_eq!(relay.choose(&view, &[]), None);
}

/// Guards against bytes between failure domains without need, and against calls that are offered to the
/// nodes of a domain that is cut off as a whole.
#[test]
fn own_domain_is_preferred_unless_it_is_cut_off() {
    let nodes: Vec<_> = (0..40)
        .map(|number| (["zone-a", "zone-b"][number % 2], 250))
        .collect();
    let view = view_of_nodes(&nodes);
    let near = |counts: &BTreeMap<NodeId, usize>| -> usize {
        let counts = counts.iter();
        let near = counts.filter(|(node, _)| view.nodes[*node].domain.as_str() == "zone-a");
        near.map(|(_, count)| count).sum()
    };
    let mut relay = Relay::new(1);
    let counts = relay.spread(&view, 2_000);
    assert!((1_000..1_400).contains(&near(&counts)), "{counts:?}");
    let mut relay = Relay::new(1);
    for number in (0..40).step_by(2) {
        let now = relay.now;
        let node = id(&format!("n{number}"));
        relay.targets.record_cut_off(&node, &id("zone-a"), now);
    }
    let counts = relay.spread(&view, 2_000);
    assert_eq!(near(&counts), 0, "{counts:?}");
}

/// Guards against a dead node that takes a part of the calls for as long as its entry exists.
#[test]
fn unreachable_nodes_are_avoided_for_longer_each_time() {
    let view = view_of_nodes(&[("zone-a", 250)]);
    let mut relay = Relay::new(1);
    let mut times = Vec::new();
    for _ in 0..4 {
        let failed_at = relay.now;
        relay.targets.record_unreachable(&id("n0"), failed_at);
        while relay.choose(&view, &[]).is_none() {
            relay.now += ms(50);
        }
        times.push(relay.now - failed_at);
    }
    assert!(times.windows(2).all(|pair| pair[0] < pair[1]), "{times:?}");
    relay.targets.record_success(&id("n0"), relay.now);
    let failed_at = relay.now;
    relay.targets.record_unreachable(&id("n0"), failed_at);
    relay.now += times[0];
    assert!(relay.choose(&view, &[]).is_some());
}

/// Guards against calls that are refused by one cut-off node after the other while few have links: once
/// a node with links was found, hardly any call needs more than three offers.
#[test]
fn few_nodes_with_links_are_found() {
    let view = view_of_nodes(&[("zone-b", 250); 95]);
    let has_links = |node: &NodeId| node.as_str()[1..].parse::<u32>().expect("a number") < 5;
    for seed in 0..20 {
        let mut relay = Relay::new(seed);
        let mut refused = 0;
        let calls = 300;
        for call in 0..calls {
            relay.now += ms(40);
            let mut tried = Vec::new();
            while tried.len() < 3 {
                let Some(node) = relay.choose(&view, &tried) else {
                    break;
                };
                if has_links(&node) {
                    relay.targets.record_success(&node, relay.now);
                    break;
                }
                let now = relay.now;
                relay.targets.record_cut_off(&node, &id("zone-b"), now);
                tried.push(node);
            }
            // The first second finds the nodes.
            refused += usize::from(call >= 25 && tried.len() == 3);
        }
        assert!(refused <= 10 + calls / 50, "seed {seed}: {refused} calls");
    }
}

/// Guards against state that grows with each node that ever existed.
#[test]
fn removed_nodes_are_dropped() {
    let view = view_of_nodes(&[("zone-a", 250)]);
    let mut relay = Relay::new(1);
    relay.targets.record_unreachable(&id("n0"), relay.now);
    assert_eq!(relay.choose(&view, &[]), None);
    relay.targets.retain(|_| false);
    assert_eq!(relay.choose(&view, &[]), Some(id("n0")));
}

/// Guards against own callers that are starved by those of other nodes: calls of both count, and only
/// relayed ones are refused.
#[test]
fn relayed_calls_are_limited_by_capacity_and_own_calls() {
    let accepted = |own_in_flight, capacity| {
        let mut limit = RelayLimit::default();
        while limit.try_begin(own_in_flight, capacity) {}
        limit.in_flight()
    };
    assert_eq!(accepted(0, 500), 2 * accepted(0, 250));
    assert_eq!(accepted(100, 250), accepted(0, 250) - 100);
    assert_eq!(accepted(250, 250), 0);
    assert!(accepted(0, 1) > 0, "a small node helps as well");
    let mut limit = RelayLimit::default();
    while limit.try_begin(0, 250) {}
    limit.end();
    assert!(limit.try_begin(0, 250));
    assert!(!limit.try_begin(0, 250));
}
