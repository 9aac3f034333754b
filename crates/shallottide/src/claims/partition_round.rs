//! Selection of a partition's next platform call.

use shallottide_types::peer::ClaimAnswer;
use shallottide_types::platform::Precondition;

use super::ClaimOptions;
use super::codec;
use super::job::{Job, JobAnswer, Snapshot};
use super::partition::{OpKind, Partition, PendingOp, WrittenValue};
use super::recent_claims::RecentClaims;
use crate::message::PlatformOp;

/// The platform call to make and the jobs answered in one round.
#[derive(Debug, Default)]
pub(super) struct Round {
    pub(super) op: Option<PlatformOp>,
    pub(super) answers: Vec<JobAnswer>,
}

/// Result of applying all queued jobs to a copy of the recent claims.
struct Plan {
    expect: Precondition,
    next: RecentClaims,
    answers: Vec<ClaimAnswer>,
    changed: bool,
}

impl Partition {
    fn recent_key(&self) -> String {
        format!("claims/{:02}", self.number)
    }

    fn old_key(&self) -> String {
        format!("claims/{:02}/old", self.number)
    }

    /// Starts the next platform call under `token`, if one is due.
    pub(super) fn next_round(
        &mut self,
        token: u64,
        snapshot: &Snapshot,
        options: &ClaimOptions,
    ) -> Round {
        let mut round = Round::default();
        if self.pending_op.is_some() || !self.is_due(snapshot, options) {
            return round;
        }
        if self.recent.is_none() {
            round.op = Some(self.start_op(token, snapshot, OpKind::ReadRecent));
        } else if !self.is_old_current() {
            round.op = Some(self.start_op(token, snapshot, OpKind::ReadOld));
        } else {
            self.process_queue(token, snapshot, options, &mut round);
        }
        round
    }

    fn is_due(&self, snapshot: &Snapshot, options: &ClaimOptions) -> bool {
        if self.refresh {
            return true;
        }
        if self.must_rewrite && self.may_start_round(snapshot) {
            return true;
        }
        let is_ready = |job: &Job| {
            job.task.is_claim() || snapshot.now >= job.enqueued_at + options.outcome_delay
        };
        self.may_start_round(snapshot) && self.queue.iter().any(is_ready)
    }

    /// Returns whether the cached old keys are at least as new as the recent claims require.
    fn is_old_current(&self) -> bool {
        match (&self.recent, &self.old) {
            (Some(recent), Some(old)) => old.value.generation >= recent.value.old_generation,
            _ => false,
        }
    }

    fn start_op(&mut self, token: u64, snapshot: &Snapshot, kind: OpKind) -> PlatformOp {
        let (started_at, as_of) = (snapshot.now, self.last_job);
        let platform_op = match kind {
            OpKind::ReadOld | OpKind::WriteOld => PlatformOp::Get(self.old_key()),
            OpKind::ReadRecent | OpKind::WriteRecent { .. } => PlatformOp::Get(self.recent_key()),
        };
        self.pending_op = Some(PendingOp {
            token,
            started_at,
            as_of,
            kind,
        });
        platform_op
    }

    /// Answers the jobs that need no platform call and starts the read or write for the others.
    fn process_queue(
        &mut self,
        token: u64,
        snapshot: &Snapshot,
        options: &ClaimOptions,
        round: &mut Round,
    ) {
        self.refresh = false;
        if self.queue.is_empty() && !self.must_rewrite {
            return;
        }
        let may_write = self.may_start_round(snapshot);
        if may_write && let Some(value) = self.next_old(snapshot, options) {
            self.delay_next_round(snapshot, options);
            round.op = self.write_old(token, snapshot, value);
            return;
        }
        let Some(plan) = self.plan(snapshot, options) else {
            return;
        };
        if plan.changed && may_write {
            self.delay_next_round(snapshot, options);
            round.op = Some(self.write_recent(token, snapshot, plan));
            return;
        }
        if plan.changed {
            return;
        }
        round.answers = self.take_answered(plan.answers);
        if may_write && !self.queue.is_empty() {
            self.delay_next_round(snapshot, options);
            self.refresh = true;
            round.op = Some(self.start_op(token, snapshot, OpKind::ReadRecent));
        }
    }

    fn may_start_round(&self, snapshot: &Snapshot) -> bool {
        self.not_before.is_none_or(|at| at <= snapshot.now)
    }

    fn delay_next_round(&mut self, snapshot: &Snapshot, options: &ClaimOptions) {
        self.not_before = Some(snapshot.now + options.round_interval);
    }

    /// Applies the queued jobs to a copy of the recent claims.
    fn plan(&self, snapshot: &Snapshot, options: &ClaimOptions) -> Option<Plan> {
        let (recent, old) = (self.recent.as_ref()?, self.old.as_ref()?);
        let expect = recent.expect;
        let mut next = recent.value.clone();
        let outdated = next.outdated(snapshot, options);
        let mut changed = next.drop_old(&outdated, &old.value) || self.must_rewrite;
        let mut answers = Vec::new();
        for job in &self.queue {
            let applied = next.apply(&job.task, &old.value, snapshot, options);
            changed |= applied.changed;
            answers.push(applied.answer);
        }
        Some(Plan {
            expect,
            next,
            answers,
            changed,
        })
    }

    /// Returns the encoded old keys to write, if recent keys have to be added or outdated ones
    /// removed.
    fn next_old(&self, snapshot: &Snapshot, options: &ClaimOptions) -> Option<Vec<u8>> {
        let (recent, old) = (self.recent.as_ref()?, self.old.as_ref()?);
        let window_s = options.old_window.as_secs();
        let outdated = recent.value.outdated(snapshot, options);
        if outdated.iter().any(|claim| old.value.contains(*claim)) {
            // The recent claims are written first, without the keys that the old ones already
            // hold, so that both kinds of write alternate.
            return None;
        }
        let is_full = old.value.len() >= options.max_old_keys;
        let has_outdated = old.value.has_outdated(snapshot.unix_s, window_s);
        let is_due = if is_full {
            has_outdated
        } else {
            !outdated.is_empty()
        };
        let next = || {
            old.value
                .next(outdated.into_iter(), snapshot.unix_s, window_s)
        };
        is_due.then(|| codec::encode(&next()))
    }

    fn write_old(&mut self, token: u64, snapshot: &Snapshot, value: Vec<u8>) -> Option<PlatformOp> {
        let expect = self.old.as_ref()?.expect;
        self.start_op(token, snapshot, OpKind::WriteOld);
        let key = self.old_key();
        Some(PlatformOp::Swap { key, value, expect })
    }

    fn write_recent(&mut self, token: u64, snapshot: &Snapshot, plan: Plan) -> PlatformOp {
        let expect = plan.expect;
        let jobs = std::mem::take(&mut self.queue);
        let batch = jobs.into_iter().zip(plan.answers).collect();
        let (key, value) = (self.recent_key(), codec::encode(&plan.next));
        let next = WrittenValue {
            bytes: value.clone(),
            value: plan.next,
        };
        let op = OpKind::WriteRecent {
            expect,
            batch,
            next,
        };
        self.start_op(token, snapshot, op);
        PlatformOp::Swap { key, value, expect }
    }

    /// Removes and answers the jobs whose answers need no further read.
    fn take_answered(&mut self, answers: Vec<ClaimAnswer>) -> Vec<JobAnswer> {
        let as_of = self.recent.as_ref().map_or(0, |cached| cached.as_of);
        let mut answered = Vec::new();
        let jobs = std::mem::take(&mut self.queue);
        for (job, answer) in jobs.into_iter().zip(answers) {
            let is_recorded = job.task.is_claim() && RecentClaims::is_final(&answer);
            if job.number <= as_of || is_recorded {
                answered.push(job.into_answer(answer));
            } else {
                self.queue.push(job);
            }
        }
        answered
    }
}
