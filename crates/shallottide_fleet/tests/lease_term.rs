//! Leases of tens to hundreds of nodes: few renewals, and duties that move fast.

mod support;

use std::time::{Duration, Instant};

use shallottide_fleet::lease_term::{
    DUTY_CANDIDATES, DUTY_TTL, PLAIN_TTL, fits, lease_ttl, may_claim_under,
};
use shallottide_fleet::view::{Change, ControllerClaim};
use shallottide_fleet::{ClusterView, NodeEntry, NodeOptions};
use shallottide_types::cases;
use shallottide_types::id::{DomainId, NodeId, StoreIndex};
use support::{id, node_options};

fn domain(number: usize, domains: usize) -> DomainId {
    id(&format!("zone-{}", number % domains))
}

fn options(number: usize, domains: usize) -> NodeOptions {
    node_options(&format!("node-{number}"), domain(number, domains).as_str())
}

fn view(nodes: usize, domains: usize) -> ClusterView {
    let mut view = ClusterView::default();
    for number in 0..nodes {
        let options = options(number, domains);
        let entry: NodeEntry = options.entry();
        view.apply(Change::Node(options.node, Some(entry)), Instant::now());
    }
    view
}

fn short_leases(view: &ClusterView, nodes: usize, domains: usize) -> Vec<NodeId> {
    let all = (0..nodes).map(|number| options(number, domains));
    let short = all.filter(|options| lease_ttl(view, options) == DUTY_TTL);
    short.map(|options| options.node).collect()
}

fn few_nodes_renew_often(nodes: usize, domains: usize) {
    let mut view = view(nodes, domains);
    let first = short_leases(&view, nodes, domains);
    assert_eq!(first.len(), (DUTY_CANDIDATES * domains).min(nodes));
    // Those that come next take over once the entries of the first are gone.
    for node in &first {
        view.apply(Change::Node(node.clone(), None), Instant::now());
    }
    let alive: Vec<_> = (0..nodes)
        .map(|number| options(number, domains))
        .filter(|options| !first.contains(&options.node))
        .filter(|options| lease_ttl(&view, options) == DUTY_TTL)
        .collect();
    let left = nodes - first.len();
    assert_eq!(alive.len(), (DUTY_CANDIDATES * domains).min(left));
}

cases! {
    few_nodes_renew_often;
    nine_nodes_in_three_domains: 9, 3;
    ninety_five_nodes_in_five_domains: 95, 5;
    three_hundred_nodes_in_five_domains: 300, 5;
    four_hundred_and_twenty_nodes_in_ten_domains: 420, 10;
}

#[test]
fn a_controller_keeps_its_short_lease_whatever_its_rank() {
    let mut view = view(95, 5);
    let short = short_leases(&view, 95, 5);
    let number = (0..95)
        .find(|number| !short.contains(&options(*number, 5).node))
        .expect("a node with a long lease");
    let options = options(number, 5);
    assert_eq!(lease_ttl(&view, &options), PLAIN_TTL);
    let claim = ControllerClaim {
        holder: options.node.clone(),
        since: StoreIndex(1),
    };
    view.apply(
        Change::Controller(id("zone-9"), Some(claim)),
        Instant::now(),
    );
    assert_eq!(lease_ttl(&view, &options), DUTY_TTL);
}

#[test]
fn a_duty_is_claimed_under_a_short_lease_only() {
    let options = options(1, 1);
    assert!(may_claim_under(DUTY_TTL, &options));
    assert!(!may_claim_under(PLAIN_TTL, &options));
    // The store grants no lease below its own minimum.
    let slow_store = NodeOptions {
        min_lease: Duration::from_secs(3),
        ..options
    };
    assert!(may_claim_under(Duration::from_secs(3), &slow_store));
    assert!(fits(Duration::from_secs(3), DUTY_TTL, &slow_store));
    assert!(!fits(PLAIN_TTL, DUTY_TTL, &slow_store));
}
