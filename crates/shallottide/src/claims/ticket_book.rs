//! The tickets that this start of the node minted.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use shallottide_types::id::{TeamId, TicketNumber};
use shallottide_types::peer::{ClaimAnswer, ClaimEnd};
use shallottide_types::refusal::{Ran, Refusal, RefusalKind};
use shallottide_types::ticket::Ticket;

use super::ClaimOptions;
use super::job::{Moment, Task};
use super::minted_ticket::MintedTicket;
use crate::calls::claim_id;
use crate::kernel::Context;

/// When a team without room for tickets may ask again.
const RETRY_MINTING: Duration = Duration::from_secs(5);

/// The tickets that this start of the node minted and remembers.
///
/// A ticket is granted at most once, and never after it was forgotten.
#[derive(Debug, Default)]
pub(super) struct TicketBook {
    /// Those remembered.
    minted: BTreeMap<TicketNumber, MintedTicket>,
    /// When each of them is forgotten.
    due: BTreeSet<(Instant, TicketNumber)>,
    /// The latest number.
    last: TicketNumber,
    /// How many are remembered for each team.
    by_team: BTreeMap<TeamId, usize>,
    /// Those whose calls have not ended.
    running: BTreeSet<TicketNumber>,
    answer_bytes: usize,
    pub(super) stopping: bool,
}

impl TicketBook {
    /// Returns how many calls that use tickets have not ended.
    pub(super) fn running(&self) -> usize {
        self.running.len()
    }

    /// Mints tickets for a team, or none.
    pub(super) fn mint(
        &mut self,
        team: &TeamId,
        count: usize,
        cx: &Context,
        options: &ClaimOptions,
    ) -> Result<Vec<Ticket>, Refusal> {
        self.check_room(team, count, options)?;
        let me = cx.me();
        let usable_until = cx.now() + options.tickets.lifetime;
        let mut tickets = Vec::with_capacity(count);
        for _ in 0..count {
            let ticket = Ticket {
                node: me.node.clone(),
                incarnation: me.incarnation,
                number: self.last.next(),
            };
            let key = ticket.to_key().map_err(|e| {
                let message = format!("this node can't mint tickets: shorten its id ({e})");
                Refusal::new(RefusalKind::Internal, Ran::No, message)
            })?;
            let minted = MintedTicket::new(team.clone(), claim_id(team, &key), usable_until);
            self.last = ticket.number;
            self.due.insert((minted.kept_until, ticket.number));
            self.minted.insert(ticket.number, minted);
            *self.by_team.entry(team.clone()).or_default() += 1;
            tickets.push(ticket);
        }
        Ok(tickets)
    }

    fn check_room(
        &self,
        team: &TeamId,
        count: usize,
        options: &ClaimOptions,
    ) -> Result<(), Refusal> {
        let limits = &options.tickets;
        if !(1..=limits.max_mint).contains(&count) {
            let message = format!(
                "{count} tickets can't be had: ask for 1 to {}",
                limits.max_mint
            );
            return Err(Refusal::new(RefusalKind::BadRequest, Ran::No, message));
        }
        let of_team = self.by_team.get(team).copied().unwrap_or_default();
        let (kind, message) = if self.stopping {
            let message = "this node is stopping: fetch tickets from another node";
            (RefusalKind::Stopping, message)
        } else if of_team + count > limits.max_team_tickets {
            let message = "the team has too many tickets: use those fetched, or retry later";
            (RefusalKind::TeamLimit, message)
        } else if self.minted.len() + count > limits.max_tickets {
            let message = "this node remembers too many tickets: retry later, or another node";
            (RefusalKind::Overloaded, message)
        } else {
            return Ok(());
        };
        Err(Refusal::new(kind, Ran::No, message).retry_after(RETRY_MINTING))
    }

    /// Carries out one task for a ticket. Applying a task again answers the same.
    pub(super) fn apply(
        &mut self,
        task: &Task,
        ticket: &Ticket,
        cx: &Context,
        moment: &Moment,
        options: &ClaimOptions,
    ) -> ClaimAnswer {
        let me = cx.me();
        if ticket.node != me.node {
            return ClaimAnswer::MinterUnreachable;
        }
        if ticket.incarnation != me.incarnation {
            return ClaimAnswer::Ended(ClaimEnd::Unknown);
        }
        let number = ticket.number;
        if number == TicketNumber::default() || number > self.last {
            return ClaimAnswer::UnknownTicket;
        }
        let Some(minted) = self.minted.get_mut(&number) else {
            return ClaimAnswer::Expired;
        };
        self.due.remove(&(minted.kept_until, number));
        self.answer_bytes -= minted.answer_bytes();
        let answer = match task {
            Task::Claim(request) => minted.claim(request, moment, options),
            Task::End(outcome) => {
                let has_room = self.answer_bytes < options.tickets.max_answer_bytes;
                minted.end(outcome, has_room, moment, options);
                ClaimAnswer::Ended(outcome.end.clone())
            }
        };
        self.answer_bytes += minted.answer_bytes();
        self.due.insert((minted.kept_until, number));
        if minted.is_running(moment) {
            self.running.insert(number);
        } else {
            self.running.remove(&number);
        }
        answer
    }

    /// Forgets tickets past their time.
    pub(super) fn expire(&mut self, moment: &Moment) {
        while let Some(&(at, number)) = self.due.first()
            && at <= moment.now
        {
            self.due.pop_first();
            self.forget(number);
        }
        let minted = &self.minted;
        self.running.retain(|number| {
            let ticket = minted.get(number);
            ticket.is_some_and(|ticket| ticket.is_running(moment))
        });
    }

    fn forget(&mut self, number: TicketNumber) {
        let Some(ticket) = self.minted.remove(&number) else {
            return;
        };
        self.answer_bytes -= ticket.answer_bytes();
        if let Some(count) = self.by_team.get_mut(&ticket.team) {
            *count -= 1;
            if *count == 0 {
                self.by_team.remove(&ticket.team);
            }
        }
    }
}
