//! The result of a run.

use std::collections::BTreeMap;
use std::fmt;
use std::net::SocketAddr;

use hdrhistogram::Histogram;
use shallottide_types::data;
use shallottide_types::refusal::{Ran, RefusalKind};

data! {
    /// The result of a run.
    #[derive(Default)]
    pub struct Report {
        /// Calls that arrived.
        pub arrived: u64,
        /// Calls sent.
        pub sent: u64,
        /// Calls still waiting for a place when the run ended; never sent.
        pub not_sent: u64,
        /// Calls that found as many in flight as allowed and waited.
        pub waited: u64,
        /// Whole answers, each to its own call.
        pub whole: u64,
        /// Refusals by kind, in streams too.
        pub refused_by_kind: BTreeMap<RefusalKind, u64>,
        /// Refusals by what they say of having run.
        pub refused_by_ran: BTreeMap<Ran, u64>,
        /// Refusals that came as an event in a stream.
        pub refused_in_stream: u64,
        /// Refusals by the second of the run in which their calls arrived.
        pub refused_by_second: BTreeMap<u64, u64>,
        /// Refusals that can't be read, by HTTP status.
        pub malformed_by_status: BTreeMap<u16, u64>,
        /// Answers cut without a word.
        pub cut: u64,
        /// These by the entry VM that was called.
        pub cut_by_target: BTreeMap<SocketAddr, u64>,
        /// Answers that are not the call's own.
        pub wrong: u64,
        /// Calls without any answer.
        pub no_answer: u64,
        /// These by the entry VM that was called.
        pub no_answer_by_target: BTreeMap<SocketAddr, u64>,
        /// Service calls made again with the same key; not counted above.
        pub repeated: u64,
        /// Outcomes of these.
        pub repeated_whole: u64,
        /// Keys that ran more than once.
        pub double_runs: u64,
        /// Keys whose callers were told "not run" last and that ran; known with `--check-runs`.
        pub false_not_run: u64,
        /// Servers that could not be asked how often each key ran.
        pub run_checks_failed: u64,
        /// Seconds in which calls arrived and none of them got a whole answer.
        pub seconds_without_service: u64,
        /// Time to the first token.
        pub first_token: Latency,
        /// Time between two tokens.
        pub between_tokens: Latency,
        /// Time to the end of a whole answer.
        pub whole_answer: Latency,
        /// The first reasons given for cut, wrong and missing answers.
        pub examples: Vec<String>,
    }

    /// Percentiles of a latency in microseconds.
    #[derive(Copy, Default)]
    pub struct Latency {
        /// Number of values.
        pub count: u64,
        /// Half are at most this.
        pub p50_us: u64,
        /// 95 in 100 are at most this.
        pub p95_us: u64,
        /// 99 in 100 are at most this.
        pub p99_us: u64,
        /// The highest.
        pub max_us: u64,
    }
}

impl Latency {
    /// Reads the percentiles of a histogram in microseconds.
    pub(crate) fn of(histogram: &Histogram<u64>) -> Self {
        Self {
            count: histogram.len(),
            p50_us: histogram.value_at_quantile(0.5),
            p95_us: histogram.value_at_quantile(0.95),
            p99_us: histogram.value_at_quantile(0.99),
            max_us: histogram.max(),
        }
    }
}

impl Report {
    /// Tells whether no answer was cut, wrong or malformed, nothing ran twice, and every
    /// "not run" was true as far as it was checked.
    #[must_use]
    pub fn is_clean(&self) -> bool {
        let faults = self.cut + self.wrong + self.double_runs + self.false_not_run;
        faults + self.run_checks_failed == 0 && self.malformed_by_status.is_empty()
    }

    /// Returns all refusals that could be read.
    #[must_use]
    pub fn refused(&self) -> u64 {
        self.refused_by_kind.values().sum()
    }
}

const LABEL_WIDTH: usize = 26;
const NUMBER_WIDTH: usize = 10;

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let rows = [
            ("arrived", self.arrived),
            ("sent", self.sent),
            ("not sent", self.not_sent),
            ("waited for a place", self.waited),
            ("whole", self.whole),
            ("refused", self.refused()),
            ("refused in stream", self.refused_in_stream),
            ("cut", self.cut),
            ("wrong", self.wrong),
            ("no answer", self.no_answer),
            ("repeated", self.repeated),
            ("repeated whole", self.repeated_whole),
            ("double runs", self.double_runs),
            ("false \"not run\"", self.false_not_run),
            ("run checks failed", self.run_checks_failed),
            ("seconds without service", self.seconds_without_service),
        ];
        rows.iter().try_for_each(|(label, n)| row(f, label, *n))?;
        for (kind, n) in &self.refused_by_kind {
            row(f, &format!("  refused: {kind}"), *n)?;
        }
        for (ran, n) in &self.refused_by_ran {
            row(f, &format!("  refused, ran: {ran}"), *n)?;
        }
        for (status, n) in &self.malformed_by_status {
            row(f, &format!("  malformed: HTTP {status}"), *n)?;
        }
        writeln!(
            f,
            "latency in ms                   p50       p95       p99       max"
        )?;
        latency(f, "first token", &self.first_token)?;
        latency(f, "between tokens", &self.between_tokens)?;
        latency(f, "whole answer", &self.whole_answer)?;
        self.examples
            .iter()
            .try_for_each(|e| writeln!(f, "example: {e}"))
    }
}

fn row(f: &mut fmt::Formatter<'_>, label: &str, n: u64) -> fmt::Result {
    writeln!(f, "{label:<LABEL_WIDTH$}{n:>NUMBER_WIDTH$}")
}

fn latency(f: &mut fmt::Formatter<'_>, label: &str, latency: &Latency) -> fmt::Result {
    write!(f, "{label:<LABEL_WIDTH$}")?;
    for us in [
        latency.p50_us,
        latency.p95_us,
        latency.p99_us,
        latency.max_us,
    ] {
        let ms = format!("{}.{:03}", us / 1000, us % 1000);
        write!(f, "{ms:>NUMBER_WIDTH$}")?;
    }
    writeln!(f)
}
