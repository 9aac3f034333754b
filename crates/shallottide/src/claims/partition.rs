//! One partition of the claims: its waiting work and its calls to the platform.

use std::time::Instant;

use shallottide_types::id::StoreIndex;
use shallottide_types::peer::ClaimAnswer;
use shallottide_types::platform::{Entry, PlatformError, Precondition, SwapOutcome};

use super::ClaimOptions;
use super::codec;
use super::job::{Answered, Asker, Job, Moment, Task};
use super::old_claims::OldClaims;
use super::recent_claims::RecentClaims;
use crate::message::PlatformAnswer;

/// Why a platform call is treated as one without an answer.
const NO_ANSWER: &str = "no answer within the timeout";

/// How often the wait after a conflict doubles.
const MAX_BACKOFF_DOUBLINGS: u32 = 2;

/// A stored value as last read.
#[derive(Debug)]
pub(super) struct Known<T> {
    pub(super) value: T,
    /// What a write has to replace.
    pub(super) expect: Precondition,
    /// The latest job that the read was begun after.
    pub(super) as_of: u64,
}

/// The platform call under way.
#[derive(Debug)]
pub(super) struct Busy {
    pub(super) token: u64,
    pub(super) since: Instant,
    /// The latest job that it was begun after.
    pub(super) as_of: u64,
    pub(super) op: BusyOp,
}

/// What the platform call under way does.
#[derive(Debug)]
pub(super) enum BusyOp {
    ReadRecent,
    ReadOld,
    /// Writes the recent claims; the answers are given once the write is known to be in effect.
    WriteRecent {
        expect: Precondition,
        batch: Vec<(Job, ClaimAnswer)>,
        next: Written,
    },
    WriteOld,
}

/// A value and its stored form, as this node wrote it.
#[derive(Debug)]
pub(super) struct Written {
    pub(super) bytes: Vec<u8>,
    pub(super) value: RecentClaims,
}

/// One partition.
///
/// An answer is given only after a swap that took effect, or from a read begun after the
/// question came; a recorded answer may be given from any read.
#[derive(Debug)]
pub(super) struct Partition {
    pub(super) number: u16,
    pub(super) recent: Option<Known<RecentClaims>>,
    /// What this node wrote last, so that it need not be decoded when it is read back.
    written: Option<Written>,
    pub(super) old: Option<Known<OldClaims>>,
    /// Jobs that wait, oldest first.
    pub(super) queue: Vec<Job>,
    pub(super) busy: Option<Busy>,
    /// Number of the latest job.
    pub(super) last_job: u64,
    /// Earliest time of the next round.
    pub(super) not_before: Option<Instant>,
    /// Whether a value is read again at once, as part of the round.
    pub(super) refresh: bool,
    /// Conflicts since the last write that took effect.
    conflicts: u32,
    /// What a write expected whose answer was lost. It may still take effect until the value
    /// has another index.
    lost: Option<Precondition>,
}

impl Partition {
    pub(super) fn new(number: u16) -> Self {
        Self {
            number,
            recent: None,
            written: None,
            old: None,
            queue: Vec::new(),
            busy: None,
            last_job: 0,
            not_before: None,
            refresh: false,
            conflicts: 0,
            lost: None,
        }
    }

    /// Adds a job; a full partition refuses a claim at once.
    pub(super) fn push(&mut self, mut job: Job, options: &ClaimOptions) -> Option<Answered> {
        if job.task.is_claim() && self.queue.len() >= options.max_waiting {
            return Some((job.asker, ClaimAnswer::NotClaimed));
        }
        self.last_job += 1;
        job.number = self.last_job;
        self.queue.push(job);
        None
    }

    /// Drops a waiting job that nobody asks for any more.
    pub(super) fn forget(&mut self, asker: Asker) {
        self.queue.retain(|job| job.asker != asker);
    }

    /// Takes the platform's answer, if the call under way has that token.
    pub(super) fn on_reply(
        &mut self,
        token: u64,
        result: Result<PlatformAnswer, PlatformError>,
        moment: &Moment,
        options: &ClaimOptions,
    ) -> Vec<Answered> {
        let Some(busy) = self.busy.take_if(|busy| busy.token == token) else {
            return Vec::new();
        };
        self.count_conflict(&result, moment, options);
        let (done, answered) = match busy.op {
            BusyOp::ReadRecent => (self.on_recent(result, busy.as_of), Vec::new()),
            BusyOp::ReadOld => (self.on_old(result, busy.as_of), Vec::new()),
            BusyOp::WriteOld => (self.on_old_written(&result), Vec::new()),
            BusyOp::WriteRecent {
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
            self.not_before = Some(moment.now + options.round_interval);
        }
        answered
    }

    /// Gives up a platform call without an answer and jobs past their deadline.
    pub(super) fn expire(&mut self, moment: &Moment, options: &ClaimOptions) -> Vec<Answered> {
        let mut answered = Vec::new();
        let silent = |busy: &Busy| moment.now >= busy.since + options.op_timeout;
        if let Some(token) = self.busy.as_ref().filter(|b| silent(b)).map(|b| b.token) {
            let result = Err(PlatformError::AnswerLost(NO_ANSWER.into()));
            answered = self.on_reply(token, result, moment, options);
        }
        let expired = self.queue.extract_if(.., |job| job.deadline <= moment.now);
        answered.extend(expired.map(|job| job.answered(ClaimAnswer::NotClaimed)));
        answered
    }

    fn on_recent(&mut self, result: Result<PlatformAnswer, PlatformError>, as_of: u64) -> bool {
        let written = self.written.take();
        let Some(known) = read_back(written, &result, as_of).or_else(|| known(result, as_of))
        else {
            return false;
        };
        if self.lost.is_some_and(|lost| lost != known.expect) {
            self.lost = None;
            for job in &mut self.queue {
                job.tainted = match &job.task {
                    Task::Claim(request) => job.tainted && known.value.is_held_by(request),
                    Task::End(_) => false,
                };
            }
        }
        self.recent = Some(known);
        true
    }

    fn on_old(&mut self, result: Result<PlatformAnswer, PlatformError>, as_of: u64) -> bool {
        let known = known(result, as_of);
        let done = known.is_some();
        self.old = known.or(self.old.take());
        done
    }

    fn on_old_written(&mut self, result: &Result<PlatformAnswer, PlatformError>) -> bool {
        self.old = None;
        self.refresh = true;
        result.is_ok()
    }

    /// Tries again at once after the first write that met another writer's, so that two writers
    /// in step don't keep one of them out; waits longer the more writes meet another's.
    fn count_conflict(
        &mut self,
        result: &Result<PlatformAnswer, PlatformError>,
        moment: &Moment,
        options: &ClaimOptions,
    ) {
        match result {
            Ok(PlatformAnswer::Swap(SwapOutcome::Written)) => self.conflicts = 0,
            Ok(PlatformAnswer::Swap(SwapOutcome::Conflict)) => {
                let wait = self.conflicts.checked_sub(1).map(|more| {
                    let factor = 1 << more.min(MAX_BACKOFF_DOUBLINGS);
                    options.round_interval * factor
                });
                self.not_before = wait.map(|wait| moment.now + wait);
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
    ) -> (bool, Vec<Answered>) {
        match result {
            Ok(PlatformAnswer::Swap(SwapOutcome::Written)) => {
                self.recent = None;
                self.refresh = true;
                let answered = batch.into_iter().map(|(job, answer)| job.answered(answer));
                return (true, answered.collect());
            }
            Ok(PlatformAnswer::Swap(SwapOutcome::Conflict)) => {
                // Read again only when the next write is due: a value read before the wait
                // would be outdated by the other writer's next write.
                self.recent = None;
                self.refresh = false;
                self.put_back(batch, false);
                return (true, Vec::new());
            }
            Err(PlatformError::Unreachable { .. } | PlatformError::RateLimited) => {
                self.put_back(batch, false);
            }
            Ok(_) | Err(_) => {
                self.recent = None;
                self.lost = Some(expect);
                self.put_back(batch, true);
            }
        }
        (false, Vec::new())
    }

    fn put_back(&mut self, batch: Vec<(Job, ClaimAnswer)>, tainted: bool) {
        let jobs = batch.into_iter().map(|(mut job, _)| {
            job.tainted |= tainted;
            job
        });
        self.queue.splice(0..0, jobs);
    }
}

/// Takes the value that this node wrote itself, if that is what was read.
fn read_back(
    written: Option<Written>,
    result: &Result<PlatformAnswer, PlatformError>,
    as_of: u64,
) -> Option<Known<RecentClaims>> {
    let Ok(PlatformAnswer::Entry(Some(entry))) = result else {
        return None;
    };
    let written = written.filter(|written| written.bytes == entry.value)?;
    Some(Known {
        value: written.value,
        expect: Precondition::Index(entry.index),
        as_of,
    })
}

fn known<T: serde::de::DeserializeOwned + Default>(
    result: Result<PlatformAnswer, PlatformError>,
    as_of: u64,
) -> Option<Known<T>> {
    let (value, expect) = match result {
        Ok(PlatformAnswer::Entry(None)) => (T::default(), Precondition::Absent),
        Ok(PlatformAnswer::Entry(Some(entry))) => decoded(&entry)?,
        Ok(_) | Err(_) => return None,
    };
    Some(Known {
        value,
        expect,
        as_of,
    })
}

fn decoded<T: serde::de::DeserializeOwned>(entry: &Entry) -> Option<(T, Precondition)> {
    let index: StoreIndex = entry.index;
    match codec::decode(&entry.value) {
        Ok(value) => Some((value, Precondition::Index(index))),
        Err(error) => {
            tracing::error!(key = entry.key, %error, "claims can't be granted");
            None
        }
    }
}
