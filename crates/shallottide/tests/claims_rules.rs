//! Retention, size limits and platform calls of the claims service.

mod call_support;

use std::time::Duration;

use call_support::test_cluster::{Event, TestCluster};
use shallottide::claims::ClaimOptions;
use shallottide::message::PlatformOp;
use shallottide_types::call::ReplyEvent;
use shallottide_types::refusal::RefusalKind;

const SECOND: Duration = Duration::from_secs(1);
/// Longer than the default retention and the delay before keys past it are dropped.
const PAST_RETENTION: Duration = Duration::from_mins(12);

/// Returns the kind of a call's refusal, or `None` if its answer is complete.
fn refusal(cluster: &TestCluster, call: u64) -> Option<RefusalKind> {
    match cluster.replies[&call].as_slice() {
        [.., ReplyEvent::End] => None,
        [.., ReplyEvent::Fail(refusal)] => Some(refusal.kind),
        other => panic!("not an answer: {other:?}"),
    }
}

/// Books at a node and waits for the answer.
fn book(cluster: &mut TestCluster, node: usize, key: &str) -> Option<RefusalKind> {
    let call = cluster.book(node, key);
    cluster.advance_time(5 * SECOND);
    refusal(cluster, call)
}

fn partition_of(key: &str) -> String {
    let mut cluster = TestCluster::new(1, ClaimOptions::default());
    cluster.book(0, key);
    match cluster.events.pop() {
        Some(Event::Platform(_, _, request)) => match request.op {
            PlatformOp::Get(key) => key,
            other => panic!("not a read: {other:?}"),
        },
        other => panic!("not a platform call: {other:?}"),
    }
}

/// Returns distinct keys of one partition.
fn keys_of_one_partition(count: usize) -> Vec<String> {
    let wanted = partition_of("key-0");
    let keys = (0..).map(|i| format!("key-{i}"));
    keys.filter(|key| partition_of(key) == wanted)
        .take(count)
        .collect()
}

/// Spreads distinct bookings over the nodes for ten seconds; returns the number of writes.
fn writes(nodes: usize, bookings_per_tick: usize) -> u64 {
    let mut cluster = TestCluster::new(nodes, ClaimOptions::default());
    for tick in 0..100 {
        cluster.book_many(&format!("tick-{tick}"), bookings_per_tick);
        cluster.advance_time(Duration::from_millis(100));
    }
    cluster.advance_time(10 * SECOND);
    assert_eq!(cluster.runs_by_key.len(), 100 * bookings_per_tick);
    cluster.check_invariants();
    cluster.check_idle();
    cluster.platform.writes
}

#[test]
fn writes_do_not_grow_with_the_number_of_nodes() {
    let (few, many) = (writes(2, 10), writes(32, 10));
    assert!(
        many <= few + few / 10,
        "{few} writes by 2 nodes, {many} by 32"
    );
}

#[test]
fn writes_are_bounded_for_any_number_of_calls() {
    // 32 partitions, at most 5 rounds per second each, 15 seconds with claims or outcomes.
    const MAX_WRITES: u64 = 32 * 5 * 15;
    let (few, many) = (writes(4, 2), writes(4, 50));
    assert!(
        many <= MAX_WRITES,
        "{many} writes for 5000 bookings, {few} for 200"
    );
    assert!(
        many < 10 * few,
        "{many} writes for 5000 bookings, {few} for 200"
    );
}

#[test]
fn queued_claims_share_a_write() {
    let keys = keys_of_one_partition(20);
    let mut cluster = TestCluster::new(1, ClaimOptions::default());
    for key in &keys {
        cluster.book(0, key);
    }
    cluster.advance_time(5 * SECOND);
    assert_eq!(cluster.runs_by_key.len(), keys.len());
    // All claims arrive during the first read and share one write; all outcomes share another.
    assert_eq!(cluster.platform.writes, 2);
}

#[test]
fn key_past_its_retention_is_refused() {
    let keys = keys_of_one_partition(2);
    let mut cluster = TestCluster::new(3, ClaimOptions::default());
    assert_eq!(book(&mut cluster, 0, &keys[0]), None);
    cluster.advance_time(PAST_RETENTION);
    assert_eq!(book(&mut cluster, 1, &keys[1]), None);
    cluster.advance_time(SECOND);
    assert_eq!(
        book(&mut cluster, 1, &keys[0]),
        Some(RefusalKind::KeyExpired)
    );
    cluster.restart(1);
    assert_eq!(
        book(&mut cluster, 2, &keys[0]),
        Some(RefusalKind::KeyExpired)
    );
    cluster.check_invariants();
}

/// Another node writes the partition, so that this node's cached old keys are outdated.
#[test]
fn key_dropped_by_another_writer_is_refused() {
    let keys = keys_of_one_partition(12);
    let options = ClaimOptions {
        max_recent_bytes: 600,
        ..ClaimOptions::default()
    };
    let mut cluster = TestCluster::new(2, options);
    for i in 0..2 {
        cluster.publish_view(i, |j| i == j);
    }
    assert_eq!(book(&mut cluster, 0, &keys[0]), None);
    for key in &keys[1..] {
        assert_eq!(book(&mut cluster, 1, key), None);
    }
    let expired = Some(RefusalKind::KeyExpired);
    assert_eq!(book(&mut cluster, 0, &keys[1]), expired);
    cluster.check_invariants();
}

#[test]
fn expired_keys_are_removed_after_the_window() {
    let keys = keys_of_one_partition(2);
    let options = ClaimOptions {
        old_window: Duration::from_mins(30),
        max_old_keys: 1,
        ..ClaimOptions::default()
    };
    let mut cluster = TestCluster::new(1, options);
    assert_eq!(book(&mut cluster, 0, &keys[0]), None);
    cluster.advance_time(PAST_RETENTION);
    let full = Some(RefusalKind::PlatformDown);
    assert_eq!(
        book(&mut cluster, 0, &keys[1]),
        full,
        "no room for old keys"
    );
    cluster.clock.advance(Duration::from_hours(2));
    assert_eq!(book(&mut cluster, 0, &keys[1]), None);
}

#[test]
fn stored_values_stay_within_the_size_limit() {
    const MAX_RECENT_BYTES: usize = 4 << 10;
    let keys = keys_of_one_partition(150);
    let options = ClaimOptions {
        max_recent_bytes: MAX_RECENT_BYTES,
        ..ClaimOptions::default()
    };
    let mut cluster = TestCluster::new(2, options);
    for key in &keys {
        cluster.book(0, key);
        cluster.advance_time(SECOND);
    }
    cluster.advance_time(5 * SECOND);
    let ran = cluster.runs_by_key.len();
    assert!(ran > keys.len() * 9 / 10, "{ran} ran");
    let largest_value = cluster.platform.largest_value;
    assert!(
        largest_value <= MAX_RECENT_BYTES + 128,
        "{largest_value} bytes"
    );
    for key in &keys {
        cluster.book(1, key);
        cluster.advance_time(SECOND);
    }
    cluster.check_invariants();
}

/// Sends more bookings at once than fit into a value.
#[test]
fn burst_over_the_size_limit_is_refused() {
    const MAX_RECENT_BYTES: usize = 4 << 10;
    let options = ClaimOptions {
        max_recent_bytes: MAX_RECENT_BYTES,
        ..ClaimOptions::default()
    };
    let mut cluster = TestCluster::new(1, options);
    let keys = keys_of_one_partition(100);
    let calls: Vec<_> = keys.iter().map(|key| cluster.book(0, key)).collect();
    cluster.advance_time(5 * SECOND);
    let refused = calls.iter().filter_map(|call| refusal(&cluster, *call));
    let refused: Vec<_> = refused.collect();
    assert!(!refused.is_empty() && refused.len() < calls.len());
    assert!(
        refused
            .iter()
            .all(|kind| *kind == RefusalKind::PlatformDown)
    );
    let largest_value = cluster.platform.largest_value;
    assert!(
        largest_value <= MAX_RECENT_BYTES + 128,
        "{largest_value} bytes"
    );
}

#[test]
fn repeated_booking_runs_once() {
    let mut cluster = TestCluster::new(1, ClaimOptions::default());
    assert_eq!(book(&mut cluster, 0, "key"), None);
    assert_eq!(book(&mut cluster, 0, "key"), None);
    assert_eq!(cluster.runs_by_key["key"], 1);
}

#[test]
fn key_with_another_body_is_refused() {
    let mut cluster = TestCluster::new(2, ClaimOptions::default());
    assert_eq!(book(&mut cluster, 0, "key"), None);
    let call = cluster.book_with_body(1, "key", "another booking");
    cluster.advance_time(5 * SECOND);
    assert_eq!(refusal(&cluster, call), Some(RefusalKind::KeyReused));
    assert_eq!(cluster.runs_by_key["key"], 1);
}

/// The partition was written by another program version.
#[test]
fn value_of_another_format_is_not_overwritten() {
    let mut cluster = TestCluster::new(2, ClaimOptions::default());
    assert_eq!(book(&mut cluster, 0, "key"), None);
    cluster.platform.change_formats();
    cluster.restart(0);
    cluster.restart(1);
    let down = Some(RefusalKind::PlatformDown);
    assert_eq!(book(&mut cluster, 0, "key"), down);
    cluster.platform.change_formats();
    assert_eq!(book(&mut cluster, 0, "key"), None);
    assert_eq!(cluster.runs_by_key["key"], 1);
}

/// A restarted node receives the answer to a claim of its previous incarnation.
#[test]
fn late_grant_to_an_earlier_incarnation_is_ignored() {
    let mut cluster = TestCluster::new(2, ClaimOptions::default());
    let is_relayed = |key: &String| {
        let mut cluster = TestCluster::new(2, ClaimOptions::default());
        cluster.book(0, key);
        !matches!(cluster.events[..], [Event::Platform(..)])
    };
    let mut keys = (0..).map(|i| format!("key-{i}")).filter(is_relayed);
    let (first, second) = (keys.next().unwrap(), keys.next().unwrap());
    cluster.book(0, &first);
    assert!(cluster.run_until(Event::is_claim_answer));
    let late = cluster.next_event().unwrap();
    cluster.restart(0);
    cluster.book(0, &second);
    cluster.events.clear();
    cluster.process(late);
    cluster.run_until(|_| false);
    assert!(cluster.runs_by_key.is_empty(), "ran without a claim");
}
