//! Dissemination of configuration at the design size: 84 nodes in each of 5 failure domains.

mod config_cluster;

use std::time::Duration;

use config_cluster::{Cluster, Reach};
use shallottide::kernel::names;
use shallottide::message::Message;
use shallottide_types::id::FencingToken;
use shallottide_types::peer::{LoadSummary, Slot};
use shallottide_types::placement::Placement;

const DOMAINS: usize = 5;
const PER_DOMAIN: usize = 84;
const MEASURED_SECONDS: usize = 4;
/// Time within which a change must be in force on all nodes.
const CONVERGENCE_TIMEOUT: Duration = Duration::from_secs(8);

/// Limit of the bytes of control messages that a node sends and receives per second.
const MAX_BYTES_PER_SECOND: usize = 3_000;

/// Returns the slots that a node dispatches to: one for each node, two for every second node.
fn slots_of(node: usize) -> Vec<Slot> {
    let names = [format!("tide-{node}"), format!("tide-{node}-b")];
    let count = 1 + node % 2;
    let slot = |name: &String| Slot::Service(name.parse().unwrap());
    names.iter().take(count).map(slot).collect()
}

fn cluster_with_placements() -> Cluster {
    let cluster = Cluster::new(DOMAINS, PER_DOMAIN, 1);
    for i in 0..cluster.nodes.len() {
        let mut view = shallottide::view::PlacementView::default();
        let domain = cluster.nodes[i].cx.me().domain;
        let mut placement = Placement::empty(domain.clone());
        placement.fencing_token = FencingToken(1);
        let first = i / PER_DOMAIN * PER_DOMAIN;
        for node in first..first + PER_DOMAIN {
            for slot in slots_of(node) {
                let Slot::Service(upstream) = slot else {
                    continue;
                };
                let dispatcher = cluster.nodes[node].cx.me().node;
                placement.services.insert(upstream, dispatcher);
            }
        }
        view.domains.insert(domain, placement);
        cluster.nodes[i].cx.publish_placement(view);
    }
    cluster
}

fn report_loads(cluster: &mut Cluster, second: usize) {
    for i in 0..cluster.nodes.len() {
        let load = |slot| LoadSummary {
            slot,
            in_flight: u32::try_from(second).unwrap(),
            limit: 200,
        };
        let loads = slots_of(i).into_iter().map(load).collect();
        cluster.deliver(i, names::MEMBERS, Message::OwnLoads(loads));
    }
}

fn run_with_loads(cluster: &mut Cluster, seconds: usize) {
    for second in 0..seconds {
        report_loads(cluster, second);
        cluster.run(Duration::from_secs(1));
    }
}

fn measure_traffic(cluster: &mut Cluster) {
    for node in &mut cluster.nodes {
        (node.traffic_bytes, node.messages_sent) = (0, 0);
    }
    let calls_before = cluster.platform.call_count;
    run_with_loads(cluster, MEASURED_SECONDS);
    let nodes = cluster.nodes.len();
    let bytes: usize = cluster.nodes.iter().map(|node| node.traffic_bytes).sum();
    let sent: usize = cluster.nodes.iter().map(|node| node.messages_sent).sum();
    let max = cluster
        .nodes
        .iter()
        .map(|node| node.traffic_bytes)
        .max()
        .unwrap()
        / MEASURED_SECONDS;
    let mean = bytes / nodes / MEASURED_SECONDS;
    let tenths = sent * 10 / nodes / MEASURED_SECONDS;
    println!("sent and received per node and second: {mean} B on average, {max} B at most");
    println!(
        "sent per node and second: {}.{} messages",
        tenths / 10,
        tenths % 10
    );
    println!(
        "platform calls in {MEASURED_SECONDS} s: {}",
        cluster.platform.call_count - calls_before
    );
    print_ages(cluster);
    assert!(max <= MAX_BYTES_PER_SECOND, "{max} B/s at a node");
}

/// Prints the age of each node's information about the nodes and loads of its failure domain.
fn print_ages(cluster: &Cluster) {
    let (mut ages, mut loads) = (Vec::new(), Vec::new());
    for node in &cluster.nodes {
        let (now, me, view) = (node.cx.now(), node.cx.me(), node.cx.members());
        let own = view.nodes.values().filter(|n| n.info.domain == me.domain);
        ages.extend(own.map(|n| now - n.last_seen));
        loads.extend(view.loads.values().map(|load| now - load.received_at));
    }
    for (kind, mut ages) in [("heartbeat", ages), ("load", loads)] {
        ages.sort_unstable();
        let percentile = |percent: usize| ages[(ages.len() - 1) * percent / 100];
        let known = ages.len() / cluster.nodes.len();
        println!(
            "age of {kind}: {known} known, {:?} median, {:?} 99th percentile",
            percentile(50),
            percentile(99)
        );
    }
}

fn change_and_wait(cluster: &mut Cluster, limit: u32) {
    cluster.platform.put_upstream("tally-1", limit);
    let elapsed = cluster.run_until(CONVERGENCE_TIMEOUT, |c| {
        c.is_in_force("tally-1", Some(limit))
    });
    println!(
        "in force on all {} nodes after {elapsed:?}",
        cluster.nodes.len()
    );
    assert!(
        elapsed.is_some(),
        "not in force everywhere in {CONVERGENCE_TIMEOUT:?}"
    );
}

#[test]
fn change_is_in_force_everywhere_in_time() {
    let mut cluster = cluster_with_placements();
    cluster.platform.put_upstream("tally-1", 1);
    run_with_loads(&mut cluster, 12);
    measure_traffic(&mut cluster);
    change_and_wait(&mut cluster, 2);
    let cut_off_domain = "domain-1".parse().unwrap();
    cluster.platform.reach.insert(cut_off_domain, Reach::Down);
    cluster.loss_rate = 0.2;
    cluster.run(Duration::from_secs(1));
    change_and_wait(&mut cluster, 3);
}
