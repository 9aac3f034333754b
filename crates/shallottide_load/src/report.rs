//! Report of a load run.

use std::collections::BTreeMap;
use std::fmt;
use std::net::SocketAddr;

use hdrhistogram::Histogram;
use shallottide_types::data;
use shallottide_types::refusal::{Ran, RefusalKind};

data! {
    /// Report of a load run.
    #[derive(Default)]
    pub struct Report {
        /// Calls that arrived.
        pub arrived: u64,
        /// Calls sent.
        pub sent: u64,
        /// Calls that were still queued when the run ended, and never sent.
        pub not_sent: u64,
        /// Calls that were queued as the maximum number of calls was in flight.
        pub waited: u64,
        /// Complete answers that belong to their calls.
        pub whole: u64,
        /// Refusals by kind, including those in streams.
        pub refused_by_kind: BTreeMap<RefusalKind, u64>,
        /// Refusals by whether they state that the call ran.
        pub refused_by_ran: BTreeMap<Ran, u64>,
        /// Refusals that came as an event of a stream.
        pub refused_in_stream: u64,
        /// Refusals by second of the run in which the call arrived.
        pub refused_by_second: BTreeMap<u64, u64>,
        /// Error answers that can't be parsed, by HTTP status.
        pub malformed_by_status: BTreeMap<u16, u64>,
        /// Answers that broke off without an error event.
        pub cut: u64,
        /// Cut answers by the entry VM that was called.
        pub cut_by_target: BTreeMap<SocketAddr, u64>,
        /// Answers that don't belong to their calls or have wrong content.
        pub wrong: u64,
        /// Calls without any answer.
        pub no_answer: u64,
        /// Calls without any answer by the entry VM that was called.
        pub no_answer_by_target: BTreeMap<SocketAddr, u64>,
        /// Service calls repeated with the same key. The counts above leave repeats out, except `wrong`.
        pub repeated: u64,
        /// Repeated service calls with a complete answer.
        pub repeated_whole: u64,
        /// Keys that ran more than once.
        pub double_runs: u64,
        /// Keys that ran although their last answer states "not run"; needs `--check-runs`.
        pub false_not_run: u64,
        /// Servers whose run counts could not be read.
        pub run_checks_failed: u64,
        /// Seconds of the run in which calls arrived and none of them got a complete answer.
        pub seconds_without_service: u64,
        /// Time from the planned arrival to the first token.
        pub first_token: Latency,
        /// Time between two consecutive tokens.
        pub between_tokens: Latency,
        /// Time from the planned arrival to the end of a complete answer.
        pub whole_answer: Latency,
        /// Reasons of the first cut, wrong and missing answers and failed run checks.
        pub examples: Vec<String>,
    }

    /// Percentiles of a latency in microseconds.
    #[derive(Copy, Default)]
    pub struct Latency {
        /// Number of recorded values.
        pub count: u64,
        /// 50th percentile.
        pub p50_us: u64,
        /// 95th percentile.
        pub p95_us: u64,
        /// 99th percentile.
        pub p99_us: u64,
        /// Highest value.
        pub max_us: u64,
    }
}

impl Latency {
    /// Computes the percentiles of a histogram in microseconds.
    pub(crate) fn from_histogram(histogram: &Histogram<u64>) -> Self {
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
    /// Returns whether no answer was cut, wrong or malformed, no key ran twice, no checked "not run" was
    /// false and no run check failed.
    #[must_use]
    pub fn is_clean(&self) -> bool {
        let faults = self.cut + self.wrong + self.double_runs + self.false_not_run;
        faults + self.run_checks_failed == 0 && self.malformed_by_status.is_empty()
    }

    /// Returns the number of well-formed refusals.
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
            ("waited to be sent", self.waited),
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
        rows.iter()
            .try_for_each(|(label, n)| write_row(f, label, *n))?;
        for (kind, n) in &self.refused_by_kind {
            write_row(f, &format!("  refused: {kind}"), *n)?;
        }
        for (ran, n) in &self.refused_by_ran {
            write_row(f, &format!("  refused, ran: {ran}"), *n)?;
        }
        for (status, n) in &self.malformed_by_status {
            write_row(f, &format!("  malformed: HTTP {status}"), *n)?;
        }
        writeln!(
            f,
            "latency in ms                   p50       p95       p99       max"
        )?;
        write_latency(f, "first token", &self.first_token)?;
        write_latency(f, "between tokens", &self.between_tokens)?;
        write_latency(f, "whole answer", &self.whole_answer)?;
        self.examples
            .iter()
            .try_for_each(|e| writeln!(f, "example: {e}"))
    }
}

fn write_row(f: &mut fmt::Formatter<'_>, label: &str, n: u64) -> fmt::Result {
    writeln!(f, "{label:<LABEL_WIDTH$}{n:>NUMBER_WIDTH$}")
}

fn write_latency(f: &mut fmt::Formatter<'_>, label: &str, latency: &Latency) -> fmt::Result {
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
