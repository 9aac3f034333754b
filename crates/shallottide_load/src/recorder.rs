//! Collects the outcomes of calls into a report.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use hdrhistogram::Histogram;

use crate::answer_check::shows_second_run;
use crate::call_plan::{CallKind, CallPlan};
use crate::outcome::{Outcome, Timing};
use crate::report::{Latency, Report};

/// Highest latency that histograms distinguish: one hour. Higher ones are recorded as this.
const MAX_LATENCY_US: u64 = 3_600_000_000;

/// Decimal digits of precision of histograms.
const SIGNIFICANT_DIGITS: u8 = 3;

/// Maximum number of reasons kept for the report.
const MAX_EXAMPLES: usize = 5;

/// Collects the outcomes of calls into a report.
#[derive(Debug)]
pub struct Recorder {
    report: Report,
    first_token: Histogram<u64>,
    between_tokens: Histogram<u64>,
    whole_answer: Histogram<u64>,
    /// Number of arrived calls and of these with whole answers, by second of arrival.
    counts_by_second: BTreeMap<u64, (u64, u64)>,
    /// Keys that are known to have run more than once.
    double_runs: BTreeSet<String>,
    /// Keys whose last answer states that the call did not run.
    reported_not_run: BTreeSet<String>,
}

impl Default for Recorder {
    fn default() -> Self {
        Self {
            report: Report::default(),
            first_token: histogram(),
            between_tokens: histogram(),
            whole_answer: histogram(),
            counts_by_second: BTreeMap::new(),
            double_runs: BTreeSet::new(),
            reported_not_run: BTreeSet::new(),
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
    /// Records an arrival. `waits` says that the maximum number of calls is in flight already.
    pub fn record_arrival(&mut self, plan: &CallPlan, waits: bool) {
        self.report.arrived += 1;
        self.report.waited += u64::from(waits);
        self.counts_of_second(plan).0 += 1;
    }

    /// Records calls that were never sent.
    pub fn record_not_sent(&mut self, calls: u64) {
        self.report.not_sent += calls;
    }

    /// Records the outcome of a call.
    pub fn record_outcome(&mut self, plan: &CallPlan, outcome: &Outcome, timing: &Timing) {
        self.report.sent += 1;
        if let Some(time) = timing.first_token {
            record(&mut self.first_token, time);
        }
        for time in &timing.between_tokens {
            record(&mut self.between_tokens, *time);
        }
        if matches!(outcome, Outcome::Whole { .. }) {
            self.counts_of_second(plan).1 += 1;
            record(&mut self.whole_answer, timing.whole);
        }
        if let CallKind::Service { key, .. } = &plan.kind {
            self.update_key(key, outcome, None);
        }
        self.count_outcome(outcome);
        self.count_lost_answer(plan, outcome);
        if matches!(outcome, Outcome::Refused { .. }) {
            let second = plan.arrival.as_secs();
            *self.report.refused_by_second.entry(second).or_default() += 1;
        }
    }

    fn count_lost_answer(&mut self, plan: &CallPlan, outcome: &Outcome) {
        let lost = match outcome {
            Outcome::Cut(_) => &mut self.report.cut_by_target,
            Outcome::NoAnswer(_) => &mut self.report.no_answer_by_target,
            _ => return,
        };
        *lost.entry(plan.target).or_default() += 1;
    }

    /// Records the outcome of a repeated service call, with the outcome of the first one.
    pub fn record_repeat(&mut self, key: &str, first: &Outcome, repeated: &Outcome) {
        self.report.repeated += 1;
        self.report.repeated_whole += u64::from(matches!(repeated, Outcome::Whole { .. }));
        self.update_key(key, repeated, Some(first));
        if let Outcome::Wrong(_) = repeated {
            self.count_outcome(repeated);
        }
    }

    /// Updates the state of an idempotency key. `first` is the first outcome if this is a repeat.
    fn update_key(&mut self, key: &str, outcome: &Outcome, first: Option<&Outcome>) {
        let first = first.unwrap_or(outcome);
        if shows_second_run(first, outcome) {
            self.double_runs.insert(key.into());
        }
        // A caller may use a new key if the last answer states "not run", regardless of earlier answers.
        if outcome.says_not_run() {
            self.reported_not_run.insert(key.into());
        } else {
            self.reported_not_run.remove(key);
        }
    }

    /// Compares the recorded answers with the number of runs that the services counted for each key.
    pub fn compare_runs(&mut self, runs: &BTreeMap<String, u64>) {
        let repeated_runs = runs.iter().filter(|(_, runs)| **runs > 1);
        self.double_runs
            .extend(repeated_runs.map(|(key, _)| key.clone()));
        let ran = |key: &&String| runs.get(*key).is_some_and(|runs| *runs > 0);
        self.report.false_not_run = self.reported_not_run.iter().filter(ran).count() as u64;
    }

    /// Records that a server's run counts could not be read.
    pub fn record_run_check_failure(&mut self, reason: String) {
        self.report.run_checks_failed += 1;
        self.add_example(reason);
    }

    fn counts_of_second(&mut self, plan: &CallPlan) -> &mut (u64, u64) {
        self.counts_by_second
            .entry(plan.arrival.as_secs())
            .or_default()
    }

    fn count_outcome(&mut self, outcome: &Outcome) {
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
                self.add_example(format!("cut: {reason}"));
            }
            Outcome::Wrong(reason) => {
                report.wrong += 1;
                self.add_example(format!("wrong: {reason}"));
            }
            Outcome::NoAnswer(reason) => {
                report.no_answer += 1;
                self.add_example(format!("no answer: {reason}"));
            }
        }
    }

    fn add_example(&mut self, text: String) {
        if self.report.examples.len() < MAX_EXAMPLES {
            self.report.examples.push(text);
        }
    }

    /// Returns the report of everything recorded so far.
    #[must_use]
    pub fn report(&self) -> Report {
        let is_without_service = |(arrived, whole): &&(u64, u64)| *arrived > 0 && *whole == 0;
        Report {
            double_runs: self.double_runs.len() as u64,
            seconds_without_service: self
                .counts_by_second
                .values()
                .filter(is_without_service)
                .count() as u64,
            first_token: Latency::from_histogram(&self.first_token),
            between_tokens: Latency::from_histogram(&self.between_tokens),
            whole_answer: Latency::from_histogram(&self.whole_answer),
            ..self.report.clone()
        }
    }
}
