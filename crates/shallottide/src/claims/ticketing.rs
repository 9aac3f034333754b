//! Minting of tickets, and relaying of their claims and outcomes to the minter.

use shallottide_types::call::{ReplyEvent, ReplyHead};
use shallottide_types::id::NodeId;
use shallottide_types::peer::{ClaimAnswer, ClaimEnd};
use shallottide_types::refusal::Refusal;
use shallottide_types::ticket::Ticket;

use super::ClaimService;
use super::claim_service::snapshot;
use super::job::Task;
use super::relaying::relay;
use super::request::Request;
use crate::kernel::{Context, Outbox, names};
use crate::message::{MintTickets, Reply};

impl ClaimService {
    pub(super) fn on_tickets_requested(
        &mut self,
        requested: &MintTickets,
        cx: &Context,
        out: &mut Outbox,
    ) {
        let MintTickets { team, count, .. } = requested;
        let minted = self.tickets.mint(team, *count, cx, &self.options);
        for event in reply_events(minted) {
            let reply_to = requested.reply_to;
            out.send(names::FRONT, Reply { reply_to, event });
        }
    }

    /// Applies a task whose key is a ticket; `None` for any other key.
    pub(super) fn apply_ticket(&mut self, task: &Task, cx: &Context) -> Option<ClaimAnswer> {
        let ticket = task.ticket()?;
        let members = cx.members();
        let snapshot = snapshot(cx, &members);
        let answer = self
            .tickets
            .apply(task, ticket, cx, &snapshot, &self.options);
        Some(answer)
    }

    /// Sends a request to the ticket's minter, which may be this node. No other node may answer it.
    pub(super) fn submit_ticket(
        &mut self,
        token: u64,
        mut request: Request,
        ticket: &Ticket,
        cx: &Context,
        out: &mut Outbox,
    ) {
        if ticket.node == cx.me().node {
            let answer = self.apply_ticket(&request.task, cx);
            self.requests.insert(token, request);
            self.finish(token, answer.unwrap_or(ClaimAnswer::Unknown), cx, out);
            return;
        }
        let members = cx.members();
        let known = members.nodes.get(&ticket.node).map(|node| &node.info);
        if known.is_some_and(|known| known.incarnation > ticket.incarnation) {
            self.requests.insert(token, request);
            self.finish(token, ClaimAnswer::Ended(ClaimEnd::Unknown), cx, out);
            return;
        }
        // A node that has just started may not know the minter yet; the request is resent later.
        request.sent_at = cx.now();
        if let Some(known) = known {
            request.record_recipient(&ticket.node, cx.now());
            relay(known, &request.task, out);
        }
        self.requests.insert(token, request);
    }

    /// Handles an answer to a request with a ticket; ignores it unless the minter sent it.
    pub(super) fn on_minter_answer(
        &mut self,
        from: &NodeId,
        token: u64,
        answer: ClaimAnswer,
        cx: &Context,
        out: &mut Outbox,
    ) {
        let request = self.requests.get(&token);
        let ticket = request.and_then(|request| request.task.ticket());
        if ticket.is_some_and(|ticket| ticket.node == *from) {
            self.finish(token, answer, cx, out);
        }
    }

    /// Resends requests that the minter did not answer in time, until their deadline.
    pub(super) fn expire_ticket_requests(&mut self, cx: &Context, out: &mut Outbox) {
        let now = cx.now();
        let options = &self.options;
        let is_overdue = |request: &Request| {
            request.deadline <= now
                || request.sent_at + options.writer_timeout(&request.task) <= now
        };
        let overdue: Vec<_> = self
            .requests
            .iter()
            .filter(|(_, request)| request.task.ticket().is_some() && is_overdue(request))
            .map(|(token, request)| (*token, request.deadline <= now))
            .collect();
        for (token, is_past_deadline) in overdue {
            if is_past_deadline {
                self.finish(token, ClaimAnswer::MinterUnreachable, cx, out);
            } else if let Some(request) = self.requests.remove(&token) {
                self.submit(token, request, cx, out);
            }
        }
    }
}

/// Converts minted tickets or a refusal to reply events.
fn reply_events(minted: Result<Vec<Ticket>, Refusal>) -> Vec<ReplyEvent> {
    let tickets = match minted {
        Ok(tickets) => tickets,
        Err(refusal) => return vec![ReplyEvent::Fail(refusal)],
    };
    let tickets: Vec<_> = tickets.iter().map(Ticket::to_string).collect();
    let body = serde_json::json!({ "tickets": tickets }).to_string();
    let head = ReplyHead {
        status: 200,
        content_type: "application/json".into(),
    };
    vec![
        ReplyEvent::Head(head),
        ReplyEvent::Data(body.into()),
        ReplyEvent::End,
    ]
}
