//! The tickets minted by this incarnation of the node.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use shallottide_types::id::{TeamId, TicketNumber};
use shallottide_types::peer::{ClaimAnswer, ClaimEnd};
use shallottide_types::refusal::{Ran, Refusal, RefusalKind};
use shallottide_types::ticket::Ticket;

use super::ClaimOptions;
use super::job::{Snapshot, Task};
use super::minted_ticket::MintedTicket;
use crate::calls::claim_id;
use crate::kernel::Context;

/// Retry delay for a refused request to mint.
const MINT_RETRY_AFTER: Duration = Duration::from_secs(5);

/// Tracks the tickets minted by this incarnation of the node until they expire.
///
/// A ticket is held by at most one call at a time, and is never granted after it was removed.
#[derive(Debug, Default)]
pub(super) struct TicketTracker {
    minted: BTreeMap<TicketNumber, MintedTicket>,
    /// Expiry time and number of each ticket.
    by_expiry: BTreeSet<(Instant, TicketNumber)>,
    /// Number of the latest ticket.
    last_number: TicketNumber,
    /// Number of tickets kept for each team.
    by_team: BTreeMap<TeamId, usize>,
    /// Tickets whose calls have not ended.
    running: BTreeSet<TicketNumber>,
    /// Total size of the recorded answers.
    answer_bytes: usize,
    pub(super) stopping: bool,
}

impl TicketTracker {
    /// Returns the number of calls that use a ticket and have not ended.
    pub(super) fn running(&self) -> usize {
        self.running.len()
    }

    /// Mints `count` tickets for a team, or none at all.
    pub(super) fn mint(
        &mut self,
        team: &TeamId,
        count: usize,
        cx: &Context,
        options: &ClaimOptions,
    ) -> Result<Vec<Ticket>, Refusal> {
        self.check_limits(team, count, options)?;
        let me = cx.me();
        let usable_until = cx.now() + options.tickets.lifetime;
        let mut tickets = Vec::with_capacity(count);
        for _ in 0..count {
            let ticket = Ticket {
                node: me.node.clone(),
                incarnation: me.incarnation,
                number: self.last_number.next(),
            };
            let key = ticket.to_key().map_err(|e| {
                let message = format!("this node can't mint tickets: shorten its id ({e})");
                Refusal::new(RefusalKind::Internal, Ran::No, message)
            })?;
            let minted = MintedTicket::new(team.clone(), claim_id(team, &key), usable_until);
            self.last_number = ticket.number;
            self.by_expiry.insert((minted.kept_until, ticket.number));
            self.minted.insert(ticket.number, minted);
            *self.by_team.entry(team.clone()).or_default() += 1;
            tickets.push(ticket);
        }
        Ok(tickets)
    }

    fn check_limits(
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
        Err(Refusal::new(kind, Ran::No, message).retry_after(MINT_RETRY_AFTER))
    }

    /// Applies one task to a ticket. Idempotent: a repeated task gets the same answer.
    pub(super) fn apply(
        &mut self,
        task: &Task,
        ticket: &Ticket,
        cx: &Context,
        snapshot: &Snapshot,
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
        if number == TicketNumber::default() || number > self.last_number {
            return ClaimAnswer::UnknownTicket;
        }
        let Some(minted) = self.minted.get_mut(&number) else {
            return ClaimAnswer::Expired;
        };
        self.by_expiry.remove(&(minted.kept_until, number));
        self.answer_bytes -= minted.answer_bytes();
        let answer = match task {
            Task::Claim(request) => minted.claim(request, snapshot, options),
            Task::End(outcome) => {
                let keep_answer = self.answer_bytes < options.tickets.max_answer_bytes;
                minted.end(outcome, keep_answer, snapshot, options);
                ClaimAnswer::Ended(outcome.end.clone())
            }
        };
        self.answer_bytes += minted.answer_bytes();
        self.by_expiry.insert((minted.kept_until, number));
        if minted.is_running(snapshot) {
            self.running.insert(number);
        } else {
            self.running.remove(&number);
        }
        answer
    }

    /// Removes expired tickets.
    pub(super) fn expire(&mut self, snapshot: &Snapshot) {
        while let Some(&(at, number)) = self.by_expiry.first()
            && at <= snapshot.now
        {
            self.by_expiry.pop_first();
            self.remove_ticket(number);
        }
        let minted = &self.minted;
        self.running.retain(|number| {
            let ticket = minted.get(number);
            ticket.is_some_and(|ticket| ticket.is_running(snapshot))
        });
    }

    fn remove_ticket(&mut self, number: TicketNumber) {
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
