//! Output of commands that write records.

use std::time::Duration;

use serde_json::{Value, json};
use shallottide::operate::{Applied, Change, Outcome};
use shallottide_types::id::StoreIndex;
use shallottide_types::platform::PlatformError;

use crate::exit::Exit;
use crate::output::Output;
use crate::rollout_report::RolloutReport;
use crate::session::Session;

/// A requested write of one record, and its result.
pub(super) struct RecordWrite {
    pub(super) key: String,
    pub(super) warnings: Vec<String>,
    pub(super) attempt: WriteAttempt,
}

/// Result of a write.
pub(super) enum WriteAttempt {
    /// Not sent, as the write of an earlier record failed.
    NotTried,
    /// The platform could not be reached; nothing was written.
    Failed(PlatformError),
    /// The platform answered, or its answer was lost and the outcome was read back.
    Completed(Outcome),
}

impl RecordWrite {
    /// Returns the exit code if this were the only record.
    pub(super) fn exit(&self) -> Exit {
        match &self.attempt {
            WriteAttempt::NotTried => Exit::Done,
            WriteAttempt::Failed(_) => Exit::PlatformUnreachable,
            WriteAttempt::Completed(outcome) => outcome_exit(outcome),
        }
    }

    /// Returns whether the stored record is as requested.
    pub(super) fn is_stored(&self) -> bool {
        matches!(&self.attempt, WriteAttempt::Completed(outcome) if outcome_exit(outcome) == Exit::Done)
    }

    /// Returns the store index from which the record is in force, or `None` if it is not known.
    fn index(&self) -> Option<StoreIndex> {
        match &self.attempt {
            WriteAttempt::Completed(Outcome::Applied(applied)) => applied.index,
            WriteAttempt::Completed(Outcome::Unchanged { index, .. }) => Some(*index),
            _ => None,
        }
    }

    fn text(&self) -> String {
        let warnings = self.warnings.iter();
        let mut lines: Vec<_> = warnings.map(|text| format!("warning: {text}")).collect();
        let text = match &self.attempt {
            WriteAttempt::NotTried => "not tried".into(),
            WriteAttempt::Failed(error) => format!("nothing was written: {error}"),
            WriteAttempt::Completed(outcome) => outcome_text(outcome),
        };
        lines.push(format!("{}: {text}", self.key));
        lines.join("\n")
    }

    fn json(&self) -> Value {
        let mut json = match &self.attempt {
            WriteAttempt::NotTried => json!({"outcome": "not_tried"}),
            WriteAttempt::Failed(error) => {
                json!({"outcome": "failed", "message": error.to_string()})
            }
            WriteAttempt::Completed(outcome) => outcome_json(outcome),
        };
        json["key"] = self.key.clone().into();
        json["warnings"] = self.warnings.clone().into();
        json
    }
}

fn outcome_exit(outcome: &Outcome) -> Exit {
    match outcome {
        Outcome::Applied(_) | Outcome::Unchanged { .. } => Exit::Done,
        Outcome::Conflict(_) => Exit::Conflict,
        Outcome::Unclear(_) => Exit::Unclear,
        Outcome::Refused(_) | Outcome::Missing { .. } => Exit::BadInput,
    }
}

fn outcome_text(outcome: &Outcome) -> String {
    match outcome {
        Outcome::Applied(applied) => applied_text(applied),
        Outcome::Unchanged { revision, .. } => format!("unchanged at revision {revision}"),
        Outcome::Conflict(conflict) => format!("conflict: {conflict}"),
        Outcome::Unclear(unclear) => format!("unclear: {unclear}: --change {}", unclear.change),
        Outcome::Refused(error) => error.to_string(),
        Outcome::Missing { .. } => "no such record: apply one first".into(),
    }
}

fn outcome_json(outcome: &Outcome) -> Value {
    match outcome {
        Outcome::Applied(applied) => json!({
            "outcome": "applied", "revision": applied.revision, "index": applied.index,
            "superseded": applied.superseded,
        }),
        Outcome::Unchanged { revision, index } => {
            json!({"outcome": "unchanged", "revision": revision, "index": index})
        }
        Outcome::Conflict(conflict) => json!({
            "outcome": "conflict", "expected_revision": conflict.expected,
            "stored": conflict.stored, "message": conflict.to_string(),
        }),
        Outcome::Unclear(unclear) => {
            json!({"outcome": "unclear", "message": unclear.to_string()})
        }
        Outcome::Refused(error) => json!({"outcome": "refused", "message": error.to_string()}),
        Outcome::Missing { .. } => json!({"outcome": "missing"}),
    }
}

/// Waits until all written records are in force, and reports on each record and on the rollout.
pub(super) fn report(
    session: &Session,
    change: &Change,
    records: &[RecordWrite],
    wait: Duration,
) -> Output {
    let mut lines: Vec<_> = records.iter().map(RecordWrite::text).collect();
    let mut exit = records.iter().map(RecordWrite::exit).max();
    let mut rollout = Value::Null;
    let is_any_stored = records.iter().any(RecordWrite::is_stored);
    if is_any_stored && !wait.is_zero() {
        let keys: Vec<_> = records.iter().map(|record| record.key.clone()).collect();
        let report =
            rollout_index(records).map(|index| RolloutReport::wait(session, index, &keys, wait));
        let text = report
            .as_ref()
            .map_or_else(index_unknown_text, RolloutReport::text);
        lines.push(text);
        rollout = report.as_ref().map_or(Value::Null, RolloutReport::json);
        let rollout_exit = report
            .as_ref()
            .map_or(Exit::NotInForce, RolloutReport::exit);
        exit = exit
            .filter(|&exit| exit != Exit::Done)
            .or(Some(rollout_exit));
    }
    let records: Vec<_> = records.iter().map(RecordWrite::json).collect();
    let json = json!({"change": change.id, "records": records, "rollout": rollout});
    Output::done(lines.join("\n"), json).with_exit(exit.unwrap_or(Exit::Done))
}

/// Returns the store index from which all written records are in force, or `None` if the index of
/// one of them is not known.
fn rollout_index(records: &[RecordWrite]) -> Option<StoreIndex> {
    let stored = records.iter().filter(|record| record.is_stored());
    let indexes: Option<Vec<_>> = stored.map(RecordWrite::index).collect();
    indexes?.into_iter().max()
}

fn index_unknown_text() -> String {
    "written, but its store index could not be read, so the rollout was not checked: see `shallottide status`".into()
}

fn applied_text(applied: &Applied) -> String {
    let mut text = format!("applied as revision {}", applied.revision);
    if let Some(index) = applied.index {
        text = format!("{text} at store index {index}");
    }
    if let Some(stamp) = &applied.superseded {
        text = format!("{text}; {stamp} has replaced it since");
    }
    text
}
