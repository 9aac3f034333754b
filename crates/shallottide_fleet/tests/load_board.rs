//! Samples of engines' loads between nodes.

mod support;

use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::seq::IteratorRandom;
use rand::{RngExt, SeedableRng};
use shallottide_fleet::adapter::ReportedLoad;
use shallottide_fleet::crash_evidence::Lifetime;
use shallottide_fleet::load_board::{LoadBoard, MAX_REPORTED};
use shallottide_fleet::report_targets::REPORT_FANOUT;
use shallottide_types::id::NodeId;
use support::{id, ms};

/// Interval at which nodes pass samples on.
const INTERVAL: Duration = Duration::from_millis(200);

fn lifetime(number: u64) -> Lifetime {
    Lifetime::new(&id("engine"), number)
}

fn load(running: u32) -> ReportedLoad {
    ReportedLoad {
        running,
        waiting: 2,
    }
}

fn node(number: usize) -> NodeId {
    id(&format!("node-{number}"))
}

/// A node hears every few seconds from an engine itself, and would take an old load for its present one.
#[test]
fn samples_of_peers_replace_older_ones() {
    let now = Instant::now();
    let (mut own, mut peer) = (LoadBoard::default(), LoadBoard::default());
    own.record_answer(lifetime(1), load(3), &node(1), now);
    let later = now + ms(300);
    peer.record_answer(lifetime(1), load(30), &node(2), later);
    own.merge(&peer.report(later), &node(1), later);
    let estimate = own.estimate(lifetime(1), later).expect("a sample");
    assert!((estimate.load - 32.0).abs() < 0.01);
    assert!(own.estimate(lifetime(2), later).is_none());
}

/// Datagrams come late, twice and out of order; an old load must not look new, nor a sample that returns.
#[test]
fn late_repeated_and_returned_samples_change_nothing() {
    let now = Instant::now();
    let (mut own, mut peer) = (LoadBoard::default(), LoadBoard::default());
    peer.record_answer(lifetime(1), load(30), &node(2), now);
    let old = peer.report(now);
    assert!(peer.report(now).is_empty(), "each sample is passed on once");
    own.record_answer(lifetime(1), load(5), &node(1), now + ms(100));
    own.merge(&old, &node(1), now + ms(100));
    let mine = own.report(now + ms(200));
    peer.merge(&mine, &node(2), now + ms(250));
    let returned = peer.report(now + ms(250));
    own.started(lifetime(1));
    own.merge(&returned, &node(1), now + ms(300));
    own.merge(&returned, &node(1), now + ms(300));
    let estimate = own.estimate(lifetime(1), now + ms(300)).expect("a sample");
    assert!(
        (estimate.load - 8.0).abs() < 0.01,
        "own sample, and one request since"
    );
}

/// A frozen node comes back with a board of before; neither it nor its peers may go by that.
#[test]
fn samples_from_before_a_freeze_do_not_count() {
    let now = Instant::now();
    let (mut own, mut peer) = (LoadBoard::default(), LoadBoard::default());
    own.record_answer(lifetime(1), load(3), &node(1), now);
    let thawed = now + Duration::from_secs(3);
    assert!(own.estimate(lifetime(1), thawed).is_none());
    assert!(own.report(thawed).is_empty());
    peer.merge(&own.report(thawed), &node(2), thawed);
    assert!(peer.estimate(lifetime(1), thawed).is_none());
}

/// A restarted engine is empty; the load of its earlier lifetime says nothing about it.
#[test]
fn samples_belong_to_one_lifetime() {
    let now = Instant::now();
    let mut board = LoadBoard::default();
    board.record_answer(lifetime(1), load(30), &node(1), now);
    assert!(board.estimate(lifetime(2), now).is_none());
}

/// Hundreds of engines must not make a report that does not fit a datagram; the rest follows.
#[test]
fn reports_are_bounded_and_lose_no_engine() {
    let now = Instant::now();
    let mut board = LoadBoard::default();
    for number in 0..200 {
        board.record_answer(lifetime(number), load(255), &node(1), now);
    }
    let mut reported = 0;
    for _ in 0..3 {
        let report = board.report(now);
        let encoded = bincode::serde::encode_to_vec((8_u8, &report), bincode::config::standard());
        assert!(report.len() <= MAX_REPORTED);
        assert!(encoded.expect("encodes").len() <= 1_400);
        reported += report.len();
    }
    assert_eq!(reported, 200);
}

/// Plays samples of one engine between `nodes`, of which each datagram is lost with the probability
/// `lost`; returns the age at the nodes at the end that 90% of them are below.
fn age_at_nodes(nodes: usize, lost: f64, seed: u64) -> Duration {
    let mut rng = StdRng::seed_from_u64(seed);
    let start = Instant::now();
    let mut boards = vec![LoadBoard::default(); nodes];
    let steps = 40_u32;
    let end = start + INTERVAL * steps;
    for step in 0..steps {
        let now = start + INTERVAL * (step + 1);
        let before = start + INTERVAL * step;
        // An engine with 20 requests of a second each answers four of them in the interval.
        for _ in 0..4 {
            let heard_by = rng.random_range(0..nodes);
            let at = before + INTERVAL.mul_f64(rng.random::<f64>());
            boards[heard_by].record_answer(lifetime(1), load(20), &node(heard_by), at);
        }
        let reports: Vec<_> = boards.iter_mut().map(|board| board.report(now)).collect();
        for (from, report) in reports.iter().enumerate() {
            let others = (0..nodes).filter(|to| *to != from);
            for to in others.sample(&mut rng, REPORT_FANOUT) {
                if !rng.random_bool(lost) {
                    boards[to].merge(report, &node(to), now);
                }
            }
        }
    }
    let mut ages: Vec<_> = boards
        .iter()
        .map(|board| {
            board
                .estimate(lifetime(1), end)
                .map_or(Duration::MAX, |e| e.age)
        })
        .collect();
    ages.sort_unstable();
    ages[nodes * 9 / 10]
}

macro_rules! reach_nodes_soon {
    ($($name:ident: $nodes:literal nodes, $lost:literal lost, at most $ms:literal ms;)*) => {$(
        /// Guards against loads that are too old to choose by, at most nodes of a deployment.
        #[test]
        fn $name() {
            for seed in 0..5 {
                let age = age_at_nodes($nodes, $lost, seed);
                assert!(age <= ms($ms), "{age:?}, seed {seed}");
            }
        }
    )*};
}

// A request occupies an engine for about a second: half of that is the age up to which loads are of use.
reach_nodes_soon! {
    samples_reach_thirty_two_nodes: 32 nodes, 0.0 lost, at most 500 ms;
    samples_reach_eighty_nodes: 80 nodes, 0.0 lost, at most 500 ms;
    samples_reach_eighty_nodes_over_lossy_links: 80 nodes, 0.3 lost, at most 700 ms;
    samples_reach_four_hundred_nodes: 420 nodes, 0.0 lost, at most 800 ms;
}
