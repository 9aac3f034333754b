//! `drain` and `restore`: take failure domains and upstreams out of service and put them back.

use std::time::Duration;

use shallottide::operate::{Change, Outcome, review};
use shallottide_types::id::{ChangeId, DomainId, UpstreamId};
use shallottide_types::record::{Document, DomainState, Record, RecordKind, UpstreamState};

use super::write_report::{RecordWrite, WriteAttempt, report};
use crate::args::{Args, DrainArgs, RestoreArgs, Target};
use crate::failure::Failure;
use crate::output::Output;
use crate::session::Session;

/// Change of a record's serving state.
struct StateChange<'a> {
    target: Target,
    id: &'a str,
    /// Whether the target gets new calls after the change.
    accepts_calls: bool,
    change: Option<&'a ChangeId>,
    wait: Duration,
}

pub(super) fn drain(args: &Args, command: &DrainArgs) -> Result<Output, Failure> {
    let request = StateChange {
        target: command.target,
        id: &command.id,
        accepts_calls: false,
        change: command.change.as_ref(),
        wait: command.wait,
    };
    run(args, &request)
}

pub(super) fn restore(args: &Args, command: &RestoreArgs) -> Result<Output, Failure> {
    let request = StateChange {
        target: command.target,
        id: &command.id,
        accepts_calls: true,
        change: command.change.as_ref(),
        wait: command.wait,
    };
    run(args, &request)
}

fn run(args: &Args, request: &StateChange<'_>) -> Result<Output, Failure> {
    let session = Session::open(args)?;
    let change = session.change(request.change)?;
    let (kind, outcome) = match request.target {
        Target::Domain => (RecordKind::Domain, set_domain(&session, request, &change)?),
        Target::Upstream => (
            RecordKind::Upstream,
            set_upstream(&session, request, &change)?,
        ),
    };
    let key = kind.store_key(request.id);
    let write = RecordWrite {
        warnings: warnings(&session, &key),
        key,
        attempt: WriteAttempt::Completed(outcome),
    };
    Ok(report(&session, &change, &[write], request.wait))
}

fn set_domain(
    session: &Session,
    request: &StateChange<'_>,
    change: &Change,
) -> Result<Outcome, Failure> {
    let id: DomainId = request.id.parse().map_err(Failure::argument)?;
    let state = if request.accepts_calls {
        DomainState::Serving
    } else {
        DomainState::Out
    };
    session
        .write(|writer| writer.set_domain_state(&id, state, change))
        .map_err(Failure::NotWritten)
}

fn set_upstream(
    session: &Session,
    request: &StateChange<'_>,
    change: &Change,
) -> Result<Outcome, Failure> {
    let id: UpstreamId = request.id.parse().map_err(Failure::argument)?;
    let state = if request.accepts_calls {
        UpstreamState::Serving
    } else {
        UpstreamState::Leaving
    };
    session
        .write(|writer| writer.set_upstream_state(&id, state, change))
        .map_err(Failure::NotWritten)
}

/// Reviews the record as stored. Returns no warnings if the platform can't be read or the record
/// is not valid.
fn warnings(session: &Session, key: &str) -> Vec<String> {
    use shallottide_types::platform::Platform as _;
    let stored = session.platform.get(key).ok().flatten();
    let document = stored.and_then(|entry| Document::from_json(&entry.value).ok());
    let (Some(document), Ok(records)) = (document, session.records()) else {
        return Vec::new();
    };
    let Ok(record) = Record::from_document(&document) else {
        return Vec::new();
    };
    let warnings = review(&document, &record, &records);
    warnings.iter().map(ToString::to_string).collect()
}
