//! Liveness of nodes and dissemination of loads, under faults.

mod config_cluster;

use std::time::Duration;

use config_cluster::{Cluster, Reach};
use shallottide::kernel::names;
use shallottide::message::Message;
use shallottide_types::cases;
use shallottide_types::id::{FencingToken, NodeId};
use shallottide_types::peer::{LoadSummary, Slot};
use shallottide_types::placement::Placement;

const NODES: usize = 9;
const SETTLE_TIME: Duration = Duration::from_secs(20);
const MAX_REACTION_TIME: Duration = Duration::from_secs(15);

/// Returns a failure domain in which every node knows all others.
fn settled_cluster() -> Cluster {
    let mut cluster = Cluster::new(1, NODES, 3);
    let all = |c: &Cluster| (0..NODES).all(|to| alive_for_all(c, to));
    assert!(cluster.run_until(SETTLE_TIME, all).is_some());
    cluster
}

fn id(c: &Cluster, node: usize) -> NodeId {
    c.nodes[node].cx.me().node
}

fn knows_alive(c: &Cluster, by: usize, node: usize) -> bool {
    c.nodes[by].cx.members().alive_node(&id(c, node)).is_some()
}

fn others(c: &Cluster, node: usize) -> impl Iterator<Item = usize> {
    let up: Vec<bool> = c.nodes.iter().map(|n| n.running && !n.paused).collect();
    (0..c.nodes.len()).filter(move |&i| i != node && up[i])
}

fn alive_for_all(c: &Cluster, node: usize) -> bool {
    others(c, node).all(|by| knows_alive(c, by, node))
}

fn alive_for_none(c: &Cluster, node: usize) -> bool {
    !others(c, node).any(|by| knows_alive(c, by, node))
}

fn wait_for(c: &mut Cluster, done: impl Fn(&Cluster) -> bool) {
    assert!(c.run_until(MAX_REACTION_TIME, done).is_some());
}

fn node_dies(c: &mut Cluster) {
    c.nodes[4].running = false;
    wait_for(c, |c| alive_for_none(c, 4));
    c.run(SETTLE_TIME);
    assert!(alive_for_none(c, 4), "reported alive after its death");
}

fn pause_and_return(c: &mut Cluster) {
    c.nodes[4].paused = true;
    wait_for(c, |c| alive_for_none(c, 4));
    c.nodes[4].paused = false;
    wait_for(c, |c| {
        alive_for_all(c, 4) && (0..NODES).all(|node| node == 4 || knows_alive(c, 4, node))
    });
}

fn restart_under_the_same_id(c: &mut Cluster) {
    let before = c.nodes[4].cx.me().incarnation;
    c.restart(4);
    let node = id(c, 4);
    wait_for(c, |c| {
        let knows_new = |by: usize| {
            let members = c.nodes[by].cx.members();
            members
                .alive_node(&node)
                .is_some_and(|info| info.incarnation > before)
        };
        others(c, 4).all(knows_new)
    });
}

fn partition(c: &mut Cluster) {
    c.link_is_up = Box::new(|from, to| (from < 4) == (to < 4));
    wait_for(c, |c| {
        (0..NODES).all(|by| (0..NODES).all(|n| knows_alive(c, by, n) == ((by < 4) == (n < 4))))
    });
    c.run(Duration::from_hours(1));
    c.link_is_up = Box::new(|_, _| true);
    wait_for(c, |c| (0..NODES).all(|node| alive_for_all(c, node)));
}

fn start_in_an_outage(c: &mut Cluster) {
    c.platform
        .reach
        .insert("domain-0".parse().unwrap(), Reach::Down);
    c.restart(4);
    wait_for(c, |c| (0..NODES).all(|node| knows_alive(c, 4, node)));
}

fn stop_is_announced(c: &mut Cluster) {
    c.deliver(4, names::MEMBERS, Message::Stop);
    c.run(Duration::from_secs(1));
    let node = id(c, 4);
    for by in others(c, 4) {
        assert!(c.nodes[by].cx.members().nodes[&node].info.stopping);
    }
}

fn load(slot: &str, in_flight: u32) -> LoadSummary {
    let slot = Slot::Service(slot.parse().unwrap());
    LoadSummary {
        slot,
        in_flight,
        limit: 8,
    }
}

/// Loads reach all nodes, and expire when their dispatcher dies.
fn loads_spread_and_expire(c: &mut Cluster) {
    for node in 0..NODES {
        let mut placement = Placement::empty("domain-0".parse().unwrap());
        placement.fencing_token = FencingToken(1);
        placement
            .services
            .insert("tally-1".parse().unwrap(), id(c, 4));
        let mut view = shallottide::view::PlacementView::default();
        view.domains.insert(placement.domain.clone(), placement);
        c.nodes[node].cx.publish_placement(view);
    }
    c.run(Duration::from_secs(1));
    let slot = load("tally-1", 0).slot;
    for in_flight in 1..=12 {
        let loads = vec![load("tally-1", in_flight)];
        c.deliver(4, names::MEMBERS, Message::OwnLoads(loads));
        c.run(Duration::from_secs(1));
    }
    for node in 0..NODES {
        let held = &c.nodes[node].cx.members().loads[&slot];
        assert_eq!(held.node, id(c, 4));
        assert!(held.load.in_flight > 6, "node {node} has {held:?}");
    }
    c.nodes[4].running = false;
    wait_for(c, |c| {
        others(c, 4).all(|by| !c.nodes[by].cx.members().loads.contains_key(&slot))
    });
}

fn dead_entry_is_removed(c: &mut Cluster) {
    let key = format!("nodes/domain-0/{}", id(c, 4));
    assert!(c.platform.get(&key).is_some());
    c.nodes[4].running = false;
    c.run(Duration::from_mins(25));
    assert!(c.platform.get(&key).is_some());
    c.run(Duration::from_mins(10));
    assert!(c.platform.get(&key).is_none());
    let listed = c.platform.listing("nodes/").entries.len();
    assert_eq!(listed, NODES - 1);
}

fn check_fault(fault: impl Fn(&mut Cluster)) {
    fault(&mut settled_cluster());
}

cases! { check_fault;
    dead_node_is_noticed_by_all: node_dies;
    paused_node_is_dead_until_it_returns: pause_and_return;
    later_incarnation_replaces_an_earlier_one: restart_under_the_same_id;
    partition_is_seen_and_heals_after_an_hour: partition;
    node_started_in_an_outage_finds_others: start_in_an_outage;
    stop_reaches_all_nodes_within_a_second: stop_is_announced;
    loads_reach_all_and_expire_with_their_dispatcher: loads_spread_and_expire;
    entry_of_a_dead_node_is_removed: dead_entry_is_removed;
}

#[test]
fn nodes_that_all_start_in_an_outage_find_each_other_by_seeds() {
    let mut cluster = Cluster::new(1, NODES, 3);
    let domain = "domain-0".parse().unwrap();
    cluster.platform.reach.insert(domain, Reach::Down);
    wait_for(&mut cluster, |c| {
        (0..NODES).all(|node| alive_for_all(c, node))
    });
}

#[test]
fn registration_whose_answer_is_lost_is_read_back() {
    let mut cluster = Cluster::new(1, NODES, 3);
    cluster.platform.lose_answers = true;
    cluster.run(Duration::from_mins(1));
    let listing = cluster.platform.listing("nodes/");
    assert_eq!(listing.entries.len(), NODES);
    let writes = usize::try_from(listing.index.0).unwrap();
    assert_eq!(writes, NODES, "one write per start");
    assert!((0..NODES).all(|node| alive_for_all(&cluster, node)));
}

/// Returns whether each node knows at least `least` alive nodes of each domain.
fn knows_in_each_domain(c: &Cluster, domains: usize, least: usize) -> bool {
    let known = |node: usize, domain: usize| {
        let domain = format!("domain-{domain}").parse().unwrap();
        c.nodes[node].cx.members().alive_in(&domain).count()
    };
    let all = |node| (0..domains).all(|domain| known(node, domain) >= least);
    (0..c.nodes.len()).all(all)
}

#[test]
fn nodes_of_other_domains_are_known_within_bounds() {
    let mut cluster = Cluster::new(3, 8, 5);
    cluster.run(SETTLE_TIME);
    assert!(knows_in_each_domain(&cluster, 3, 2));
}

#[test]
fn domains_cut_off_for_an_hour_find_each_other_again() {
    let mut cluster = Cluster::new(3, 4, 5);
    cluster.run(SETTLE_TIME);
    cluster.link_is_up = Box::new(|from, to| from / 4 == to / 4);
    cluster.run(Duration::from_hours(1));
    assert!(!knows_in_each_domain(&cluster, 3, 1));
    cluster.link_is_up = Box::new(|_, _| true);
    wait_for(&mut cluster, |c| knows_in_each_domain(c, 3, 2));
}
