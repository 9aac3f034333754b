//! Relaying of claims and outcomes to a partition's preferred writer.

use std::time::Duration;

use shallottide_types::id::NodeId;
use shallottide_types::peer::{ClaimAnswer, NodeInfo, PeerMsg};

use super::ClaimService;
use super::job::{Job, Requester, Task};
use super::request::{Recipient, Request};
use crate::kernel::{Context, Outbox, names};
use crate::message::{PeerReceived, PeerSend};

/// Maximum number of writers tried for one request before this node writes the partition itself.
const MAX_WRITERS_CONTACTED: usize = 2;

impl ClaimService {
    /// Handles an answer from this node's own partition queue.
    pub(super) fn on_local_answer(
        &mut self,
        token: u64,
        answer: ClaimAnswer,
        cx: &Context,
        out: &mut Outbox,
    ) {
        let Some(request) = self.requests.get(&token) else {
            return;
        };
        let answer = request.answer_for_call(answer);
        self.finish(token, answer, cx, out);
    }

    /// Handles the answer of a preferred writer.
    ///
    /// If the writer could not decide, the request moves to the local queue, as this node may be
    /// able to reach the platform.
    pub(super) fn on_writer_answer(
        &mut self,
        from: &NodeId,
        token: u64,
        answer: ClaimAnswer,
        cx: &Context,
        out: &mut Outbox,
    ) {
        let Some(request) = self.requests.get_mut(&token) else {
            if answer == ClaimAnswer::Granted {
                self.release_abandoned(token, cx, out);
            }
            return;
        };
        if request.task.ticket().is_some() {
            self.on_minter_answer(from, token, answer, cx, out);
            return;
        }
        if answer == ClaimAnswer::NotClaimed {
            request.possible_writers.remove(from);
        }
        let is_current_writer = matches!(&request.recipient, Recipient::Peer(node) if node == from);
        match answer {
            ClaimAnswer::NotClaimed | ClaimAnswer::Unknown if is_current_writer => {
                self.move_to_local_queue(token, cx, out);
            }
            ClaimAnswer::NotClaimed | ClaimAnswer::Unknown => {}
            answer => self.finish(token, answer, cx, out),
        }
    }

    /// Resubmits requests that were not answered in time and marks their writers as suspects.
    pub(super) fn expire_relays(&mut self, cx: &Context, out: &mut Outbox) {
        let now = cx.now();
        let options = &self.options;
        let is_overdue =
            |request: &Request| now >= request.sent_at + options.writer_timeout(&request.task);
        let overdue: Vec<_> = self
            .requests
            .iter()
            .filter(|(_, request)| request.task.ticket().is_none() && is_overdue(request))
            .map(|(token, request)| (*token, request.recipient.clone(), request.task.is_claim()))
            .collect();
        for (token, recipient, is_claim) in overdue {
            match recipient {
                Recipient::Peer(writer) => {
                    let until = now + self.options.suspect_time;
                    self.suspects.insert(writer, until);
                    self.submit_to_next_writer(token, cx, out);
                }
                Recipient::LocalQueue if !is_claim => self.resubmit(token, cx, out),
                Recipient::LocalQueue => {}
            }
        }
    }

    /// Resubmits an outcome that this node could not record itself to the preferred writers.
    fn resubmit(&mut self, token: u64, cx: &Context, out: &mut Outbox) {
        if let Some(mut request) = self.withdraw(token) {
            request.contacted.clear();
            self.submit(token, request, cx, out);
        }
    }

    /// Sends a request to the next preferred writer, or to the local queue after
    /// [`MAX_WRITERS_CONTACTED`] writers did not answer.
    fn submit_to_next_writer(&mut self, token: u64, cx: &Context, out: &mut Outbox) {
        match self.requests.remove(&token) {
            Some(request) if request.contacted.len() < MAX_WRITERS_CONTACTED => {
                self.submit(token, request, cx, out);
            }
            Some(request) => self.submit_locally(token, request, cx, out),
            None => {}
        }
    }

    fn move_to_local_queue(&mut self, token: u64, cx: &Context, out: &mut Outbox) {
        if let Some(request) = self.requests.remove(&token) {
            self.submit_locally(token, request, cx, out);
        }
    }

    pub(super) fn on_peer_message(
        &mut self,
        received: PeerReceived,
        cx: &Context,
        out: &mut Outbox,
    ) {
        match received.msg {
            PeerMsg::Claim(request) => {
                // The sender moves the claim to the next writer or its own queue after the same
                // time.
                let timeout = request.time_left.min(self.options.relay_timeout);
                let token = request.token;
                let task = Task::Claim(request);
                self.accept_from_peer(&received.from, token, task, timeout, cx, out);
            }
            PeerMsg::ClaimEnded(outcome) => {
                let timeout = self.options.outcome_timeout;
                let token = outcome.token;
                let task = Task::End(outcome);
                self.accept_from_peer(&received.from, token, task, timeout, cx, out);
            }
            PeerMsg::Claimed { token, answer } => {
                self.on_writer_answer(&received.from, token, answer, cx, out);
            }
            _ => {}
        }
    }

    fn accept_from_peer(
        &mut self,
        from: &NodeId,
        token: u64,
        task: Task,
        timeout: Duration,
        cx: &Context,
        out: &mut Outbox,
    ) {
        let members = cx.members();
        let Some(node) = members.nodes.get(from) else {
            return;
        };
        let requester = Requester::Peer(node.info.address, token);
        if let Some(answer) = self.apply_ticket(&task, cx) {
            self.deliver(vec![(requester, answer)], cx, out);
            return;
        }
        let job = Job::new(requester, task, cx.now(), cx.now() + timeout);
        self.enqueue(job, cx, out);
    }
}

/// Sends a task to the preferred writer.
pub(super) fn relay(writer: &NodeInfo, task: &Task, out: &mut Outbox) {
    let msg = match task {
        Task::Claim(request) => PeerMsg::Claim(request.clone()),
        Task::End(outcome) => PeerMsg::ClaimEnded(outcome.clone()),
    };
    let address = writer.address;
    out.send(names::PEERS, PeerSend { address, msg });
}
