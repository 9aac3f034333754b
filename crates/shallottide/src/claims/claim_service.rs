//! The service that claims idempotency keys.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use shallottide_types::id::{CallId, NodeId, StoreEra};
use shallottide_types::peer::{ClaimAnswer, ClaimId, ClaimRequest, PeerMsg};

use super::ClaimOptions;
use super::held_claim::HeldClaim;
use super::job::{Job, JobAnswer, Requester, Snapshot, Task};
use super::partition::Partition;
use super::relaying::relay;
use super::request::{Recipient, Request};
use super::ticket_tracker::TicketTracker;
use super::token_source::TokenSource;
use super::writer_choice::preferred_writer;
use crate::kernel::{Context, Name, Outbox, Service, names};
use crate::message::{ClaimReply, Message, PeerSend, PlatformReply, PlatformRequest, RequestClaim};
use crate::view::MemberView;

/// Number of partitions. Must never change: existing keys would map to other partitions.
const PARTITION_COUNT: u16 = 32;

/// Minimum time between two checks for timeouts.
const EXPIRY_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// Claims idempotency keys and records how the claimed calls ended.
///
/// Each [`RequestClaim`] gets at most one [`ClaimReply`]. Safety comes from the platform's
/// compare-and-swap alone; the choice of a partition's writer only affects how many claims share
/// a write.
pub struct ClaimService {
    pub(super) options: ClaimOptions,
    pub(super) partitions: Vec<Partition>,
    pub(super) requests: BTreeMap<u64, Request>,
    /// Granted claims whose calls have not ended.
    pub(super) held: BTreeMap<CallId, HeldClaim>,
    /// Claims abandoned after they were sent to a writer, by request token.
    ///
    /// A claim that is granted late is released.
    pub(super) abandoned: BTreeMap<u64, HeldClaim>,
    /// Request token of each call that waits for its claim.
    pub(super) waiting: BTreeMap<CallId, u64>,
    /// Writers that did not answer in time, with the time until which they are not chosen.
    pub(super) suspects: BTreeMap<NodeId, Instant>,
    /// Partition of each pending platform call, by token.
    ops: BTreeMap<u64, u16>,
    pub(super) tokens: TokenSource,
    pub(super) tickets: TicketTracker,
    /// Time of the last check for timeouts.
    last_expiry_check: Option<Instant>,
    /// Era of the store that the records in force were read in, at the last tick.
    era: Option<StoreEra>,
}

impl ClaimService {
    /// Creates the service.
    #[must_use]
    pub fn new(options: ClaimOptions) -> Self {
        Self {
            options,
            partitions: (0..PARTITION_COUNT).map(Partition::new).collect(),
            requests: BTreeMap::new(),
            held: BTreeMap::new(),
            abandoned: BTreeMap::new(),
            waiting: BTreeMap::new(),
            suspects: BTreeMap::new(),
            ops: BTreeMap::new(),
            tokens: TokenSource::default(),
            tickets: TicketTracker::default(),
            last_expiry_check: None,
            era: None,
        }
    }

    fn on_claim_requested(&mut self, requested: RequestClaim, cx: &Context, out: &mut Outbox) {
        let token = self.tokens.next(cx);
        let me = cx.me();
        let request = ClaimRequest {
            token,
            claim: requested.claim,
            digest: requested.digest,
            call: self.tokens.call_id(token),
            owner: me.node,
            incarnation: me.incarnation,
            time_left: requested.time_left,
            ticket: requested.ticket,
        };
        let timeout = requested.time_left.min(self.options.claim_timeout);
        self.waiting.insert(requested.call.clone(), token);
        let (now, task) = (cx.now(), Task::Claim(request));
        let request = Request::new(Some(requested.call), task, now, now + timeout);
        self.submit(token, request, cx, out);
    }

    /// Removes a request and its queued job; returns it with the call that waits for it, if any.
    pub(super) fn remove_request(&mut self, token: u64) -> Option<(Request, Option<CallId>)> {
        let request = self.withdraw(token)?;
        let call = request.call.clone();
        if let Some(call) = &call {
            self.waiting.remove(call);
        }
        Some((request, call))
    }

    /// Removes a request, also from this node's own queue.
    pub(super) fn withdraw(&mut self, token: u64) -> Option<Request> {
        let request = self.requests.remove(&token)?;
        let partition = usize::from(partition_of(request.task.claim()));
        self.partitions[partition].remove_jobs_of(Requester::Local(token));
        Some(request)
    }

    /// Sends a request to the ticket's minter or the partition's preferred writer, which may be
    /// this node.
    pub(super) fn submit(
        &mut self,
        token: u64,
        mut request: Request,
        cx: &Context,
        out: &mut Outbox,
    ) {
        if let Some(ticket) = request.task.ticket().cloned() {
            self.submit_ticket(token, request, &ticket, cx, out);
            return;
        }
        let partition = partition_of(request.task.claim());
        let members = cx.members();
        match preferred_writer(partition, &members, &self.suspects) {
            Some(writer) if writer.node != cx.me().node => {
                request.record_recipient(&writer.node, cx.now());
                relay(writer, &request.task, out);
                self.requests.insert(token, request);
            }
            _ => self.submit_locally(token, request, cx, out),
        }
    }

    /// Adds a request to this node's own partition queue.
    pub(super) fn submit_locally(
        &mut self,
        token: u64,
        mut request: Request,
        cx: &Context,
        out: &mut Outbox,
    ) {
        request.recipient = Recipient::LocalQueue;
        request.sent_at = cx.now();
        let task = request.task.clone();
        let deadline = request.deadline;
        self.requests.insert(token, request);
        let job = Job::new(Requester::Local(token), task, cx.now(), deadline);
        self.enqueue(job, cx, out);
    }

    /// Adds a job to its partition and starts the partition's next platform call if one is due.
    pub(super) fn enqueue(&mut self, job: Job, cx: &Context, out: &mut Outbox) {
        let number = partition_of(job.task.claim());
        let rejected = self.partitions[usize::from(number)].push(job, &self.options);
        self.deliver(rejected.into_iter().collect(), cx, out);
        self.advance_partition(number, cx, out);
    }

    fn advance_partition(&mut self, number: u16, cx: &Context, out: &mut Outbox) {
        let token = self.tokens.next(cx);
        let members = cx.members();
        let snapshot = snapshot(cx, &members);
        let partition = &mut self.partitions[usize::from(number)];
        let round = partition.next_round(token, &snapshot, &self.options);
        if let Some(op) = round.op {
            self.ops.insert(token, number);
            let reply_to = names::CLAIMS;
            let request = PlatformRequest {
                reply_to,
                token,
                op,
            };
            out.send(names::PLATFORM, request);
        }
        self.deliver(round.answers, cx, out);
    }

    fn on_platform_reply(&mut self, reply: PlatformReply, cx: &Context, out: &mut Outbox) {
        let Some(number) = self.ops.remove(&reply.token) else {
            return;
        };
        let members = cx.members();
        let snapshot = snapshot(cx, &members);
        let partition = &mut self.partitions[usize::from(number)];
        let answers = partition.on_reply(reply.token, reply.result, &snapshot, &self.options);
        self.deliver(answers, cx, out);
        self.advance_partition(number, cx, out);
    }

    pub(super) fn deliver(&mut self, answers: Vec<JobAnswer>, cx: &Context, out: &mut Outbox) {
        for (requester, answer) in answers {
            match requester {
                Requester::Local(token) => self.on_local_answer(token, answer, cx, out),
                Requester::Peer(address, token) => {
                    let msg = PeerMsg::Claimed { token, answer };
                    out.send(names::PEERS, PeerSend { address, msg });
                }
            }
        }
    }

    /// Completes a request with its answer and replies to the waiting call.
    pub(super) fn finish(
        &mut self,
        token: u64,
        answer: ClaimAnswer,
        cx: &Context,
        out: &mut Outbox,
    ) {
        let Some((request, Some(call))) = self.remove_request(token) else {
            return;
        };
        if answer == ClaimAnswer::Granted {
            let held = self.held_claim_of(&request, cx);
            self.held.extend(held.map(|held| (call.clone(), held)));
        } else {
            self.track_abandoned(token, &request, cx);
        }
        let may_be_granted = match answer {
            ClaimAnswer::Unknown => true,
            ClaimAnswer::MinterUnreachable => !request.contacted.is_empty(),
            _ => false,
        };
        if may_be_granted {
            self.release_unconfirmed(&request, cx, out);
        }
        let claim = request.task.claim();
        let reply = ClaimReply {
            call,
            claim,
            answer,
        };
        out.send(names::CALLS, reply);
    }

    /// Expires timed-out platform calls, relays, jobs, tickets and tracked claims.
    fn expire(&mut self, cx: &Context, out: &mut Outbox) {
        let now = cx.now();
        if self
            .last_expiry_check
            .is_some_and(|at| now < at + EXPIRY_CHECK_INTERVAL)
        {
            return;
        }
        self.last_expiry_check = Some(now);
        let members = cx.members();
        let snapshot = snapshot(cx, &members);
        self.suspects.retain(|_, until| *until > now);
        self.held.retain(|_, held| held.expires_at > now);
        self.abandoned.retain(|_, held| held.expires_at > now);
        let mut answers = Vec::new();
        for partition in &mut self.partitions {
            answers.extend(partition.expire(&snapshot, &self.options));
        }
        self.tickets.expire(&snapshot);
        self.deliver(answers, cx, out);
        self.expire_relays(cx, out);
        self.expire_ticket_requests(cx, out);
        let is_current = |partition: &Partition, token: &u64| {
            partition
                .pending_op
                .as_ref()
                .is_some_and(|op| op.token == *token)
        };
        let partitions = &self.partitions;
        self.ops
            .retain(|token, number| is_current(&partitions[usize::from(*number)], token));
    }

    fn on_tick(&mut self, cx: &Context, out: &mut Outbox) {
        let era = cx.config().index.era();
        if self.era.replace(era).is_some_and(|known| known < era) {
            for partition in &mut self.partitions {
                partition.on_restored(era);
            }
        }
        for number in 0..PARTITION_COUNT {
            self.advance_partition(number, cx, out);
        }
    }
}

pub(super) fn snapshot<'a>(cx: &Context, members: &'a MemberView) -> Snapshot<'a> {
    Snapshot {
        now: cx.now(),
        unix_s: cx.unix_time().as_secs(),
        members,
    }
}

fn partition_of(claim: ClaimId) -> u16 {
    let high = claim.0 >> 64;
    u16::try_from(high % u128::from(PARTITION_COUNT)).expect("less than PARTITION_COUNT")
}

impl Service for ClaimService {
    fn name(&self) -> Name {
        names::CLAIMS
    }

    fn handle(&mut self, message: Message, cx: &Context, out: &mut Outbox) {
        self.expire(cx, out);
        match message {
            Message::RequestClaim(requested) => self.on_claim_requested(requested, cx, out),
            Message::ClaimedCallEnded(ended) => self.on_claimed_call_ended(ended, cx, out),
            Message::PlatformReply(reply) => self.on_platform_reply(reply, cx, out),
            Message::PeerReceived(received) => self.on_peer_message(received, cx, out),
            Message::MintTickets(requested) => self.on_tickets_requested(&requested, cx, out),
            Message::Tick => self.on_tick(cx, out),
            Message::Stop => self.tickets.stopping = true,
            _ => {}
        }
        let pending = self.requests.len() + self.tickets.running();
        self.options.counts.set_pending(pending);
    }
}
