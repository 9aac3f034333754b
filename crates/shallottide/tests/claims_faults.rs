//! Fault matrix of claims: a fault hits a booking, then its caller retries at other nodes.

mod call_support;

use std::time::Duration;

use call_support::platform::WriteFault;
use call_support::test_cluster::{Event, TestCluster};
use shallottide::claims::ClaimOptions;
use shallottide_types::call::ReplyEvent;
use shallottide_types::cases;
use shallottide_types::refusal::{Ran, RefusalKind};

/// Longer than any timeout but shorter than the retention.
const LONG: Duration = Duration::from_mins(1);

/// Progress of the first booking when the fault is injected.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Step {
    /// Nothing was sent to the platform yet.
    BeforeClaim,
    /// The claim is written; the platform's answer is in transit.
    ClaimWritten,
    /// The claim is granted; the call is on its way to the upstream.
    Dispatched,
    /// The upstream ran the call; its answer is in transit.
    Ran,
    /// Part of the answer has arrived.
    HalfAnswered,
    /// The caller has the answer; the outcome is not written yet.
    Answered,
    /// The outcome is written.
    Recorded,
}
use Step::{Answered, BeforeClaim, ClaimWritten, Dispatched, HalfAnswered, Recorded};

#[derive(Debug, Clone, Copy)]
enum Fault {
    /// The node restarts with a new incarnation.
    Restart,
    /// The node is paused for a long time, then resumes with its old state.
    Pause,
    /// The node cannot reach the platform.
    CutOff,
    /// No node can reach the platform.
    PlatformDown,
    /// All events in transit are lost.
    AllLost,
}
use Fault::{AllLost, CutOff, Pause, PlatformDown, Restart};

#[derive(Debug, PartialEq, Eq)]
enum Outcome {
    Complete,
    Refused(RefusalKind, Ran),
    NoReply,
}
use Outcome::{Complete, NoReply, Refused};

const UNKNOWN: Outcome = Refused(RefusalKind::OutcomeUnknown, Ran::Unknown);
const DOWN: Outcome = Refused(RefusalKind::PlatformDown, Ran::Unknown);
const RUNNING: Outcome = Refused(RefusalKind::Running, Ran::Unknown);
const DEADLINE_EXCEEDED: Outcome = Refused(RefusalKind::DeadlineExceeded, Ran::Unknown);

fn outcome(cluster: &TestCluster, call: u64) -> Outcome {
    match cluster.replies[&call].as_slice() {
        [] => NoReply,
        [.., ReplyEvent::End] => Complete,
        [.., ReplyEvent::Fail(refusal)] => Refused(refusal.kind, refusal.ran),
        other => panic!("not an answer: {other:?}"),
    }
}

/// Preferred writer of the key's partition.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Writer {
    /// The node of the first booking.
    Own = 0,
    /// The node of the retry.
    Retry = 1,
    /// A third node.
    Third = 2,
}
use Writer::{Own, Retry, Third};

/// Returns a key whose partition has the given preferred writer.
fn key_written_by(writer: Writer) -> String {
    let is_written = |key: &String| {
        let mut cluster = TestCluster::new(3, ClaimOptions::default());
        cluster.book(writer as usize, key);
        matches!(cluster.events[..], [Event::Platform(..)])
    };
    let mut keys = (0..).map(|i| format!("key-{i}"));
    keys.find(is_written).unwrap()
}

/// Books at node 0 of a new cluster and processes events up to the step.
fn booked_up_to(step: Step, key: &str) -> (TestCluster, u64) {
    let mut cluster = TestCluster::new(3, ClaimOptions::default());
    let call = book_up_to(&mut cluster, step, key);
    (cluster, call)
}

fn book_up_to(cluster: &mut TestCluster, step: Step, key: &str) -> u64 {
    let call = cluster.book(0, key);
    match step {
        BeforeClaim => {}
        ClaimWritten => assert!(cluster.run_until(Event::is_swap_reply)),
        Dispatched => assert!(cluster.run_until(Event::is_dispatch)),
        Step::Ran => {
            assert!(cluster.run_until(Event::is_dispatch));
            let run = cluster.next_event().unwrap();
            cluster.process(run);
        }
        HalfAnswered => {
            assert!(cluster.run_until(Event::is_answer));
            let head = cluster.next_event().unwrap();
            cluster.process(head);
        }
        Answered => assert!(!cluster.run_until(|_| false)),
        Recorded => cluster.advance_time(Duration::from_secs(2)),
    }
    call
}

fn inject(cluster: &mut TestCluster, i: usize, fault: Fault) {
    match fault {
        Restart => cluster.restart(i),
        Pause => cluster.nodes[i].paused = true,
        CutOff => cluster.nodes[i].cut_off = true,
        PlatformDown => cluster
            .nodes
            .iter_mut()
            .for_each(|node| node.cut_off = true),
        AllLost => cluster.events.clear(),
    }
}

/// Injects a fault at the node of the first booking.
fn check(writer: Writer, step: Step, fault: Fault, expected: &[Outcome; 3]) {
    let key = &key_written_by(writer);
    let (mut cluster, call) = booked_up_to(step, key);
    inject(&mut cluster, 0, fault);
    retry_and_check(&mut cluster, call, key, expected);
}

/// Retries immediately at node 1, and at node 2 after the faults are cleared; checks the outcomes.
fn retry_and_check(cluster: &mut TestCluster, call: u64, key: &str, expected: &[Outcome; 3]) {
    let second = cluster.book(1, key);
    cluster.advance_time(Duration::from_secs(10));
    let retry = outcome(cluster, second);
    cluster.advance_time(LONG);
    for node in &mut cluster.nodes {
        (node.paused, node.cut_off) = (false, false);
    }
    cluster.advance_time(LONG);
    let third = cluster.book(2, key);
    cluster.advance_time(LONG);
    cluster.check_invariants();
    cluster.check_idle();
    assert_eq!(
        [outcome(cluster, call), retry, outcome(cluster, third)],
        *expected
    );
}

cases! {
    check;
    own_restart_before_claim: Own, BeforeClaim, Restart, &[NoReply, Complete, Complete];
    own_restart_claim_written: Own, ClaimWritten, Restart, &[NoReply, UNKNOWN, UNKNOWN];
    own_restart_dispatched: Own, Dispatched, Restart, &[NoReply, UNKNOWN, UNKNOWN];
    own_restart_ran: Own, Step::Ran, Restart, &[NoReply, UNKNOWN, UNKNOWN];
    own_restart_half_answered: Own, HalfAnswered, Restart, &[NoReply, UNKNOWN, UNKNOWN];
    own_restart_answered: Own, Answered, Restart, &[Complete, UNKNOWN, UNKNOWN];
    own_restart_recorded: Own, Recorded, Restart, &[Complete, Complete, Complete];
    own_pause_before_claim: Own, BeforeClaim, Pause, &[DEADLINE_EXCEEDED, Complete, Complete];
    own_pause_claim_written: Own, ClaimWritten, Pause, &[DEADLINE_EXCEEDED, RUNNING, Complete];
    own_pause_dispatched: Own, Dispatched, Pause, &[UNKNOWN, RUNNING, UNKNOWN];
    own_pause_ran: Own, Step::Ran, Pause, &[UNKNOWN, RUNNING, UNKNOWN];
    own_pause_half_answered: Own, HalfAnswered, Pause, &[UNKNOWN, RUNNING, UNKNOWN];
    own_pause_answered: Own, Answered, Pause, &[Complete, RUNNING, Complete];
    own_pause_recorded: Own, Recorded, Pause, &[Complete, Complete, Complete];
    own_cut_off_before_claim: Own, BeforeClaim, CutOff, &[DOWN, Complete, Complete];
    own_cut_off_claim_written: Own, ClaimWritten, CutOff, &[Complete, RUNNING, Complete];
    own_cut_off_dispatched: Own, Dispatched, CutOff, &[Complete, RUNNING, Complete];
    own_cut_off_ran: Own, Step::Ran, CutOff, &[Complete, RUNNING, Complete];
    own_cut_off_half_answered: Own, HalfAnswered, CutOff, &[Complete, RUNNING, Complete];
    own_cut_off_answered: Own, Answered, CutOff, &[Complete, RUNNING, Complete];
    own_cut_off_recorded: Own, Recorded, CutOff, &[Complete, Complete, Complete];
    own_platform_down_before_claim: Own, BeforeClaim, PlatformDown, &[DOWN, DOWN, Complete];
    own_platform_down_claim_written: Own, ClaimWritten, PlatformDown, &[Complete, DOWN, Complete];
    own_platform_down_dispatched: Own, Dispatched, PlatformDown, &[Complete, DOWN, Complete];
    own_platform_down_ran: Own, Step::Ran, PlatformDown, &[Complete, DOWN, Complete];
    own_platform_down_half_answered: Own, HalfAnswered, PlatformDown, &[Complete, DOWN, Complete];
    own_platform_down_answered: Own, Answered, PlatformDown, &[Complete, DOWN, Complete];
    own_platform_down_recorded: Own, Recorded, PlatformDown, &[Complete, Complete, Complete];
    own_all_lost_before_claim: Own, BeforeClaim, AllLost, &[RUNNING, Complete, Complete];
    own_all_lost_claim_written: Own, ClaimWritten, AllLost, &[Complete, RUNNING, Complete];
    own_all_lost_dispatched: Own, Dispatched, AllLost, &[UNKNOWN, RUNNING, UNKNOWN];
    own_all_lost_ran: Own, Step::Ran, AllLost, &[UNKNOWN, RUNNING, UNKNOWN];
    own_all_lost_half_answered: Own, HalfAnswered, AllLost, &[UNKNOWN, RUNNING, UNKNOWN];
    own_all_lost_answered: Own, Answered, AllLost, &[Complete, Complete, Complete];
    own_all_lost_recorded: Own, Recorded, AllLost, &[Complete, Complete, Complete];
    retry_restart_before_claim: Retry, BeforeClaim, Restart, &[NoReply, Complete, Complete];
    retry_restart_claim_written: Retry, ClaimWritten, Restart, &[NoReply, UNKNOWN, UNKNOWN];
    retry_restart_dispatched: Retry, Dispatched, Restart, &[NoReply, UNKNOWN, UNKNOWN];
    retry_restart_ran: Retry, Step::Ran, Restart, &[NoReply, UNKNOWN, UNKNOWN];
    retry_restart_half_answered: Retry, HalfAnswered, Restart, &[NoReply, UNKNOWN, UNKNOWN];
    retry_restart_answered: Retry, Answered, Restart, &[Complete, Complete, Complete];
    retry_restart_recorded: Retry, Recorded, Restart, &[Complete, Complete, Complete];
    retry_pause_before_claim: Retry, BeforeClaim, Pause, &[DEADLINE_EXCEEDED, Complete, Complete];
    retry_pause_claim_written: Retry, ClaimWritten, Pause, &[DEADLINE_EXCEEDED, RUNNING, Complete];
    retry_pause_dispatched: Retry, Dispatched, Pause, &[UNKNOWN, RUNNING, UNKNOWN];
    retry_pause_ran: Retry, Step::Ran, Pause, &[UNKNOWN, RUNNING, UNKNOWN];
    retry_pause_half_answered: Retry, HalfAnswered, Pause, &[UNKNOWN, RUNNING, UNKNOWN];
    retry_pause_answered: Retry, Answered, Pause, &[Complete, Complete, Complete];
    retry_pause_recorded: Retry, Recorded, Pause, &[Complete, Complete, Complete];
    retry_cut_off_before_claim: Retry, BeforeClaim, CutOff, &[RUNNING, Complete, Complete];
    retry_cut_off_claim_written: Retry, ClaimWritten, CutOff, &[Complete, RUNNING, Complete];
    retry_cut_off_dispatched: Retry, Dispatched, CutOff, &[Complete, RUNNING, Complete];
    retry_cut_off_ran: Retry, Step::Ran, CutOff, &[Complete, RUNNING, Complete];
    retry_cut_off_half_answered: Retry, HalfAnswered, CutOff, &[Complete, RUNNING, Complete];
    retry_cut_off_answered: Retry, Answered, CutOff, &[Complete, Complete, Complete];
    retry_cut_off_recorded: Retry, Recorded, CutOff, &[Complete, Complete, Complete];
    retry_platform_down_before_claim: Retry, BeforeClaim, PlatformDown, &[DOWN, DOWN, Complete];
    retry_platform_down_claim_written: Retry, ClaimWritten, PlatformDown, &[Complete, DOWN, Complete];
    retry_platform_down_dispatched: Retry, Dispatched, PlatformDown, &[Complete, DOWN, Complete];
    retry_platform_down_ran: Retry, Step::Ran, PlatformDown, &[Complete, DOWN, Complete];
    retry_platform_down_half_answered: Retry, HalfAnswered, PlatformDown, &[Complete, DOWN, Complete];
    retry_platform_down_answered: Retry, Answered, PlatformDown, &[Complete, DOWN, Complete];
    retry_platform_down_recorded: Retry, Recorded, PlatformDown, &[Complete, Complete, Complete];
    retry_all_lost_before_claim: Retry, BeforeClaim, AllLost, &[Complete, Complete, Complete];
    retry_all_lost_claim_written: Retry, ClaimWritten, AllLost, &[Complete, RUNNING, Complete];
    retry_all_lost_dispatched: Retry, Dispatched, AllLost, &[UNKNOWN, RUNNING, UNKNOWN];
    retry_all_lost_ran: Retry, Step::Ran, AllLost, &[UNKNOWN, RUNNING, UNKNOWN];
    retry_all_lost_half_answered: Retry, HalfAnswered, AllLost, &[UNKNOWN, RUNNING, UNKNOWN];
    retry_all_lost_answered: Retry, Answered, AllLost, &[Complete, Complete, Complete];
    retry_all_lost_recorded: Retry, Recorded, AllLost, &[Complete, Complete, Complete];
    third_restart_before_claim: Third, BeforeClaim, Restart, &[NoReply, UNKNOWN, UNKNOWN];
    third_restart_claim_written: Third, ClaimWritten, Restart, &[NoReply, UNKNOWN, UNKNOWN];
    third_restart_dispatched: Third, Dispatched, Restart, &[NoReply, UNKNOWN, UNKNOWN];
    third_restart_ran: Third, Step::Ran, Restart, &[NoReply, UNKNOWN, UNKNOWN];
    third_restart_half_answered: Third, HalfAnswered, Restart, &[NoReply, UNKNOWN, UNKNOWN];
    third_restart_answered: Third, Answered, Restart, &[Complete, Complete, Complete];
    third_restart_recorded: Third, Recorded, Restart, &[Complete, Complete, Complete];
    third_pause_before_claim: Third, BeforeClaim, Pause, &[DEADLINE_EXCEEDED, RUNNING, Complete];
    third_pause_claim_written: Third, ClaimWritten, Pause, &[DEADLINE_EXCEEDED, RUNNING, Complete];
    third_pause_dispatched: Third, Dispatched, Pause, &[UNKNOWN, RUNNING, UNKNOWN];
    third_pause_ran: Third, Step::Ran, Pause, &[UNKNOWN, RUNNING, UNKNOWN];
    third_pause_half_answered: Third, HalfAnswered, Pause, &[UNKNOWN, RUNNING, UNKNOWN];
    third_pause_answered: Third, Answered, Pause, &[Complete, Complete, Complete];
    third_pause_recorded: Third, Recorded, Pause, &[Complete, Complete, Complete];
    third_cut_off_before_claim: Third, BeforeClaim, CutOff, &[Complete, RUNNING, Complete];
    third_cut_off_claim_written: Third, ClaimWritten, CutOff, &[Complete, RUNNING, Complete];
    third_cut_off_dispatched: Third, Dispatched, CutOff, &[Complete, RUNNING, Complete];
    third_cut_off_ran: Third, Step::Ran, CutOff, &[Complete, RUNNING, Complete];
    third_cut_off_half_answered: Third, HalfAnswered, CutOff, &[Complete, RUNNING, Complete];
    third_cut_off_answered: Third, Answered, CutOff, &[Complete, Complete, Complete];
    third_cut_off_recorded: Third, Recorded, CutOff, &[Complete, Complete, Complete];
    third_platform_down_before_claim: Third, BeforeClaim, PlatformDown, &[DOWN, DOWN, Complete];
    third_platform_down_claim_written: Third, ClaimWritten, PlatformDown, &[Complete, DOWN, Complete];
    third_platform_down_dispatched: Third, Dispatched, PlatformDown, &[Complete, DOWN, Complete];
    third_platform_down_ran: Third, Step::Ran, PlatformDown, &[Complete, DOWN, Complete];
    third_platform_down_half_answered: Third, HalfAnswered, PlatformDown, &[Complete, DOWN, Complete];
    third_platform_down_answered: Third, Answered, PlatformDown, &[Complete, DOWN, Complete];
    third_platform_down_recorded: Third, Recorded, PlatformDown, &[Complete, Complete, Complete];
    third_all_lost_before_claim: Third, BeforeClaim, AllLost, &[Complete, Complete, Complete];
    third_all_lost_claim_written: Third, ClaimWritten, AllLost, &[Complete, RUNNING, Complete];
    third_all_lost_dispatched: Third, Dispatched, AllLost, &[UNKNOWN, RUNNING, UNKNOWN];
    third_all_lost_ran: Third, Step::Ran, AllLost, &[UNKNOWN, RUNNING, UNKNOWN];
    third_all_lost_half_answered: Third, HalfAnswered, AllLost, &[UNKNOWN, RUNNING, UNKNOWN];
    third_all_lost_answered: Third, Answered, AllLost, &[Complete, Complete, Complete];
    third_all_lost_recorded: Third, Recorded, AllLost, &[Complete, Complete, Complete];
}

/// Injects a fault at the node that writes the partition.
fn check_writer(fault: Fault, expected: &[Outcome; 3]) {
    let key = &key_written_by(Third);
    let (mut cluster, call) = booked_up_to(BeforeClaim, key);
    inject(&mut cluster, 2, fault);
    retry_and_check(&mut cluster, call, key, expected);
}

cases! {
    check_writer;
    writer_restart: Restart, &[Complete, RUNNING, Complete];
    writer_pause: Pause, &[Complete, RUNNING, Complete];
    writer_cut_off: CutOff, &[Complete, RUNNING, Complete];
}

/// Injects a fault at the node that dispatches the forwarded booking.
fn check_dispatcher(step: Step, fault: Fault, expected: &[Outcome; 3]) {
    let key = &key_written_by(Third);
    let mut cluster = TestCluster::new(3, ClaimOptions::default());
    cluster.forward_from(0);
    let call = book_up_to(&mut cluster, step, key);
    inject(&mut cluster, 1, fault);
    retry_and_check(&mut cluster, call, key, expected);
}

cases! {
    check_dispatcher;
    dispatcher_restart_dispatched: Dispatched, Restart, &[UNKNOWN, RUNNING, UNKNOWN];
    dispatcher_restart_ran: Step::Ran, Restart, &[UNKNOWN, RUNNING, UNKNOWN];
    dispatcher_restart_half_answered: HalfAnswered, Restart, &[UNKNOWN, RUNNING, UNKNOWN];
    dispatcher_restart_answered: Answered, Restart, &[Complete, Complete, Complete];
    dispatcher_pause_dispatched: Dispatched, Pause, &[UNKNOWN, NoReply, UNKNOWN];
    dispatcher_pause_ran: Step::Ran, Pause, &[UNKNOWN, NoReply, UNKNOWN];
    dispatcher_pause_half_answered: HalfAnswered, Pause, &[UNKNOWN, NoReply, UNKNOWN];
    dispatcher_cut_off: Dispatched, CutOff, &[Complete, RUNNING, Complete];
    dispatcher_all_lost_ran: Step::Ran, AllLost, &[UNKNOWN, RUNNING, UNKNOWN];
}

/// Injects a fault into one write, that of the claim or that of the outcome.
fn check_write(step: Step, fault: WriteFault) {
    let key = &key_written_by(Own);
    let mut cluster = TestCluster::new(3, ClaimOptions::default());
    let call = if step == ClaimWritten {
        cluster.platform.faults.push_back(fault);
        cluster.book(0, key)
    } else {
        let call = book_up_to(&mut cluster, Answered, key);
        cluster.platform.faults.push_back(fault);
        call
    };
    cluster.advance_time(Duration::from_secs(2));
    cluster.platform.apply_delayed();
    cluster.advance_time(Duration::from_secs(2));
    assert!(
        cluster.platform.faults.is_empty(),
        "the fault was not injected"
    );
    retry_and_check(&mut cluster, call, key, &[Complete, Complete, Complete]);
}

cases! {
    check_write;
    claim_lost_before_effect: ClaimWritten, WriteFault::LostBefore;
    claim_lost_after_effect: ClaimWritten, WriteFault::LostAfter;
    claim_delayed: ClaimWritten, WriteFault::Delayed;
    claim_not_sent: ClaimWritten, WriteFault::Unreachable;
    claim_limited: ClaimWritten, WriteFault::Limited;
    outcome_lost_before_effect: Answered, WriteFault::LostBefore;
    outcome_lost_after_effect: Answered, WriteFault::LostAfter;
    outcome_delayed: Answered, WriteFault::Delayed;
    outcome_not_sent: Answered, WriteFault::Unreachable;
    outcome_limited: Answered, WriteFault::Limited;
}

/// Makes the platform unreachable right after a fault in a claim's write.
fn check_write_then_down(fault: WriteFault, expected: &[Outcome; 3]) {
    let key = &key_written_by(Own);
    let mut cluster = TestCluster::new(3, ClaimOptions::default());
    cluster.platform.faults.push_back(fault);
    let call = cluster.book(0, key);
    cluster.run_until(|_| false);
    inject(&mut cluster, 0, PlatformDown);
    cluster.advance_time(Duration::from_secs(10));
    cluster.platform.apply_delayed();
    retry_and_check(&mut cluster, call, key, expected);
}

cases! {
    check_write_then_down;
    claim_lost_before_effect_then_down: WriteFault::LostBefore, &[DOWN, DOWN, Complete];
    claim_lost_after_effect_then_down: WriteFault::LostAfter, &[DOWN, DOWN, Complete];
    claim_delayed_then_down: WriteFault::Delayed, &[DOWN, DOWN, Complete];
    claim_not_sent_then_down: WriteFault::Unreachable, &[DOWN, DOWN, Complete];
}

/// Another node writes the partition between this node's read and its write.
#[test]
fn claim_after_a_write_conflict_gets_the_recorded_answer() {
    let key = &key_written_by(Own);
    let mut cluster = TestCluster::new(3, ClaimOptions::default());
    let call = cluster.book(0, key);
    let is_write = |event: &Event| {
        matches!(event, Event::Platform(0, _, request)
        if matches!(request.op, shallottide::message::PlatformOp::Swap { .. }))
    };
    assert!(cluster.run_until(is_write));
    let write = cluster.next_event().unwrap();
    cluster.nodes[0].paused = true;
    let retry = cluster.book(1, key);
    cluster.advance_time(Duration::from_secs(2));
    assert_eq!(outcome(&cluster, retry), Complete);
    cluster.process(write);
    cluster.nodes[0].paused = false;
    cluster.advance_time(Duration::from_secs(2));
    assert_eq!(outcome(&cluster, call), Complete, "the recorded answer");
    cluster.check_invariants();
    cluster.check_idle();
}

/// The node of the first booking is paused and never resumes.
#[test]
fn claim_of_a_permanently_paused_node_expires() {
    let key = &key_written_by(Third);
    let (mut cluster, _) = booked_up_to(Dispatched, key);
    inject(&mut cluster, 0, Pause);
    cluster.advance_time(LONG);
    for node in [1, 2] {
        let retry = cluster.book(node, key);
        cluster.advance_time(Duration::from_secs(2));
        assert_eq!(outcome(&cluster, retry), UNKNOWN);
    }
    assert!(cluster.runs_by_key.is_empty());
}

/// The answer of a writer that wrote the claim is lost, and the requesting node cannot reach the
/// platform.
#[test]
fn claim_is_released_if_the_answer_of_its_writer_is_lost() {
    let key = &key_written_by(Third);
    let mut cluster = TestCluster::new(3, ClaimOptions::default());
    cluster.publish_view(0, |node| node != 1);
    let call = cluster.book(0, key);
    assert!(cluster.run_until(Event::is_claim_answer));
    cluster.events.clear();
    inject(&mut cluster, 0, CutOff);
    cluster.advance_time(Duration::from_secs(10));
    assert_eq!(outcome(&cluster, call), DOWN);
    cluster.advance_time(LONG);
    let retry = cluster.book(1, key);
    cluster.advance_time(Duration::from_secs(5));
    assert_eq!(outcome(&cluster, retry), Complete);
    cluster.check_invariants();
}

/// The first writer is paused, and the requesting node cannot reach the platform.
#[test]
fn claim_moves_to_the_second_writer_if_the_first_does_not_answer() {
    let key = &key_written_by(Third);
    let mut cluster = TestCluster::new(3, ClaimOptions::default());
    cluster.publish_view(0, |node| node != 0);
    let call = cluster.book(0, key);
    inject(&mut cluster, 2, Pause);
    inject(&mut cluster, 0, CutOff);
    cluster.advance_time(Duration::from_secs(5));
    assert_eq!(outcome(&cluster, call), Complete);
    cluster.check_invariants();
}

/// Two nodes that see each other as dead write the same partition repeatedly.
#[test]
fn two_writers_of_a_partition_both_get_their_claims() {
    let mut cluster = TestCluster::new(2, ClaimOptions::default());
    cluster.publish_view(0, |node| node == 0);
    cluster.publish_view(1, |node| node == 1);
    let mut keys = keys_of_one_partition();
    let mut calls = Vec::new();
    for _ in 0..100 {
        for node in 0..2 {
            calls.push(cluster.book(node, &keys.next().unwrap()));
        }
        cluster.advance_time(Duration::from_millis(100));
    }
    cluster.advance_time(Duration::from_secs(4));
    let complete = calls
        .iter()
        .filter(|call| outcome(&cluster, **call) == Complete)
        .count();
    assert_eq!(complete, calls.len());
    cluster.check_invariants();
}

/// Returns distinct keys of one partition.
fn keys_of_one_partition() -> impl Iterator<Item = String> {
    let value_of = |key: &String| {
        let mut cluster = TestCluster::new(1, ClaimOptions::default());
        cluster.book(0, key);
        match cluster.next_event() {
            Some(Event::Platform(_, _, request)) => match request.op {
                shallottide::message::PlatformOp::Get(value) => value,
                op => panic!("not a read: {op:?}"),
            },
            event => panic!("no platform call: {event:?}"),
        }
    };
    let keys = (0..).map(|i| format!("key-{i}"));
    keys.filter(move |key| value_of(key) == "claims/00")
}
