//! `check`: validates record files.

use serde_json::{Value, json};
use shallottide::operate::review;
use shallottide::view::ConfigView;

use super::record_file::RecordFile;
use crate::args::{Args, CheckArgs};
use crate::exit::Exit;
use crate::failure::Failure;
use crate::output::Output;
use crate::session::Session;

pub(super) fn run(args: &Args, command: &CheckArgs) -> Result<Output, Failure> {
    if command.files.is_empty() {
        return Err(Failure::argument("no file is named: name record files"));
    }
    let results: Vec<_> = command
        .files
        .iter()
        .map(|path| RecordFile::read(path))
        .collect();
    let mut records = known_records(args)?;
    for file in results.iter().flatten() {
        records.insert(file.record.clone());
    }
    let invalid_count = results.iter().filter(|result| result.is_err()).count();
    let lines: Vec<_> = results
        .iter()
        .map(|result| to_text(result, &records))
        .collect();
    let json: Vec<_> = results
        .iter()
        .map(|result| to_json(result, &records))
        .collect();
    let output = Output::done(lines.join("\n"), json!({"files": json}));
    Ok(if invalid_count > 0 {
        output.with_exit(Exit::BadInput)
    } else {
        output
    })
}

/// Reads the stored records, which files may refer to, or returns none if `--settings` is not
/// given.
fn known_records(args: &Args) -> Result<ConfigView, Failure> {
    if args.settings.is_none() {
        return Ok(ConfigView::default());
    }
    Ok(Session::open(args)?.records()?)
}

fn warnings(file: &RecordFile, records: &ConfigView) -> Vec<String> {
    let warnings = review(&file.document, &file.record, records);
    warnings.iter().map(ToString::to_string).collect()
}

fn to_text(result: &Result<RecordFile, Failure>, records: &ConfigView) -> String {
    match result {
        Ok(file) => {
            let (kind, id) = (file.record.kind(), file.record.id());
            let mut lines = vec![format!("{}: {kind} {id} is valid", file.path.display())];
            let warnings = warnings(file, records);
            lines.extend(
                warnings
                    .iter()
                    .map(|warning| format!("  warning: {warning}")),
            );
            lines.join("\n")
        }
        Err(failure) => failure.to_string(),
    }
}

fn to_json(result: &Result<RecordFile, Failure>, records: &ConfigView) -> Value {
    match result {
        Ok(file) => json!({
            "file": file.path,
            "kind": file.record.kind().to_string(),
            "id": file.record.id(),
            "valid": true,
            "warnings": warnings(file, records),
        }),
        Err(failure) => json!({"valid": false, "error": failure.to_string()}),
    }
}
