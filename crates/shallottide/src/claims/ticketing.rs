//! Tickets: minting, and claims and outcomes on their way to the minter.

use shallottide_types::call::{ReplyEvent, ReplyHead};
use shallottide_types::id::NodeId;
use shallottide_types::peer::{ClaimAnswer, ClaimEnd};
use shallottide_types::refusal::Refusal;
use shallottide_types::ticket::Ticket;

use super::ClaimService;
use super::claim_service::moment;
use super::job::Task;
use super::relaying::relay;
use super::request::Request;
use crate::kernel::{Context, Outbox, names};
use crate::message::{MintTickets, Reply};

impl ClaimService {
    pub(super) fn on_tickets_wanted(
        &mut self,
        wanted: &MintTickets,
        cx: &Context,
        out: &mut Outbox,
    ) {
        let MintTickets { team, count, .. } = wanted;
        let minted = self.tickets.mint(team, *count, cx, &self.options);
        for event in answer(minted) {
            let reply_to = wanted.reply_to;
            out.send(names::FRONT, Reply { reply_to, event });
        }
    }

    /// Carries out a task for a ticket, if this start of this node minted it.
    pub(super) fn apply_ticket(&mut self, task: &Task, cx: &Context) -> Option<ClaimAnswer> {
        let ticket = task.ticket()?;
        let members = cx.members();
        let moment = moment(cx, &members);
        let answer = self.tickets.apply(task, ticket, cx, &moment, &self.options);
        Some(answer)
    }

    /// Gives a request to the ticket's minter, which may be this node. No other may answer it.
    pub(super) fn submit_ticket(
        &mut self,
        token: u64,
        mut request: Request,
        minter: &Ticket,
        cx: &Context,
        out: &mut Outbox,
    ) {
        if minter.node == cx.me().node {
            let answer = self.apply_ticket(&request.task, cx);
            self.requests.insert(token, request);
            self.finish(token, answer.unwrap_or(ClaimAnswer::Unknown), cx, out);
            return;
        }
        let members = cx.members();
        let known = members.nodes.get(&minter.node).map(|node| &node.info);
        if known.is_some_and(|known| known.incarnation > minter.incarnation) {
            self.requests.insert(token, request);
            self.finish(token, ClaimAnswer::Ended(ClaimEnd::Unknown), cx, out);
            return;
        }
        // A node that has just started may come to know the minter in time.
        request.since = cx.now();
        if let Some(known) = known {
            request.ask(&minter.node, cx.now());
            relay(known, &request.task, out);
        }
        self.requests.insert(token, request);
    }

    /// Handles an answer to a request for a ticket: only the minter's counts.
    pub(super) fn on_minter_answer(
        &mut self,
        from: &NodeId,
        token: u64,
        answer: ClaimAnswer,
        cx: &Context,
        out: &mut Outbox,
    ) {
        let request = self.requests.get(&token);
        let minter = request.and_then(|request| request.task.ticket());
        if minter.is_some_and(|minter| minter.node == *from) {
            self.finish(token, answer, cx, out);
        }
    }

    /// Asks minters again that gave no answer, until the time is over.
    pub(super) fn expire_ticket_requests(&mut self, cx: &Context, out: &mut Outbox) {
        let now = cx.now();
        let options = &self.options;
        let is_late = |request: &Request| {
            request.deadline <= now || request.since + options.patience(&request.task) <= now
        };
        let late: Vec<_> = self
            .requests
            .iter()
            .filter(|(_, request)| request.task.ticket().is_some() && is_late(request))
            .map(|(token, request)| (*token, request.deadline <= now))
            .collect();
        for (token, is_over) in late {
            if is_over {
                self.finish(token, ClaimAnswer::MinterUnreachable, cx, out);
            } else if let Some(request) = self.requests.remove(&token) {
                self.submit(token, request, cx, out);
            }
        }
    }
}

/// Turns minted tickets or a refusal into an answer's events.
fn answer(minted: Result<Vec<Ticket>, Refusal>) -> Vec<ReplyEvent> {
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
