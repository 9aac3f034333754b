//! What a partition does next at the platform.

use shallottide_types::peer::ClaimAnswer;
use shallottide_types::platform::Precondition;

use super::ClaimOptions;
use super::codec;
use super::job::{Answered, Job, Moment};
use super::partition::{Busy, BusyOp, Partition, Written};
use super::recent_claims::RecentClaims;
use crate::message::PlatformOp;

/// What comes of looking for work.
#[derive(Debug, Default)]
pub(super) struct Round {
    pub(super) op: Option<PlatformOp>,
    pub(super) answered: Vec<Answered>,
}

/// All waiting jobs carried out on the recent claims.
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

    /// Starts the next platform call, if one is due, under the token.
    pub(super) fn next_round(
        &mut self,
        token: u64,
        moment: &Moment,
        options: &ClaimOptions,
    ) -> Round {
        let mut round = Round::default();
        if self.busy.is_some() || !self.is_due(moment, options) {
            return round;
        }
        if self.recent.is_none() {
            round.op = Some(self.start(token, moment, BusyOp::ReadRecent));
        } else if !self.knows_old() {
            round.op = Some(self.start(token, moment, BusyOp::ReadOld));
        } else {
            self.work(token, moment, options, &mut round);
        }
        round
    }

    fn is_due(&self, moment: &Moment, options: &ClaimOptions) -> bool {
        if self.refresh {
            return true;
        }
        let is_ready =
            |job: &Job| job.task.is_claim() || moment.now >= job.asked_at + options.outcome_delay;
        self.is_paced(moment) && self.queue.iter().any(is_ready)
    }

    /// Tells whether the old keys are known as of the recent claims.
    fn knows_old(&self) -> bool {
        match (&self.recent, &self.old) {
            (Some(recent), Some(old)) => old.value.generation >= recent.value.old_generation,
            _ => false,
        }
    }

    fn start(&mut self, token: u64, moment: &Moment, op: BusyOp) -> PlatformOp {
        let (since, as_of) = (moment.now, self.last_job);
        let platform_op = match op {
            BusyOp::ReadOld | BusyOp::WriteOld => PlatformOp::Get(self.old_key()),
            BusyOp::ReadRecent | BusyOp::WriteRecent { .. } => PlatformOp::Get(self.recent_key()),
        };
        self.busy = Some(Busy {
            token,
            since,
            as_of,
            op,
        });
        platform_op
    }

    /// Answers what can be answered and starts the write or read that the rest needs.
    fn work(&mut self, token: u64, moment: &Moment, options: &ClaimOptions, round: &mut Round) {
        self.refresh = false;
        if self.queue.is_empty() {
            return;
        }
        let may_write = self.is_paced(moment);
        if may_write && let Some(value) = self.next_old(moment, options) {
            self.pace(moment, options);
            round.op = self.write_old(token, moment, value);
            return;
        }
        let Some(plan) = self.plan(moment, options) else {
            return;
        };
        if plan.changed && may_write {
            self.pace(moment, options);
            round.op = Some(self.write_recent(token, moment, plan));
            return;
        }
        if plan.changed {
            return;
        }
        round.answered = self.answer_fresh(plan.answers);
        if may_write && !self.queue.is_empty() {
            self.pace(moment, options);
            self.refresh = true;
            round.op = Some(self.start(token, moment, BusyOp::ReadRecent));
        }
    }

    fn is_paced(&self, moment: &Moment) -> bool {
        self.not_before.is_none_or(|at| at <= moment.now)
    }

    fn pace(&mut self, moment: &Moment, options: &ClaimOptions) {
        self.not_before = Some(moment.now + options.round_interval);
    }

    /// Carries out the waiting jobs on a copy.
    fn plan(&self, moment: &Moment, options: &ClaimOptions) -> Option<Plan> {
        let (recent, old) = (self.recent.as_ref()?, self.old.as_ref()?);
        let expect = recent.expect;
        let mut next = recent.value.clone();
        let outdated = next.outdated(moment, options);
        let mut changed = next.drop_old(&outdated, &old.value);
        let mut answers = Vec::new();
        for job in &self.queue {
            let applied = next.apply(&job.task, &old.value, moment, options);
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

    /// Returns the old keys to be written, when some recent ones have to be added to them or
    /// some are past the window.
    fn next_old(&self, moment: &Moment, options: &ClaimOptions) -> Option<Vec<u8>> {
        let (recent, old) = (self.recent.as_ref()?, self.old.as_ref()?);
        let window_s = options.old_window.as_secs();
        let outdated = recent.value.outdated(moment, options);
        if outdated.iter().any(|claim| old.value.contains(*claim)) {
            // Dropping what the old keys hold comes first, so that both kinds of write take turns.
            return None;
        }
        let is_full = old.value.len() >= options.max_old_keys;
        let has_outdated = old.value.has_outdated(moment.unix_s, window_s);
        let is_due = if is_full {
            has_outdated
        } else {
            !outdated.is_empty()
        };
        let next = || {
            old.value
                .next(outdated.into_iter(), moment.unix_s, window_s)
        };
        is_due.then(|| codec::encode(&next()))
    }

    fn write_old(&mut self, token: u64, moment: &Moment, value: Vec<u8>) -> Option<PlatformOp> {
        let expect = self.old.as_ref()?.expect;
        self.start(token, moment, BusyOp::WriteOld);
        let key = self.old_key();
        Some(PlatformOp::Swap { key, value, expect })
    }

    fn write_recent(&mut self, token: u64, moment: &Moment, plan: Plan) -> PlatformOp {
        let expect = plan.expect;
        let jobs = std::mem::take(&mut self.queue);
        let batch = jobs.into_iter().zip(plan.answers).collect();
        let (key, value) = (self.recent_key(), codec::encode(&plan.next));
        let next = Written {
            bytes: value.clone(),
            value: plan.next,
        };
        let op = BusyOp::WriteRecent {
            expect,
            batch,
            next,
        };
        self.start(token, moment, op);
        PlatformOp::Swap { key, value, expect }
    }

    /// Takes out the jobs whose answers need no further read.
    fn answer_fresh(&mut self, answers: Vec<ClaimAnswer>) -> Vec<Answered> {
        let as_of = self.recent.as_ref().map_or(0, |known| known.as_of);
        let mut answered = Vec::new();
        let jobs = std::mem::take(&mut self.queue);
        for (job, answer) in jobs.into_iter().zip(answers) {
            let is_recorded = job.task.is_claim() && RecentClaims::is_final(&answer);
            if job.number <= as_of || is_recorded {
                answered.push(job.answered(answer));
            } else {
                self.queue.push(job);
            }
        }
        answered
    }
}
