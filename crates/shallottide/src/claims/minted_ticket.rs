//! One ticket that this start of the node minted.

use std::time::{Duration, Instant};

use shallottide_types::id::TeamId;
use shallottide_types::peer::{ClaimAnswer, ClaimEnd, ClaimId, ClaimOutcome, ClaimRequest};

use super::ClaimOptions;
use super::claim_entry::{ClaimEntry, Holder, kept_bytes, without_answer};
use super::job::Moment;

/// Longest time that a call may hold a ticket, whatever its node says.
const MAX_HELD: Duration = Duration::from_hours(1);

/// One ticket that this start of the node minted.
#[derive(Debug)]
pub(super) struct MintedTicket {
    pub(super) team: TeamId,
    /// Team and ticket, hashed.
    pub(super) claim: ClaimId,
    /// Until when it may be used.
    usable_until: Instant,
    /// Until when it is remembered.
    pub(super) kept_until: Instant,
    /// The call that used it.
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

    /// Tells whether the call that used it may still run or report its end.
    pub(super) fn is_running(&self, moment: &Moment) -> bool {
        let entry = self.entry.as_ref();
        entry.is_some_and(|entry| !entry.is_over(moment))
    }

    /// Returns the bytes of the answer that is kept.
    pub(super) fn answer_bytes(&self) -> usize {
        let end = self.entry.as_ref().and_then(|entry| entry.end.as_ref());
        end.map_or(0, kept_bytes)
    }

    /// Grants it to the first call that asks. Asking again changes nothing and answers the same.
    pub(super) fn claim(
        &mut self,
        request: &ClaimRequest,
        moment: &Moment,
        options: &ClaimOptions,
    ) -> ClaimAnswer {
        match &self.entry {
            _ if self.claim != request.claim => ClaimAnswer::UnknownTicket,
            Some(entry) if entry.is_granted_to(request, moment) => ClaimAnswer::Granted,
            Some(entry) => entry.answer(request.digest, moment),
            None if moment.now >= self.usable_until => ClaimAnswer::Expired,
            None => {
                let lives = request.time_left.min(MAX_HELD) + options.expiry_margin;
                self.kept_until = moment.now + lives + options.retention;
                self.entry = Some(ClaimEntry::granted(request, moment, options));
                ClaimAnswer::Granted
            }
        }
    }

    /// Notes how the call that holds it ended; `NotRun` lets another call use it.
    pub(super) fn end(
        &mut self,
        outcome: &ClaimOutcome,
        has_room: bool,
        moment: &Moment,
        options: &ClaimOptions,
    ) {
        let holder = Holder::of(&outcome.call);
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
                let end = if has_room {
                    end.clone()
                } else {
                    without_answer(end)
                };
                if entry.set_end(end) {
                    self.kept_until = moment.now + options.retention;
                }
            }
        }
    }
}
