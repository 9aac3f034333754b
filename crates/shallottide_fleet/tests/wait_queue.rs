//! Order in which waiting requests are served.

use std::time::{Duration, Instant};

use shallottide_fleet::wait_queue::WaitQueue;

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
