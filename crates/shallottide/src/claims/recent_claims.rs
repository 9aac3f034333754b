//! The claims of one partition within the retention period.

use std::collections::BTreeMap;

use shallottide_types::data;
use shallottide_types::peer::{ClaimAnswer, ClaimEnd, ClaimId, ClaimOutcome, ClaimRequest};

use super::ClaimOptions;
use super::claim_entry::{ClaimEntry, HolderHash, kept_bytes, without_answer};
use super::job::{Snapshot, Task};
use super::old_claims::OldClaims;

/// Delay in seconds before keys past their retention are dropped, so that one write drops many.
const DROP_SLACK_S: u64 = 60;

data! {
    /// The claims of one partition within the retention period.
    ///
    /// Invariant: every key dropped from here within the window is in the [`OldClaims`]
    /// of generation `old_generation` and later.
    #[derive(Default)]
    pub(super) struct RecentClaims {
        /// Minimum generation of the [`OldClaims`] that may be used with this value.
        pub(super) old_generation: u64,
        entries: BTreeMap<ClaimId, ClaimEntry>,
    }
}

/// Result of applying a task.
#[derive(Debug)]
pub(super) struct Applied {
    pub(super) answer: ClaimAnswer,
    pub(super) changed: bool,
}

impl Applied {
    fn unchanged(answer: ClaimAnswer) -> Self {
        let changed = false;
        Self { answer, changed }
    }
}

impl RecentClaims {
    /// Returns whether an answer can never change later.
    pub(super) fn is_final(answer: &ClaimAnswer) -> bool {
        matches!(answer, ClaimAnswer::Ended(ClaimEnd::Ran { .. }))
    }

    /// Applies one task. Idempotent: a repeated task changes nothing and gets the same answer.
    pub(super) fn apply(
        &mut self,
        task: &Task,
        old: &OldClaims,
        snapshot: &Snapshot,
        options: &ClaimOptions,
    ) -> Applied {
        match task {
            Task::Claim(request) => self.claim(request, old, snapshot, options),
            Task::End(outcome) => self.end(outcome, options),
        }
    }

    fn claim(
        &mut self,
        request: &ClaimRequest,
        old: &OldClaims,
        snapshot: &Snapshot,
        options: &ClaimOptions,
    ) -> Applied {
        if let Some(entry) = self.entries.get(&request.claim) {
            if entry.is_granted_to(request, snapshot) {
                return Applied::unchanged(ClaimAnswer::Granted);
            }
            return Applied::unchanged(entry.answer(request.digest, snapshot));
        }
        if old.contains(request.claim) {
            return Applied::unchanged(ClaimAnswer::Expired);
        }
        if self.size() >= options.max_recent_bytes || old.len() >= options.max_old_keys {
            return Applied::unchanged(ClaimAnswer::NotClaimed);
        }
        let entry = ClaimEntry::granted(request, snapshot, options);
        self.entries.insert(request.claim, entry);
        Applied {
            answer: ClaimAnswer::Granted,
            changed: true,
        }
    }

    fn end(&mut self, outcome: &ClaimOutcome, options: &ClaimOptions) -> Applied {
        let changed = self.set_end(outcome, options);
        Applied {
            answer: ClaimAnswer::Ended(outcome.end.clone()),
            changed,
        }
    }

    fn set_end(&mut self, outcome: &ClaimOutcome, options: &ClaimOptions) -> bool {
        let fits = self.size() + kept_bytes(&outcome.end) <= options.max_recent_bytes;
        let Some(entry) = self.entries.get_mut(&outcome.claim) else {
            return false;
        };
        if entry.holder != HolderHash::from_call(&outcome.call) {
            return false;
        }
        if outcome.end != ClaimEnd::NotRun {
            let end = if fits {
                outcome.end.clone()
            } else {
                without_answer(&outcome.end)
            };
            return entry.set_end(end);
        }
        let ran = matches!(entry.end, Some(ClaimEnd::Ran { .. }));
        if !ran {
            self.entries.remove(&outcome.claim);
        }
        !ran
    }

    /// Adds the claims and outcomes of `known` that are missing here; returns whether there were any.
    pub(super) fn add_missing(&mut self, known: &Self) -> bool {
        let mut changed = false;
        for (claim, entry) in &known.entries {
            let held = self.entries.entry(*claim).or_insert_with(|| {
                changed = true;
                entry.clone()
            });
            if held.holder == entry.holder
                && let Some(end) = &entry.end
            {
                changed |= held.set_end(end.clone());
            }
        }
        changed
    }

    /// Returns whether the requesting call holds the key.
    pub(super) fn is_held_by(&self, request: &ClaimRequest) -> bool {
        let entry = self.entries.get(&request.claim);
        entry.is_some_and(|entry| entry.holder == HolderHash::from_call(&request.call))
    }

    /// Returns the keys to drop.
    ///
    /// Returns none until one is past its retention by [`DROP_SLACK_S`], then all that are past
    /// their retention. When the value is more than three quarters full, also returns the oldest
    /// ended ones until it would be half full.
    pub(super) fn outdated(&self, snapshot: &Snapshot, options: &ClaimOptions) -> Vec<ClaimId> {
        let size = self.size();
        let is_filling = size > options.max_recent_bytes / 4 * 3;
        let mut excess = if is_filling {
            size - options.max_recent_bytes / 2
        } else {
            0
        };
        let age_s = |entry: &ClaimEntry| snapshot.unix_s.saturating_sub(entry.claimed_at);
        let retention_s = options.retention.as_secs();
        let is_long_past = |entry: &ClaimEntry| age_s(entry) > retention_s + DROP_SLACK_S;
        if !is_filling && !self.entries.values().any(is_long_past) {
            return Vec::new();
        }
        let has_ended = |(_, entry): &(_, &ClaimEntry)| entry.has_ended(snapshot);
        let mut ended: Vec<_> = self.entries.iter().filter(has_ended).collect();
        ended.sort_by_key(|(_, entry)| entry.claimed_at);
        ended.retain(|(_, entry)| {
            let due = excess > 0 || age_s(entry) > retention_s;
            excess = excess.saturating_sub(entry.size());
            due
        });
        ended.into_iter().map(|(claim, _)| *claim).collect()
    }

    /// Drops those of `claims` that are contained in `old`; returns whether any was dropped.
    pub(super) fn drop_old(&mut self, claims: &[ClaimId], old: &OldClaims) -> bool {
        let before = self.entries.len();
        for claim in claims.iter().filter(|claim| old.contains(**claim)) {
            self.entries.remove(claim);
        }
        let dropped = self.entries.len() < before;
        if dropped {
            self.old_generation = self.old_generation.max(old.generation);
        }
        dropped
    }

    fn size(&self) -> usize {
        self.entries.values().map(ClaimEntry::size).sum()
    }
}
