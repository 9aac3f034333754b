//! Who is served first of those that wait.

use std::time::{Duration, Instant};

use shallottide_fleet::wait_queue::WaitQueue;

#[test]
fn rank_goes_before_time_and_time_before_arrival() {
    let now = Instant::now();
    let soon = now + Duration::from_millis(100);
    let late = now + Duration::from_millis(900);
    let mut room = WaitQueue::default();
    let what = "engines/large".into();
    let low = room.enter(&what, 2, soon);
    let patient = room.enter(&what, 1, late);
    let urgent = room.enter(&what, 1, soon);
    let other = room.enter(&"engines/small".into(), 5, late);
    let mut served = Vec::new();
    for _ in 0..3 {
        let first = [low, patient, urgent]
            .into_iter()
            .find(|t| room.is_first(*t));
        let first = first.expect("one is first");
        served.push(first);
        room.leave(first);
    }
    assert_eq!(served, [urgent, patient, low]);
    assert!(room.is_first(other), "others wait for something else");
    assert_eq!(room.len("engines/large"), 0);
}

#[test]
fn leaving_twice_changes_nothing() {
    let mut room = WaitQueue::default();
    let ticket = room.enter(&"a".into(), 1, Instant::now());
    room.leave(ticket);
    room.leave(ticket);
    assert!(room.is_empty());
}
