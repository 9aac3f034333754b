//! Configuration at the size to design for: 84 nodes in each of 5 failure domains.

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
const IN_FORCE: Duration = Duration::from_secs(8);

/// Most bytes of control a node sends and receives in a second.
const MAX_BYTES_PER_SECOND: usize = 3_000;

/// One slot for each node, which it dispatches to; half of the nodes have a second one.
fn slots_of(node: usize) -> Vec<Slot> {
    let names = [format!("tide-{node}"), format!("tide-{node}-b")];
    let count = 1 + node % 2;
    let slot = |name: &String| Slot::Service(name.parse().unwrap());
    names.iter().take(count).map(slot).collect()
}

fn with_loads() -> Cluster {
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
        cluster.give(i, names::MEMBERS, Message::OwnLoads(loads));
    }
}

fn run_with_loads(cluster: &mut Cluster, seconds: usize) {
    for second in 0..seconds {
        report_loads(cluster, second);
        cluster.run(Duration::from_secs(1));
    }
}

fn measure(cluster: &mut Cluster) {
    for node in &mut cluster.nodes {
        (node.bytes, node.sent) = (0, 0);
    }
    let calls = cluster.platform.calls;
    run_with_loads(cluster, MEASURED_SECONDS);
    let nodes = cluster.nodes.len();
    let bytes: usize = cluster.nodes.iter().map(|node| node.bytes).sum();
    let sent: usize = cluster.nodes.iter().map(|node| node.sent).sum();
    let most = cluster.nodes.iter().map(|node| node.bytes).max().unwrap() / MEASURED_SECONDS;
    let mean = bytes / nodes / MEASURED_SECONDS;
    let tenths = sent * 10 / nodes / MEASURED_SECONDS;
    println!("sent and received per node and second: {mean} B on average, {most} B at most");
    println!(
        "sent per node and second: {}.{} messages",
        tenths / 10,
        tenths % 10
    );
    println!(
        "platform calls in {MEASURED_SECONDS} s: {}",
        cluster.platform.calls - calls
    );
    print_ages(cluster);
    assert!(most <= MAX_BYTES_PER_SECOND, "{most} B/s at a node");
}

/// Prints how old a node's knowledge of its failure domain is.
fn print_ages(cluster: &Cluster) {
    let (mut ages, mut loads) = (Vec::new(), Vec::new());
    for node in &cluster.nodes {
        let (now, me, view) = (node.cx.now(), node.cx.me(), node.cx.members());
        let own = view.nodes.values().filter(|n| n.info.domain == me.domain);
        ages.extend(own.map(|n| now - n.last_seen));
        loads.extend(view.loads.values().map(|load| now - load.received_at));
    }
    for (what, mut ages) in [("sign of life", ages), ("load", loads)] {
        ages.sort_unstable();
        let at = |percent: usize| ages[(ages.len() - 1) * percent / 100];
        let known = ages.len() / cluster.nodes.len();
        println!(
            "age of {what}: {known} known, {:?} median, {:?} 99 in 100",
            at(50),
            at(99)
        );
    }
}

fn change(cluster: &mut Cluster, limit: u32) {
    cluster.platform.put_upstream("tally-1", limit);
    let took = cluster.run_until(IN_FORCE, |c| c.all_have("tally-1", Some(limit)));
    println!(
        "in force on all {} nodes after {took:?}",
        cluster.nodes.len()
    );
    assert!(took.is_some(), "not in force everywhere in {IN_FORCE:?}");
}

#[test]
fn change_is_in_force_everywhere_in_time() {
    let mut cluster = with_loads();
    cluster.platform.put_upstream("tally-1", 1);
    run_with_loads(&mut cluster, 12);
    measure(&mut cluster);
    change(&mut cluster, 2);
    let cut_off = "domain-1".parse().unwrap();
    cluster.platform.reach.insert(cut_off, Reach::Down);
    cluster.loss = 0.2;
    cluster.run(Duration::from_secs(1));
    change(&mut cluster, 3);
}
