//! One partition of the claims: its job queue and its platform calls.

use std::time::Instant;

use shallottide_types::id::{StoreEra, StoreIndex};
use shallottide_types::peer::ClaimAnswer;
use shallottide_types::platform::{Entry, PlatformError, Precondition, SwapOutcome};

use super::ClaimOptions;
use super::codec;
use super::job::{Job, JobAnswer, Requester, Snapshot, Task};
use super::old_claims::OldClaims;
use super::recent_claims::RecentClaims;
use crate::message::PlatformAnswer;

/// Cause given for a platform call that timed out.
const OP_TIMED_OUT: &str = "no answer within the timeout";

/// Maximum number of times the back-off after a conflict doubles.
const MAX_BACKOFF_DOUBLINGS: u32 = 2;

/// A stored value as last read from the platform.
#[derive(Debug)]
pub(super) struct CachedValue<T> {
    pub(super) value: T,
    /// Precondition for the next compare-and-swap.
    pub(super) expect: Precondition,
    /// Number of the latest job queued before the read started.
    pub(super) as_of: u64,
}

/// The pending platform call of a partition.
#[derive(Debug)]
pub(super) struct PendingOp {
    pub(super) token: u64,
    pub(super) started_at: Instant,
    /// Number of the latest job queued before the call started.
    pub(super) as_of: u64,
    pub(super) kind: OpKind,
}

/// Kind of a pending platform call.
#[derive(Debug)]
pub(super) enum OpKind {
    ReadRecent,
    ReadOld,
    /// Writes the recent claims. The answers of `batch` are sent once the write is confirmed.
    WriteRecent {
        expect: Precondition,
        batch: Vec<(Job, ClaimAnswer)>,
        next: WrittenValue,
    },
    WriteOld,
}

/// Claims that this node knows to have been in the store.
#[derive(Debug)]
struct KnownClaims {
    value: RecentClaims,
    /// Era in which they were there; the first one if it is not known.
    era: StoreEra,
}

/// A value written by this node, with its encoding.
#[derive(Debug)]
pub(super) struct WrittenValue {
    pub(super) bytes: Vec<u8>,
    pub(super) value: RecentClaims,
}

/// One partition.
///
/// A job is answered only after a swap that took effect or from a read started after the job was
/// queued; a recorded outcome may be answered from any read.
#[derive(Debug)]
pub(super) struct Partition {
    pub(super) number: u16,
    pub(super) recent: Option<CachedValue<RecentClaims>>,
    /// The value this node wrote last, to skip decoding when it is read back.
    written: Option<WrittenValue>,
    pub(super) old: Option<CachedValue<OldClaims>>,
    /// Queued jobs, oldest first.
    pub(super) queue: Vec<Job>,
    pub(super) pending_op: Option<PendingOp>,
    /// Sequence number of the latest job.
    pub(super) last_job: u64,
    /// Earliest start of the next round; `None` if it may start immediately.
    pub(super) not_before: Option<Instant>,
    /// Whether a value is read again immediately, as part of the current round.
    pub(super) refresh: bool,
    /// Number of conflicts since the last successful write.
    conflicts: u32,
    /// Precondition of a write whose answer was lost. The write may still take effect until the
    /// value's index changes.
    lost_write: Option<Precondition>,
    /// The claims that were last read or written, to be written again after a restore of the store.
    known: Option<KnownClaims>,
    /// Whether `recent` contains claims that a restored store has lost, and that must be written
    /// before any job is answered.
    pub(super) must_rewrite: bool,
}

impl Partition {
    pub(super) fn new(number: u16) -> Self {
        Self {
            number,
            recent: None,
            written: None,
            old: None,
            queue: Vec::new(),
            pending_op: None,
            last_job: 0,
            not_before: None,
            refresh: false,
            conflicts: 0,
            lost_write: None,
            known: None,
            must_rewrite: false,
        }
    }

    /// Reads the claims again if they were last seen before this era of the store.
    pub(super) fn on_restored(&mut self, era: StoreEra) {
        if self.known.as_ref().is_some_and(|known| known.era < era) {
            self.recent = None;
            self.refresh = true;
        }
    }

    /// Adds a job to the queue, or returns a refusal if the job is a claim and the queue is full.
    pub(super) fn push(&mut self, mut job: Job, options: &ClaimOptions) -> Option<JobAnswer> {
        if job.task.is_claim() && self.queue.len() >= options.max_waiting {
            return Some((job.requester, ClaimAnswer::NotClaimed));
        }
        self.last_job += 1;
        job.number = self.last_job;
        self.queue.push(job);
        None
    }

    /// Removes the queued jobs of a requester that no longer waits for an answer.
    pub(super) fn remove_jobs_of(&mut self, requester: Requester) {
        self.queue.retain(|job| job.requester != requester);
    }

    /// Handles a platform reply; ignores it unless the pending call has that token.
    pub(super) fn on_reply(
        &mut self,
        token: u64,
        result: Result<PlatformAnswer, PlatformError>,
        snapshot: &Snapshot,
        options: &ClaimOptions,
    ) -> Vec<JobAnswer> {
        let Some(op) = self.pending_op.take_if(|op| op.token == token) else {
            return Vec::new();
        };
        self.update_backoff(&result, snapshot, options);
        let (done, answers) = match op.kind {
            OpKind::ReadRecent => (self.on_recent_read(result, op.as_of), Vec::new()),
            OpKind::ReadOld => (self.on_old_read(result, op.as_of), Vec::new()),
            OpKind::WriteOld => (self.on_old_written(&result), Vec::new()),
            OpKind::WriteRecent {
                expect,
                batch,
                next,
            } => {
                self.written = Some(next);
                self.on_recent_written(&result, expect, batch)
            }
        };
        self.refresh &= done;
        if !done {
            self.not_before = Some(snapshot.now + options.round_interval);
        }
        answers
    }

    /// Times out the pending platform call and answers jobs past their deadline.
    pub(super) fn expire(&mut self, snapshot: &Snapshot, options: &ClaimOptions) -> Vec<JobAnswer> {
        let mut answers = Vec::new();
        let timed_out = |op: &PendingOp| snapshot.now >= op.started_at + options.op_timeout;
        if let Some(token) = self
            .pending_op
            .as_ref()
            .filter(|op| timed_out(op))
            .map(|op| op.token)
        {
            let result = Err(PlatformError::AnswerLost(OP_TIMED_OUT.into()));
            answers = self.on_reply(token, result, snapshot, options);
        }
        let expired = self
            .queue
            .extract_if(.., |job| job.deadline <= snapshot.now);
        answers.extend(expired.map(|job| job.into_answer(ClaimAnswer::NotClaimed)));
        answers
    }

    fn on_recent_read(
        &mut self,
        result: Result<PlatformAnswer, PlatformError>,
        as_of: u64,
    ) -> bool {
        let written = self.written.take();
        let Some(mut cached) =
            reuse_written(written, &result, as_of).or_else(|| cached_value(result, as_of))
        else {
            return false;
        };
        self.add_lost_claims(&mut cached);
        if self.lost_write.is_some_and(|lost| lost != cached.expect) {
            self.lost_write = None;
            for job in &mut self.queue {
                job.maybe_written = match &job.task {
                    Task::Claim(request) => job.maybe_written && cached.value.is_held_by(request),
                    Task::End(_) => false,
                };
            }
        }
        self.recent = Some(cached);
        true
    }

    /// Adds the claims that a restored store has lost: their calls may have run.
    fn add_lost_claims(&mut self, cached: &mut CachedValue<RecentClaims>) {
        let era = era_of(cached.expect);
        if let Some(known) = &self.known {
            // Claims are never removed as a whole.
            let is_restored = era > known.era || cached.expect == Precondition::Absent;
            if (is_restored || self.must_rewrite) && cached.value.add_missing(&known.value) {
                tracing::warn!(
                    partition = self.number,
                    "claims lost in a restore of the store: written again"
                );
                self.must_rewrite = true;
                self.old = None;
            }
        }
        self.known = Some(KnownClaims {
            value: cached.value.clone(),
            era: era.max(self.known.as_ref().map_or(era, |known| known.era)),
        });
    }

    fn on_old_read(&mut self, result: Result<PlatformAnswer, PlatformError>, as_of: u64) -> bool {
        let cached = cached_value(result, as_of);
        let done = cached.is_some();
        self.old = cached.or(self.old.take());
        done
    }

    fn on_old_written(&mut self, result: &Result<PlatformAnswer, PlatformError>) -> bool {
        self.old = None;
        self.refresh = true;
        result.is_ok()
    }

    /// Sets the back-off after a write.
    ///
    /// The first conflict is retried immediately, so that two writers in lockstep do not starve
    /// one of them; further conflicts back off exponentially.
    fn update_backoff(
        &mut self,
        result: &Result<PlatformAnswer, PlatformError>,
        snapshot: &Snapshot,
        options: &ClaimOptions,
    ) {
        match result {
            Ok(PlatformAnswer::Swap(SwapOutcome::Written)) => self.conflicts = 0,
            Ok(PlatformAnswer::Swap(SwapOutcome::Conflict)) => {
                let wait = self.conflicts.checked_sub(1).map(|more| {
                    let factor = 1 << more.min(MAX_BACKOFF_DOUBLINGS);
                    options.round_interval * factor
                });
                self.not_before = wait.map(|wait| snapshot.now + wait);
                self.conflicts += 1;
            }
            _ => {}
        }
    }

    fn on_recent_written(
        &mut self,
        result: &Result<PlatformAnswer, PlatformError>,
        expect: Precondition,
        batch: Vec<(Job, ClaimAnswer)>,
    ) -> (bool, Vec<JobAnswer>) {
        match result {
            Ok(PlatformAnswer::Swap(SwapOutcome::Written)) => {
                self.recent = None;
                self.refresh = true;
                self.must_rewrite = false;
                if let Some(written) = &self.written {
                    self.known = Some(KnownClaims {
                        value: written.value.clone(),
                        era: era_of(expect),
                    });
                }
                let answers = batch
                    .into_iter()
                    .map(|(job, answer)| job.into_answer(answer));
                return (true, answers.collect());
            }
            Ok(PlatformAnswer::Swap(SwapOutcome::Conflict)) => {
                // Read again only when the next write is due: a value read before the back-off
                // would be outdated by the other writer's next write.
                self.recent = None;
                self.refresh = false;
                self.requeue(batch, false);
                return (true, Vec::new());
            }
            Err(PlatformError::Unreachable { .. } | PlatformError::RateLimited) => {
                self.requeue(batch, false);
            }
            Ok(_) | Err(_) => {
                self.recent = None;
                self.lost_write = Some(expect);
                self.requeue(batch, true);
            }
        }
        (false, Vec::new())
    }

    fn requeue(&mut self, batch: Vec<(Job, ClaimAnswer)>, maybe_written: bool) {
        let jobs = batch.into_iter().map(|(mut job, _)| {
            job.maybe_written |= maybe_written;
            job
        });
        self.queue.splice(0..0, jobs);
    }
}

/// Returns the era in which a value was read.
fn era_of(expect: Precondition) -> StoreEra {
    match expect {
        Precondition::Absent => StoreEra(0),
        Precondition::Index(index) => index.era(),
    }
}

/// Returns the value that this node wrote, if the entry read back has the same encoding.
fn reuse_written(
    written: Option<WrittenValue>,
    result: &Result<PlatformAnswer, PlatformError>,
    as_of: u64,
) -> Option<CachedValue<RecentClaims>> {
    let Ok(PlatformAnswer::Entry(Some(entry))) = result else {
        return None;
    };
    let written = written.filter(|written| written.bytes == entry.value)?;
    Some(CachedValue {
        value: written.value,
        expect: Precondition::Index(entry.index),
        as_of,
    })
}

fn cached_value<T: serde::de::DeserializeOwned + Default>(
    result: Result<PlatformAnswer, PlatformError>,
    as_of: u64,
) -> Option<CachedValue<T>> {
    let (value, expect) = match result {
        Ok(PlatformAnswer::Entry(None)) => (T::default(), Precondition::Absent),
        Ok(PlatformAnswer::Entry(Some(entry))) => decode_entry(&entry)?,
        Ok(_) | Err(_) => return None,
    };
    Some(CachedValue {
        value,
        expect,
        as_of,
    })
}

fn decode_entry<T: serde::de::DeserializeOwned>(entry: &Entry) -> Option<(T, Precondition)> {
    let index: StoreIndex = entry.index;
    match codec::decode(&entry.value) {
        Ok(value) => Some((value, Precondition::Index(index))),
        Err(error) => {
            tracing::error!(key = entry.key, %error, "claims can't be granted");
            None
        }
    }
}
