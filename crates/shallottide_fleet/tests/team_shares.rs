//! Shares of teams in scarce capacity, at nodes that hear of each other by reports that may be lost.

mod support;

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::seq::{IteratorRandom, SliceRandom};
use rand::{RngExt, SeedableRng};
use shallottide_fleet::load_keys::Kind;
use shallottide_fleet::report_targets::REPORT_FANOUT;
use shallottide_fleet::team_shares::TeamShares;
use shallottide_fleet::team_usage_report::{MAX_REPORTED, TeamUsageReport};
use shallottide_fleet::water_level::{TeamDemand, served_fractions};
use shallottide_types::cases;
use shallottide_types::id::NodeId;
use support::id;

const SMALL: [&str; 8] = ["a", "b", "c", "d", "e", "f", "g", "h"];
const TICK: Duration = Duration::from_millis(10);
/// Ticks between two reports of a node.
const REPORT_TICKS: usize = 20;

fn kind() -> Kind {
    (id("answers"), id("small"))
}

fn name(node: usize) -> NodeId {
    id(&format!("node-{node}"))
}

/// Calls per second of each team.
type Demands = BTreeMap<&'static str, f64>;

fn demands(large: f64) -> Demands {
    let small = SMALL.into_iter().map(|team| (team, 10.0));
    small.chain([("large", large)]).collect()
}

/// Nodes that share upstreams which admit `capacity` calls per second.
struct Fleet {
    nodes: Vec<TeamShares>,
    capacity: f64,
    room: f64,
    /// Fraction of reports that are lost.
    loss: f64,
    /// Nodes that neither send nor get reports.
    cut_off: usize,
    now: Instant,
    ticks: usize,
    rng: StdRng,
    /// Calls that arrived and that were admitted, by team; the first node's apart.
    counts: BTreeMap<(bool, &'static str), (f64, f64)>,
}

impl Fleet {
    fn new(nodes: usize, capacity: f64, loss: f64) -> Self {
        let shares = (0..nodes).map(|node| {
            let mut shares = TeamShares::new(name(node));
            shares.set_node_count(nodes);
            shares
        });
        Self {
            nodes: shares.collect(),
            capacity,
            room: 0.0,
            loss,
            cut_off: 0,
            now: Instant::now(),
            ticks: 0,
            rng: StdRng::seed_from_u64(7),
            counts: BTreeMap::new(),
        }
    }

    fn run(&mut self, time: Duration, demands: &Demands) {
        self.counts.clear();
        let end = self.now + time;
        while self.now < end {
            self.now += TICK;
            self.ticks += 1;
            let seconds = TICK.as_secs_f64();
            self.room = (self.room + self.capacity * seconds).min(self.capacity * 0.05 + 1.0);
            let mut calls = Vec::new();
            for (team, rate) in demands {
                let count = (0..16).filter(|_| self.rng.random_bool(rate * seconds / 16.0));
                calls.extend(count.map(|_| *team));
            }
            calls.shuffle(&mut self.rng);
            for team in calls {
                self.call(team);
            }
            self.report();
        }
    }

    fn call(&mut self, team: &'static str) {
        let (kind, now) = (kind(), self.now);
        let node = self.rng.random_range(0..self.nodes.len());
        let count = self.counts.entry((node == 0, team)).or_default();
        count.0 += 1.0;
        let shares = &mut self.nodes[node];
        shares.record_arrival(&kind, Some(team), 1.0, now);
        if !shares.decide(&kind, Some(team), now).is_allowed {
            return;
        }
        if self.room >= 1.0 {
            self.room -= 1.0;
            count.1 += 1.0;
            shares.record_admitted(&kind, Some(team), 1.0, now);
        } else {
            shares.record_refused_for_room(&kind, now);
        }
    }

    fn report(&mut self) {
        for from in 0..self.nodes.len() {
            if !(self.ticks + from).is_multiple_of(REPORT_TICKS) {
                continue;
            }
            let report = self.nodes[from].report(self.now);
            self.nodes[from].expire(self.now);
            let others = (self.cut_off..self.nodes.len()).filter(|to| *to != from);
            for to in others.sample(&mut self.rng, REPORT_FANOUT) {
                if from >= self.cut_off && !self.rng.random_bool(self.loss) {
                    self.nodes[to].merge(&name(from), &report, self.now);
                }
            }
        }
    }

    /// Returns the fraction of a team's calls that were served, at all nodes or at the first one.
    fn served(&self, team: &str, at_first: bool) -> f64 {
        let counts = self.counts.iter();
        let counts = counts.filter(|((is_first, t), _)| *t == team && (*is_first || !at_first));
        let (arrived, admitted): (Vec<_>, Vec<_>) = counts.map(|(_, count)| *count).unzip();
        admitted.iter().sum::<f64>() / arrived.iter().sum::<f64>()
    }
}

/// Guards against a burst of one team that takes the capacity of small teams, and against starving it
/// for its size: its fraction stays above half of the mean.
fn a_large_team_bursts_beside_small_ones(nodes: usize, loss: f64, least_for_small: f64) {
    let mut fleet = Fleet::new(nodes, 120.0, loss);
    fleet.run(Duration::from_secs(4), &demands(30.0));
    fleet.run(Duration::from_secs(3), &demands(200.0));
    fleet.run(Duration::from_secs(24), &demands(200.0));
    let small = SMALL.iter().map(|team| fleet.served(team, false));
    let (small, large) = (small.sum::<f64>() / 8.0, fleet.served("large", false));
    eprintln!("{nodes} nodes, loss {loss}: small {small:.2}, large {large:.2}");
    // Without shares, all would be served 0.43; the division is 0.66 and 0.34, of which some is
    // lost to chance.
    assert!(small > least_for_small, "small teams: {small}");
    assert!((0.2..0.43).contains(&large), "large team: {large}");
    let mean = (small * 8.0 + large) / 9.0;
    assert!(large > 0.5 * mean, "starved: {large}, {small}");
}

cases! {
    a_large_team_bursts_beside_small_ones;
    a_burst_at_three_nodes: 3, 0.0, 0.6;
    a_burst_at_eighty_nodes: 80, 0.0, 0.6;
    a_burst_at_eighty_nodes_with_lost_reports: 80, 0.5, 0.6;
    // About 6 reports per second of each node arrive, which costs 2.7 KB/s.
    a_burst_at_eighty_nodes_with_few_reports: 80, 0.85, 0.55;
    // With 3.5 calls per second and no reports, a node's own counts are little to divide by.
    a_burst_at_eighty_nodes_without_reports: 80, 1.0, 0.46;
}

/// Returns the mean over 8 seeds, as a second has too few calls of a team for one run.
fn mean_of_runs<const N: usize>(play: impl Fn(&mut Fleet) -> [f64; N]) -> [f64; N] {
    let mut sums = [0.0; N];
    for seed in 0..8 {
        // Capacity is a little above the demand of team a, as random bursts are refused otherwise.
        let mut fleet = Fleet::new(20, 110.0, 0.0);
        fleet.rng = StdRng::seed_from_u64(seed);
        fleet.run(Duration::from_secs(5), &[("a", 100.0), ("b", 100.0)].into());
        let values = play(&mut fleet);
        sums.iter_mut()
            .zip(values)
            .for_each(|(sum, value)| *sum += value / 8.0);
    }
    sums
}

/// Guards against a share that stays unused while its team is idle, or that is not given back.
#[test]
fn unused_share_is_lent_and_taken_back_within_a_second() {
    let [divided, lent, back] = mean_of_runs(|fleet| {
        let divided = fleet.served("a", false);
        fleet.run(Duration::from_secs(1), &[("a", 100.0)].into());
        fleet.run(Duration::from_secs(1), &[("a", 100.0)].into());
        let lent = fleet.served("a", false);
        fleet.run(Duration::from_secs(1), &[("a", 100.0), ("b", 100.0)].into());
        fleet.run(Duration::from_secs(1), &[("a", 100.0), ("b", 100.0)].into());
        [divided, lent, fleet.served("b", false)]
    });
    eprintln!("divided {divided:.2}, lent {lent:.2}, back {back:.2}");
    assert!((0.45..0.65).contains(&divided), "{divided}");
    assert!(lent > 0.9, "not lent: {lent}");
    assert!(back > 0.45, "not taken back: {back}");
}

/// Guards against a new team that is treated as over its share because nothing is known of it.
#[test]
fn a_team_that_appears_is_served_at_once() {
    let [new, known] = mean_of_runs(|fleet| {
        let teams = [("a", 100.0), ("b", 100.0), ("new", 15.0)];
        fleet.run(Duration::from_secs(1), &teams.into());
        [fleet.served("new", false), fleet.served("a", false)]
    });
    eprintln!("new {new:.2}, known {known:.2}");
    assert!(new > 0.7 && new > known + 0.2, "new {new}, known {known}");
}

/// Guards against a node that divides by nothing, or refuses everyone, once it hears of no peer.
#[test]
fn a_node_cut_off_from_its_peers_divides_by_its_own_counts() {
    let mut fleet = Fleet::new(9, 500.0, 0.0);
    fleet.run(Duration::from_secs(3), &demands(900.0));
    fleet.cut_off = 1;
    fleet.run(Duration::from_secs(2), &demands(900.0));
    fleet.run(Duration::from_secs(8), &demands(900.0));
    let decision = fleet.nodes[0].decide(&kind(), Some("large"), fleet.now);
    assert_eq!(decision.nodes_heard, 1);
    // A ninth of the calls arrives here; the total is scaled to all nodes.
    assert!((450.0..1_800.0).contains(&decision.demand), "{decision:?}");
    let small = SMALL.iter().map(|team| fleet.served(team, true));
    let (small, large) = (small.sum::<f64>() / 8.0, fleet.served("large", true));
    eprintln!("cut off: small {small:.2}, large {large:.2}");
    assert!(small > large && large > 0.2, "small {small}, large {large}");
}

/// Guards against shares that still bind, by counts from before, when a node runs again after a pause.
#[test]
fn a_frozen_node_forgets_its_counts() {
    let mut fleet = Fleet::new(9, 50.0, 0.0);
    fleet.run(Duration::from_secs(5), &demands(200.0));
    let later = fleet.now + Duration::from_secs(30);
    let node = &mut fleet.nodes[0];
    let decision = node.decide(&kind(), Some("large"), later);
    assert!(decision.is_allowed && !decision.is_scarce, "{decision:?}");
    assert_eq!((decision.nodes_heard, decision.demand < 0.01), (1, true));
    assert!(node.report(later).is_empty());
    // The clock of another task may be read earlier.
    node.record_arrival(&kind(), Some("large"), 1.0, fleet.now);
    let decision = node.decide(&kind(), Some("large"), fleet.now);
    assert!(decision.share.is_finite(), "{decision:?}");
}

/// Guards against refusals by shares before anything is known of loads.
#[test]
fn nodes_without_knowledge_admit_calls() {
    let now = Instant::now();
    for node in 0..80 {
        let mut shares = TeamShares::new(name(node));
        shares.set_node_count(80);
        shares.record_arrival(&kind(), None, 1.0, now);
        assert!(shares.decide(&kind(), None, now).is_allowed);
        shares.record_refused_for_room(&kind(), now);
        shares.record_arrival(&kind(), Some("a"), 1.0, now);
        assert!(shares.decide(&kind(), Some("a"), now).is_scarce);
    }
}

/// Guards against a report that counts twice, replaces a later one, or poisons the counts.
#[test]
fn repeated_reordered_and_damaged_reports_are_ignored() {
    let now = Instant::now();
    let mut sender = TeamShares::new(name(1));
    let mut own = TeamShares::new(name(0));
    own.set_node_count(2);
    let mut report = |calls: u32| {
        for _ in 0..calls {
            sender.record_arrival(&kind(), Some("a"), 1.0, now);
        }
        sender.record_refused_for_room(&kind(), now);
        sender.report(now)
    };
    let (first, second) = (report(1), report(2));
    let damaged = |rate| TeamUsageReport {
        number: 9,
        arrived: rate,
        ..first[0]
    };
    // 3 calls per second at one of 2 nodes, by a report of a given time; its weight falls with its age.
    let mut counts = |reports: &[TeamUsageReport], now: Instant, reported_at: Instant| {
        own.merge(&name(1), reports, now);
        let later = now + Duration::from_millis(110);
        let weight = (-(later - reported_at).as_secs_f64() / 0.5).exp();
        let demand = own.decide(&kind(), Some("a"), later).demand;
        (demand - 3.0 * weight * 2.0 / (1.0 + weight)).abs() < 1e-3
    };
    assert!(counts(&second, now, now), "the latest counts");
    let (mut step, mut ignored) = (now, vec![second.clone(), first.clone(), vec![]]);
    ignored.extend([f32::NAN, f32::INFINITY, -1.0].map(|rate| vec![damaged(rate)]));
    ignored.push(vec![damaged(1.0); MAX_REPORTED + 1]);
    for reports in ignored {
        step += Duration::from_millis(120);
        assert!(counts(&reports, step, now), "{reports:?}");
    }
    let late = now + Duration::from_millis(1_600);
    assert!(!counts(&[], late, now), "an old report counts no longer");
    let later = late + Duration::from_millis(120);
    assert!(
        counts(&second, later, later),
        "a restarted sender numbers from 1"
    );
}

/// Guards against reports that do not fit a datagram or leave out the largest teams.
#[test]
fn a_report_holds_the_largest_teams() {
    let now = Instant::now();
    let mut shares = TeamShares::new(name(0));
    for team in 0..40_u32 {
        let work = f64::from(team + 1) * 1_000.0;
        shares.record_arrival(&kind(), Some(&format!("t{team}")), work, now);
    }
    assert!(shares.report(now).is_empty(), "nothing is scarce");
    shares.record_refused_for_room(&kind(), now);
    let report = shares.report(now);
    assert_eq!(report.len(), MAX_REPORTED);
    assert!(report.iter().all(|entry| entry.arrived > 24_000.0));
    let bytes = bincode::serde::encode_to_vec(&report, bincode::config::standard());
    let bytes = bytes.expect("encodes").len();
    assert!(bytes <= 500, "{bytes}");
}

/// Guards against a division that wastes capacity or exceeds it, for given demands and weights.
fn a_division_uses_the_capacity(teams: &[(f64, f64)], capacity: f64, expected: &[f64]) {
    let team = |&(demand, weight): &(f64, f64)| TeamDemand { demand, weight };
    let fractions = served_fractions(&teams.iter().map(team).collect::<Vec<_>>(), capacity);
    for (fraction, expected) in fractions.iter().zip(expected) {
        assert!((fraction - expected).abs() < 0.002, "{fractions:?}");
    }
}

cases! {
    a_division_uses_the_capacity;
    enough_for_all: &[(10.0, 1.0), (20.0, 1.0)], 30.0, &[1.0, 1.0];
    equal_weights: &[(10.0, 1.0), (20.0, 1.0), (30.0, 1.0)], 45.0, &[1.0, 0.875, 0.583];
    unequal_weights: &[(30.0, 2.0), (30.0, 1.0)], 30.0, &[0.667, 0.333];
    half_of_the_mean: &[(10.0, 1.0), (10.0, 1.0), (200.0, 1.0)], 60.0, &[0.546, 0.546, 0.245];
    no_capacity: &[(10.0, 1.0), (20.0, 1.0)], 0.0, &[0.0, 0.0];
}
