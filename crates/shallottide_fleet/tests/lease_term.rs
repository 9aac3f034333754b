//! Leases of tens to hundreds of nodes: few renewals, and duties that move fast.

mod support;

use std::time::{Duration, Instant};

use shallottide_fleet::lease_term::{
    DUTY_CANDIDATES, DUTY_TTL, PLAIN_TTL, fits, is_duty_term, lease_ttl, renewal_interval,
};
use shallottide_fleet::lease_validity::LeaseValidity;
use shallottide_fleet::view::{Change, ControllerClaim};
use shallottide_fleet::{ClusterView, NodeEntry, NodeOptions};
use shallottide_types::cases;
use shallottide_types::id::{DomainId, NodeId, StoreIndex};
use support::{id, lease, node_options};

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
fn a_duty_is_claimed_under_a_lease_that_was_asked_for_it_only() {
    let options = options(1, 1);
    assert!(is_duty_term(DUTY_TTL, &options));
    assert!(!is_duty_term(PLAIN_TTL, &options));
    // The store grants no lease below its own minimum.
    let least = Duration::from_secs(3);
    let slow_store = NodeOptions {
        min_lease: least,
        ..options
    };
    assert!(is_duty_term(least, &slow_store));
    assert!(fits(&lease(1, least, least), DUTY_TTL, &slow_store));
    assert!(!fits(
        &lease(1, PLAIN_TTL, PLAIN_TTL),
        DUTY_TTL,
        &slow_store
    ));
}

/// Guards against a node that acquires lease after lease, acts for longer than others wait for it, or
/// renews too late, because the store grants another time than was asked for.
fn lease_serves_as_asked_for(asked: Duration, ttl: Duration, term: Duration) {
    let (options, lease) = (options(1, 1), lease(1, asked, ttl));
    for needed in [DUTY_TTL, PLAIN_TTL] {
        assert_eq!(fits(&lease, needed, &options), needed == asked);
    }
    let sent = Duration::from_secs(100);
    let mut validity = LeaseValidity::default();
    validity.renewed(&lease, sent);
    assert!(!validity.holds(lease.era, sent + term));
    let last = sent + term.saturating_sub(Duration::from_millis(301));
    assert_eq!(
        validity.holds(lease.era, last),
        !LeaseValidity::is_too_short(&lease)
    );
    assert!(renewal_interval(&lease) <= (term / 3).max(Duration::from_millis(100)));
    assert!(renewal_interval(&lease) >= Duration::from_millis(100));
}

cases! {
    lease_serves_as_asked_for;
    duty_lease_as_asked_for: DUTY_TTL, DUTY_TTL, DUTY_TTL;
    duty_lease_in_whole_seconds: DUTY_TTL, Duration::from_secs(2), DUTY_TTL;
    duty_lease_of_ten_minutes: DUTY_TTL, Duration::from_mins(10), DUTY_TTL;
    duty_lease_for_less: DUTY_TTL, Duration::from_secs(1), Duration::from_secs(1);
    duty_lease_too_short_to_act: DUTY_TTL, Duration::from_millis(200), Duration::from_millis(200);
    duty_lease_without_time: DUTY_TTL, Duration::ZERO, Duration::ZERO;
    plain_lease_of_ten_minutes: PLAIN_TTL, Duration::from_mins(10), PLAIN_TTL;
    plain_lease_for_as_long_as_a_duty: PLAIN_TTL, DUTY_TTL, DUTY_TTL;
}
