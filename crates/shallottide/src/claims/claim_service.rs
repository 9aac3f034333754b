//! The service that claims idempotency keys.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use shallottide_types::id::{CallId, NodeId};
use shallottide_types::peer::{ClaimAnswer, ClaimId, ClaimRequest, PeerMsg};

use super::ClaimOptions;
use super::held::Held;
use super::job::{Answered, Asker, Job, Moment, Task};
use super::partition::Partition;
use super::relaying::relay;
use super::request::{Request, Via};
use super::ticket_book::TicketBook;
use super::token_source::TokenSource;
use super::writer_choice::preferred_writer;
use crate::kernel::{Context, Name, Outbox, Service, names};
use crate::message::{ClaimReply, Message, PeerSend, PlatformReply, PlatformRequest, RequestClaim};
use crate::view::MemberView;

/// Number of partitions. Never changed: keys would be looked for in the wrong one.
const PARTITIONS: u16 = 32;

/// Shortest time between two searches for timeouts.
const EXPIRE_INTERVAL: Duration = Duration::from_millis(20);

/// Claims idempotency keys and records how the claimed calls ended.
///
/// Each [`RequestClaim`] gets one [`ClaimReply`]. Safety comes from the platform's
/// compare-and-swap alone; who writes a partition only decides how many claims share a write.
pub struct ClaimService {
    pub(super) options: ClaimOptions,
    pub(super) partitions: Vec<Partition>,
    pub(super) requests: BTreeMap<u64, Request>,
    /// Granted claims whose calls have not ended.
    pub(super) held: BTreeMap<CallId, Held>,
    /// Claims asked of a writer and given up. One that is granted late is given back.
    pub(super) given_up: BTreeMap<u64, Held>,
    /// The request of each call that waits for its claim.
    pub(super) waiting: BTreeMap<CallId, u64>,
    /// Writers that gave no answer, and until when they are passed over.
    pub(super) suspects: BTreeMap<NodeId, Instant>,
    /// The partition of each platform call under way.
    ops: BTreeMap<u64, u16>,
    pub(super) tokens: TokenSource,
    pub(super) tickets: TicketBook,
    /// When timeouts were last looked for.
    expired_at: Option<Instant>,
}

impl ClaimService {
    /// Creates the service.
    #[must_use]
    pub fn new(options: ClaimOptions) -> Self {
        Self {
            options,
            partitions: (0..PARTITIONS).map(Partition::new).collect(),
            requests: BTreeMap::new(),
            held: BTreeMap::new(),
            given_up: BTreeMap::new(),
            waiting: BTreeMap::new(),
            suspects: BTreeMap::new(),
            ops: BTreeMap::new(),
            tokens: TokenSource::default(),
            tickets: TicketBook::default(),
            expired_at: None,
        }
    }

    fn on_wanted(&mut self, wanted: RequestClaim, cx: &Context, out: &mut Outbox) {
        let token = self.tokens.next(cx);
        let me = cx.me();
        let request = ClaimRequest {
            token,
            claim: wanted.claim,
            digest: wanted.digest,
            call: self.tokens.call_id(token),
            owner: me.node,
            incarnation: me.incarnation,
            time_left: wanted.time_left,
            ticket: wanted.ticket,
        };
        let patience = wanted.time_left.min(self.options.claim_timeout);
        self.waiting.insert(wanted.call.clone(), token);
        let (now, task) = (cx.now(), Task::Claim(request));
        let request = Request::new(Some(wanted.call), task, now, now + patience);
        self.submit(token, request, cx, out);
    }

    /// Removes a request with its waiting job, and tells which call waits for it.
    pub(super) fn remove_request(&mut self, token: u64) -> Option<(Request, Option<CallId>)> {
        let request = self.withdraw(token)?;
        let call = request.call.clone();
        if let Some(call) = &call {
            self.waiting.remove(call);
        }
        Some((request, call))
    }

    /// Takes a request back from this node's own queue.
    pub(super) fn withdraw(&mut self, token: u64) -> Option<Request> {
        let request = self.requests.remove(&token)?;
        let partition = usize::from(partition_of(request.task.claim()));
        self.partitions[partition].forget(Asker::Local(token));
        Some(request)
    }

    /// Gives a request to the ticket's minter or the partition's preferred writer, which may be
    /// this node.
    pub(super) fn submit(
        &mut self,
        token: u64,
        mut request: Request,
        cx: &Context,
        out: &mut Outbox,
    ) {
        if let Some(minter) = request.task.ticket().cloned() {
            self.submit_ticket(token, request, &minter, cx, out);
            return;
        }
        let partition = partition_of(request.task.claim());
        let members = cx.members();
        match preferred_writer(partition, &members, &self.suspects) {
            Some(writer) if writer.node != cx.me().node => {
                request.ask(&writer.node, cx.now());
                relay(writer, &request.task, out);
                self.requests.insert(token, request);
            }
            _ => self.submit_here(token, request, cx, out),
        }
    }

    /// Puts a request into this node's own queue.
    pub(super) fn submit_here(
        &mut self,
        token: u64,
        mut request: Request,
        cx: &Context,
        out: &mut Outbox,
    ) {
        request.via = Via::Direct;
        request.since = cx.now();
        let task = request.task.clone();
        let deadline = request.deadline;
        self.requests.insert(token, request);
        let job = Job::new(Asker::Local(token), task, cx.now(), deadline);
        self.enqueue(job, cx, out);
    }

    /// Adds a job to its partition and looks for work there.
    pub(super) fn enqueue(&mut self, job: Job, cx: &Context, out: &mut Outbox) {
        let number = partition_of(job.task.claim());
        let rejected = self.partitions[usize::from(number)].push(job, &self.options);
        self.deliver(rejected.into_iter().collect(), cx, out);
        self.pump(number, cx, out);
    }

    fn pump(&mut self, number: u16, cx: &Context, out: &mut Outbox) {
        let token = self.tokens.next(cx);
        let members = cx.members();
        let moment = moment(cx, &members);
        let partition = &mut self.partitions[usize::from(number)];
        let round = partition.next_round(token, &moment, &self.options);
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
        self.deliver(round.answered, cx, out);
    }

    fn on_platform(&mut self, reply: PlatformReply, cx: &Context, out: &mut Outbox) {
        let Some(number) = self.ops.remove(&reply.token) else {
            return;
        };
        let members = cx.members();
        let moment = moment(cx, &members);
        let partition = &mut self.partitions[usize::from(number)];
        let answered = partition.on_reply(reply.token, reply.result, &moment, &self.options);
        self.deliver(answered, cx, out);
        self.pump(number, cx, out);
    }

    pub(super) fn deliver(&mut self, answered: Vec<Answered>, cx: &Context, out: &mut Outbox) {
        for (asker, answer) in answered {
            match asker {
                Asker::Local(token) => self.on_own_answer(token, answer, cx, out),
                Asker::Peer(address, token) => {
                    let msg = PeerMsg::Claimed { token, answer };
                    out.send(names::PEERS, PeerSend { address, msg });
                }
            }
        }
    }

    /// Ends a request by its answer.
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
            let held = self.held_by(&request, cx);
            self.held.extend(held.map(|held| (call.clone(), held)));
        } else {
            self.give_up(token, &request, cx);
        }
        let may_be_granted = match answer {
            ClaimAnswer::Unknown => true,
            ClaimAnswer::MinterUnreachable => !request.asked.is_empty(),
            _ => false,
        };
        if may_be_granted {
            self.give_back_unknown(&request, cx, out);
        }
        let claim = request.task.claim();
        let reply = ClaimReply {
            call,
            claim,
            answer,
        };
        out.send(names::CALLS, reply);
    }

    /// Gives up what took too long.
    fn expire(&mut self, cx: &Context, out: &mut Outbox) {
        let now = cx.now();
        if self.expired_at.is_some_and(|at| now < at + EXPIRE_INTERVAL) {
            return;
        }
        self.expired_at = Some(now);
        let members = cx.members();
        let moment = moment(cx, &members);
        self.suspects.retain(|_, until| *until > now);
        self.held.retain(|_, held| held.until > now);
        self.given_up.retain(|_, held| held.until > now);
        let mut answered = Vec::new();
        for partition in &mut self.partitions {
            answered.extend(partition.expire(&moment, &self.options));
        }
        self.tickets.expire(&moment);
        self.deliver(answered, cx, out);
        self.expire_relays(cx, out);
        self.expire_ticket_requests(cx, out);
        let is_current = |partition: &Partition, token: &u64| {
            partition
                .busy
                .as_ref()
                .is_some_and(|busy| busy.token == *token)
        };
        let partitions = &self.partitions;
        self.ops
            .retain(|token, number| is_current(&partitions[usize::from(*number)], token));
    }

    fn on_tick(&mut self, cx: &Context, out: &mut Outbox) {
        for number in 0..PARTITIONS {
            self.pump(number, cx, out);
        }
    }
}

pub(super) fn moment<'a>(cx: &Context, members: &'a MemberView) -> Moment<'a> {
    Moment {
        now: cx.now(),
        unix_s: cx.unix_time().as_secs(),
        members,
    }
}

fn partition_of(claim: ClaimId) -> u16 {
    let high = claim.0 >> 64;
    u16::try_from(high % u128::from(PARTITIONS)).expect("less than PARTITIONS")
}

impl Service for ClaimService {
    fn name(&self) -> Name {
        names::CLAIMS
    }

    fn handle(&mut self, message: Message, cx: &Context, out: &mut Outbox) {
        self.expire(cx, out);
        match message {
            Message::RequestClaim(wanted) => self.on_wanted(wanted, cx, out),
            Message::ClaimedCallEnded(done) => self.on_done(done, cx, out),
            Message::PlatformReply(reply) => self.on_platform(reply, cx, out),
            Message::PeerReceived(received) => self.on_peer(received, cx, out),
            Message::MintTickets(wanted) => self.on_tickets_wanted(&wanted, cx, out),
            Message::Tick => self.on_tick(cx, out),
            Message::Stop => self.tickets.stopping = true,
            _ => {}
        }
        let pending = self.requests.len() + self.tickets.running();
        self.options.counts.set_pending(pending);
    }
}
