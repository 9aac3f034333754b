//! Limits over all nodes hold although each node decides independently.

mod support;

use std::time::{Duration, Instant};

use shallottide_fleet::cold_gate::ColdGate;
use shallottide_fleet::lease_validity::LeaseValidity;
use shallottide_fleet::retry_budget::{RepeatBound, RetryBudget};
use shallottide_fleet::watch_pause::watch_pause;
use shallottide_types::cases;
use shallottide_types::id::{NodeId, StoreEra, StoreIndex};
use support::id;

const LIMIT: RepeatBound = RepeatBound {
    ratio: 0.2,
    slack: 107.0,
    window: Duration::from_secs(10),
};

/// Every node uses its whole retry budget; the sum stays within the limit.
fn repeats_stay_within_the_limit(nodes: usize, calls_each: usize) {
    let now = Instant::now();
    let mut repeats = 0;
    for _ in 0..nodes {
        let mut budget = RetryBudget::default();
        for _ in 0..calls_each {
            budget.first(now, &LIMIT);
        }
        while budget.take(now, nodes, &LIMIT) {
            repeats += 1;
        }
    }
    let calls = f64::from(u32::try_from(nodes * calls_each).expect("a small number"));
    let repeats = f64::from(repeats);
    assert!(
        repeats <= LIMIT.ratio * calls + LIMIT.slack,
        "{repeats} repeats of {calls} calls"
    );
}

cases! {
    repeats_stay_within_the_limit;
    repeats_of_one_node: 1, 100;
    repeats_of_eight_nodes: 8, 250;
    repeats_of_eight_idle_nodes: 8, 0;
    repeats_of_three_hundred_nodes: 300, 3;
}

#[test]
fn repeats_are_allowed_again_after_the_window() {
    let now = Instant::now();
    let mut budget = RetryBudget::default();
    while budget.take(now, 8, &LIMIT) {}
    assert!(!budget.take(now + Duration::from_secs(9), 8, &LIMIT));
    assert!(budget.take(now + Duration::from_secs(11), 8, &LIMIT));
}

/// Guards against a retry budget that is used up by repeats that found no place and were not sent.
#[test]
fn repeats_that_are_given_back_can_be_taken_again() {
    let now = Instant::now();
    let mut budget = RetryBudget::default();
    while budget.take(now, 8, &LIMIT) {}
    budget.give_back();
    assert!(budget.take(now, 8, &LIMIT));
    assert!(!budget.take(now, 8, &LIMIT));
}

/// Every node sends as many requests as it may to one cold upstream within a second.
fn cold_upstream_gets_at_most_its_limit(nodes: usize, per_second: u32) {
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
    cold_upstream_gets_at_most_its_limit;
    cold_upstream_before_one_node: 1, 26;
    cold_upstream_before_eight_nodes: 8, 26;
    cold_upstream_before_more_nodes_than_requests: 300, 26;
}

#[test]
fn lease_holder_stops_acting_before_the_lease_ends() {
    let mut lease = LeaseValidity::default();
    let second = Duration::from_secs(1);
    let era = StoreEra(1);
    let claim = StoreIndex::new(era, 8);
    assert!(!lease.may_act(claim, second));
    lease.renewed(&support::lease(1, 2 * second, 2 * second), second);
    assert!(lease.may_act(claim, 2 * second));
    // The lease counts from when the renewal was sent, and an order takes time to arrive.
    assert!(!lease.may_act(claim, Duration::from_millis(2_800)));
    // A lease that a restored store has lost still keeps others from claiming until its time is over.
    lease.renewed(&support::lease(2, 2 * second, 2 * second), 2 * second);
    assert!(lease.may_act(claim, 2 * second));
    lease.ended(era);
    assert!(!lease.may_act(claim, second));
    assert!(lease.may_act(StoreIndex::new(StoreEra(2), 3), 2 * second));
}

/// Guards against a process that was stopped, has lost its lease and acts on its claims under the next one.
#[test]
fn claims_under_an_ended_lease_are_void_under_the_next() {
    let (second, era) = (Duration::from_secs(1), StoreEra(1));
    let [earlier, later] = [8, 12].map(|revision| StoreIndex::new(era, revision));
    let lease = support::lease(1, second, second);
    let mut validity = LeaseValidity::default();
    validity.acquired(&lease, StoreIndex::new(era, 5), second);
    assert!(validity.may_act(earlier, second));
    validity.acquired(&lease, StoreIndex::new(era, 10), 9 * second);
    assert!(!validity.may_act(earlier, 9 * second) && validity.is_void(earlier));
    assert!(validity.may_act(later, 9 * second) && !validity.is_void(later));
    // A renewal after the lease had run out here, but not in the store.
    validity.renewed(&lease, 20 * second);
    assert!(!validity.may_act(earlier, 20 * second) && validity.may_act(later, 20 * second));
}

/// The calls for changes per second over all nodes stay within the limit, and so does the pause
/// between two calls.
fn watch_calls_stay_within_the_limit(nodes: usize, max_calls: f64) {
    let pause = watch_pause(nodes, 2_000, false);
    assert!(pause < Duration::from_millis(1_200), "{pause:?}");
    let calls = f64::from(u32::try_from(nodes).expect("a small number")) / pause.as_secs_f64();
    assert!(calls <= max_calls, "{calls} calls a second");
    assert!(watch_pause(nodes, 2_000, true) <= pause);
}

cases! {
    watch_calls_stay_within_the_limit;
    calls_of_eight_nodes: 8, 24.0;
    calls_of_ninety_nodes: 90, 101.0;
    calls_of_four_hundred_nodes: 420, 500.0;
}
