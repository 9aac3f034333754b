//! Collects the outcomes of calls into a report.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use hdrhistogram::Histogram;

use crate::answer_check::shows_second_run;
use crate::call_plan::{CallKind, CallPlan};
use crate::outcome::{Outcome, Timing};
use crate::report::{Latency, Report};

/// Longest latency that is told apart: an hour.
const MAX_LATENCY_US: u64 = 3_600_000_000;

/// Digits that histograms keep.
const SIGNIFICANT_DIGITS: u8 = 3;

/// Most reasons kept for the report.
const MAX_EXAMPLES: usize = 5;

/// Collects the outcomes of calls into a report.
#[derive(Debug)]
pub struct Recorder {
    report: Report,
    first_token: Histogram<u64>,
    between_tokens: Histogram<u64>,
    whole_answer: Histogram<u64>,
    /// Calls that arrived and whole answers, by second of the run.
    seconds: BTreeMap<u64, (u64, u64)>,
    /// Keys that are known to have run more than once.
    double_runs: BTreeSet<String>,
    /// Keys whose callers were told "not run" last.
    said_not_run: BTreeSet<String>,
}

impl Default for Recorder {
    fn default() -> Self {
        Self {
            report: Report::default(),
            first_token: histogram(),
            between_tokens: histogram(),
            whole_answer: histogram(),
            seconds: BTreeMap::new(),
            double_runs: BTreeSet::new(),
            said_not_run: BTreeSet::new(),
        }
    }
}

fn histogram() -> Histogram<u64> {
    Histogram::new_with_max(MAX_LATENCY_US, SIGNIFICANT_DIGITS).expect("valid bounds")
}

fn record(histogram: &mut Histogram<u64>, time: Duration) {
    histogram.saturating_record(u64::try_from(time.as_micros()).unwrap_or(u64::MAX));
}

impl Recorder {
    /// Counts an arrival; `waits` when as many as allowed are in flight.
    pub fn arrived(&mut self, plan: &CallPlan, waits: bool) {
        self.report.arrived += 1;
        self.report.waited += u64::from(waits);
        self.second(plan).0 += 1;
    }

    /// Counts calls that were never sent.
    pub fn not_sent(&mut self, calls: u64) {
        self.report.not_sent += calls;
    }

    /// Counts a call and how it ended.
    pub fn ended(&mut self, plan: &CallPlan, outcome: &Outcome, timing: &Timing) {
        self.report.sent += 1;
        if let Some(time) = timing.first_token {
            record(&mut self.first_token, time);
        }
        for time in &timing.between_tokens {
            record(&mut self.between_tokens, *time);
        }
        if matches!(outcome, Outcome::Whole { .. }) {
            self.second(plan).1 += 1;
            record(&mut self.whole_answer, timing.whole);
        }
        if let CallKind::Service { key, .. } = &plan.kind {
            self.note_key(key, outcome, None);
        }
        self.count(outcome);
        self.count_lost(plan, outcome);
        if matches!(outcome, Outcome::Refused { .. }) {
            let second = plan.arrival.as_secs();
            *self.report.refused_by_second.entry(second).or_default() += 1;
        }
    }

    fn count_lost(&mut self, plan: &CallPlan, outcome: &Outcome) {
        let lost = match outcome {
            Outcome::Cut(_) => &mut self.report.cut_by_target,
            Outcome::NoAnswer(_) => &mut self.report.no_answer_by_target,
            _ => return,
        };
        *lost.entry(plan.target).or_default() += 1;
    }

    /// Counts a service call that was made again.
    pub fn repeated(&mut self, key: &str, first: &Outcome, again: &Outcome) {
        self.report.repeated += 1;
        self.report.repeated_whole += u64::from(matches!(again, Outcome::Whole { .. }));
        self.note_key(key, again, Some(first));
        if let Outcome::Wrong(_) = again {
            self.count(again);
        }
    }

    fn note_key(&mut self, key: &str, outcome: &Outcome, first: Option<&Outcome>) {
        let first = first.unwrap_or(outcome);
        if shows_second_run(first, outcome) {
            self.double_runs.insert(key.into());
        }
        // A caller that heard "not run" last may use a new key, whatever it heard before.
        if outcome.says_not_run() {
            self.said_not_run.insert(key.into());
        } else {
            self.said_not_run.remove(key);
        }
    }

    /// Takes in how often each key really ran.
    pub fn check_runs(&mut self, runs: &BTreeMap<String, u64>) {
        let twice = runs.iter().filter(|(_, runs)| **runs > 1);
        self.double_runs.extend(twice.map(|(key, _)| key.clone()));
        let ran = |key: &&String| runs.get(*key).is_some_and(|runs| *runs > 0);
        self.report.false_not_run = self.said_not_run.iter().filter(ran).count() as u64;
    }

    /// Counts a server that could not be asked.
    pub fn run_check_failed(&mut self, reason: String) {
        self.report.run_checks_failed += 1;
        self.example(reason);
    }

    fn second(&mut self, plan: &CallPlan) -> &mut (u64, u64) {
        self.seconds.entry(plan.arrival.as_secs()).or_default()
    }

    fn count(&mut self, outcome: &Outcome) {
        let report = &mut self.report;
        match outcome {
            Outcome::Whole { .. } => report.whole += 1,
            Outcome::Refused {
                kind,
                ran,
                in_stream,
            } => {
                *report.refused_by_kind.entry(*kind).or_default() += 1;
                *report.refused_by_ran.entry(*ran).or_default() += 1;
                report.refused_in_stream += u64::from(*in_stream);
            }
            Outcome::Malformed { status } => {
                *report.malformed_by_status.entry(*status).or_default() += 1;
            }
            Outcome::Cut(reason) => {
                report.cut += 1;
                self.example(format!("cut: {reason}"));
            }
            Outcome::Wrong(reason) => {
                report.wrong += 1;
                self.example(format!("wrong: {reason}"));
            }
            Outcome::NoAnswer(reason) => {
                report.no_answer += 1;
                self.example(format!("no answer: {reason}"));
            }
        }
    }

    fn example(&mut self, text: String) {
        if self.report.examples.len() < MAX_EXAMPLES {
            self.report.examples.push(text);
        }
    }

    /// Returns the report of all that was collected.
    #[must_use]
    pub fn report(&self) -> Report {
        let without = |(arrived, whole): &&(u64, u64)| *arrived > 0 && *whole == 0;
        Report {
            double_runs: self.double_runs.len() as u64,
            seconds_without_service: self.seconds.values().filter(without).count() as u64,
            first_token: Latency::of(&self.first_token),
            between_tokens: Latency::of(&self.between_tokens),
            whole_answer: Latency::of(&self.whole_answer),
            ..self.report.clone()
        }
    }
}
