//! Spread of changes over the nodes of a failure domain, from tens to a thousand nodes.

mod support;

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use shallottide_fleet::feed_tree::{FAN_OUT, FollowPolicy, max_store_age, parent};
use shallottide_fleet::view::{Change, ClusterView, ControllerClaim};
use shallottide_fleet::{NodeEntry, feed_tree};
use shallottide_types::cases;
use shallottide_types::id::{DomainId, NodeId, StoreIndex};
use support::id;

const STEP: Duration = Duration::from_millis(10);
/// Pause between two reads of the store by a node that reads it.
const READ_PAUSE: Duration = Duration::from_millis(400);
/// Longest wait of a long poll, and time after which it counts as failed.
const POLL_WAIT: Duration = Duration::from_millis(400);
const POLL_TIMEOUT: Duration = Duration::from_millis(700);

fn name(number: usize) -> NodeId {
    id(&format!("node-{number:04}"))
}

/// Nodes of four sizes; the controller is one of the largest.
fn view(nodes: usize) -> (ClusterView, DomainId) {
    let now = Instant::now();
    let domain: DomainId = id("zone-a");
    let mut view = ClusterView::default();
    for number in 0..nodes {
        let entry = NodeEntry {
            peers: "10.0.0.1:80".parse().expect("an address"),
            domain: domain.clone(),
            capacity: [120, 250, 500, 250][number % 4],
        };
        view.apply(Change::Node(name(number), Some(entry)), now);
    }
    let claim = ControllerClaim {
        holder: name(2),
        since: StoreIndex(1),
    };
    view.apply(Change::Controller(domain.clone(), Some(claim)), now);
    (view, domain)
}

fn the_tree_is_flat_and_its_fan_out_bounded(nodes: usize, levels: u32) {
    let (view, domain) = view(nodes);
    let mut followers: BTreeMap<NodeId, usize> = BTreeMap::new();
    let mut deepest = 0;
    for number in 0..nodes {
        let Some(parent) = parent(&view, &domain, &name(number)) else {
            assert_eq!(number, 2, "only the controller has no parent");
            continue;
        };
        deepest = deepest.max(parent.level);
        *followers.entry(parent.node).or_default() += 1;
    }
    assert!(followers.values().all(|&count| count <= FAN_OUT));
    assert!(deepest <= levels, "{deepest} levels");
    let small = |id: &NodeId| view.nodes[id].capacity < 250;
    let large_nodes = view.nodes.values().filter(|e| e.capacity > 120).count();
    if nodes <= large_nodes * FAN_OUT {
        assert!(!followers.keys().any(small), "a small node is a relay");
    }
}

cases! {
    the_tree_is_flat_and_its_fan_out_bounded;
    ten_nodes: 10, 2;
    thirty_nodes: 30, 2;
    a_hundred_nodes: 100, 3;
    three_hundred_nodes: 300, 3;
    a_thousand_nodes: 1000, 4;
}

#[test]
fn nodes_of_other_domains_are_not_followed() {
    let (mut view, domain) = view(30);
    let entry = NodeEntry {
        peers: "10.0.0.1:80".parse().expect("an address"),
        domain: id("zone-b"),
        capacity: 4_000,
    };
    view.apply(Change::Node(id("other"), Some(entry)), Instant::now());
    for number in 0..30 {
        let parent = parent(&view, &domain, &name(number));
        assert!(parent.is_none_or(|parent| parent.node != id("other")));
    }
}

/// One simulated node: when its data left the store, and its current poll.
struct SimNode {
    policy: FollowPolicy,
    data_from: Instant,
    /// Start of the poll or read in progress.
    busy_since: Instant,
    /// The level and node of the poll; `None` while it reads the store.
    source: Option<(u32, usize)>,
    is_alive: bool,
}

/// Result of a simulation after its fault.
#[derive(Debug)]
struct Outcome {
    /// Greatest age of any live node's data.
    oldest: Duration,
    /// Most store reads within a second.
    reads_per_second: usize,
}

/// Runs nodes that all know each other; kills some after three seconds.
fn simulate(nodes: usize, bound: Duration, killed: &[usize], seed: u64) -> Outcome {
    let (view, domain) = view(nodes);
    let mut rng = StdRng::seed_from_u64(seed);
    let start = Instant::now() + Duration::from_secs(1);
    let mut sims: Vec<_> = (0..nodes)
        .map(|_| SimNode {
            policy: FollowPolicy::default(),
            data_from: start,
            busy_since: start + rng.random_range(0..10) * STEP,
            source: None,
            is_alive: true,
        })
        .collect();
    let mut oldest = Duration::ZERO;
    let mut reads = Vec::new();
    for step in 0..700 {
        let now = start + STEP * step;
        if step == 300 {
            for &number in killed {
                sims[number].is_alive = false;
            }
        }
        for number in 0..nodes {
            if !sims[number].is_alive {
                continue;
            }
            if advance(&mut sims, number, bound, now) {
                reads.push(now);
            }
            let sim = &mut sims[number];
            if sim.busy_since == now {
                let source = sim.policy.source(&view, &domain, &name(number), now);
                let number_of = |id: &NodeId| id.as_str()[5..].parse().expect("a number");
                sim.source = source.map(|parent| (parent.level, number_of(&parent.node)));
            }
            if step >= 100 {
                oldest = oldest.max(now - sim.data_from);
            }
        }
    }
    let within = |at: &Instant| {
        reads
            .iter()
            .filter(|r| **r >= *at && **r < *at + STEP * 100)
            .count()
    };
    Outcome {
        oldest,
        reads_per_second: reads.iter().map(within).max().unwrap_or(0),
    }
}

/// Advances one node; returns whether it read the store. A finished poll or read starts the next one.
fn advance(sims: &mut [SimNode], number: usize, bound: Duration, now: Instant) -> bool {
    let sim = &sims[number];
    let took = now.saturating_duration_since(sim.busy_since);
    let Some((level, source)) = sim.source else {
        let is_due = took >= READ_PAUSE;
        if is_due {
            sims[number].data_from = now;
            sims[number].busy_since = now;
        }
        return is_due;
    };
    let has_new = sims[source].is_alive && sims[source].data_from > sim.data_from;
    let is_answered = sims[source].is_alive && (has_new || took >= POLL_WAIT);
    if is_answered {
        let data_from = sims[source].data_from;
        let sim = &mut sims[number];
        sim.busy_since = now;
        if now - data_from > max_store_age(bound, level) {
            sim.policy.record_failure(name(source), 1.0, now);
        } else {
            sim.data_from = sim.data_from.max(data_from);
        }
    } else if took >= POLL_TIMEOUT {
        sims[number].busy_since = now;
        sims[number].policy.record_failure(name(source), 1.0, now);
    }
    false
}

fn changes_reach_all_nodes_in_time(nodes: usize, bound_ms: u64, killed: &[usize], reads: usize) {
    let bound = Duration::from_millis(bound_ms);
    let seeds = if nodes > 100 { 1 } else { 3 };
    for seed in 0..seeds {
        let outcome = simulate(nodes, bound, killed, seed);
        assert!(outcome.oldest <= bound, "seed {seed}: {outcome:?}");
        assert!(
            outcome.reads_per_second <= reads,
            "seed {seed}: {outcome:?}"
        );
    }
}

cases! {
    changes_reach_all_nodes_in_time;
    nine_nodes_in_calm: 9, 2_000, &[], 27;
    nine_nodes_without_the_controller: 9, 2_000, &[2], 27;
    a_hundred_nodes_in_calm: 100, 4_000, &[], 300;
    a_hundred_nodes_without_the_controller: 100, 4_000, &[2], 300;
    a_hundred_nodes_without_controller_and_relays: 100, 4_000, &[2, 6, 10, 14, 18, 22], 300;
    three_hundred_nodes_without_the_controller: 300, 4_000, &[2], 900;
}

/// Only the nodes next to the root read the store when the root dies; the store would not bear all.
#[test]
fn a_killed_controller_causes_few_store_reads() {
    let outcome = simulate(300, Duration::from_secs(4), &[2], 1);
    // All nodes read once at the start; later only the root's followers do.
    assert!(outcome.reads_per_second <= 300, "{outcome:?}");
}

#[test]
fn node_entries_round_trip_as_text() {
    let entry: NodeEntry = "10.1.0.40:8229 jkpg 250".parse().expect("an entry");
    assert_eq!((entry.domain.as_str(), entry.capacity), ("jkpg", 250));
    assert_eq!(entry.to_string(), "10.1.0.40:8229 jkpg 250");
    for text in [
        "",
        "10.1.0.40:8229",
        "10.1.0.40:8229 jkpg",
        "x jkpg 250",
        "10.1.0.40:8229 jkpg 250 1",
    ] {
        assert!(text.parse::<NodeEntry>().is_err(), "{text:?}");
    }
}

/// Two nodes that follow each other, as their views differ, both read the store once it is too old.
#[test]
fn the_limit_on_the_age_grows_with_the_level_and_stays_below_the_bound() {
    let bound = Duration::from_secs(2);
    let ages: Vec<_> = (1..6).map(|level| max_store_age(bound, level)).collect();
    assert!(ages.is_sorted());
    assert!(ages.iter().all(|age| *age < bound));
    assert_eq!(feed_tree::max_store_age(bound, 1), Duration::from_secs(1));
}
