//! Claims and outcomes that pass between nodes on their way to a partition's preferred writer.

use std::time::Duration;

use shallottide_types::id::NodeId;
use shallottide_types::peer::{ClaimAnswer, NodeInfo, PeerMsg};

use super::ClaimService;
use super::job::{Asker, Job, Task};
use super::request::{Request, Via};
use crate::kernel::{Context, Outbox, names};
use crate::message::{PeerReceived, PeerSend};

/// Most writers asked for one request before this node writes by itself.
const MAX_WRITERS_ASKED: usize = 2;

impl ClaimService {
    /// Handles the answer of this node's own partition queue.
    pub(super) fn on_own_answer(
        &mut self,
        token: u64,
        answer: ClaimAnswer,
        cx: &Context,
        out: &mut Outbox,
    ) {
        let Some(request) = self.requests.get(&token) else {
            return;
        };
        let answer = request.truthful(answer);
        self.finish(token, answer, cx, out);
    }

    /// Handles the answer of a preferred writer. Where the writer could not decide, this node
    /// tries itself: it may reach the platform.
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
                self.give_back(token, cx, out);
            }
            return;
        };
        if request.task.ticket().is_some() {
            self.on_minter_answer(from, token, answer, cx, out);
            return;
        }
        if answer == ClaimAnswer::NotClaimed {
            request.open.remove(from);
        }
        let is_with = matches!(&request.via, Via::Peer(node) if node == from);
        match answer {
            ClaimAnswer::NotClaimed | ClaimAnswer::Unknown if is_with => {
                self.take_over(token, cx, out);
            }
            ClaimAnswer::NotClaimed | ClaimAnswer::Unknown => {}
            answer => self.finish(token, answer, cx, out),
        }
    }

    /// Takes back requests that their writers did not answer in time.
    pub(super) fn expire_relays(&mut self, cx: &Context, out: &mut Outbox) {
        let now = cx.now();
        let options = &self.options;
        let is_late = |request: &Request| now >= request.since + options.patience(&request.task);
        let late: Vec<_> = self
            .requests
            .iter()
            .filter(|(_, request)| request.task.ticket().is_none() && is_late(request))
            .map(|(token, request)| (*token, request.via.clone(), request.task.is_claim()))
            .collect();
        for (token, via, is_claim) in late {
            match via {
                Via::Peer(writer) => {
                    let until = now + self.options.suspect_time;
                    self.suspects.insert(writer, until);
                    self.ask_next(token, cx, out);
                }
                Via::Direct if !is_claim => self.begin_anew(token, cx, out),
                Via::Direct => {}
            }
        }
    }

    /// Asks the writers again to record an outcome that this node can't record by itself.
    fn begin_anew(&mut self, token: u64, cx: &Context, out: &mut Outbox) {
        if let Some(mut request) = self.withdraw(token) {
            request.asked.clear();
            self.submit(token, request, cx, out);
        }
    }

    /// Asks the next preferred writer, or tries here once enough writers gave no answer.
    fn ask_next(&mut self, token: u64, cx: &Context, out: &mut Outbox) {
        match self.requests.remove(&token) {
            Some(request) if request.asked.len() < MAX_WRITERS_ASKED => {
                self.submit(token, request, cx, out);
            }
            Some(request) => self.submit_here(token, request, cx, out),
            None => {}
        }
    }

    fn take_over(&mut self, token: u64, cx: &Context, out: &mut Outbox) {
        if let Some(request) = self.requests.remove(&token) {
            self.submit_here(token, request, cx, out);
        }
    }

    pub(super) fn on_peer(&mut self, received: PeerReceived, cx: &Context, out: &mut Outbox) {
        match received.msg {
            PeerMsg::Claim(request) => {
                // The sender tries by itself after the same time.
                let patience = request.time_left.min(self.options.relay_timeout);
                let token = request.token;
                let task = Task::Claim(request);
                self.take_from_peer(&received.from, token, task, patience, cx, out);
            }
            PeerMsg::ClaimEnded(outcome) => {
                let patience = self.options.outcome_timeout;
                let token = outcome.token;
                let task = Task::End(outcome);
                self.take_from_peer(&received.from, token, task, patience, cx, out);
            }
            PeerMsg::Claimed { token, answer } => {
                self.on_writer_answer(&received.from, token, answer, cx, out);
            }
            _ => {}
        }
    }

    fn take_from_peer(
        &mut self,
        from: &NodeId,
        token: u64,
        task: Task,
        patience: Duration,
        cx: &Context,
        out: &mut Outbox,
    ) {
        let members = cx.members();
        let Some(node) = members.nodes.get(from) else {
            return;
        };
        let asker = Asker::Peer(node.info.address, token);
        if let Some(answer) = self.apply_ticket(&task, cx) {
            self.deliver(vec![(asker, answer)], cx, out);
            return;
        }
        let job = Job::new(asker, task, cx.now(), cx.now() + patience);
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
