//! Cases of the review: each starts entry processes, stand-ins and callers, and checks one rule.
//!
//! `cases NAME FOLDER` runs a case and writes FOLDER/record.txt. Exit code 1: the rule was broken; 0: it
//! held; 2: the case could not run. With `TROUBLE=0` in the environment there is no disruption.

mod cases;
mod client;
mod node;
mod record;
mod server;
mod setting;
mod store;

use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;
use std::time::Duration;

use record::Record;
use tokio::signal::unix::{SignalKind, signal};

/// Longest time that a case may take.
const LIMIT: Duration = Duration::from_secs(115);

/// Why a case could not run.
#[derive(Debug)]
pub struct CannotRun(pub String);

impl From<std::io::Error> for CannotRun {
    fn from(error: std::io::Error) -> Self {
        Self(error.to_string())
    }
}

fn main() -> ExitCode {
    let mut args = std::env::args().skip(1);
    let (Some(name), Some(folder)) = (args.next(), args.next().map(PathBuf::from)) else {
        eprintln!("usage: cases NAME FOLDER");
        return ExitCode::from(2);
    };
    let record = match Record::create(&folder.join("record.txt")) {
        Ok(record) => Arc::new(record),
        Err(error) => {
            eprintln!("cannot write the record: {error}");
            return ExitCode::from(2);
        }
    };
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(4)
        .enable_all()
        .build();
    let Ok(runtime) = runtime else {
        return ExitCode::from(2);
    };
    let result = runtime.block_on(async {
        let mut hangup = signal(SignalKind::hangup())?;
        let mut interrupt = signal(SignalKind::interrupt())?;
        let mut terminate = signal(SignalKind::terminate())?;
        // Dropping the case ends the processes that it started.
        tokio::select! {
            result = cases::run(&name, has_trouble, &record) => result,
            () = tokio::time::sleep(LIMIT) => Err(CannotRun("it took too long".into())),
            _ = hangup.recv() => Err(CannotRun("it was stopped".into())),
            _ = interrupt.recv() => Err(CannotRun("it was stopped".into())),
            _ = terminate.recv() => Err(CannotRun("it was stopped".into())),
        }
    });
    match result {
        Ok(true) => {
            record.say("the rule held");
            ExitCode::SUCCESS
        }
        Ok(false) => {
            record.say("the rule was broken");
            ExitCode::FAILURE
        }
        Err(CannotRun(why)) => {
            record.say(&format!("the case could not run: {why}"));
            ExitCode::from(2)
        }
    }
}
