//! The fault matrix of tickets: a booking meets a fault, then its caller retries elsewhere.
//!
//! The platform is down throughout, and no case makes a call to it.

mod call_support;

use std::time::Duration;

use call_support::fleet::{Event, Fleet};
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
/// The node of the relayed booking.
const OTHER: usize = 1;
/// The node of the first retry.
const THIRD: usize = 2;

/// How far the first booking is when the fault strikes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Step {
    /// The claim is on its way to the minter.
    Asked,
    /// It is granted, the answer on its way.
    Granted,
    /// The call is on its way to the upstream.
    Sent,
    /// The upstream ran it, the answer is on its way.
    Ran,
    /// Part of the answer has come.
    HalfAnswered,
    /// The caller has the answer, the outcome is on its way to the minter.
    Answered,
    /// The minter knows the outcome.
    Recorded,
}
use Step::{Answered, Asked, Granted, HalfAnswered, Recorded, Sent};

#[derive(Debug, Clone, Copy)]
enum Fault {
    /// The node is replaced by a fresh start.
    Restart(usize),
    /// The node stands still for long, then goes on with what it had.
    Pause(usize),
    /// All that is on its way is lost.
    AllLost,
    /// All control messages on their way come twice, the second time late.
    Doubled,
    /// The caller goes away.
    CallerGone,
}
use Fault::{AllLost, CallerGone, Doubled, Pause, Restart};

#[derive(Debug, PartialEq, Eq)]
enum Outcome {
    Whole,
    Refused(RefusalKind, Ran),
    Nothing,
}
use Outcome::{Nothing, Refused, Whole};

const UNKNOWN: Outcome = Refused(RefusalKind::OutcomeUnknown, Ran::Unknown);
const RUNNING: Outcome = Refused(RefusalKind::Running, Ran::Unknown);
const LATE: Outcome = Refused(RefusalKind::DeadlineExceeded, Ran::Unknown);
const AWAY: Outcome = Refused(RefusalKind::MinterUnreachable, Ran::Unknown);
const EXPIRED: Outcome = Refused(RefusalKind::KeyExpired, Ran::Unknown);
const NO_TICKET: Outcome = Refused(RefusalKind::BadRequest, Ran::No);

fn outcome(fleet: &Fleet, call: u64) -> Outcome {
    match fleet.replies[&call].as_slice() {
        [] => Nothing,
        [.., ReplyEvent::End] => Whole,
        [.., ReplyEvent::Fail(refusal)] => Refused(refusal.kind, refusal.ran),
        other => panic!("not an answer: {other:?}"),
    }
}

/// Starts three nodes without a platform.
fn fleet(options: ClaimOptions) -> Fleet {
    let mut fleet = Fleet::new(3, options);
    fleet.nodes.iter_mut().for_each(|node| node.cut_off = true);
    fleet
}

/// Books and waits for the answer.
fn book(fleet: &mut Fleet, node: usize, key: &str) -> Outcome {
    let call = fleet.book(node, key);
    fleet.pass(5 * SECOND);
    outcome(fleet, call)
}

/// Starts a booking at a node and stops at the step.
fn book_up_to(fleet: &mut Fleet, node: usize, step: Step, key: &str) -> u64 {
    let call = fleet.book(node, key);
    match step {
        Asked => {}
        Granted => assert!(fleet.settle(Event::is_claim_answer)),
        Sent => assert!(fleet.settle(Event::is_claim_granted)),
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
        Answered => {
            assert!(fleet.settle(Event::is_claim_granted));
            assert!(fleet.settle(Event::is_relay));
        }
        Recorded => assert!(!fleet.settle(|_| false)),
    }
    call
}

fn strike(fleet: &mut Fleet, fault: Fault, node: usize, call: u64) {
    match fault {
        Restart(i) => {
            fleet.restart(i);
            fleet.nodes[i].cut_off = true;
        }
        Pause(i) => fleet.nodes[i].paused = true,
        AllLost => fleet.events.clear(),
        Doubled => {
            let again: Vec<_> = fleet
                .events
                .iter()
                .filter(|e| is_control(e))
                .cloned()
                .collect();
            fleet.events.extend(again);
        }
        CallerGone => {
            let gone = Message::ReceiverDisconnected(ReplyTo::Front(call));
            fleet.send(node, names::CALLS, gone);
        }
    }
}

fn is_control(event: &Event) -> bool {
    event.is_relay() || event.is_claim_answer()
}

/// Retries at a third node at once and, when all is well again, once more at another.
fn check(node: usize, step: Step, fault: Fault, expected: &[Outcome; 3]) {
    let mut fleet = fleet(ClaimOptions::default());
    let ticket = fleet.mint(MINTER, 1).unwrap().remove(0);
    let call = book_up_to(&mut fleet, node, step, &ticket);
    strike(&mut fleet, fault, node, call);
    let second = fleet.book(THIRD, &ticket);
    fleet.pass(10 * SECOND);
    let retry = outcome(&fleet, second);
    fleet.pass(LONG);
    for node in &mut fleet.nodes {
        node.paused = false;
    }
    fleet.pass(LONG);
    let third = fleet.book(OTHER, &ticket);
    fleet.pass(LONG);
    fleet.check();
    fleet.check_quiet();
    assert_eq!(fleet.platform_calls, 0);
    assert_eq!(
        [outcome(&fleet, call), retry, outcome(&fleet, third)],
        *expected
    );
}

cases! {
    check;
    relayed_minter_restart_asked: OTHER, Asked, Restart(MINTER), &[UNKNOWN, UNKNOWN, UNKNOWN];
    relayed_minter_restart_granted: OTHER, Granted, Restart(MINTER), &[Whole, UNKNOWN, UNKNOWN];
    relayed_minter_restart_sent: OTHER, Sent, Restart(MINTER), &[Whole, UNKNOWN, UNKNOWN];
    relayed_minter_restart_ran: OTHER, Step::Ran, Restart(MINTER), &[Whole, UNKNOWN, UNKNOWN];
    relayed_minter_restart_half_answered: OTHER, HalfAnswered, Restart(MINTER), &[Whole, UNKNOWN, UNKNOWN];
    relayed_minter_restart_answered: OTHER, Answered, Restart(MINTER), &[Whole, UNKNOWN, UNKNOWN];
    relayed_minter_restart_recorded: OTHER, Recorded, Restart(MINTER), &[Whole, UNKNOWN, UNKNOWN];
    relayed_minter_pause_asked: OTHER, Asked, Pause(MINTER), &[AWAY, AWAY, Whole];
    relayed_minter_pause_granted: OTHER, Granted, Pause(MINTER), &[Whole, AWAY, Whole];
    relayed_minter_pause_sent: OTHER, Sent, Pause(MINTER), &[Whole, AWAY, Whole];
    relayed_minter_pause_ran: OTHER, Step::Ran, Pause(MINTER), &[Whole, AWAY, Whole];
    relayed_minter_pause_half_answered: OTHER, HalfAnswered, Pause(MINTER), &[Whole, AWAY, Whole];
    relayed_minter_pause_answered: OTHER, Answered, Pause(MINTER), &[Whole, AWAY, Whole];
    relayed_minter_pause_recorded: OTHER, Recorded, Pause(MINTER), &[Whole, AWAY, Whole];
    relayed_holder_restart_asked: OTHER, Asked, Restart(OTHER), &[Nothing, UNKNOWN, UNKNOWN];
    relayed_holder_restart_granted: OTHER, Granted, Restart(OTHER), &[Nothing, UNKNOWN, UNKNOWN];
    relayed_holder_restart_sent: OTHER, Sent, Restart(OTHER), &[Nothing, UNKNOWN, UNKNOWN];
    relayed_holder_restart_ran: OTHER, Step::Ran, Restart(OTHER), &[Nothing, UNKNOWN, UNKNOWN];
    relayed_holder_restart_half_answered: OTHER, HalfAnswered, Restart(OTHER), &[Nothing, UNKNOWN, UNKNOWN];
    relayed_holder_restart_answered: OTHER, Answered, Restart(OTHER), &[Whole, Whole, Whole];
    relayed_holder_restart_recorded: OTHER, Recorded, Restart(OTHER), &[Whole, Whole, Whole];
    relayed_holder_pause_asked: OTHER, Asked, Pause(OTHER), &[LATE, RUNNING, Whole];
    relayed_holder_pause_granted: OTHER, Granted, Pause(OTHER), &[LATE, RUNNING, Whole];
    relayed_holder_pause_sent: OTHER, Sent, Pause(OTHER), &[UNKNOWN, RUNNING, UNKNOWN];
    relayed_holder_pause_ran: OTHER, Step::Ran, Pause(OTHER), &[UNKNOWN, RUNNING, UNKNOWN];
    relayed_holder_pause_half_answered: OTHER, HalfAnswered, Pause(OTHER), &[UNKNOWN, RUNNING, UNKNOWN];
    relayed_holder_pause_answered: OTHER, Answered, Pause(OTHER), &[Whole, Whole, Whole];
    relayed_holder_pause_recorded: OTHER, Recorded, Pause(OTHER), &[Whole, Whole, Whole];
    relayed_all_lost_asked: OTHER, Asked, AllLost, &[Whole, Whole, Whole];
    relayed_all_lost_granted: OTHER, Granted, AllLost, &[Whole, RUNNING, Whole];
    relayed_all_lost_sent: OTHER, Sent, AllLost, &[UNKNOWN, RUNNING, UNKNOWN];
    relayed_all_lost_ran: OTHER, Step::Ran, AllLost, &[UNKNOWN, RUNNING, UNKNOWN];
    relayed_all_lost_half_answered: OTHER, HalfAnswered, AllLost, &[UNKNOWN, RUNNING, UNKNOWN];
    relayed_all_lost_answered: OTHER, Answered, AllLost, &[Whole, RUNNING, Whole];
    relayed_all_lost_recorded: OTHER, Recorded, AllLost, &[Whole, Whole, Whole];
    relayed_caller_gone_asked: OTHER, Asked, CallerGone, &[Nothing, Whole, Whole];
    relayed_caller_gone_granted: OTHER, Granted, CallerGone, &[Nothing, Whole, Whole];
    relayed_caller_gone_sent: OTHER, Sent, CallerGone, &[Nothing, RUNNING, Whole];
    relayed_caller_gone_ran: OTHER, Step::Ran, CallerGone, &[Nothing, RUNNING, Whole];
    relayed_caller_gone_half_answered: OTHER, HalfAnswered, CallerGone, &[Nothing, RUNNING, Whole];
    relayed_caller_gone_answered: OTHER, Answered, CallerGone, &[Whole, Whole, Whole];
    relayed_caller_gone_recorded: OTHER, Recorded, CallerGone, &[Whole, Whole, Whole];
    relayed_doubled_asked: OTHER, Asked, Doubled, &[Whole, RUNNING, Whole];
    relayed_doubled_granted: OTHER, Granted, Doubled, &[Whole, RUNNING, Whole];
    relayed_doubled_sent: OTHER, Sent, Doubled, &[Whole, RUNNING, Whole];
    relayed_doubled_ran: OTHER, Step::Ran, Doubled, &[Whole, RUNNING, Whole];
    relayed_doubled_half_answered: OTHER, HalfAnswered, Doubled, &[Whole, RUNNING, Whole];
    relayed_doubled_answered: OTHER, Answered, Doubled, &[Whole, Whole, Whole];
    relayed_doubled_recorded: OTHER, Recorded, Doubled, &[Whole, Whole, Whole];
    own_minter_restart_sent: MINTER, Sent, Restart(MINTER), &[Nothing, UNKNOWN, UNKNOWN];
    own_minter_restart_ran: MINTER, Step::Ran, Restart(MINTER), &[Nothing, UNKNOWN, UNKNOWN];
    own_minter_restart_half_answered: MINTER, HalfAnswered, Restart(MINTER), &[Nothing, UNKNOWN, UNKNOWN];
    own_minter_restart_recorded: MINTER, Recorded, Restart(MINTER), &[Whole, UNKNOWN, UNKNOWN];
    own_minter_pause_sent: MINTER, Sent, Pause(MINTER), &[UNKNOWN, AWAY, UNKNOWN];
    own_minter_pause_ran: MINTER, Step::Ran, Pause(MINTER), &[UNKNOWN, AWAY, UNKNOWN];
    own_minter_pause_half_answered: MINTER, HalfAnswered, Pause(MINTER), &[UNKNOWN, AWAY, UNKNOWN];
    own_minter_pause_recorded: MINTER, Recorded, Pause(MINTER), &[Whole, AWAY, Whole];
    own_all_lost_sent: MINTER, Sent, AllLost, &[UNKNOWN, RUNNING, UNKNOWN];
    own_all_lost_ran: MINTER, Step::Ran, AllLost, &[UNKNOWN, RUNNING, UNKNOWN];
    own_all_lost_half_answered: MINTER, HalfAnswered, AllLost, &[UNKNOWN, RUNNING, UNKNOWN];
    own_all_lost_recorded: MINTER, Recorded, AllLost, &[Whole, Whole, Whole];
    own_caller_gone_sent: MINTER, Sent, CallerGone, &[Nothing, RUNNING, Whole];
    own_caller_gone_ran: MINTER, Step::Ran, CallerGone, &[Nothing, Whole, Whole];
    own_caller_gone_half_answered: MINTER, HalfAnswered, CallerGone, &[Nothing, Whole, Whole];
    own_caller_gone_recorded: MINTER, Recorded, CallerGone, &[Whole, Whole, Whole];
}

/// Lets the claims, grants and outcomes of two calls overtake each other.
#[test]
fn crossed_messages_reach_their_own_calls() {
    let mut fleet = fleet(ClaimOptions::default());
    let tickets = fleet.mint(MINTER, 2).unwrap();
    let calls: Vec<_> = tickets.iter().map(|t| fleet.book(OTHER, t)).collect();
    fleet.events.reverse();
    assert!(fleet.settle(Event::is_claim_answer));
    fleet.events.reverse();
    assert!(fleet.settle(Event::is_relay));
    fleet.settle(|event| !event.is_relay());
    fleet.events.reverse();
    fleet.pass(SECOND);
    for call in calls {
        assert_eq!(outcome(&fleet, call), Whole);
    }
    for ticket in &tickets {
        assert_eq!(book(&mut fleet, THIRD, ticket), Whole);
    }
    fleet.check();
    fleet.check_quiet();
}

#[test]
fn forged_and_foreign_tickets_never_run() {
    let mut fleet = fleet(ClaimOptions::default());
    let ticket = fleet.mint(MINTER, 1).unwrap().remove(0);
    for node in [MINTER, OTHER] {
        let call = fleet.book_as("others", node, &ticket, "body");
        fleet.pass(5 * SECOND);
        assert_eq!(outcome(&fleet, call), NO_TICKET);
        for forged in [
            "ticket:node-0:1:0",
            "ticket:node-0:1:2",
            "ticket:node-0:1:x",
            "ticket:",
        ] {
            assert_eq!(book(&mut fleet, node, forged), NO_TICKET, "{forged}");
        }
        for ended in ["ticket:node-0:0:1", "ticket:node-0:2:1"] {
            assert_eq!(book(&mut fleet, node, ended), UNKNOWN, "{ended}");
        }
        assert_eq!(book(&mut fleet, node, "ticket:node-9:1:1"), AWAY);
        let pending = fleet.nodes[node].claim_options.counts.pending();
        assert_eq!(
            pending, 0,
            "nothing to give back to a node that does not exist"
        );
    }
    assert!(fleet.runs_by_key.is_empty());
    assert_eq!(book(&mut fleet, OTHER, &ticket), Whole);
    assert_eq!(fleet.platform_calls, 0);
}

/// Takes the next event, which is a message to a peer.
fn next_peer_message(fleet: &mut Fleet) -> (usize, PeerReceived) {
    let event = fleet.next_event().unwrap();
    let Event::Deliver(to, _, _, message) = event else {
        panic!("not a message: {event:?}");
    };
    let Message::PeerReceived(received) = *message else {
        panic!("not a peer's: {message:?}");
    };
    (to, received)
}

/// Hands a peer's message to a node and returns the node's answer.
fn answer_to(fleet: &mut Fleet, to: usize, received: PeerReceived) -> ClaimAnswer {
    assert!(fleet.events.is_empty());
    fleet.send(to, names::CLAIMS, received.into());
    let PeerMsg::Claimed { answer, .. } = next_peer_message(fleet).1.msg else {
        panic!("no answer");
    };
    answer
}

/// Sends a claim to another node, as when the minter's address is another's by now.
#[test]
fn node_that_did_not_mint_says_nothing() {
    let mut fleet = fleet(ClaimOptions::default());
    let ticket = fleet.mint(MINTER, 1).unwrap().remove(0);
    let call = fleet.book(OTHER, &ticket);
    let (_, claim) = next_peer_message(&mut fleet);
    let answer = answer_to(&mut fleet, THIRD, claim);
    assert_eq!(answer, ClaimAnswer::MinterUnreachable);
    fleet.pass(5 * SECOND);
    assert_eq!(outcome(&fleet, call), Whole);
}

/// Lets copies of a call's claim and end reach the minter when all is over.
#[test]
fn late_copies_change_nothing() {
    let mut fleet = fleet(ClaimOptions::default());
    let ticket = fleet.mint(MINTER, 1).unwrap().remove(0);
    fleet.book(OTHER, &ticket);
    let (_, claim) = next_peer_message(&mut fleet);
    fleet.send(MINTER, names::CLAIMS, claim.clone().into());
    assert!(fleet.settle(Event::is_relay));
    let (_, mut end) = next_peer_message(&mut fleet);
    fleet.send(MINTER, names::CLAIMS, end.clone().into());
    fleet.settle(|_| false);
    let PeerMsg::ClaimEnded(outcome) = &mut end.msg else {
        panic!("not an end: {end:?}");
    };
    outcome.end = ClaimEnd::NotRun;
    answer_to(&mut fleet, MINTER, end);
    let answer = answer_to(&mut fleet, MINTER, claim);
    let ran = matches!(answer, ClaimAnswer::Ended(ClaimEnd::Ran { .. }));
    assert!(ran, "{answer:?}");
}

/// Loses every grant, so that the caller is refused without its call having run.
#[test]
fn ticket_that_was_not_used_after_all_is_given_back() {
    let mut fleet = fleet(ClaimOptions::default());
    let ticket = fleet.mint(MINTER, 1).unwrap().remove(0);
    let call = book_up_to(&mut fleet, OTHER, Granted, &ticket);
    fleet.events.clear();
    fleet.nodes[MINTER].paused = true;
    fleet.pass(4 * SECOND);
    assert_eq!(outcome(&fleet, call), AWAY);
    fleet.events.clear();
    fleet.nodes[MINTER].paused = false;
    fleet.pass(4 * SECOND);
    assert_eq!(book(&mut fleet, THIRD, &ticket), Whole);
    fleet.check();
}

/// Asks while the minter's new start is silent, too.
#[test]
fn ticket_of_an_ended_start_needs_no_minter() {
    let mut fleet = fleet(ClaimOptions::default());
    let ticket = fleet.mint(MINTER, 1).unwrap().remove(0);
    fleet.restart(MINTER);
    fleet.nodes[MINTER].paused = true;
    assert_eq!(book(&mut fleet, OTHER, &ticket), UNKNOWN);
}

/// Uses one ticket right before its time is over, another after it.
#[test]
fn ticket_in_use_outlives_its_time() {
    let mut fleet = fleet(ClaimOptions::default());
    let tickets = fleet.mint(MINTER, 2).unwrap();
    fleet.pass(Duration::from_secs(10 * 60 - 1));
    let call = book_up_to(&mut fleet, OTHER, Sent, &tickets[0]);
    fleet.nodes[OTHER].paused = true;
    fleet.pass(2 * SECOND);
    let pending = fleet.nodes[MINTER].claim_options.counts.pending();
    assert_eq!(pending, 1);
    assert_eq!(book(&mut fleet, THIRD, &tickets[0]), RUNNING);
    assert_eq!(book(&mut fleet, THIRD, &tickets[1]), EXPIRED);
    fleet.nodes[OTHER].paused = false;
    fleet.pass(SECOND);
    assert_eq!(outcome(&fleet, call), Whole);
    assert_eq!(book(&mut fleet, THIRD, &tickets[0]), Whole);
    fleet.check();
}

/// Only the minter's own answer counts, whatever another node says.
#[test]
fn answers_of_other_nodes_grant_nothing() {
    let mut fleet = fleet(ClaimOptions::default());
    let ticket = fleet.mint(MINTER, 1).unwrap().remove(0);
    let first = fleet.book(OTHER, &ticket);
    assert!(fleet.settle(Event::is_claim_answer));
    let (to, mut received) = next_peer_message(&mut fleet);
    received.from = "node-2".parse().unwrap();
    fleet.send(to, names::CLAIMS, received.into());
    assert_eq!(outcome(&fleet, first), Nothing);
    assert!(fleet.events.is_empty(), "{:?}", fleet.events);
}

#[test]
fn ticket_of_another_body_is_refused() {
    let mut fleet = fleet(ClaimOptions::default());
    let ticket = fleet.mint(MINTER, 1).unwrap().remove(0);
    assert_eq!(book(&mut fleet, OTHER, &ticket), Whole);
    let call = fleet.book_body(THIRD, &ticket, "another");
    fleet.pass(5 * SECOND);
    let reused = Refused(RefusalKind::KeyReused, Ran::No);
    assert_eq!(outcome(&fleet, call), reused);
}

#[test]
fn answer_without_room_is_not_kept() {
    let tickets = TicketOptions {
        max_answer_bytes: 0,
        ..TicketOptions::default()
    };
    let mut fleet = fleet(ClaimOptions {
        tickets,
        ..ClaimOptions::default()
    });
    let ticket = fleet.mint(MINTER, 1).unwrap().remove(0);
    assert_eq!(book(&mut fleet, OTHER, &ticket), Whole);
    let ran = Refused(RefusalKind::OutcomeUnknown, Ran::Yes);
    assert_eq!(book(&mut fleet, THIRD, &ticket), ran);
}

#[test]
fn old_tickets_are_forgotten_and_never_run_again() {
    let mut fleet = fleet(ClaimOptions::default());
    let tickets = fleet.mint(MINTER, 2).unwrap();
    assert_eq!(book(&mut fleet, OTHER, &tickets[0]), Whole);
    fleet.pass(Duration::from_mins(21));
    for node in [MINTER, OTHER] {
        for ticket in &tickets {
            assert_eq!(book(&mut fleet, node, ticket), EXPIRED);
        }
    }
    let next = fleet.mint(MINTER, 1).unwrap().remove(0);
    assert_eq!(next, "ticket:node-0:1:3");
    assert_eq!(book(&mut fleet, OTHER, &next), Whole);
    fleet.check();
    fleet.check_quiet();
}

#[test]
fn minting_is_bounded() {
    let tickets = TicketOptions {
        max_mint: 4,
        max_team_tickets: 6,
        max_tickets: 9,
        ..TicketOptions::default()
    };
    let mut fleet = fleet(ClaimOptions {
        tickets,
        ..ClaimOptions::default()
    });
    let kind = |minted: Result<Vec<String>, shallottide_types::refusal::Refusal>| {
        minted
            .map(|tickets| tickets.len())
            .map_err(|refusal| refusal.kind)
    };
    assert_eq!(kind(fleet.mint(MINTER, 0)), Err(RefusalKind::BadRequest));
    assert_eq!(kind(fleet.mint(MINTER, 5)), Err(RefusalKind::BadRequest));
    assert_eq!(kind(fleet.mint(MINTER, 4)), Ok(4));
    assert_eq!(kind(fleet.mint(MINTER, 3)), Err(RefusalKind::TeamLimit));
    assert_eq!(kind(fleet.mint_for("b", MINTER, 4)), Ok(4));
    assert_eq!(
        kind(fleet.mint_for("c", MINTER, 2)),
        Err(RefusalKind::Overloaded)
    );
    let long = fleet.mint_for("b", MINTER, 1).unwrap().remove(0);
    let used = fleet.book_as("b", OTHER, &long, "body");
    assert!(fleet.settle(Event::is_claim_granted));
    fleet.nodes[OTHER].paused = true;
    fleet.pass(Duration::from_mins(10));
    assert_eq!(outcome(&fleet, used), Nothing);
    assert_eq!(kind(fleet.mint_for("c", MINTER, 4)), Ok(4));
    assert_eq!(kind(fleet.mint(MINTER, 4)), Ok(4));
    assert_eq!(
        kind(fleet.mint_for("d", MINTER, 1)),
        Err(RefusalKind::Overloaded)
    );
    fleet.send(MINTER, names::CLAIMS, Message::Stop);
    assert_eq!(
        kind(fleet.mint_for("b", MINTER, 1)),
        Err(RefusalKind::Stopping)
    );
}

/// The minter knows no end of the call until the other node reports it.
#[test]
fn stopping_minter_waits_for_calls_with_its_tickets() {
    let mut fleet = fleet(ClaimOptions::default());
    let ticket = fleet.mint(MINTER, 1).unwrap().remove(0);
    fleet.send(MINTER, names::CLAIMS, Message::Stop);
    let call = book_up_to(&mut fleet, OTHER, Sent, &ticket);
    let pending = |fleet: &Fleet| fleet.nodes[MINTER].claim_options.counts.pending();
    assert_eq!(pending(&fleet), 1);
    fleet.pass(SECOND);
    assert_eq!((outcome(&fleet, call), pending(&fleet)), (Whole, 0));
}
