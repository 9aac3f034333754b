//! `apply`: writes records and waits until they are in force.

use shallottide::operate::{Change, review, review_change};

use super::record_file::RecordFile;
use super::write_report::{RecordWrite, WriteAttempt, report};
use crate::args::{ApplyArgs, Args};
use crate::failure::Failure;
use crate::output::Output;
use crate::session::Session;

pub(super) fn run(args: &Args, command: &ApplyArgs) -> Result<Output, Failure> {
    let files = RecordFile::read_all(&command.files)?;
    if command.if_revision.is_some() && files.len() > 1 {
        return Err(Failure::argument(
            "--if-revision is for one file: apply one at a time",
        ));
    }
    let session = Session::open(args)?;
    let change = session.change(command.change.as_ref())?;
    let change = change.if_revision(command.if_revision);
    let stored = session.records().map_err(Failure::NotWritten)?;
    let mut records = stored.clone();
    for file in &files {
        records.insert(file.record.clone());
    }
    let warnings = |file: &RecordFile| {
        let mut warnings = review(&file.document, &file.record, &records);
        warnings.extend(review_change(&file.document, &file.record, &stored));
        warnings.iter().map(ToString::to_string).collect()
    };
    let writes = write_all(&session, &files, &change, warnings);
    Ok(report(&session, &change, &writes, command.wait))
}

/// Writes the records in order. After the first failure the rest is not tried.
fn write_all(
    session: &Session,
    files: &[RecordFile],
    change: &Change,
    warnings: impl Fn(&RecordFile) -> Vec<String>,
) -> Vec<RecordWrite> {
    let mut writes: Vec<RecordWrite> = Vec::new();
    for file in files {
        let attempt = if writes.iter().all(RecordWrite::is_stored) {
            match session.write(|writer| writer.apply(&file.document, change)) {
                Ok(outcome) => WriteAttempt::Completed(outcome),
                Err(error) => WriteAttempt::Failed(error),
            }
        } else {
            WriteAttempt::NotTried
        };
        writes.push(RecordWrite {
            key: file.record.store_key(),
            warnings: warnings(file),
            attempt,
        });
    }
    writes
}
