//! `drain` and `restore`: failure domains and upstreams out and back.

use std::time::Duration;

use shallottide::operate::{Change, Outcome, review};
use shallottide_types::id::{ChangeId, DomainId, UpstreamId};
use shallottide_types::record::{Document, DomainState, Record, RecordKind, UpstreamState};

use super::write_report::{Attempt, Written, report};
use crate::args::{Args, DrainArgs, RestoreArgs, Target};
use crate::failure::Failure;
use crate::output::Output;
use crate::session::Session;

/// Which record to change, and how.
struct Switch<'a> {
    target: Target,
    id: &'a str,
    takes_work: bool,
    change: Option<&'a ChangeId>,
    wait: Duration,
}

pub(super) fn drain(args: &Args, command: &DrainArgs) -> Result<Output, Failure> {
    let switch = Switch {
        target: command.target,
        id: &command.id,
        takes_work: false,
        change: command.change.as_ref(),
        wait: command.wait,
    };
    run(args, &switch)
}

pub(super) fn restore(args: &Args, command: &RestoreArgs) -> Result<Output, Failure> {
    let switch = Switch {
        target: command.target,
        id: &command.id,
        takes_work: true,
        change: command.change.as_ref(),
        wait: command.wait,
    };
    run(args, &switch)
}

fn run(args: &Args, switch: &Switch<'_>) -> Result<Output, Failure> {
    let session = Session::open(args)?;
    let change = session.change(switch.change)?;
    let (kind, outcome) = match switch.target {
        Target::Domain => (RecordKind::Domain, set_domain(&session, switch, &change)?),
        Target::Upstream => (
            RecordKind::Upstream,
            set_upstream(&session, switch, &change)?,
        ),
    };
    let key = kind.store_key(switch.id);
    let written = Written {
        warnings: warnings(&session, &key),
        key,
        attempt: Attempt::Ended(outcome),
    };
    Ok(report(&session, &change, &[written], switch.wait))
}

fn set_domain(session: &Session, switch: &Switch<'_>, change: &Change) -> Result<Outcome, Failure> {
    let id: DomainId = switch.id.parse().map_err(Failure::argument)?;
    let state = if switch.takes_work {
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
    switch: &Switch<'_>,
    change: &Change,
) -> Result<Outcome, Failure> {
    let id: UpstreamId = switch.id.parse().map_err(Failure::argument)?;
    let state = if switch.takes_work {
        UpstreamState::Serving
    } else {
        UpstreamState::Leaving
    };
    session
        .write(|writer| writer.set_upstream_state(&id, state, change))
        .map_err(Failure::NotWritten)
}

/// Reviews the record as stored; without an answer there is nothing to warn of.
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
