//! A ticket minted by this incarnation of the node.

use std::time::{Duration, Instant};

use shallottide_types::id::TeamId;
use shallottide_types::peer::{ClaimAnswer, ClaimEnd, ClaimId, ClaimOutcome, ClaimRequest};

use super::ClaimOptions;
use super::claim_entry::{ClaimEntry, HolderHash, kept_bytes, without_answer};
use super::job::Snapshot;

/// Upper limit of the time for which a call may hold a ticket, regardless of the remaining time
/// that its node reports.
const MAX_CALL_TIME: Duration = Duration::from_hours(1);

/// A ticket minted by this incarnation of the node.
#[derive(Debug)]
pub(super) struct MintedTicket {
    pub(super) team: TeamId,
    /// Hash of team and ticket.
    pub(super) claim: ClaimId,
    /// Time until which a call may start to use the ticket.
    usable_until: Instant,
    /// Time until which the ticket is kept in memory.
    pub(super) kept_until: Instant,
    /// The claim of the call that used the ticket; `None` while it is unused.
    entry: Option<ClaimEntry>,
}

impl MintedTicket {
    pub(super) fn new(team: TeamId, claim: ClaimId, usable_until: Instant) -> Self {
        Self {
            team,
            claim,
            usable_until,
            kept_until: usable_until,
            entry: None,
        }
    }

    /// Returns whether the call that used the ticket may still run or report its outcome.
    pub(super) fn is_running(&self, snapshot: &Snapshot) -> bool {
        let entry = self.entry.as_ref();
        entry.is_some_and(|entry| !entry.has_ended(snapshot))
    }

    /// Returns the size in bytes of the recorded answer.
    pub(super) fn answer_bytes(&self) -> usize {
        let end = self.entry.as_ref().and_then(|entry| entry.end.as_ref());
        end.map_or(0, kept_bytes)
    }

    /// Grants the ticket to the first call that claims it. Idempotent.
    pub(super) fn claim(
        &mut self,
        request: &ClaimRequest,
        snapshot: &Snapshot,
        options: &ClaimOptions,
    ) -> ClaimAnswer {
        match &self.entry {
            _ if self.claim != request.claim => ClaimAnswer::UnknownTicket,
            Some(entry) if entry.is_granted_to(request, snapshot) => ClaimAnswer::Granted,
            Some(entry) => entry.answer(request.digest, snapshot),
            None if snapshot.now >= self.usable_until => ClaimAnswer::Expired,
            None => {
                let ttl = request.time_left.min(MAX_CALL_TIME) + options.expiry_margin;
                self.kept_until = snapshot.now + ttl + options.retention;
                self.entry = Some(ClaimEntry::granted(request, snapshot, options));
                ClaimAnswer::Granted
            }
        }
    }

    /// Records how the call that holds the ticket ended; `NotRun` makes the ticket usable again.
    pub(super) fn end(
        &mut self,
        outcome: &ClaimOutcome,
        keep_answer: bool,
        snapshot: &Snapshot,
        options: &ClaimOptions,
    ) {
        let holder = HolderHash::from_call(&outcome.call);
        let Some(entry) = self.entry.as_mut().filter(|entry| entry.holder == holder) else {
            return;
        };
        match &outcome.end {
            ClaimEnd::NotRun if matches!(entry.end, Some(ClaimEnd::Ran { .. })) => {}
            ClaimEnd::NotRun => {
                self.entry = None;
                self.kept_until = self.usable_until;
            }
            end => {
                let end = if keep_answer {
                    end.clone()
                } else {
                    without_answer(end)
                };
                if entry.set_end(end) {
                    self.kept_until = snapshot.now + options.retention;
                }
            }
        }
    }
}
