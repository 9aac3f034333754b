//! The fault matrix of claims: a booking meets a fault, then its caller retries elsewhere.

mod call_support;

use std::time::Duration;

use call_support::fleet::{Event, Fleet};
use call_support::platform::WriteFault;
use shallottide::claims::ClaimOptions;
use shallottide_types::call::ReplyEvent;
use shallottide_types::cases;
use shallottide_types::refusal::{Ran, RefusalKind};

/// Longer than any timeout but shorter than the retention.
const LONG: Duration = Duration::from_mins(1);

/// How far the first booking is when the fault strikes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Step {
    /// Nothing has reached the platform.
    BeforeClaim,
    /// The claim is written, its answer on the way.
    ClaimWritten,
    /// The claim is granted, the call on its way to the upstream.
    Dispatched,
    /// The upstream ran it, the answer is on the way.
    Ran,
    /// Part of the answer has come.
    HalfAnswered,
    /// The caller has the answer, its outcome is not written.
    Answered,
    /// The outcome is written.
    Recorded,
}
use Step::{Answered, BeforeClaim, ClaimWritten, Dispatched, HalfAnswered, Recorded};

#[derive(Debug, Clone, Copy)]
enum Fault {
    /// The node is replaced by a fresh start.
    Restart,
    /// The node stands still for long, then goes on with what it had.
    Pause,
    /// The node is cut off from the platform.
    CutOff,
    /// The whole platform is down.
    PlatformDown,
    /// All that is on its way is lost.
    AllLost,
}
use Fault::{AllLost, CutOff, Pause, PlatformDown, Restart};

#[derive(Debug, PartialEq, Eq)]
enum Outcome {
    Whole,
    Refused(RefusalKind, Ran),
    Nothing,
}
use Outcome::{Nothing, Refused, Whole};

const UNKNOWN: Outcome = Refused(RefusalKind::OutcomeUnknown, Ran::Unknown);
const DOWN: Outcome = Refused(RefusalKind::PlatformDown, Ran::Unknown);
const RUNNING: Outcome = Refused(RefusalKind::Running, Ran::Unknown);
const LATE: Outcome = Refused(RefusalKind::DeadlineExceeded, Ran::Unknown);

fn outcome(fleet: &Fleet, call: u64) -> Outcome {
    match fleet.replies[&call].as_slice() {
        [] => Nothing,
        [.., ReplyEvent::End] => Whole,
        [.., ReplyEvent::Fail(refusal)] => Refused(refusal.kind, refusal.ran),
        other => panic!("not an answer: {other:?}"),
    }
}

/// Who writes the key's partition.
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

/// Finds a key whose partition a node prefers to write.
fn key_written_by(writer: Writer) -> String {
    let is_written = |key: &String| {
        let mut fleet = Fleet::new(3, ClaimOptions::default());
        fleet.book(writer as usize, key);
        matches!(fleet.events[..], [Event::Platform(..)])
    };
    let mut keys = (0..).map(|i| format!("key-{i}"));
    keys.find(is_written).unwrap()
}

/// Starts a booking at node 0 and stops at the step.
fn booked_up_to(step: Step, key: &str) -> (Fleet, u64) {
    let mut fleet = Fleet::new(3, ClaimOptions::default());
    let call = book_up_to(&mut fleet, step, key);
    (fleet, call)
}

fn book_up_to(fleet: &mut Fleet, step: Step, key: &str) -> u64 {
    let call = fleet.book(0, key);
    match step {
        BeforeClaim => {}
        ClaimWritten => assert!(fleet.settle(Event::is_swap_reply)),
        Dispatched => assert!(fleet.settle(Event::is_claim_granted)),
        Step::Ran => {
            assert!(fleet.settle(Event::is_claim_granted));
            let run = fleet.next_event().unwrap();
            fleet.happen(run);
        }
        HalfAnswered => {
            assert!(fleet.settle(Event::is_answer));
            let head = fleet.next_event().unwrap();
            fleet.happen(head);
        }
        Answered => assert!(!fleet.settle(|_| false)),
        Recorded => fleet.pass(Duration::from_secs(2)),
    }
    call
}

fn strike(fleet: &mut Fleet, i: usize, fault: Fault) {
    match fault {
        Restart => fleet.restart(i),
        Pause => fleet.nodes[i].paused = true,
        CutOff => fleet.nodes[i].cut_off = true,
        PlatformDown => fleet.nodes.iter_mut().for_each(|node| node.cut_off = true),
        AllLost => fleet.events.clear(),
    }
}

/// Lets a fault strike the node of the first booking.
fn check(writer: Writer, step: Step, fault: Fault, expected: &[Outcome; 3]) {
    let key = &key_written_by(writer);
    let (mut fleet, call) = booked_up_to(step, key);
    strike(&mut fleet, 0, fault);
    finish(&mut fleet, call, key, expected);
}

/// Retries at node 1 at once and, when all is well again, once more at node 2.
fn finish(fleet: &mut Fleet, call: u64, key: &str, expected: &[Outcome; 3]) {
    let second = fleet.book(1, key);
    fleet.pass(Duration::from_secs(10));
    let retry = outcome(fleet, second);
    fleet.pass(LONG);
    for node in &mut fleet.nodes {
        (node.paused, node.cut_off) = (false, false);
    }
    fleet.pass(LONG);
    let third = fleet.book(2, key);
    fleet.pass(LONG);
    fleet.check();
    fleet.check_quiet();
    assert_eq!(
        [outcome(fleet, call), retry, outcome(fleet, third)],
        *expected
    );
}

cases! {
    check;
    own_restart_before_claim: Own, BeforeClaim, Restart, &[Nothing, Whole, Whole];
    own_restart_claim_written: Own, ClaimWritten, Restart, &[Nothing, UNKNOWN, UNKNOWN];
    own_restart_dispatched: Own, Dispatched, Restart, &[Nothing, UNKNOWN, UNKNOWN];
    own_restart_ran: Own, Step::Ran, Restart, &[Nothing, UNKNOWN, UNKNOWN];
    own_restart_half_answered: Own, HalfAnswered, Restart, &[Nothing, UNKNOWN, UNKNOWN];
    own_restart_answered: Own, Answered, Restart, &[Whole, UNKNOWN, UNKNOWN];
    own_restart_recorded: Own, Recorded, Restart, &[Whole, Whole, Whole];
    own_pause_before_claim: Own, BeforeClaim, Pause, &[LATE, Whole, Whole];
    own_pause_claim_written: Own, ClaimWritten, Pause, &[LATE, RUNNING, Whole];
    own_pause_dispatched: Own, Dispatched, Pause, &[UNKNOWN, RUNNING, UNKNOWN];
    own_pause_ran: Own, Step::Ran, Pause, &[UNKNOWN, RUNNING, UNKNOWN];
    own_pause_half_answered: Own, HalfAnswered, Pause, &[UNKNOWN, RUNNING, UNKNOWN];
    own_pause_answered: Own, Answered, Pause, &[Whole, RUNNING, Whole];
    own_pause_recorded: Own, Recorded, Pause, &[Whole, Whole, Whole];
    own_cut_off_before_claim: Own, BeforeClaim, CutOff, &[DOWN, Whole, Whole];
    own_cut_off_claim_written: Own, ClaimWritten, CutOff, &[Whole, RUNNING, Whole];
    own_cut_off_dispatched: Own, Dispatched, CutOff, &[Whole, RUNNING, Whole];
    own_cut_off_ran: Own, Step::Ran, CutOff, &[Whole, RUNNING, Whole];
    own_cut_off_half_answered: Own, HalfAnswered, CutOff, &[Whole, RUNNING, Whole];
    own_cut_off_answered: Own, Answered, CutOff, &[Whole, RUNNING, Whole];
    own_cut_off_recorded: Own, Recorded, CutOff, &[Whole, Whole, Whole];
    own_platform_down_before_claim: Own, BeforeClaim, PlatformDown, &[DOWN, DOWN, Whole];
    own_platform_down_claim_written: Own, ClaimWritten, PlatformDown, &[Whole, DOWN, Whole];
    own_platform_down_dispatched: Own, Dispatched, PlatformDown, &[Whole, DOWN, Whole];
    own_platform_down_ran: Own, Step::Ran, PlatformDown, &[Whole, DOWN, Whole];
    own_platform_down_half_answered: Own, HalfAnswered, PlatformDown, &[Whole, DOWN, Whole];
    own_platform_down_answered: Own, Answered, PlatformDown, &[Whole, DOWN, Whole];
    own_platform_down_recorded: Own, Recorded, PlatformDown, &[Whole, Whole, Whole];
    own_all_lost_before_claim: Own, BeforeClaim, AllLost, &[RUNNING, Whole, Whole];
    own_all_lost_claim_written: Own, ClaimWritten, AllLost, &[Whole, RUNNING, Whole];
    own_all_lost_dispatched: Own, Dispatched, AllLost, &[UNKNOWN, RUNNING, UNKNOWN];
    own_all_lost_ran: Own, Step::Ran, AllLost, &[UNKNOWN, RUNNING, UNKNOWN];
    own_all_lost_half_answered: Own, HalfAnswered, AllLost, &[UNKNOWN, RUNNING, UNKNOWN];
    own_all_lost_answered: Own, Answered, AllLost, &[Whole, Whole, Whole];
    own_all_lost_recorded: Own, Recorded, AllLost, &[Whole, Whole, Whole];
    retry_restart_before_claim: Retry, BeforeClaim, Restart, &[Nothing, Whole, Whole];
    retry_restart_claim_written: Retry, ClaimWritten, Restart, &[Nothing, UNKNOWN, UNKNOWN];
    retry_restart_dispatched: Retry, Dispatched, Restart, &[Nothing, UNKNOWN, UNKNOWN];
    retry_restart_ran: Retry, Step::Ran, Restart, &[Nothing, UNKNOWN, UNKNOWN];
    retry_restart_half_answered: Retry, HalfAnswered, Restart, &[Nothing, UNKNOWN, UNKNOWN];
    retry_restart_answered: Retry, Answered, Restart, &[Whole, Whole, Whole];
    retry_restart_recorded: Retry, Recorded, Restart, &[Whole, Whole, Whole];
    retry_pause_before_claim: Retry, BeforeClaim, Pause, &[LATE, Whole, Whole];
    retry_pause_claim_written: Retry, ClaimWritten, Pause, &[LATE, RUNNING, Whole];
    retry_pause_dispatched: Retry, Dispatched, Pause, &[UNKNOWN, RUNNING, UNKNOWN];
    retry_pause_ran: Retry, Step::Ran, Pause, &[UNKNOWN, RUNNING, UNKNOWN];
    retry_pause_half_answered: Retry, HalfAnswered, Pause, &[UNKNOWN, RUNNING, UNKNOWN];
    retry_pause_answered: Retry, Answered, Pause, &[Whole, Whole, Whole];
    retry_pause_recorded: Retry, Recorded, Pause, &[Whole, Whole, Whole];
    retry_cut_off_before_claim: Retry, BeforeClaim, CutOff, &[RUNNING, Whole, Whole];
    retry_cut_off_claim_written: Retry, ClaimWritten, CutOff, &[Whole, RUNNING, Whole];
    retry_cut_off_dispatched: Retry, Dispatched, CutOff, &[Whole, RUNNING, Whole];
    retry_cut_off_ran: Retry, Step::Ran, CutOff, &[Whole, RUNNING, Whole];
    retry_cut_off_half_answered: Retry, HalfAnswered, CutOff, &[Whole, RUNNING, Whole];
    retry_cut_off_answered: Retry, Answered, CutOff, &[Whole, Whole, Whole];
    retry_cut_off_recorded: Retry, Recorded, CutOff, &[Whole, Whole, Whole];
    retry_platform_down_before_claim: Retry, BeforeClaim, PlatformDown, &[DOWN, DOWN, Whole];
    retry_platform_down_claim_written: Retry, ClaimWritten, PlatformDown, &[Whole, DOWN, Whole];
    retry_platform_down_dispatched: Retry, Dispatched, PlatformDown, &[Whole, DOWN, Whole];
    retry_platform_down_ran: Retry, Step::Ran, PlatformDown, &[Whole, DOWN, Whole];
    retry_platform_down_half_answered: Retry, HalfAnswered, PlatformDown, &[Whole, DOWN, Whole];
    retry_platform_down_answered: Retry, Answered, PlatformDown, &[Whole, DOWN, Whole];
    retry_platform_down_recorded: Retry, Recorded, PlatformDown, &[Whole, Whole, Whole];
    retry_all_lost_before_claim: Retry, BeforeClaim, AllLost, &[Whole, Whole, Whole];
    retry_all_lost_claim_written: Retry, ClaimWritten, AllLost, &[Whole, RUNNING, Whole];
    retry_all_lost_dispatched: Retry, Dispatched, AllLost, &[UNKNOWN, RUNNING, UNKNOWN];
    retry_all_lost_ran: Retry, Step::Ran, AllLost, &[UNKNOWN, RUNNING, UNKNOWN];
    retry_all_lost_half_answered: Retry, HalfAnswered, AllLost, &[UNKNOWN, RUNNING, UNKNOWN];
    retry_all_lost_answered: Retry, Answered, AllLost, &[Whole, Whole, Whole];
    retry_all_lost_recorded: Retry, Recorded, AllLost, &[Whole, Whole, Whole];
    third_restart_before_claim: Third, BeforeClaim, Restart, &[Nothing, UNKNOWN, UNKNOWN];
    third_restart_claim_written: Third, ClaimWritten, Restart, &[Nothing, UNKNOWN, UNKNOWN];
    third_restart_dispatched: Third, Dispatched, Restart, &[Nothing, UNKNOWN, UNKNOWN];
    third_restart_ran: Third, Step::Ran, Restart, &[Nothing, UNKNOWN, UNKNOWN];
    third_restart_half_answered: Third, HalfAnswered, Restart, &[Nothing, UNKNOWN, UNKNOWN];
    third_restart_answered: Third, Answered, Restart, &[Whole, Whole, Whole];
    third_restart_recorded: Third, Recorded, Restart, &[Whole, Whole, Whole];
    third_pause_before_claim: Third, BeforeClaim, Pause, &[LATE, RUNNING, Whole];
    third_pause_claim_written: Third, ClaimWritten, Pause, &[LATE, RUNNING, Whole];
    third_pause_dispatched: Third, Dispatched, Pause, &[UNKNOWN, RUNNING, UNKNOWN];
    third_pause_ran: Third, Step::Ran, Pause, &[UNKNOWN, RUNNING, UNKNOWN];
    third_pause_half_answered: Third, HalfAnswered, Pause, &[UNKNOWN, RUNNING, UNKNOWN];
    third_pause_answered: Third, Answered, Pause, &[Whole, Whole, Whole];
    third_pause_recorded: Third, Recorded, Pause, &[Whole, Whole, Whole];
    third_cut_off_before_claim: Third, BeforeClaim, CutOff, &[Whole, RUNNING, Whole];
    third_cut_off_claim_written: Third, ClaimWritten, CutOff, &[Whole, RUNNING, Whole];
    third_cut_off_dispatched: Third, Dispatched, CutOff, &[Whole, RUNNING, Whole];
    third_cut_off_ran: Third, Step::Ran, CutOff, &[Whole, RUNNING, Whole];
    third_cut_off_half_answered: Third, HalfAnswered, CutOff, &[Whole, RUNNING, Whole];
    third_cut_off_answered: Third, Answered, CutOff, &[Whole, Whole, Whole];
    third_cut_off_recorded: Third, Recorded, CutOff, &[Whole, Whole, Whole];
    third_platform_down_before_claim: Third, BeforeClaim, PlatformDown, &[DOWN, DOWN, Whole];
    third_platform_down_claim_written: Third, ClaimWritten, PlatformDown, &[Whole, DOWN, Whole];
    third_platform_down_dispatched: Third, Dispatched, PlatformDown, &[Whole, DOWN, Whole];
    third_platform_down_ran: Third, Step::Ran, PlatformDown, &[Whole, DOWN, Whole];
    third_platform_down_half_answered: Third, HalfAnswered, PlatformDown, &[Whole, DOWN, Whole];
    third_platform_down_answered: Third, Answered, PlatformDown, &[Whole, DOWN, Whole];
    third_platform_down_recorded: Third, Recorded, PlatformDown, &[Whole, Whole, Whole];
    third_all_lost_before_claim: Third, BeforeClaim, AllLost, &[Whole, Whole, Whole];
    third_all_lost_claim_written: Third, ClaimWritten, AllLost, &[Whole, RUNNING, Whole];
    third_all_lost_dispatched: Third, Dispatched, AllLost, &[UNKNOWN, RUNNING, UNKNOWN];
    third_all_lost_ran: Third, Step::Ran, AllLost, &[UNKNOWN, RUNNING, UNKNOWN];
    third_all_lost_half_answered: Third, HalfAnswered, AllLost, &[UNKNOWN, RUNNING, UNKNOWN];
    third_all_lost_answered: Third, Answered, AllLost, &[Whole, Whole, Whole];
    third_all_lost_recorded: Third, Recorded, AllLost, &[Whole, Whole, Whole];
}

/// Lets a fault strike the node that writes the partition.
fn check_writer(fault: Fault, expected: &[Outcome; 3]) {
    let key = &key_written_by(Third);
    let (mut fleet, call) = booked_up_to(BeforeClaim, key);
    strike(&mut fleet, 2, fault);
    finish(&mut fleet, call, key, expected);
}

cases! {
    check_writer;
    writer_restart: Restart, &[Whole, RUNNING, Whole];
    writer_pause: Pause, &[Whole, RUNNING, Whole];
    writer_cut_off: CutOff, &[Whole, RUNNING, Whole];
}

/// Lets a fault strike the node that dispatches the forwarded booking.
fn check_dispatcher(step: Step, fault: Fault, expected: &[Outcome; 3]) {
    let key = &key_written_by(Third);
    let mut fleet = Fleet::new(3, ClaimOptions::default());
    fleet.forward_from(0);
    let call = book_up_to(&mut fleet, step, key);
    strike(&mut fleet, 1, fault);
    finish(&mut fleet, call, key, expected);
}

cases! {
    check_dispatcher;
    dispatcher_restart_dispatched: Dispatched, Restart, &[UNKNOWN, RUNNING, UNKNOWN];
    dispatcher_restart_ran: Step::Ran, Restart, &[UNKNOWN, RUNNING, UNKNOWN];
    dispatcher_restart_half_answered: HalfAnswered, Restart, &[UNKNOWN, RUNNING, UNKNOWN];
    dispatcher_restart_answered: Answered, Restart, &[Whole, Whole, Whole];
    dispatcher_pause_dispatched: Dispatched, Pause, &[UNKNOWN, Nothing, UNKNOWN];
    dispatcher_pause_ran: Step::Ran, Pause, &[UNKNOWN, Nothing, UNKNOWN];
    dispatcher_pause_half_answered: HalfAnswered, Pause, &[UNKNOWN, Nothing, UNKNOWN];
    dispatcher_cut_off: Dispatched, CutOff, &[Whole, RUNNING, Whole];
    dispatcher_all_lost_ran: Step::Ran, AllLost, &[UNKNOWN, RUNNING, UNKNOWN];
}

/// Lets one write go wrong: that of the claim, or that of the outcome.
fn check_write(step: Step, fault: WriteFault) {
    let key = &key_written_by(Own);
    let mut fleet = Fleet::new(3, ClaimOptions::default());
    let call = if step == ClaimWritten {
        fleet.platform.faults.push_back(fault);
        fleet.book(0, key)
    } else {
        let call = book_up_to(&mut fleet, Answered, key);
        fleet.platform.faults.push_back(fault);
        call
    };
    fleet.pass(Duration::from_secs(2));
    fleet.platform.land_delayed();
    fleet.pass(Duration::from_secs(2));
    assert!(fleet.platform.faults.is_empty(), "the fault did not strike");
    finish(&mut fleet, call, key, &[Whole, Whole, Whole]);
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

/// Lets the platform go down right after a claim's write went wrong.
fn check_write_then_down(fault: WriteFault, expected: &[Outcome; 3]) {
    let key = &key_written_by(Own);
    let mut fleet = Fleet::new(3, ClaimOptions::default());
    fleet.platform.faults.push_back(fault);
    let call = fleet.book(0, key);
    fleet.settle(|_| false);
    strike(&mut fleet, 0, PlatformDown);
    fleet.pass(Duration::from_secs(10));
    fleet.platform.land_delayed();
    finish(&mut fleet, call, key, expected);
}

cases! {
    check_write_then_down;
    claim_lost_before_effect_then_down: WriteFault::LostBefore, &[DOWN, DOWN, Whole];
    claim_lost_after_effect_then_down: WriteFault::LostAfter, &[DOWN, DOWN, Whole];
    claim_delayed_then_down: WriteFault::Delayed, &[DOWN, DOWN, Whole];
    claim_not_sent_then_down: WriteFault::Unreachable, &[DOWN, DOWN, Whole];
}

/// Lets another node write the partition between this node's read and its write.
#[test]
fn claim_conflicts() {
    let key = &key_written_by(Own);
    let mut fleet = Fleet::new(3, ClaimOptions::default());
    let call = fleet.book(0, key);
    let is_write = |event: &Event| {
        matches!(event, Event::Platform(0, _, request)
        if matches!(request.op, shallottide::message::PlatformOp::Swap { .. }))
    };
    assert!(fleet.settle(is_write));
    let write = fleet.next_event().unwrap();
    fleet.nodes[0].paused = true;
    let retry = fleet.book(1, key);
    fleet.pass(Duration::from_secs(2));
    assert_eq!(outcome(&fleet, retry), Whole);
    fleet.happen(write);
    fleet.nodes[0].paused = false;
    fleet.pass(Duration::from_secs(2));
    assert_eq!(outcome(&fleet, call), Whole, "the recorded answer");
    fleet.check();
    fleet.check_quiet();
}

/// Lets the node of the first booking stand still for good.
#[test]
fn claim_of_a_node_that_never_returns_expires() {
    let key = &key_written_by(Third);
    let (mut fleet, _) = booked_up_to(Dispatched, key);
    strike(&mut fleet, 0, Pause);
    fleet.pass(LONG);
    for node in [1, 2] {
        let retry = fleet.book(node, key);
        fleet.pass(Duration::from_secs(2));
        assert_eq!(outcome(&fleet, retry), UNKNOWN);
    }
    assert!(fleet.runs_by_key.is_empty());
}

/// Loses the answer of a writer that wrote the claim, while the asker can't reach the platform.
#[test]
fn claim_of_a_silent_writer_is_given_back() {
    let key = &key_written_by(Third);
    let mut fleet = Fleet::new(3, ClaimOptions::default());
    fleet.publish_view(0, |node| node != 1);
    let call = fleet.book(0, key);
    assert!(fleet.settle(Event::is_claim_answer));
    fleet.events.clear();
    strike(&mut fleet, 0, CutOff);
    fleet.pass(Duration::from_secs(10));
    assert_eq!(outcome(&fleet, call), DOWN);
    fleet.pass(LONG);
    let retry = fleet.book(1, key);
    fleet.pass(Duration::from_secs(5));
    assert_eq!(outcome(&fleet, retry), Whole);
    fleet.check();
}

/// Stops the first writer, while the asker can't reach the platform.
#[test]
fn second_writer_claims() {
    let key = &key_written_by(Third);
    let mut fleet = Fleet::new(3, ClaimOptions::default());
    fleet.publish_view(0, |node| node != 0);
    let call = fleet.book(0, key);
    strike(&mut fleet, 2, Pause);
    strike(&mut fleet, 0, CutOff);
    fleet.pass(Duration::from_secs(5));
    assert_eq!(outcome(&fleet, call), Whole);
    fleet.check();
}

/// Lets two nodes that don't know of each other write one partition again and again.
#[test]
fn two_writers_of_a_partition_both_get_their_claims() {
    let mut fleet = Fleet::new(2, ClaimOptions::default());
    fleet.publish_view(0, |node| node == 0);
    fleet.publish_view(1, |node| node == 1);
    let mut keys = keys_of_one_partition();
    let mut calls = Vec::new();
    for _ in 0..100 {
        for node in 0..2 {
            calls.push(fleet.book(node, &keys.next().unwrap()));
        }
        fleet.pass(Duration::from_millis(100));
    }
    fleet.pass(Duration::from_secs(4));
    let whole = calls
        .iter()
        .filter(|call| outcome(&fleet, **call) == Whole)
        .count();
    assert_eq!(whole, calls.len());
    fleet.check();
}

/// Returns distinct keys whose claims are written to the same value.
fn keys_of_one_partition() -> impl Iterator<Item = String> {
    let value_of = |key: &String| {
        let mut fleet = Fleet::new(1, ClaimOptions::default());
        fleet.book(0, key);
        match fleet.next_event() {
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
