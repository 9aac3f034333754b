//! `list`: shows the stored records.

use serde_json::{Value, json};
use shallottide::operate::{Stamp, StoredRecord, stored_records};
use shallottide_types::record::{Document, DomainState, Record, UpstreamState};

use crate::args::{Args, ListArgs};
use crate::failure::Failure;
use crate::output::Output;
use crate::session::Session;
use crate::table::Table;

pub(super) fn run(args: &Args, command: &ListArgs) -> Result<Output, Failure> {
    let session = Session::open(args)?;
    let records = stored_records(&session.platform, command.kind)?;
    let mut table = Table::new([
        "KIND", "ID", "SCHEMA", "REVISION", "INDEX", "OPERATOR", "CHANGE", "STATE",
    ]);
    for record in &records {
        table.add_row(&to_cells(record));
    }
    let json: Vec<_> = records.iter().map(to_json).collect();
    Ok(Output::done(table.to_string(), json!({"records": json})))
}

fn to_cells(stored: &StoredRecord) -> [String; 8] {
    let path = stored.key.trim_start_matches(Document::KEY_PREFIX);
    let (kind, id) = path.split_once('/').unwrap_or((path, ""));
    let (schema, stamp, state) = match &stored.content {
        Ok((document, record)) => (
            document.schema().unwrap_or_default().to_string(),
            Some(Stamp::of(document)),
            state(record).to_owned(),
        ),
        Err(error) => ("-".into(), None, error.to_string()),
    };
    let dash = || "-".to_owned();
    let text =
        |field: fn(&Stamp) -> Option<String>| stamp.as_ref().and_then(field).unwrap_or_else(dash);
    [
        kind.into(),
        id.into(),
        schema,
        text(|stamp| Some(stamp.revision.to_string())),
        stored.index.to_string(),
        text(|stamp| stamp.operator.as_ref().map(ToString::to_string)),
        text(|stamp| stamp.change.as_ref().map(ToString::to_string)),
        state,
    ]
}

fn state(record: &Record) -> &'static str {
    match record {
        Record::Domain(domain) if domain.state == DomainState::Out => "out",
        Record::Upstream(upstream) if upstream.state == UpstreamState::Leaving => "leaving",
        Record::Domain(_) | Record::Upstream(_) => "serving",
        _ => "-",
    }
}

fn to_json(stored: &StoredRecord) -> Value {
    match &stored.content {
        Ok((document, _)) => {
            json!({"key": stored.key, "index": stored.index, "record": document.fields()})
        }
        Err(error) => json!({"key": stored.key, "index": stored.index, "error": error.to_string()}),
    }
}
