//! Fault matrix of tickets: a fault hits a booking, then its caller retries at other nodes.
//!
//! The platform is unreachable throughout, and no case makes a platform call.

mod call_support;

use std::time::Duration;

use call_support::test_cluster::{Event, TestCluster};
use shallottide::claims::{ClaimOptions, TicketOptions};
use shallottide::kernel::names;
use shallottide::message::{Message, PeerReceived, ReplyTo};
use shallottide_types::call::ReplyEvent;
use shallottide_types::cases;
use shallottide_types::peer::{ClaimAnswer, ClaimEnd, PeerMsg};
use shallottide_types::refusal::{Ran, RefusalKind};

const SECOND: Duration = Duration::from_secs(1);
/// Longer than any timeout but shorter than a ticket's lifetime.
const LONG: Duration = Duration::from_mins(1);

/// The node that minted the ticket.
const MINTER: usize = 0;
/// The node of a booking whose claim is relayed to the minter.
const OTHER: usize = 1;
/// The node of the first retry.
const THIRD: usize = 2;

/// Progress of the first booking when the fault is injected.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Step {
    /// The claim is on its way to the minter.
    ClaimSent,
    /// The claim is granted; the answer is in transit.
    Granted,
    /// The call is on its way to the upstream.
    Dispatched,
    /// The upstream ran the call; its answer is in transit.
    Ran,
    /// Part of the answer has arrived.
    HalfAnswered,
    /// The caller has the answer; the outcome is on its way to the minter.
    Answered,
    /// The minter has recorded the outcome.
    Recorded,
}
use Step::{Answered, ClaimSent, Dispatched, Granted, HalfAnswered, Recorded};

#[derive(Debug, Clone, Copy)]
enum Fault {
    /// The node restarts with a new incarnation.
    Restart(usize),
    /// The node is paused for a long time, then resumes with its old state.
    Pause(usize),
    /// All events in transit are lost.
    AllLost,
    /// All control messages in transit are duplicated; the second copy arrives late.
    Duplicated,
    /// The caller disconnects.
    CallerDisconnected,
}
use Fault::{AllLost, CallerDisconnected, Duplicated, Pause, Restart};

#[derive(Debug, PartialEq, Eq)]
enum Outcome {
    Complete,
    Refused(RefusalKind, Ran),
    NoReply,
}
use Outcome::{Complete, NoReply, Refused};

const UNKNOWN: Outcome = Refused(RefusalKind::OutcomeUnknown, Ran::Unknown);
const RUNNING: Outcome = Refused(RefusalKind::Running, Ran::Unknown);
const DEADLINE_EXCEEDED: Outcome = Refused(RefusalKind::DeadlineExceeded, Ran::Unknown);
const MINTER_UNREACHABLE: Outcome = Refused(RefusalKind::MinterUnreachable, Ran::Unknown);
const EXPIRED: Outcome = Refused(RefusalKind::KeyExpired, Ran::Unknown);
const NO_TICKET: Outcome = Refused(RefusalKind::BadRequest, Ran::No);

fn outcome(cluster: &TestCluster, call: u64) -> Outcome {
    match cluster.replies[&call].as_slice() {
        [] => NoReply,
        [.., ReplyEvent::End] => Complete,
        [.., ReplyEvent::Fail(refusal)] => Refused(refusal.kind, refusal.ran),
        other => panic!("not an answer: {other:?}"),
    }
}

/// Creates three nodes that cannot reach the platform.
fn cluster(options: ClaimOptions) -> TestCluster {
    let mut cluster = TestCluster::new(3, options);
    cluster
        .nodes
        .iter_mut()
        .for_each(|node| node.cut_off = true);
    cluster
}

/// Books and waits for the answer.
fn book(cluster: &mut TestCluster, node: usize, key: &str) -> Outcome {
    let call = cluster.book(node, key);
    cluster.advance_time(5 * SECOND);
    outcome(cluster, call)
}

/// Books at a node and processes events up to the step.
fn book_up_to(cluster: &mut TestCluster, node: usize, step: Step, key: &str) -> u64 {
    let call = cluster.book(node, key);
    match step {
        ClaimSent => {}
        Granted => assert!(cluster.run_until(Event::is_claim_answer)),
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
        Answered => {
            assert!(cluster.run_until(Event::is_dispatch));
            assert!(cluster.run_until(Event::is_relay));
        }
        Recorded => assert!(!cluster.run_until(|_| false)),
    }
    call
}

fn inject(cluster: &mut TestCluster, fault: Fault, node: usize, call: u64) {
    match fault {
        Restart(i) => {
            cluster.restart(i);
            cluster.nodes[i].cut_off = true;
        }
        Pause(i) => cluster.nodes[i].paused = true,
        AllLost => cluster.events.clear(),
        Duplicated => {
            let copies: Vec<_> = cluster
                .events
                .iter()
                .filter(|e| is_control(e))
                .cloned()
                .collect();
            cluster.events.extend(copies);
        }
        CallerDisconnected => {
            let message = Message::ReceiverDisconnected(ReplyTo::Front(call));
            cluster.send(node, names::CALLS, message);
        }
    }
}

fn is_control(event: &Event) -> bool {
    event.is_relay() || event.is_claim_answer()
}

/// Injects a fault, retries immediately at a third node and at another one after the fault is
/// cleared, and checks the outcomes.
fn check(node: usize, step: Step, fault: Fault, expected: &[Outcome; 3]) {
    let mut cluster = cluster(ClaimOptions::default());
    let ticket = cluster.mint(MINTER, 1).unwrap().remove(0);
    let call = book_up_to(&mut cluster, node, step, &ticket);
    inject(&mut cluster, fault, node, call);
    let second = cluster.book(THIRD, &ticket);
    cluster.advance_time(10 * SECOND);
    let retry = outcome(&cluster, second);
    cluster.advance_time(LONG);
    for node in &mut cluster.nodes {
        node.paused = false;
    }
    cluster.advance_time(LONG);
    let third = cluster.book(OTHER, &ticket);
    cluster.advance_time(LONG);
    cluster.check_invariants();
    cluster.check_idle();
    assert_eq!(cluster.platform_calls, 0);
    assert_eq!(
        [outcome(&cluster, call), retry, outcome(&cluster, third)],
        *expected
    );
}

cases! {
    check;
    relayed_minter_restart_claim_sent: OTHER, ClaimSent, Restart(MINTER), &[UNKNOWN, UNKNOWN, UNKNOWN];
    relayed_minter_restart_granted: OTHER, Granted, Restart(MINTER), &[Complete, UNKNOWN, UNKNOWN];
    relayed_minter_restart_dispatched: OTHER, Dispatched, Restart(MINTER), &[Complete, UNKNOWN, UNKNOWN];
    relayed_minter_restart_ran: OTHER, Step::Ran, Restart(MINTER), &[Complete, UNKNOWN, UNKNOWN];
    relayed_minter_restart_half_answered: OTHER, HalfAnswered, Restart(MINTER), &[Complete, UNKNOWN, UNKNOWN];
    relayed_minter_restart_answered: OTHER, Answered, Restart(MINTER), &[Complete, UNKNOWN, UNKNOWN];
    relayed_minter_restart_recorded: OTHER, Recorded, Restart(MINTER), &[Complete, UNKNOWN, UNKNOWN];
    relayed_minter_pause_claim_sent: OTHER, ClaimSent, Pause(MINTER), &[MINTER_UNREACHABLE, MINTER_UNREACHABLE, Complete];
    relayed_minter_pause_granted: OTHER, Granted, Pause(MINTER), &[Complete, MINTER_UNREACHABLE, Complete];
    relayed_minter_pause_dispatched: OTHER, Dispatched, Pause(MINTER), &[Complete, MINTER_UNREACHABLE, Complete];
    relayed_minter_pause_ran: OTHER, Step::Ran, Pause(MINTER), &[Complete, MINTER_UNREACHABLE, Complete];
    relayed_minter_pause_half_answered: OTHER, HalfAnswered, Pause(MINTER), &[Complete, MINTER_UNREACHABLE, Complete];
    relayed_minter_pause_answered: OTHER, Answered, Pause(MINTER), &[Complete, MINTER_UNREACHABLE, Complete];
    relayed_minter_pause_recorded: OTHER, Recorded, Pause(MINTER), &[Complete, MINTER_UNREACHABLE, Complete];
    relayed_holder_restart_claim_sent: OTHER, ClaimSent, Restart(OTHER), &[NoReply, UNKNOWN, UNKNOWN];
    relayed_holder_restart_granted: OTHER, Granted, Restart(OTHER), &[NoReply, UNKNOWN, UNKNOWN];
    relayed_holder_restart_dispatched: OTHER, Dispatched, Restart(OTHER), &[NoReply, UNKNOWN, UNKNOWN];
    relayed_holder_restart_ran: OTHER, Step::Ran, Restart(OTHER), &[NoReply, UNKNOWN, UNKNOWN];
    relayed_holder_restart_half_answered: OTHER, HalfAnswered, Restart(OTHER), &[NoReply, UNKNOWN, UNKNOWN];
    relayed_holder_restart_answered: OTHER, Answered, Restart(OTHER), &[Complete, Complete, Complete];
    relayed_holder_restart_recorded: OTHER, Recorded, Restart(OTHER), &[Complete, Complete, Complete];
    relayed_holder_pause_claim_sent: OTHER, ClaimSent, Pause(OTHER), &[DEADLINE_EXCEEDED, RUNNING, Complete];
    relayed_holder_pause_granted: OTHER, Granted, Pause(OTHER), &[DEADLINE_EXCEEDED, RUNNING, Complete];
    relayed_holder_pause_dispatched: OTHER, Dispatched, Pause(OTHER), &[UNKNOWN, RUNNING, UNKNOWN];
    relayed_holder_pause_ran: OTHER, Step::Ran, Pause(OTHER), &[UNKNOWN, RUNNING, UNKNOWN];
    relayed_holder_pause_half_answered: OTHER, HalfAnswered, Pause(OTHER), &[UNKNOWN, RUNNING, UNKNOWN];
    relayed_holder_pause_answered: OTHER, Answered, Pause(OTHER), &[Complete, Complete, Complete];
    relayed_holder_pause_recorded: OTHER, Recorded, Pause(OTHER), &[Complete, Complete, Complete];
    relayed_all_lost_claim_sent: OTHER, ClaimSent, AllLost, &[Complete, Complete, Complete];
    relayed_all_lost_granted: OTHER, Granted, AllLost, &[Complete, RUNNING, Complete];
    relayed_all_lost_dispatched: OTHER, Dispatched, AllLost, &[UNKNOWN, RUNNING, UNKNOWN];
    relayed_all_lost_ran: OTHER, Step::Ran, AllLost, &[UNKNOWN, RUNNING, UNKNOWN];
    relayed_all_lost_half_answered: OTHER, HalfAnswered, AllLost, &[UNKNOWN, RUNNING, UNKNOWN];
    relayed_all_lost_answered: OTHER, Answered, AllLost, &[Complete, RUNNING, Complete];
    relayed_all_lost_recorded: OTHER, Recorded, AllLost, &[Complete, Complete, Complete];
    relayed_caller_disconnected_claim_sent: OTHER, ClaimSent, CallerDisconnected, &[NoReply, Complete, Complete];
    relayed_caller_disconnected_granted: OTHER, Granted, CallerDisconnected, &[NoReply, Complete, Complete];
    relayed_caller_disconnected_dispatched: OTHER, Dispatched, CallerDisconnected, &[NoReply, RUNNING, Complete];
    relayed_caller_disconnected_ran: OTHER, Step::Ran, CallerDisconnected, &[NoReply, RUNNING, Complete];
    relayed_caller_disconnected_half_answered: OTHER, HalfAnswered, CallerDisconnected, &[NoReply, RUNNING, Complete];
    relayed_caller_disconnected_answered: OTHER, Answered, CallerDisconnected, &[Complete, Complete, Complete];
    relayed_caller_disconnected_recorded: OTHER, Recorded, CallerDisconnected, &[Complete, Complete, Complete];
    relayed_duplicated_claim_sent: OTHER, ClaimSent, Duplicated, &[Complete, RUNNING, Complete];
    relayed_duplicated_granted: OTHER, Granted, Duplicated, &[Complete, RUNNING, Complete];
    relayed_duplicated_dispatched: OTHER, Dispatched, Duplicated, &[Complete, RUNNING, Complete];
    relayed_duplicated_ran: OTHER, Step::Ran, Duplicated, &[Complete, RUNNING, Complete];
    relayed_duplicated_half_answered: OTHER, HalfAnswered, Duplicated, &[Complete, RUNNING, Complete];
    relayed_duplicated_answered: OTHER, Answered, Duplicated, &[Complete, Complete, Complete];
    relayed_duplicated_recorded: OTHER, Recorded, Duplicated, &[Complete, Complete, Complete];
    own_minter_restart_dispatched: MINTER, Dispatched, Restart(MINTER), &[NoReply, UNKNOWN, UNKNOWN];
    own_minter_restart_ran: MINTER, Step::Ran, Restart(MINTER), &[NoReply, UNKNOWN, UNKNOWN];
    own_minter_restart_half_answered: MINTER, HalfAnswered, Restart(MINTER), &[NoReply, UNKNOWN, UNKNOWN];
    own_minter_restart_recorded: MINTER, Recorded, Restart(MINTER), &[Complete, UNKNOWN, UNKNOWN];
    own_minter_pause_dispatched: MINTER, Dispatched, Pause(MINTER), &[UNKNOWN, MINTER_UNREACHABLE, UNKNOWN];
    own_minter_pause_ran: MINTER, Step::Ran, Pause(MINTER), &[UNKNOWN, MINTER_UNREACHABLE, UNKNOWN];
    own_minter_pause_half_answered: MINTER, HalfAnswered, Pause(MINTER), &[UNKNOWN, MINTER_UNREACHABLE, UNKNOWN];
    own_minter_pause_recorded: MINTER, Recorded, Pause(MINTER), &[Complete, MINTER_UNREACHABLE, Complete];
    own_all_lost_dispatched: MINTER, Dispatched, AllLost, &[UNKNOWN, RUNNING, UNKNOWN];
    own_all_lost_ran: MINTER, Step::Ran, AllLost, &[UNKNOWN, RUNNING, UNKNOWN];
    own_all_lost_half_answered: MINTER, HalfAnswered, AllLost, &[UNKNOWN, RUNNING, UNKNOWN];
    own_all_lost_recorded: MINTER, Recorded, AllLost, &[Complete, Complete, Complete];
    own_caller_disconnected_dispatched: MINTER, Dispatched, CallerDisconnected, &[NoReply, RUNNING, Complete];
    own_caller_disconnected_ran: MINTER, Step::Ran, CallerDisconnected, &[NoReply, Complete, Complete];
    own_caller_disconnected_half_answered: MINTER, HalfAnswered, CallerDisconnected, &[NoReply, Complete, Complete];
    own_caller_disconnected_recorded: MINTER, Recorded, CallerDisconnected, &[Complete, Complete, Complete];
}

/// Delivers the claims, grants and outcomes of two calls in reverse order.
#[test]
fn reordered_messages_reach_their_own_calls() {
    let mut cluster = cluster(ClaimOptions::default());
    let tickets = cluster.mint(MINTER, 2).unwrap();
    let calls: Vec<_> = tickets.iter().map(|t| cluster.book(OTHER, t)).collect();
    cluster.events.reverse();
    assert!(cluster.run_until(Event::is_claim_answer));
    cluster.events.reverse();
    assert!(cluster.run_until(Event::is_relay));
    cluster.run_until(|event| !event.is_relay());
    cluster.events.reverse();
    cluster.advance_time(SECOND);
    for call in calls {
        assert_eq!(outcome(&cluster, call), Complete);
    }
    for ticket in &tickets {
        assert_eq!(book(&mut cluster, THIRD, ticket), Complete);
    }
    cluster.check_invariants();
    cluster.check_idle();
}

#[test]
fn forged_and_foreign_tickets_never_run() {
    let mut cluster = cluster(ClaimOptions::default());
    let ticket = cluster.mint(MINTER, 1).unwrap().remove(0);
    for node in [MINTER, OTHER] {
        let call = cluster.book_for_team("others", node, &ticket, "body");
        cluster.advance_time(5 * SECOND);
        assert_eq!(outcome(&cluster, call), NO_TICKET);
        for forged in [
            "ticket:node-0:1:0",
            "ticket:node-0:1:2",
            "ticket:node-0:1:x",
            "ticket:",
        ] {
            assert_eq!(book(&mut cluster, node, forged), NO_TICKET, "{forged}");
        }
        for ended in ["ticket:node-0:0:1", "ticket:node-0:2:1"] {
            assert_eq!(book(&mut cluster, node, ended), UNKNOWN, "{ended}");
        }
        assert_eq!(
            book(&mut cluster, node, "ticket:node-9:1:1"),
            MINTER_UNREACHABLE
        );
        let pending = cluster.nodes[node].claim_options.counts.pending();
        assert_eq!(
            pending, 0,
            "nothing to release at a node that does not exist"
        );
    }
    assert!(cluster.runs_by_key.is_empty());
    assert_eq!(book(&mut cluster, OTHER, &ticket), Complete);
    assert_eq!(cluster.platform_calls, 0);
}

/// Takes the next event, which is a message to a peer.
fn next_peer_message(cluster: &mut TestCluster) -> (usize, PeerReceived) {
    let event = cluster.next_event().unwrap();
    let Event::Deliver(to, _, _, message) = event else {
        panic!("not a message: {event:?}");
    };
    let Message::PeerReceived(received) = *message else {
        panic!("not a peer message: {message:?}");
    };
    (to, received)
}

/// Delivers a peer's message to a node and returns the node's answer.
fn answer_to(cluster: &mut TestCluster, to: usize, received: PeerReceived) -> ClaimAnswer {
    assert!(cluster.events.is_empty());
    cluster.send(to, names::CLAIMS, received.into());
    let PeerMsg::Claimed { answer, .. } = next_peer_message(cluster).1.msg else {
        panic!("no answer");
    };
    answer
}

/// A claim reaches another node, for example because that node now has the minter's address.
#[test]
fn node_that_did_not_mint_answers_minter_unreachable() {
    let mut cluster = cluster(ClaimOptions::default());
    let ticket = cluster.mint(MINTER, 1).unwrap().remove(0);
    let call = cluster.book(OTHER, &ticket);
    let (_, claim) = next_peer_message(&mut cluster);
    let answer = answer_to(&mut cluster, THIRD, claim);
    assert_eq!(answer, ClaimAnswer::MinterUnreachable);
    cluster.advance_time(5 * SECOND);
    assert_eq!(outcome(&cluster, call), Complete);
}

/// Duplicates of a call's claim and outcome reach the minter after the call has ended.
#[test]
fn late_duplicates_do_not_change_the_outcome() {
    let mut cluster = cluster(ClaimOptions::default());
    let ticket = cluster.mint(MINTER, 1).unwrap().remove(0);
    cluster.book(OTHER, &ticket);
    let (_, claim) = next_peer_message(&mut cluster);
    cluster.send(MINTER, names::CLAIMS, claim.clone().into());
    assert!(cluster.run_until(Event::is_relay));
    let (_, mut end) = next_peer_message(&mut cluster);
    cluster.send(MINTER, names::CLAIMS, end.clone().into());
    cluster.run_until(|_| false);
    let PeerMsg::ClaimEnded(outcome) = &mut end.msg else {
        panic!("not an end: {end:?}");
    };
    outcome.end = ClaimEnd::NotRun;
    answer_to(&mut cluster, MINTER, end);
    let answer = answer_to(&mut cluster, MINTER, claim);
    let ran = matches!(answer, ClaimAnswer::Ended(ClaimEnd::Ran { .. }));
    assert!(ran, "{answer:?}");
}

/// Every grant is lost, so that the caller is refused although its call did not run.
#[test]
fn unused_ticket_is_released_and_usable_again() {
    let mut cluster = cluster(ClaimOptions::default());
    let ticket = cluster.mint(MINTER, 1).unwrap().remove(0);
    let call = book_up_to(&mut cluster, OTHER, Granted, &ticket);
    cluster.events.clear();
    cluster.nodes[MINTER].paused = true;
    cluster.advance_time(4 * SECOND);
    assert_eq!(outcome(&cluster, call), MINTER_UNREACHABLE);
    cluster.events.clear();
    cluster.nodes[MINTER].paused = false;
    cluster.advance_time(4 * SECOND);
    assert_eq!(book(&mut cluster, THIRD, &ticket), Complete);
    cluster.check_invariants();
}

/// The minter has restarted, and its new incarnation does not answer either.
#[test]
fn ticket_of_an_earlier_incarnation_is_refused_without_its_minter() {
    let mut cluster = cluster(ClaimOptions::default());
    let ticket = cluster.mint(MINTER, 1).unwrap().remove(0);
    cluster.restart(MINTER);
    cluster.nodes[MINTER].paused = true;
    assert_eq!(book(&mut cluster, OTHER, &ticket), UNKNOWN);
}

/// Uses one ticket right before the end of its lifetime and another after it.
#[test]
fn ticket_in_use_stays_valid_past_its_lifetime() {
    let mut cluster = cluster(ClaimOptions::default());
    let tickets = cluster.mint(MINTER, 2).unwrap();
    cluster.advance_time(Duration::from_secs(10 * 60 - 1));
    let call = book_up_to(&mut cluster, OTHER, Dispatched, &tickets[0]);
    cluster.nodes[OTHER].paused = true;
    cluster.advance_time(2 * SECOND);
    let pending = cluster.nodes[MINTER].claim_options.counts.pending();
    assert_eq!(pending, 1);
    assert_eq!(book(&mut cluster, THIRD, &tickets[0]), RUNNING);
    assert_eq!(book(&mut cluster, THIRD, &tickets[1]), EXPIRED);
    cluster.nodes[OTHER].paused = false;
    cluster.advance_time(SECOND);
    assert_eq!(outcome(&cluster, call), Complete);
    assert_eq!(book(&mut cluster, THIRD, &tickets[0]), Complete);
    cluster.check_invariants();
}

/// Only the minter's own answer counts.
#[test]
fn grants_from_nodes_other_than_the_minter_are_ignored() {
    let mut cluster = cluster(ClaimOptions::default());
    let ticket = cluster.mint(MINTER, 1).unwrap().remove(0);
    let first = cluster.book(OTHER, &ticket);
    assert!(cluster.run_until(Event::is_claim_answer));
    let (to, mut received) = next_peer_message(&mut cluster);
    received.from = "node-2".parse().unwrap();
    cluster.send(to, names::CLAIMS, received.into());
    assert_eq!(outcome(&cluster, first), NoReply);
    assert!(cluster.events.is_empty(), "{:?}", cluster.events);
}

#[test]
fn ticket_reused_with_another_body_is_refused() {
    let mut cluster = cluster(ClaimOptions::default());
    let ticket = cluster.mint(MINTER, 1).unwrap().remove(0);
    assert_eq!(book(&mut cluster, OTHER, &ticket), Complete);
    let call = cluster.book_with_body(THIRD, &ticket, "another");
    cluster.advance_time(5 * SECOND);
    let reused = Refused(RefusalKind::KeyReused, Ran::No);
    assert_eq!(outcome(&cluster, call), reused);
}

#[test]
fn answer_over_the_size_limit_is_not_recorded() {
    let tickets = TicketOptions {
        max_answer_bytes: 0,
        ..TicketOptions::default()
    };
    let mut cluster = cluster(ClaimOptions {
        tickets,
        ..ClaimOptions::default()
    });
    let ticket = cluster.mint(MINTER, 1).unwrap().remove(0);
    assert_eq!(book(&mut cluster, OTHER, &ticket), Complete);
    let ran = Refused(RefusalKind::OutcomeUnknown, Ran::Yes);
    assert_eq!(book(&mut cluster, THIRD, &ticket), ran);
}

#[test]
fn expired_tickets_are_removed_and_never_run_again() {
    let mut cluster = cluster(ClaimOptions::default());
    let tickets = cluster.mint(MINTER, 2).unwrap();
    assert_eq!(book(&mut cluster, OTHER, &tickets[0]), Complete);
    cluster.advance_time(Duration::from_mins(21));
    for node in [MINTER, OTHER] {
        for ticket in &tickets {
            assert_eq!(book(&mut cluster, node, ticket), EXPIRED);
        }
    }
    let next = cluster.mint(MINTER, 1).unwrap().remove(0);
    assert_eq!(next, "ticket:node-0:1:3");
    assert_eq!(book(&mut cluster, OTHER, &next), Complete);
    cluster.check_invariants();
    cluster.check_idle();
}

#[test]
fn minting_over_the_limits_is_refused() {
    let tickets = TicketOptions {
        max_mint: 4,
        max_team_tickets: 6,
        max_tickets: 9,
        ..TicketOptions::default()
    };
    let mut cluster = cluster(ClaimOptions {
        tickets,
        ..ClaimOptions::default()
    });
    let kind = |minted: Result<Vec<String>, shallottide_types::refusal::Refusal>| {
        minted
            .map(|tickets| tickets.len())
            .map_err(|refusal| refusal.kind)
    };
    assert_eq!(kind(cluster.mint(MINTER, 0)), Err(RefusalKind::BadRequest));
    assert_eq!(kind(cluster.mint(MINTER, 5)), Err(RefusalKind::BadRequest));
    assert_eq!(kind(cluster.mint(MINTER, 4)), Ok(4));
    assert_eq!(kind(cluster.mint(MINTER, 3)), Err(RefusalKind::TeamLimit));
    assert_eq!(kind(cluster.mint_for("b", MINTER, 4)), Ok(4));
    assert_eq!(
        kind(cluster.mint_for("c", MINTER, 2)),
        Err(RefusalKind::Overloaded)
    );
    let long = cluster.mint_for("b", MINTER, 1).unwrap().remove(0);
    let used = cluster.book_for_team("b", OTHER, &long, "body");
    assert!(cluster.run_until(Event::is_dispatch));
    cluster.nodes[OTHER].paused = true;
    cluster.advance_time(Duration::from_mins(10));
    assert_eq!(outcome(&cluster, used), NoReply);
    assert_eq!(kind(cluster.mint_for("c", MINTER, 4)), Ok(4));
    assert_eq!(kind(cluster.mint(MINTER, 4)), Ok(4));
    assert_eq!(
        kind(cluster.mint_for("d", MINTER, 1)),
        Err(RefusalKind::Overloaded)
    );
    cluster.send(MINTER, names::CLAIMS, Message::Stop);
    assert_eq!(
        kind(cluster.mint_for("b", MINTER, 1)),
        Err(RefusalKind::Stopping)
    );
}

/// The minter counts the call as running until the other node reports its outcome.
#[test]
fn stopping_minter_waits_for_calls_with_its_tickets() {
    let mut cluster = cluster(ClaimOptions::default());
    let ticket = cluster.mint(MINTER, 1).unwrap().remove(0);
    cluster.send(MINTER, names::CLAIMS, Message::Stop);
    let call = book_up_to(&mut cluster, OTHER, Dispatched, &ticket);
    let pending = |cluster: &TestCluster| cluster.nodes[MINTER].claim_options.counts.pending();
    assert_eq!(pending(&cluster), 1);
    cluster.advance_time(SECOND);
    assert_eq!((outcome(&cluster, call), pending(&cluster)), (Complete, 0));
}
