//! The fault matrix of one call on one node: every fault at every step of each kind of call.

mod call_support;

use std::collections::VecDeque;
use std::time::Duration;

use bytes::Bytes;
use call_support::{
    Borders, Driven, Kind, SharedBorders, TIME_LEFT, arrived, calls_node, claim_reply,
};
use call_support::{local, peer};
use shallottide::calls::CallOptions;
use shallottide::kernel::Name;
use shallottide::message::{AttemptEvent, AttemptFailure, Message, ReplyTo};
use shallottide::routing::Route;
use shallottide_types::call::{ReplyEvent, ReplyHead};
use shallottide_types::cases;
use shallottide_types::id::AttemptId;
use shallottide_types::peer::{ClaimAnswer, ClaimEnd};
use shallottide_types::refusal::{Ran, Refusal, RefusalKind};

const FRONT: ReplyTo = ReplyTo::Front(1);
const PARTS: u64 = 4;
const IDLE: Duration = Duration::from_secs(5);

/// Where the fault strikes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Step {
    Arrived,
    Claimed,
    Dispatched,
    Headed,
    Halfway,
    Answered,
}
use Step::{Answered, Arrived, Claimed, Dispatched, Halfway, Headed};

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Fault {
    None,
    NotSent,
    NotRun,
    Lost,
    /// A peer refuses and says that the call did not run.
    PeerNotRun,
    /// A peer refuses and can't say.
    PeerUnknown,
    /// Nothing comes any more.
    Silent,
    /// Nothing comes any more until the deadline has passed, with idle timeouts off.
    Late,
    CallerGone,
    /// The next event comes twice.
    Twice,
    /// Events of attempts that ended or never were.
    Stray,
    /// Data comes before the head.
    Crossed,
    /// The node is told to stop.
    Stop,
}
use Fault::{
    CallerGone, Crossed, Late, Lost, NotRun, NotSent, PeerNotRun, PeerUnknown, Silent, Stop, Stray,
    Twice,
};

#[derive(Debug, PartialEq, Eq)]
enum Outcome {
    Whole,
    Refused(RefusalKind, Ran),
    /// An answer that was begun ends in an error.
    Cut(RefusalKind, Ran),
    Silence,
    /// An answer that was begun ends with its receiver's leaving.
    Left,
}
use Outcome::{Cut, Left, Refused, Silence, Whole};

fn part(i: u64) -> Bytes {
    Bytes::from(format!("data: {i}\n\n"))
}

/// One node whose upstream misbehaves once, then serves.
struct World {
    node: Driven,
    borders: SharedBorders,
    options: CallOptions,
    /// Faults still to strike, the next one first.
    faults: VecDeque<(Fault, Step)>,
    kind: Kind,
    runs: u32,
    attempts: u32,
    replies: Vec<ReplyEvent>,
    ends: Vec<ClaimEnd>,
}

impl World {
    fn new(kind: Kind, faults: &[(Fault, Step)], routes: Vec<Route>) -> Self {
        let borders = SharedBorders::default();
        *borders.0.borrow_mut() = Borders {
            routes,
            ..Borders::default()
        };
        let mut options = CallOptions::default();
        let is_late = faults.iter().any(|(fault, _)| *fault == Late);
        let idle_timeout = if is_late { TIME_LEFT * 2 } else { IDLE };
        options.stream_idle_timeout = idle_timeout;
        options.answer_idle_timeout = idle_timeout;
        Self {
            node: calls_node(options.clone(), &borders),
            borders,
            options,
            faults: faults.iter().copied().collect(),
            kind,
            runs: 0,
            attempts: 0,
            replies: Vec::new(),
            ends: Vec::new(),
        }
    }

    fn run(&mut self) {
        self.reach(Arrived, AttemptId(0));
        self.send(arrived(self.kind, FRONT));
        for _ in 0..3 {
            self.node.clock.advance(TIME_LEFT * 2);
            self.send(Message::Tick);
        }
    }

    fn send(&mut self, message: impl Into<Message>) {
        for (to, message) in self.node.send(message) {
            self.take(to, message);
        }
    }

    fn take(&mut self, _: Name, message: Message) {
        match message {
            Message::Reply(reply) => self.replies.push(reply.event),
            Message::RequestClaim(wanted) => {
                self.reach(Claimed, AttemptId(0));
                self.send(claim_reply(&wanted, ClaimAnswer::Granted));
            }
            Message::ClaimedCallEnded(done) => self.ends.push(done.end),
            Message::Dispatch(dispatch) => self.serve(dispatch.attempt, dispatch.resume_from),
            Message::Forward(forward) => self.serve(forward.attempt, forward.call.resume_from),
            _ => {}
        }
    }

    /// Lets the upstream answer one attempt, or misbehave at the step of the fault.
    fn serve(&mut self, attempt: AttemptId, resume_from: u64) {
        self.attempts += 1;
        if self.reach(Dispatched, attempt) {
            return;
        }
        self.runs += 1;
        let head = ReplyHead {
            status: 200,
            content_type: "text/event-stream".into(),
        };
        self.event(attempt, AttemptEvent::Head(head));
        if self.reach(Headed, attempt) {
            return;
        }
        for i in resume_from..PARTS {
            if i == PARTS / 2 && self.reach(Halfway, attempt) {
                return;
            }
            self.event(attempt, AttemptEvent::Data(part(i)));
        }
        self.event(attempt, AttemptEvent::End);
        self.reach(Answered, attempt);
    }

    fn event(&mut self, attempt: AttemptId, event: AttemptEvent) {
        self.send(Message::Attempt(attempt, event));
    }

    fn fail(&mut self, attempt: AttemptId, failure: AttemptFailure) -> bool {
        self.event(attempt, AttemptEvent::Failed(failure));
        true
    }

    /// Strikes if the fault belongs here; tells whether the attempt is over for the upstream.
    fn reach(&mut self, step: Step, attempt: AttemptId) -> bool {
        let Some((fault, _)) = self.faults.pop_front_if(|(_, at)| *at == step) else {
            return false;
        };
        let refused = |ran| Refusal::new(RefusalKind::Overloaded, ran, "peer");
        match fault {
            Fault::None => return false,
            NotSent => return self.fail(attempt, AttemptFailure::NotSent("fake".into())),
            NotRun => return self.fail(attempt, AttemptFailure::NotRun("fake".into())),
            PeerNotRun => return self.fail(attempt, AttemptFailure::Refused(refused(Ran::No))),
            Lost | PeerUnknown | Silent | Late | Crossed => {
                self.runs += u32::from(step == Dispatched);
            }
            CallerGone => self.send(Message::ReceiverDisconnected(FRONT)),
            Stop => self.send(Message::Stop),
            Twice | Stray => {}
        }
        match fault {
            Lost => self.fail(attempt, AttemptFailure::Lost("fake".into())),
            PeerUnknown => self.fail(attempt, AttemptFailure::Refused(refused(Ran::Unknown))),
            Silent => self.let_pass(IDLE + 2 * self.options.hop_margin),
            Late => self.let_pass(TIME_LEFT),
            Crossed => {
                let event = AttemptEvent::Data(part(0));
                self.event(attempt, event);
                true
            }
            Twice => {
                self.event(attempt, AttemptEvent::End);
                false
            }
            Stray => {
                self.event(AttemptId(99), AttemptEvent::Data(part(1)));
                self.event(AttemptId(99), AttemptEvent::End);
                false
            }
            _ => false,
        }
    }

    fn let_pass(&mut self, time: Duration) -> bool {
        self.node.clock.advance(time);
        self.send(Message::Tick);
        true
    }

    fn outcome(&self) -> Outcome {
        match self.replies.as_slice() {
            [] => Silence,
            [ReplyEvent::Fail(refusal)] => Refused(refusal.kind, refusal.ran),
            [ReplyEvent::Head(_), .., ReplyEvent::Fail(refusal)] => Cut(refusal.kind, refusal.ran),
            [ReplyEvent::Head(_), .., ReplyEvent::End] => Whole,
            [ReplyEvent::Head(_), .., ReplyEvent::Data(_)] => Left,
            other => panic!("not an answer: {other:?}"),
        }
    }

    /// Checks what holds whatever the fault.
    fn check_invariants(&self) {
        let last = self.replies.len().saturating_sub(1);
        for (i, event) in self.replies.iter().enumerate() {
            match event {
                ReplyEvent::Head(_) => assert_eq!(i, 0, "head not first"),
                ReplyEvent::Data(data) => {
                    let expected = part(i as u64 - 1);
                    assert_eq!(*data, expected, "part missing or repeated");
                }
                ReplyEvent::End => assert_eq!((i, last as u64), (last, PARTS + 1), "not whole"),
                ReplyEvent::Fail(refusal) => {
                    assert_eq!(i, last, "event after the last");
                    assert!(refusal.ran != Ran::No || self.runs == 0, "false 'not run'");
                }
            }
        }
        if self.kind == Kind::Booking {
            assert!(self.runs <= 1, "ran {} times", self.runs);
            assert!(self.ends.len() <= 1, "claim ended twice: {:?}", self.ends);
            assert!(self.runs == 0 || self.ends.len() == 1, "claim left open");
            let freed = self.ends.contains(&ClaimEnd::NotRun);
            assert!(!freed || self.runs == 0, "claim of a run freed");
        }
        let borders = self.borders.0.borrow();
        assert_eq!((borders.places, borders.open_routes), (0, 0), "place kept");
        let counts = &self.options.counts;
        assert_eq!(
            (counts.in_flight(), counts.forwarded()),
            (0, 0),
            "still in flight"
        );
    }
}

fn check(kind: Kind, fault: Fault, step: Step, expected: &Outcome) {
    check_all(kind, &[(fault, step)], expected);
}

fn check_all(kind: Kind, faults: &[(Fault, Step)], expected: &Outcome) {
    for routes in [
        vec![local("a"), local("b")],
        vec![peer("a"), local("b")],
        vec![local("a"), peer("b")],
    ] {
        let mut world = World::new(kind, faults, routes);
        world.run();
        world.check_invariants();
        assert_eq!(world.outcome(), *expected);
    }
}

const RAN_LATE: Outcome = Refused(RefusalKind::DeadlineExceeded, Ran::Unknown);
const CUT_LATE: Outcome = Cut(RefusalKind::DeadlineExceeded, Ran::Unknown);
const CUT: Outcome = Cut(RefusalKind::UpstreamFailed, Ran::Unknown);
const UNKNOWN: Outcome = Refused(RefusalKind::OutcomeUnknown, Ran::Unknown);
const STOPPING: Outcome = Refused(RefusalKind::Stopping, Ran::Unknown);

cases! {
    check;
    booking_without_fault: Kind::Booking, Fault::None, Arrived, &Whole;
    booking_not_sent: Kind::Booking, NotSent, Dispatched, &Whole;
    booking_not_run: Kind::Booking, NotRun, Dispatched, &Whole;
    booking_peer_not_run: Kind::Booking, PeerNotRun, Dispatched, &Whole;
    booking_peer_unknown: Kind::Booking, PeerUnknown, Dispatched, &UNKNOWN;
    booking_lost_dispatched: Kind::Booking, Lost, Dispatched, &UNKNOWN;
    booking_lost_after_head: Kind::Booking, Lost, Headed, &UNKNOWN;
    booking_lost_halfway: Kind::Booking, Lost, Halfway, &UNKNOWN;
    booking_not_run_after_head: Kind::Booking, NotRun, Headed, &UNKNOWN;
    booking_not_sent_halfway: Kind::Booking, NotSent, Halfway, &UNKNOWN;
    booking_peer_not_run_halfway: Kind::Booking, PeerNotRun, Halfway, &UNKNOWN;
    booking_silent_dispatched: Kind::Booking, Silent, Dispatched, &UNKNOWN;
    booking_silent_halfway: Kind::Booking, Silent, Halfway, &UNKNOWN;
    booking_late_before_claim: Kind::Booking, Late, Claimed, &RAN_LATE;
    booking_late_dispatched: Kind::Booking, Late, Dispatched, &UNKNOWN;
    booking_late_halfway: Kind::Booking, Late, Halfway, &UNKNOWN;
    booking_caller_gone_before_claim: Kind::Booking, CallerGone, Claimed, &Silence;
    booking_caller_gone_dispatched: Kind::Booking, CallerGone, Dispatched, &Silence;
    booking_caller_gone_halfway: Kind::Booking, CallerGone, Halfway, &Silence;
    booking_caller_gone_answered: Kind::Booking, CallerGone, Answered, &Whole;
    booking_end_crossed_in: Kind::Booking, Twice, Dispatched, &UNKNOWN;
    booking_end_twice: Kind::Booking, Twice, Answered, &Whole;
    booking_stray_events: Kind::Booking, Stray, Dispatched, &Whole;
    booking_crossed_dispatched: Kind::Booking, Crossed, Dispatched, &UNKNOWN;
    booking_stop_before: Kind::Booking, Stop, Arrived, &STOPPING;
    booking_stop_claimed: Kind::Booking, Stop, Claimed, &Whole;
    booking_stop_halfway: Kind::Booking, Stop, Halfway, &Whole;
    count_not_sent: Kind::Count, NotSent, Dispatched, &Whole;
    count_not_run: Kind::Count, NotRun, Dispatched, &Whole;
    count_lost_dispatched: Kind::Count, Lost, Dispatched, &Whole;
    count_lost_after_head: Kind::Count, Lost, Headed, &Whole;
    count_lost_halfway: Kind::Count, Lost, Halfway, &Whole;
    count_peer_unknown: Kind::Count, PeerUnknown, Halfway, &Whole;
    count_silent_dispatched: Kind::Count, Silent, Dispatched, &Whole;
    count_silent_halfway: Kind::Count, Silent, Halfway, &Whole;
    count_late_halfway: Kind::Count, Late, Halfway, &RAN_LATE;
    count_caller_gone: Kind::Count, CallerGone, Halfway, &Silence;
    count_crossed: Kind::Count, Crossed, Dispatched, &Whole;
    count_end_twice: Kind::Count, Twice, Answered, &Whole;
    count_stop_before: Kind::Count, Stop, Arrived, &Refused(RefusalKind::Stopping, Ran::No);
    count_stop: Kind::Count, Stop, Dispatched, &Whole;
    stream_without_fault: Kind::Stream, Fault::None, Arrived, &Whole;
    stream_not_sent: Kind::Stream, NotSent, Dispatched, &Whole;
    stream_lost_dispatched: Kind::Stream, Lost, Dispatched, &Whole;
    stream_lost_after_head: Kind::Stream, Lost, Headed, &Whole;
    stream_lost_halfway: Kind::Stream, Lost, Halfway, &Whole;
    stream_silent_dispatched: Kind::Stream, Silent, Dispatched, &Whole;
    stream_silent_halfway: Kind::Stream, Silent, Halfway, &Whole;
    stream_late_halfway: Kind::Stream, Late, Halfway, &CUT_LATE;
    stream_cut_by_peer: Kind::Stream, PeerUnknown, Halfway, &Whole;
    stream_end_crossed_in: Kind::Stream, Twice, Dispatched, &Whole;
    stream_stray_events: Kind::Stream, Stray, Halfway, &Whole;
    stream_caller_gone: Kind::Stream, CallerGone, Halfway, &Left;
    stream_stop_halfway: Kind::Stream, Stop, Halfway, &Whole;
    fragile_lost_dispatched: Kind::FragileStream, Lost, Dispatched, &Whole;
    fragile_lost_after_head: Kind::FragileStream, Lost, Headed, &Whole;
    fragile_lost_halfway: Kind::FragileStream, Lost, Halfway, &CUT;
    fragile_silent_halfway: Kind::FragileStream, Silent, Halfway, &CUT;
}

cases! {
    check_all;
    booking_not_run_twice: Kind::Booking, &[(NotRun, Dispatched), (NotSent, Dispatched)],
        &Refused(RefusalKind::NoUpstream, Ran::No);
    booking_not_run_then_lost: Kind::Booking, &[(NotRun, Dispatched), (Lost, Dispatched)],
        &UNKNOWN;
    count_lost_then_not_run: Kind::Count, &[(Lost, Dispatched), (NotRun, Dispatched)],
        &Refused(RefusalKind::Overloaded, Ran::Unknown);
    count_cut_then_peer_not_run: Kind::Count, &[(Lost, Halfway), (PeerNotRun, Dispatched)],
        &Refused(RefusalKind::Overloaded, Ran::Unknown);
    stream_cut_twice: Kind::Stream, &[(Lost, Headed), (Silent, Halfway)], &CUT;
    stream_cut_then_stop: Kind::Stream, &[(Lost, Halfway), (Stop, Answered)], &Whole;
    stream_cut_then_late: Kind::Stream, &[(Lost, Headed), (Late, Halfway)], &CUT_LATE;
    stream_cut_then_caller_gone: Kind::Stream, &[(Lost, Headed), (CallerGone, Halfway)], &Left;
}

#[test]
fn booking_whose_caller_left_before_the_claim_does_not_run() {
    let faults = [(CallerGone, Claimed)];
    let mut world = World::new(Kind::Booking, &faults, vec![local("a")]);
    world.run();
    assert_eq!(
        (world.runs, world.ends.as_slice()),
        (0, &[ClaimEnd::NotRun][..])
    );
}

#[test]
fn booking_whose_caller_left_is_recorded() {
    let faults = [(CallerGone, Halfway)];
    let mut world = World::new(Kind::Booking, &faults, vec![local("a")]);
    world.run();
    let body: Vec<u8> = (0..PARTS).flat_map(part).collect();
    let recorded =
        |end: &ClaimEnd| matches!(end, ClaimEnd::Ran { body: Some(b), .. } if *b == body);
    assert!(world.ends.iter().all(recorded), "{:?}", world.ends);
}
