//! What a command that writes tells.

use std::time::Duration;

use serde_json::{Value, json};
use shallottide::operate::{Applied, Change, Outcome};
use shallottide_types::id::StoreIndex;
use shallottide_types::platform::PlatformError;

use crate::exit::Exit;
use crate::output::Output;
use crate::rollout_wait::RolloutReport;
use crate::session::Session;

/// One record that was to be written.
pub(super) struct Written {
    pub(super) key: String,
    pub(super) warnings: Vec<String>,
    pub(super) attempt: Attempt,
}

/// What became of the write.
pub(super) enum Attempt {
    /// An earlier record failed.
    NotTried,
    /// The platform could not be reached; nothing was written.
    Failed(PlatformError),
    /// The platform answered, or the fate was followed.
    Ended(Outcome),
}

impl Written {
    /// Returns the exit code of this record alone.
    pub(super) fn exit(&self) -> Exit {
        match &self.attempt {
            Attempt::NotTried => Exit::Done,
            Attempt::Failed(_) => Exit::PlatformUnreachable,
            Attempt::Ended(outcome) => outcome_exit(outcome),
        }
    }

    /// Tells whether the record is stored as wanted.
    pub(super) fn is_stored(&self) -> bool {
        matches!(&self.attempt, Attempt::Ended(outcome) if outcome_exit(outcome) == Exit::Done)
    }

    /// Returns the store index to wait for; `None` when it is not known.
    fn index(&self) -> Option<StoreIndex> {
        match &self.attempt {
            Attempt::Ended(Outcome::Applied(applied)) => applied.index,
            Attempt::Ended(Outcome::Unchanged { index, .. }) => Some(*index),
            _ => None,
        }
    }

    fn text(&self) -> String {
        let warnings = self.warnings.iter();
        let mut lines: Vec<_> = warnings.map(|text| format!("warning: {text}")).collect();
        let text = match &self.attempt {
            Attempt::NotTried => "not tried".into(),
            Attempt::Failed(error) => format!("nothing was written: {error}"),
            Attempt::Ended(outcome) => outcome_text(outcome),
        };
        lines.push(format!("{}: {text}", self.key));
        lines.join("\n")
    }

    fn json(&self) -> Value {
        let mut json = match &self.attempt {
            Attempt::NotTried => json!({"outcome": "not_tried"}),
            Attempt::Failed(error) => {
                json!({"outcome": "failed", "message": error.to_string()})
            }
            Attempt::Ended(outcome) => outcome_json(outcome),
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

/// Waits until all that was written is in force, and tells everything.
pub(super) fn report(
    session: &Session,
    change: &Change,
    records: &[Written],
    wait: Duration,
) -> Output {
    let mut lines: Vec<_> = records.iter().map(Written::text).collect();
    let mut exit = records.iter().map(Written::exit).max();
    let mut rollout = Value::Null;
    let is_any_stored = records.iter().any(Written::is_stored);
    if is_any_stored && !wait.is_zero() {
        let keys: Vec<_> = records.iter().map(|record| record.key.clone()).collect();
        let report =
            index_of(records).map(|index| RolloutReport::wait(session, index, &keys, wait));
        let text = report
            .as_ref()
            .map_or_else(unseen_text, RolloutReport::text);
        lines.push(text);
        rollout = report.as_ref().map_or(Value::Null, RolloutReport::json);
        let in_force = report
            .as_ref()
            .map_or(Exit::NotInForce, RolloutReport::exit);
        exit = exit.filter(|&exit| exit != Exit::Done).or(Some(in_force));
    }
    let records: Vec<_> = records.iter().map(Written::json).collect();
    let json = json!({"change": change.id, "records": records, "rollout": rollout});
    Output::done(lines.join("\n"), json).exit(exit.unwrap_or(Exit::Done))
}

/// Returns the store index at which all that is stored is in force; `None` when one isn't known.
fn index_of(records: &[Written]) -> Option<StoreIndex> {
    let stored = records.iter().filter(|record| record.is_stored());
    let indexes: Option<Vec<_>> = stored.map(Written::index).collect();
    indexes?.into_iter().max()
}

fn unseen_text() -> String {
    "written, but its store index could not be read, so nobody was asked for it: see `shallottide status`".into()
}

fn applied_text(applied: &Applied) -> String {
    let mut text = format!("applied as revision {}", applied.revision);
    if let Some(index) = applied.index {
        text = format!("{text} at store index {index}");
    }
    if let Some(stamp) = &applied.superseded {
        text = format!("{text}; {stamp} has gone over it since");
    }
    text
}
