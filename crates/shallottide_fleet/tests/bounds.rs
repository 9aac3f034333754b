//! Bounds over all nodes hold though each node decides alone.

mod support;

use std::time::{Duration, Instant};

use shallottide_fleet::cold_gate::ColdGate;
use shallottide_fleet::lease_validity::LeaseValidity;
use shallottide_fleet::retry_budget::{RepeatBound, RetryBudget};
use shallottide_fleet::watch_pause::watch_pause;
use shallottide_types::cases;
use shallottide_types::id::NodeId;
use support::id;

const BOUND: RepeatBound = RepeatBound {
    ratio: 0.2,
    slack: 107.0,
    window: Duration::from_secs(10),
};

/// Every node repeats as often as it may; the sum stays within the bound.
fn repeats_stay_within_the_bound(nodes: usize, calls_each: usize) {
    let now = Instant::now();
    let mut repeats = 0;
    for _ in 0..nodes {
        let mut budget = RetryBudget::default();
        for _ in 0..calls_each {
            budget.first(now, &BOUND);
        }
        while budget.take(now, nodes, &BOUND) {
            repeats += 1;
        }
    }
    let calls = f64::from(u32::try_from(nodes * calls_each).expect("a small number"));
    let repeats = f64::from(repeats);
    assert!(
        repeats <= BOUND.ratio * calls + BOUND.slack,
        "{repeats} repeats of {calls} calls"
    );
}

cases! {
    repeats_stay_within_the_bound;
    repeats_of_one_node: 1, 100;
    repeats_of_eight_nodes: 8, 250;
    repeats_of_eight_idle_nodes: 8, 0;
    repeats_of_three_hundred_nodes: 300, 3;
}

#[test]
fn repeats_are_allowed_again_after_the_window() {
    let now = Instant::now();
    let mut budget = RetryBudget::default();
    while budget.take(now, 8, &BOUND) {}
    assert!(!budget.take(now + Duration::from_secs(9), 8, &BOUND));
    assert!(budget.take(now + Duration::from_secs(11), 8, &BOUND));
}

/// Every node sends all it may to one cold upstream within a second.
fn cold_upstream_gets_no_more_than_it_bears(nodes: usize, per_second: u32) {
    let upstream = id("e1");
    let all: Vec<NodeId> = (0..nodes).map(|n| id(&format!("node-{n}"))).collect();
    let now = Instant::now();
    let mut sent = 0;
    for node in &all {
        let share = ColdGate::share(&upstream, node, all.iter(), per_second);
        let mut gate = ColdGate::default();
        while gate.allows(&upstream, share, now) {
            gate.sent(&upstream, now);
            sent += 1;
        }
        assert!(gate.allows(&upstream, share.max(1), now + Duration::from_millis(1_250)));
    }
    assert_eq!(sent, per_second);
}

cases! {
    cold_upstream_gets_no_more_than_it_bears;
    cold_upstream_before_one_node: 1, 26;
    cold_upstream_before_eight_nodes: 8, 26;
    cold_upstream_before_more_nodes_than_requests: 300, 26;
}

#[test]
fn a_lease_is_not_acted_on_near_its_end() {
    let mut lease = LeaseValidity::default();
    let second = Duration::from_secs(1);
    assert!(!lease.may_act(second));
    lease.renewed(second, 2 * second);
    assert!(lease.may_act(2 * second));
    // The renewal counts from when it was sent, and an order takes time to arrive.
    assert!(!lease.may_act(Duration::from_millis(2_800)));
    lease.ended();
    assert!(!lease.may_act(second));
}

/// Calls for changes of all nodes together, in a second, and the longest time until one is seen.
fn calls_stay_few(nodes: usize, most_calls: f64) {
    let pause = watch_pause(nodes, 2_000, false);
    assert!(pause < Duration::from_millis(1_200), "{pause:?}");
    let calls = f64::from(u32::try_from(nodes).expect("a small number")) / pause.as_secs_f64();
    assert!(calls <= most_calls, "{calls} calls a second");
    assert!(watch_pause(nodes, 2_000, true) <= pause);
}

cases! {
    calls_stay_few;
    calls_of_eight_nodes: 8, 24.0;
    calls_of_ninety_nodes: 90, 101.0;
    calls_of_four_hundred_nodes: 420, 500.0;
}
