//! Retention, sizes and platform calls of the claims service.

mod call_support;

use std::time::Duration;

use call_support::fleet::{Event, Fleet};
use shallottide::claims::ClaimOptions;
use shallottide::message::PlatformOp;
use shallottide_types::call::ReplyEvent;
use shallottide_types::refusal::RefusalKind;

const SECOND: Duration = Duration::from_secs(1);
/// Past the default retention and the time that old keys are gathered for.
const PAST_RETENTION: Duration = Duration::from_mins(12);

/// Returns the kind of a call's refusal, or `None` when its answer is whole.
fn refusal(fleet: &Fleet, call: u64) -> Option<RefusalKind> {
    match fleet.replies[&call].as_slice() {
        [.., ReplyEvent::End] => None,
        [.., ReplyEvent::Fail(refusal)] => Some(refusal.kind),
        other => panic!("not an answer: {other:?}"),
    }
}

/// Books at a node and waits for the answer.
fn book(fleet: &mut Fleet, node: usize, key: &str) -> Option<RefusalKind> {
    let call = fleet.book(node, key);
    fleet.pass(5 * SECOND);
    refusal(fleet, call)
}

fn partition_of(key: &str) -> String {
    let mut fleet = Fleet::new(1, ClaimOptions::default());
    fleet.book(0, key);
    match fleet.events.pop() {
        Some(Event::Platform(_, _, request)) => match request.op {
            PlatformOp::Get(key) => key,
            other => panic!("not a read: {other:?}"),
        },
        other => panic!("not a platform call: {other:?}"),
    }
}

/// Returns keys of one partition.
fn keys_together(count: usize) -> Vec<String> {
    let wanted = partition_of("key-0");
    let keys = (0..).map(|i| format!("key-{i}"));
    keys.filter(|key| partition_of(key) == wanted)
        .take(count)
        .collect()
}

/// Spreads distinct bookings over the nodes for ten seconds; returns the platform's writes.
fn writes(nodes: usize, bookings_per_tick: usize) -> u64 {
    let mut fleet = Fleet::new(nodes, ClaimOptions::default());
    for tick in 0..100 {
        fleet.book_many(&format!("tick-{tick}"), bookings_per_tick);
        fleet.pass(Duration::from_millis(100));
    }
    fleet.pass(10 * SECOND);
    assert_eq!(fleet.runs_by_key.len(), 100 * bookings_per_tick);
    fleet.check();
    fleet.check_quiet();
    fleet.platform.writes
}

#[test]
fn writes_do_not_grow_with_the_fleet() {
    let (few, many) = (writes(2, 10), writes(32, 10));
    assert!(
        many <= few + few / 10,
        "{few} writes by 2 nodes, {many} by 32"
    );
}

#[test]
fn writes_are_bounded_whatever_the_calls() {
    // 32 partitions, at most 5 rounds a second each, 15 seconds with claims or outcomes.
    const MOST: u64 = 32 * 5 * 15;
    let (few, many) = (writes(4, 2), writes(4, 50));
    assert!(
        many <= MOST,
        "{many} writes for 5000 bookings, {few} for 200"
    );
    assert!(
        many < 10 * few,
        "{many} writes for 5000 bookings, {few} for 200"
    );
}

#[test]
fn waiting_claims_share_a_write() {
    let keys = keys_together(20);
    let mut fleet = Fleet::new(1, ClaimOptions::default());
    for key in &keys {
        fleet.book(0, key);
    }
    fleet.pass(5 * SECOND);
    assert_eq!(fleet.runs_by_key.len(), keys.len());
    // Claims come while the first read is under way, so one write holds all; one more
    // holds all outcomes.
    assert_eq!(fleet.platform.writes, 2);
}

#[test]
fn key_past_its_retention_is_refused() {
    let keys = keys_together(2);
    let mut fleet = Fleet::new(3, ClaimOptions::default());
    assert_eq!(book(&mut fleet, 0, &keys[0]), None);
    fleet.pass(PAST_RETENTION);
    assert_eq!(book(&mut fleet, 1, &keys[1]), None);
    fleet.pass(SECOND);
    assert_eq!(book(&mut fleet, 1, &keys[0]), Some(RefusalKind::KeyExpired));
    fleet.restart(1);
    assert_eq!(book(&mut fleet, 2, &keys[0]), Some(RefusalKind::KeyExpired));
    fleet.check();
}

/// Lets another node write the partition, so that this node's old keys are outdated.
#[test]
fn key_dropped_by_another_writer_is_refused() {
    let keys = keys_together(12);
    let options = ClaimOptions {
        max_recent_bytes: 600,
        ..ClaimOptions::default()
    };
    let mut fleet = Fleet::new(2, options);
    for i in 0..2 {
        fleet.publish_view(i, |j| i == j);
    }
    assert_eq!(book(&mut fleet, 0, &keys[0]), None);
    for key in &keys[1..] {
        assert_eq!(book(&mut fleet, 1, key), None);
    }
    let expired = Some(RefusalKind::KeyExpired);
    assert_eq!(book(&mut fleet, 0, &keys[1]), expired);
    fleet.check();
}

#[test]
fn key_is_forgotten_after_the_window() {
    let keys = keys_together(2);
    let options = ClaimOptions {
        old_window: Duration::from_mins(30),
        max_old_keys: 1,
        ..ClaimOptions::default()
    };
    let mut fleet = Fleet::new(1, options);
    assert_eq!(book(&mut fleet, 0, &keys[0]), None);
    fleet.pass(PAST_RETENTION);
    let full = Some(RefusalKind::PlatformDown);
    assert_eq!(book(&mut fleet, 0, &keys[1]), full, "no room for old keys");
    fleet.clock.advance(Duration::from_hours(2));
    assert_eq!(book(&mut fleet, 0, &keys[1]), None);
}

#[test]
fn values_stay_bounded() {
    const MAX_RECENT_BYTES: usize = 4 << 10;
    let keys = keys_together(150);
    let options = ClaimOptions {
        max_recent_bytes: MAX_RECENT_BYTES,
        ..ClaimOptions::default()
    };
    let mut fleet = Fleet::new(2, options);
    for key in &keys {
        fleet.book(0, key);
        fleet.pass(SECOND);
    }
    fleet.pass(5 * SECOND);
    let ran = fleet.runs_by_key.len();
    assert!(ran > keys.len() * 9 / 10, "{ran} ran");
    let largest = fleet.platform.largest;
    assert!(largest <= MAX_RECENT_BYTES + 128, "{largest} bytes");
    for key in &keys {
        fleet.book(1, key);
        fleet.pass(SECOND);
    }
    fleet.check();
}

/// Sends more bookings at once than a value holds.
#[test]
fn burst_past_the_bound_is_refused() {
    const MAX_RECENT_BYTES: usize = 4 << 10;
    let options = ClaimOptions {
        max_recent_bytes: MAX_RECENT_BYTES,
        ..ClaimOptions::default()
    };
    let mut fleet = Fleet::new(1, options);
    let keys = keys_together(100);
    let calls: Vec<_> = keys.iter().map(|key| fleet.book(0, key)).collect();
    fleet.pass(5 * SECOND);
    let refused = calls.iter().filter_map(|call| refusal(&fleet, *call));
    let refused: Vec<_> = refused.collect();
    assert!(!refused.is_empty() && refused.len() < calls.len());
    assert!(
        refused
            .iter()
            .all(|kind| *kind == RefusalKind::PlatformDown)
    );
    let largest = fleet.platform.largest;
    assert!(largest <= MAX_RECENT_BYTES + 128, "{largest} bytes");
}

#[test]
fn repeated_booking_runs_once() {
    let mut fleet = Fleet::new(1, ClaimOptions::default());
    assert_eq!(book(&mut fleet, 0, "key"), None);
    assert_eq!(book(&mut fleet, 0, "key"), None);
    assert_eq!(fleet.runs_by_key["key"], 1);
}

#[test]
fn key_with_another_body_is_refused() {
    let mut fleet = Fleet::new(2, ClaimOptions::default());
    assert_eq!(book(&mut fleet, 0, "key"), None);
    let call = fleet.book_body(1, "key", "another booking");
    fleet.pass(5 * SECOND);
    assert_eq!(refusal(&fleet, call), Some(RefusalKind::KeyReused));
    assert_eq!(fleet.runs_by_key["key"], 1);
}

/// Another program version has written the partition.
#[test]
fn value_of_another_format_is_left_alone() {
    let mut fleet = Fleet::new(2, ClaimOptions::default());
    assert_eq!(book(&mut fleet, 0, "key"), None);
    fleet.platform.change_formats();
    fleet.restart(0);
    fleet.restart(1);
    let down = Some(RefusalKind::PlatformDown);
    assert_eq!(book(&mut fleet, 0, "key"), down);
    fleet.platform.change_formats();
    assert_eq!(book(&mut fleet, 0, "key"), None);
    assert_eq!(fleet.runs_by_key["key"], 1);
}

/// A fresh start gets the answer to a question of the one before it.
#[test]
fn late_grant_to_an_earlier_start_grants_nothing() {
    let mut fleet = Fleet::new(2, ClaimOptions::default());
    let is_relayed = |key: &String| {
        let mut fleet = Fleet::new(2, ClaimOptions::default());
        fleet.book(0, key);
        !matches!(fleet.events[..], [Event::Platform(..)])
    };
    let mut keys = (0..).map(|i| format!("key-{i}")).filter(is_relayed);
    let (first, second) = (keys.next().unwrap(), keys.next().unwrap());
    fleet.book(0, &first);
    assert!(fleet.settle(Event::is_claim_answer));
    let late = fleet.next_event().unwrap();
    fleet.restart(0);
    fleet.book(0, &second);
    fleet.events.clear();
    fleet.happen(late);
    fleet.settle(|_| false);
    assert!(fleet.runs_by_key.is_empty(), "ran without a claim");
}
