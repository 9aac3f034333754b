//! Order in which waiting requests are served.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use compact_str::CompactString;
use shallottide_fleet::wait_queue::WaitQueue;
use shallottide_types::cases;

#[test]
fn priority_precedes_deadline() {
    let now = Instant::now();
    let soon = now + Duration::from_millis(100);
    let late = now + Duration::from_millis(900);
    let mut queue = WaitQueue::default();
    let resource = "engines/large".into();
    let low = queue.enter(&resource, 2, soon);
    let later = queue.enter(&resource, 1, late);
    let urgent = queue.enter(&resource, 1, soon);
    let other = queue.enter(&"engines/small".into(), 5, late);
    let mut served = Vec::new();
    for _ in 0..3 {
        let first = [low, later, urgent]
            .into_iter()
            .find(|t| queue.is_first(*t));
        let first = first.expect("one is first");
        served.push(first);
        queue.leave(first);
    }
    assert_eq!(served, [urgent, later, low]);
    assert!(queue.is_first(other), "each resource has its own queue");
    assert_eq!(queue.len("engines/large"), 0);
}

#[test]
fn leaving_twice_changes_nothing() {
    let mut queue = WaitQueue::default();
    let ticket = queue.enter(&"a".into(), 1, Instant::now());
    queue.leave(ticket);
    queue.leave(ticket);
    assert!(queue.is_empty());
}

/// Serves the first request of a queue, and returns its index.
fn serve_first(queue: &mut WaitQueue, tickets: &[u64]) -> usize {
    let first = tickets.iter().position(|ticket| queue.is_first(*ticket));
    let first = first.expect("one is first");
    assert_eq!(queue.firsts().collect::<Vec<_>>(), [tickets[first]]);
    queue.leave(tickets[first]);
    first
}

/// Plays two teams that always wait, with calls of 1 and of `long` work; returns the work of each.
fn work_of_two_teams(long: f64, weights: &BTreeMap<CompactString, f64>) -> [f64; 2] {
    let mut now = Instant::now();
    let (resource, deadline) = ("engines/large".into(), now + Duration::from_mins(1));
    let mut queue = WaitQueue::default();
    queue.set_weights(weights);
    let (teams, calls) = (["short", "long"], [1.0, long]);
    let mut tickets = teams.map(|team| queue.enter_for_team(&resource, Some(team), 1, deadline));
    let mut work = [0.0; 2];
    while work.iter().sum::<f64>() < 600.0 {
        let first = serve_first(&mut queue, &tickets);
        let team = Some(teams[first]);
        queue.record_admitted(&resource, team, calls[first], now);
        work[first] += calls[first];
        tickets[first] = queue.enter_for_team(&resource, team, 1, deadline);
        now += Duration::from_millis(5).mul_f64(calls[first]);
    }
    work
}

/// Guards against long requests that are starved by short ones, and a team that takes all the room.
fn teams_are_served_by_weight(long: f64, weight: f64) {
    let weights = BTreeMap::from([("long".into(), weight)]);
    let [short_work, long_work] = work_of_two_teams(long, &weights);
    let ratio = long_work / short_work;
    assert!(
        (ratio / weight - 1.0).abs() < 0.2,
        "{short_work}, {long_work}"
    );
}

cases! {
    teams_are_served_by_weight;
    short_requests_beside_short_ones: 1.0, 1.0;
    long_requests_beside_short_ones: 20.0, 1.0;
    a_team_of_twice_the_weight: 1.0, 2.0;
}

/// Guards against a team's calls that precede more urgent ones, or leave their order by deadline.
#[test]
fn teams_come_after_priority_and_before_deadline() {
    let now = Instant::now();
    let at = |ms| now + Duration::from_millis(ms);
    let mut queue = WaitQueue::default();
    let resource = "engines/large".into();
    queue.record_admitted(&resource, Some("busy"), 5.0, now);
    let calls = [
        (Some("busy"), 1, 100),
        (Some("idle"), 1, 900),
        (Some("idle"), 1, 500),
        (None, 1, 700),
        (Some("busy"), 0, 900),
    ];
    let tickets = calls.map(|(team, priority, deadline)| {
        queue.enter_for_team(&resource, team, priority, at(deadline))
    });
    assert_eq!(queue.len("engines/large"), 5);
    let order: Vec<_> = calls
        .iter()
        .map(|_| serve_first(&mut queue, &tickets))
        .collect();
    assert_eq!(order, [4, 2, 3, 1, 0]);
}

/// Guards against a team that is held back for what it took long ago.
#[test]
fn admitted_work_is_forgotten() {
    let now = Instant::now();
    let mut queue = WaitQueue::default();
    let resource = "engines/large".into();
    queue.record_admitted(&resource, Some("early"), 100.0, now);
    queue.record_admitted(&resource, Some("late"), 5.0, now + Duration::from_secs(6));
    let deadline = now + Duration::from_secs(9);
    let tickets =
        ["late", "early"].map(|team| queue.enter_for_team(&resource, Some(team), 1, deadline));
    assert!(queue.is_first(tickets[1]));
}
