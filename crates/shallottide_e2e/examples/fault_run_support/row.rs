//! One row of the result table.

use std::collections::BTreeSet;
use std::fmt::{self, Write};

use serde_json::Value;

const NAME_WIDTH: usize = 28;
const NUMBER_WIDTH: usize = 9;

const COLUMNS: [&str; 13] = [
    "arrived",
    "whole",
    "ran no",
    "unknown",
    "ran yes",
    "in stream",
    "cut",
    "no answer",
    "at lost",
    "wrong",
    "double",
    "false no",
    "s without",
];

/// Returns the table's heading.
pub(crate) fn heading() -> String {
    let mut text = format!("{:<NAME_WIDTH$}", "fault");
    for column in COLUMNS {
        let _ = write!(text, "{column:>NUMBER_WIDTH$}");
    }
    text
}

/// Outcomes of the calls around one fault.
pub(crate) struct Row {
    name: String,
    numbers: [u64; COLUMNS.len()],
    clean: bool,
    pub(crate) notes: Vec<String>,
}

impl Row {
    /// Creates a row from a report of the load tool. Calls to nodes that were killed or frozen
    /// (`unavailable`) are counted separately.
    pub(crate) fn new(name: &str, report: &Value, unavailable: &BTreeSet<String>) -> Self {
        let number = |field: &str| report[field].as_u64().unwrap_or_default();
        let ran = |ran: &str| report["refused_by_ran"][ran].as_u64().unwrap_or_default();
        let at_unavailable = |field: &str| -> u64 {
            let of = |node: &String| report[field][node].as_u64();
            unavailable.iter().filter_map(of).sum()
        };
        let cut_at_unavailable = at_unavailable("cut_by_target");
        let unanswered_at_unavailable = at_unavailable("no_answer_by_target");
        let cut = number("cut") - cut_at_unavailable;
        let no_answer = number("no_answer") - unanswered_at_unavailable;
        let malformed = report["malformed_by_status"].as_object();
        let malformed = malformed.is_some_and(|statuses| !statuses.is_empty());
        let violations = ["wrong", "double_runs", "false_not_run", "run_checks_failed"];
        let violations: u64 = violations.map(number).iter().sum();
        let mut notes = vec![report["refused_by_kind"].to_string()];
        if report["refused_by_second"]
            .as_object()
            .is_some_and(|seconds| !seconds.is_empty())
        {
            let seconds = &report["refused_by_second"];
            notes.push(format!("refused by second: {seconds}"));
        }
        if cut + no_answer + violations > 0 || malformed {
            notes.push(report["examples"].to_string());
            notes.push(report["malformed_by_status"].to_string());
        }
        Self {
            name: name.into(),
            numbers: [
                number("arrived"),
                number("whole"),
                ran("no"),
                ran("unknown"),
                ran("yes"),
                number("refused_in_stream"),
                cut,
                no_answer,
                cut_at_unavailable + unanswered_at_unavailable,
                number("wrong"),
                number("double_runs"),
                number("false_not_run"),
                number("seconds_without_service"),
            ],
            clean: cut + no_answer + violations == 0 && !malformed,
            notes,
        }
    }

    /// Returns whether no response was cut or wrong, no call ran twice, each "not run" was true,
    /// and each call to an available node was answered.
    pub(crate) fn is_clean(&self) -> bool {
        self.clean
    }
}

impl fmt::Display for Row {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:<NAME_WIDTH$}", self.name)?;
        for number in self.numbers {
            write!(f, "{number:>NUMBER_WIDTH$}")?;
        }
        for note in &self.notes {
            write!(f, "\n    {note}")?;
        }
        Ok(())
    }
}
