//! Fault matrix of one call on one node: faults at each step, for each kind of call.

mod call_support;

use std::collections::VecDeque;
use std::time::Duration;

use bytes::Bytes;
use call_support::{
    Fakes, Kind, ServiceHarness, SharedFakes, TIME_LEFT, arriving_call, calls_node, claim_reply,
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
const IDLE_TIMEOUT: Duration = Duration::from_secs(5);

/// Progress of the call when the fault is injected.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Step {
    Arrived,
    Claimed,
    Dispatched,
    HeadSent,
    Halfway,
    Answered,
}
use Step::{Answered, Arrived, Claimed, Dispatched, Halfway, HeadSent};

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Fault {
    None,
    NotSent,
    NotRun,
    Lost,
    /// A peer refuses and reports that the call did not run.
    PeerNotRun,
    /// A peer refuses and does not know whether the call ran.
    PeerUnknown,
    /// The upstream sends nothing until the idle timeout.
    Stalled,
    /// The upstream sends nothing until the deadline, with idle timeouts longer than that.
    PastDeadline,
    CallerDisconnected,
    /// An additional end event arrives.
    ExtraEnd,
    /// The upstream answers with status 200 and an error that is no stream.
    JsonAnswer,
    /// The upstream answers so, and the connection breaks off after the first part.
    JsonCut,
    /// Events of an attempt that does not exist.
    UnknownAttempt,
    /// Data arrives before the head.
    DataBeforeHead,
    /// The node receives `Stop`.
    Stop,
}
use Fault::{
    CallerDisconnected, DataBeforeHead, ExtraEnd, JsonAnswer, JsonCut, Lost, NotRun, NotSent,
    PastDeadline, PeerNotRun, PeerUnknown, Stalled, Stop, UnknownAttempt,
};

#[derive(Debug, PartialEq, Eq)]
enum Outcome {
    Complete,
    Refused(RefusalKind, Ran),
    /// A partly sent answer ends with an error.
    Interrupted(RefusalKind, Ran),
    NoReply,
    /// A partly sent answer ends because its receiver disconnects.
    Abandoned,
}
use Outcome::{Abandoned, Complete, Interrupted, NoReply, Refused};

fn part(i: u64) -> Bytes {
    Bytes::from(format!("data: {i}\n\n"))
}

/// One node whose upstream has the given faults in order and works otherwise.
struct Harness {
    node: ServiceHarness,
    fakes: SharedFakes,
    options: CallOptions,
    /// Faults not injected yet, the next one first.
    faults: VecDeque<(Fault, Step)>,
    kind: Kind,
    runs: u32,
    attempts: u32,
    replies: Vec<ReplyEvent>,
    claim_ends: Vec<ClaimEnd>,
}

impl Harness {
    fn new(kind: Kind, faults: &[(Fault, Step)], routes: Vec<Route>) -> Self {
        let fakes = SharedFakes::default();
        *fakes.0.borrow_mut() = Fakes {
            routes,
            ..Fakes::default()
        };
        let mut options = CallOptions::default();
        let is_past_deadline = faults.iter().any(|(fault, _)| *fault == PastDeadline);
        let idle_timeout = if is_past_deadline {
            TIME_LEFT * 2
        } else {
            IDLE_TIMEOUT
        };
        options.stream_idle_timeout = idle_timeout;
        options.answer_idle_timeout = idle_timeout;
        Self {
            node: calls_node(options.clone(), &fakes),
            fakes,
            options,
            faults: faults.iter().copied().collect(),
            kind,
            runs: 0,
            attempts: 0,
            replies: Vec::new(),
            claim_ends: Vec::new(),
        }
    }

    fn run(&mut self) {
        self.inject_fault_at(Arrived, AttemptId(0));
        self.send(arriving_call(self.kind, FRONT));
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
                self.inject_fault_at(Claimed, AttemptId(0));
                self.send(claim_reply(&wanted, ClaimAnswer::Granted));
            }
            Message::ClaimedCallEnded(done) => self.claim_ends.push(done.end),
            Message::Dispatch(dispatch) => self.serve(dispatch.attempt, dispatch.resume_from),
            Message::Forward(forward) => self.serve(forward.attempt, forward.call.resume_from),
            _ => {}
        }
    }

    /// Answers one attempt as the upstream, or injects the fault at its step.
    fn serve(&mut self, attempt: AttemptId, resume_from: u64) {
        self.attempts += 1;
        if self.inject_fault_at(Dispatched, attempt) {
            return;
        }
        self.runs += 1;
        let head = ReplyHead {
            status: 200,
            content_type: "text/event-stream".into(),
        };
        self.event(attempt, AttemptEvent::Head(head));
        if self.inject_fault_at(HeadSent, attempt) {
            return;
        }
        for i in resume_from..PARTS {
            if i == PARTS / 2 && self.inject_fault_at(Halfway, attempt) {
                return;
            }
            self.event(attempt, AttemptEvent::Data(part(i)));
        }
        self.event(attempt, AttemptEvent::End);
        self.inject_fault_at(Answered, attempt);
    }

    fn event(&mut self, attempt: AttemptId, event: AttemptEvent) {
        self.send(Message::Attempt(attempt, event));
    }

    fn fail(&mut self, attempt: AttemptId, failure: AttemptFailure) -> bool {
        self.event(attempt, AttemptEvent::Failed(failure));
        true
    }

    /// Injects the next fault if it is due at this step; returns whether the upstream stops serving
    /// the attempt.
    fn inject_fault_at(&mut self, step: Step, attempt: AttemptId) -> bool {
        let Some((fault, _)) = self.faults.pop_front_if(|(_, at)| *at == step) else {
            return false;
        };
        let refused = |ran| Refusal::new(RefusalKind::Overloaded, ran, "peer");
        match fault {
            Fault::None => return false,
            NotSent => return self.fail(attempt, AttemptFailure::NotSent("fake".into())),
            NotRun => return self.fail(attempt, AttemptFailure::NotRun("fake".into())),
            PeerNotRun => return self.fail(attempt, AttemptFailure::Refused(refused(Ran::No))),
            Lost | PeerUnknown | Stalled | PastDeadline | DataBeforeHead | JsonAnswer | JsonCut => {
                self.runs += u32::from(step == Dispatched);
            }
            CallerDisconnected => self.send(Message::ReceiverDisconnected(FRONT)),
            Stop => self.send(Message::Stop),
            ExtraEnd | UnknownAttempt => {}
        }
        match fault {
            Lost => self.fail(attempt, AttemptFailure::Lost("fake".into())),
            PeerUnknown => self.fail(attempt, AttemptFailure::Refused(refused(Ran::Unknown))),
            Stalled => self.advance_time(IDLE_TIMEOUT + 2 * self.options.hop_margin),
            PastDeadline => self.advance_time(TIME_LEFT),
            DataBeforeHead => {
                let event = AttemptEvent::Data(part(0));
                self.event(attempt, event);
                true
            }
            JsonAnswer | JsonCut => {
                let head = ReplyHead {
                    status: 200,
                    content_type: "application/json".into(),
                };
                let error = Bytes::from_static(b"{\"error\":\"failed\"}");
                self.event(attempt, AttemptEvent::Head(head));
                self.event(attempt, AttemptEvent::Data(error));
                if fault == JsonCut {
                    return self.fail(attempt, AttemptFailure::Lost("fake".into()));
                }
                self.event(attempt, AttemptEvent::End);
                true
            }
            ExtraEnd => {
                self.event(attempt, AttemptEvent::End);
                false
            }
            UnknownAttempt => {
                self.event(AttemptId(99), AttemptEvent::Data(part(1)));
                self.event(AttemptId(99), AttemptEvent::End);
                false
            }
            _ => false,
        }
    }

    fn advance_time(&mut self, time: Duration) -> bool {
        self.node.clock.advance(time);
        self.send(Message::Tick);
        true
    }

    fn outcome(&self) -> Outcome {
        match self.replies.as_slice() {
            [] => NoReply,
            [ReplyEvent::Fail(refusal)] => Refused(refusal.kind, refusal.ran),
            [ReplyEvent::Head(_), .., ReplyEvent::Fail(refusal)] => {
                Interrupted(refusal.kind, refusal.ran)
            }
            [ReplyEvent::Head(_), .., ReplyEvent::End] => Complete,
            [ReplyEvent::Head(_), .., ReplyEvent::Data(_)] => Abandoned,
            other => panic!("not an answer: {other:?}"),
        }
    }

    /// Checks the invariants that hold for every fault.
    fn check_invariants(&self) {
        let last = self.replies.len().saturating_sub(1);
        for (i, event) in self.replies.iter().enumerate() {
            match event {
                ReplyEvent::Head(_) => assert_eq!(i, 0, "head not first"),
                ReplyEvent::Data(data) => {
                    let expected = part(i as u64 - 1);
                    assert_eq!(*data, expected, "part missing or repeated");
                }
                ReplyEvent::End => assert_eq!((i, last as u64), (last, PARTS + 1), "incomplete"),
                ReplyEvent::Fail(refusal) => {
                    assert_eq!(i, last, "event after the last");
                    assert!(refusal.ran != Ran::No || self.runs == 0, "false 'not run'");
                }
            }
        }
        if self.kind == Kind::Booking {
            assert!(self.runs <= 1, "ran {} times", self.runs);
            assert!(
                self.claim_ends.len() <= 1,
                "claim ended twice: {:?}",
                self.claim_ends
            );
            assert!(
                self.runs == 0 || self.claim_ends.len() == 1,
                "claim not ended"
            );
            let released = self.claim_ends.contains(&ClaimEnd::NotRun);
            assert!(
                !released || self.runs == 0,
                "claim released although the call ran"
            );
        }
        let fakes = self.fakes.0.borrow();
        assert_eq!(
            (fakes.permits, fakes.open_routes),
            (0, 0),
            "permit not released"
        );
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
        let mut harness = Harness::new(kind, faults, routes);
        harness.run();
        harness.check_invariants();
        assert_eq!(harness.outcome(), *expected);
    }
}

const DEADLINE_EXCEEDED: Outcome = Refused(RefusalKind::DeadlineExceeded, Ran::Unknown);
const INTERRUPTED_BY_DEADLINE: Outcome = Interrupted(RefusalKind::DeadlineExceeded, Ran::Unknown);
const INTERRUPTED: Outcome = Interrupted(RefusalKind::UpstreamFailed, Ran::Unknown);
const UNKNOWN: Outcome = Refused(RefusalKind::OutcomeUnknown, Ran::Unknown);
const STOPPING: Outcome = Refused(RefusalKind::Stopping, Ran::Unknown);

cases! {
    check;
    booking_without_fault: Kind::Booking, Fault::None, Arrived, &Complete;
    booking_not_sent: Kind::Booking, NotSent, Dispatched, &Complete;
    booking_not_run: Kind::Booking, NotRun, Dispatched, &Complete;
    booking_peer_not_run: Kind::Booking, PeerNotRun, Dispatched, &Complete;
    booking_peer_unknown: Kind::Booking, PeerUnknown, Dispatched, &UNKNOWN;
    booking_lost_dispatched: Kind::Booking, Lost, Dispatched, &UNKNOWN;
    booking_lost_after_head: Kind::Booking, Lost, HeadSent, &UNKNOWN;
    booking_lost_halfway: Kind::Booking, Lost, Halfway, &UNKNOWN;
    booking_not_run_after_head: Kind::Booking, NotRun, HeadSent, &UNKNOWN;
    booking_not_sent_halfway: Kind::Booking, NotSent, Halfway, &UNKNOWN;
    booking_peer_not_run_halfway: Kind::Booking, PeerNotRun, Halfway, &UNKNOWN;
    booking_stalled_dispatched: Kind::Booking, Stalled, Dispatched, &UNKNOWN;
    booking_stalled_halfway: Kind::Booking, Stalled, Halfway, &UNKNOWN;
    booking_past_deadline_before_claim: Kind::Booking, PastDeadline, Claimed, &DEADLINE_EXCEEDED;
    booking_past_deadline_dispatched: Kind::Booking, PastDeadline, Dispatched, &UNKNOWN;
    booking_past_deadline_halfway: Kind::Booking, PastDeadline, Halfway, &UNKNOWN;
    booking_caller_disconnected_before_claim: Kind::Booking, CallerDisconnected, Claimed, &NoReply;
    booking_caller_disconnected_dispatched: Kind::Booking, CallerDisconnected, Dispatched, &NoReply;
    booking_caller_disconnected_halfway: Kind::Booking, CallerDisconnected, Halfway, &NoReply;
    booking_caller_disconnected_answered: Kind::Booking, CallerDisconnected, Answered, &Complete;
    booking_end_before_head: Kind::Booking, ExtraEnd, Dispatched, &UNKNOWN;
    booking_extra_end: Kind::Booking, ExtraEnd, Answered, &Complete;
    booking_events_of_unknown_attempt: Kind::Booking, UnknownAttempt, Dispatched, &Complete;
    booking_data_before_head: Kind::Booking, DataBeforeHead, Dispatched, &UNKNOWN;
    booking_stop_before_arrival: Kind::Booking, Stop, Arrived, &STOPPING;
    booking_stop_claimed: Kind::Booking, Stop, Claimed, &Complete;
    booking_stop_halfway: Kind::Booking, Stop, Halfway, &Complete;
    count_not_sent: Kind::Count, NotSent, Dispatched, &Complete;
    count_not_run: Kind::Count, NotRun, Dispatched, &Complete;
    count_lost_dispatched: Kind::Count, Lost, Dispatched, &Complete;
    count_lost_after_head: Kind::Count, Lost, HeadSent, &Complete;
    count_lost_halfway: Kind::Count, Lost, Halfway, &Complete;
    count_peer_unknown: Kind::Count, PeerUnknown, Halfway, &Complete;
    count_stalled_dispatched: Kind::Count, Stalled, Dispatched, &Complete;
    count_stalled_halfway: Kind::Count, Stalled, Halfway, &Complete;
    count_past_deadline_halfway: Kind::Count, PastDeadline, Halfway, &DEADLINE_EXCEEDED;
    count_caller_disconnected: Kind::Count, CallerDisconnected, Halfway, &NoReply;
    count_data_before_head: Kind::Count, DataBeforeHead, Dispatched, &Complete;
    count_extra_end: Kind::Count, ExtraEnd, Answered, &Complete;
    count_stop_before_arrival: Kind::Count, Stop, Arrived, &Refused(RefusalKind::Stopping, Ran::No);
    count_stop: Kind::Count, Stop, Dispatched, &Complete;
    stream_without_fault: Kind::Stream, Fault::None, Arrived, &Complete;
    stream_not_sent: Kind::Stream, NotSent, Dispatched, &Complete;
    stream_lost_dispatched: Kind::Stream, Lost, Dispatched, &Complete;
    stream_lost_after_head: Kind::Stream, Lost, HeadSent, &Complete;
    stream_lost_halfway: Kind::Stream, Lost, Halfway, &Complete;
    stream_stalled_dispatched: Kind::Stream, Stalled, Dispatched, &Complete;
    stream_stalled_halfway: Kind::Stream, Stalled, Halfway, &Complete;
    stream_past_deadline_halfway: Kind::Stream, PastDeadline, Halfway, &INTERRUPTED_BY_DEADLINE;
    stream_interrupted_by_peer: Kind::Stream, PeerUnknown, Halfway, &Complete;
    stream_end_before_head: Kind::Stream, ExtraEnd, Dispatched, &Complete;
    stream_events_of_unknown_attempt: Kind::Stream, UnknownAttempt, Halfway, &Complete;
    stream_caller_disconnected: Kind::Stream, CallerDisconnected, Halfway, &Abandoned;
    stream_stop_halfway: Kind::Stream, Stop, Halfway, &Complete;
    non_resumable_lost_dispatched: Kind::NonResumableStream, Lost, Dispatched, &Complete;
    non_resumable_lost_after_head: Kind::NonResumableStream, Lost, HeadSent, &Complete;
    non_resumable_lost_halfway: Kind::NonResumableStream, Lost, Halfway, &INTERRUPTED;
    non_resumable_stalled_halfway: Kind::NonResumableStream, Stalled, Halfway, &INTERRUPTED;
}

cases! {
    check_all;
    booking_not_run_twice: Kind::Booking, &[(NotRun, Dispatched), (NotSent, Dispatched)],
        &Refused(RefusalKind::NoUpstream, Ran::No);
    booking_not_run_then_lost: Kind::Booking, &[(NotRun, Dispatched), (Lost, Dispatched)],
        &UNKNOWN;
    count_lost_then_not_run: Kind::Count, &[(Lost, Dispatched), (NotRun, Dispatched)],
        &Refused(RefusalKind::Overloaded, Ran::Unknown);
    count_interrupted_then_peer_not_run: Kind::Count, &[(Lost, Halfway), (PeerNotRun, Dispatched)],
        &Refused(RefusalKind::Overloaded, Ran::Unknown);
    stream_interrupted_twice: Kind::Stream, &[(Lost, HeadSent), (Stalled, Halfway)], &INTERRUPTED;
    stream_interrupted_then_json: Kind::Stream, &[(Lost, Halfway), (JsonAnswer, Dispatched)], &INTERRUPTED;
    stream_interrupted_after_head_then_json: Kind::Stream, &[(Lost, HeadSent), (JsonAnswer, Dispatched)], &INTERRUPTED;
    stream_interrupted_then_stop: Kind::Stream, &[(Lost, Halfway), (Stop, Answered)], &Complete;
    stream_interrupted_then_past_deadline: Kind::Stream, &[(Lost, HeadSent), (PastDeadline, Halfway)], &INTERRUPTED_BY_DEADLINE;
    stream_interrupted_then_caller_disconnected: Kind::Stream, &[(Lost, HeadSent), (CallerDisconnected, Halfway)], &Abandoned;
}

#[test]
fn booking_whose_caller_disconnected_before_the_claim_does_not_run() {
    let faults = [(CallerDisconnected, Claimed)];
    let mut harness = Harness::new(Kind::Booking, &faults, vec![local("a")]);
    harness.run();
    assert_eq!(
        (harness.runs, harness.claim_ends.as_slice()),
        (0, &[ClaimEnd::NotRun][..])
    );
}

#[test]
fn booking_whose_caller_disconnected_is_recorded() {
    let faults = [(CallerDisconnected, Halfway)];
    let mut harness = Harness::new(Kind::Booking, &faults, vec![local("a")]);
    harness.run();
    let body: Vec<u8> = (0..PARTS).flat_map(part).collect();
    let recorded =
        |end: &ClaimEnd| matches!(end, ClaimEnd::Ran { body: Some(b), .. } if *b == body);
    assert!(
        harness.claim_ends.iter().all(recorded),
        "{:?}",
        harness.claim_ends
    );
}

/// Guards against an answer that is no stream, breaks off after a part of it was sent, and is followed
/// by another upstream's whole answer.
#[test]
fn partly_sent_answer_that_is_no_stream_is_not_resumed() {
    let faults = [(JsonCut, Dispatched), (JsonAnswer, Dispatched)];
    let mut harness = Harness::new(Kind::Stream, &faults, vec![local("a"), local("b")]);
    harness.run();
    assert_eq!(harness.outcome(), INTERRUPTED, "{:?}", harness.replies);
    let is_data = |event: &&ReplyEvent| matches!(event, ReplyEvent::Data(_));
    assert_eq!(harness.replies.iter().filter(is_data).count(), 1);
}
