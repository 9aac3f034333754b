//! Cases of the third review that are scripts.
//!
//! `review-standins-3 CASE ROOT FOLDER TROUBLE`: the repository, the folder of the case, and 1 or 0
//! for a run with or without the disruption. Exits with 1 if the rule was broken, 0 if it held, and 2
//! if the case could not run.

mod client;
mod engine;
mod http;
mod lines;
mod node;
mod outage;
mod poison;
mod record;
mod server;
mod spoiled;
mod store;

use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::Arc;

use record::Record;
use tokio::signal::unix::{SignalKind, signal};

/// What a case needs.
pub struct Run {
    /// The repository.
    pub root: PathBuf,
    /// A temporary folder.
    pub temporary: PathBuf,
    pub record: Record,
    /// Whether the disruption is played.
    pub has_trouble: bool,
}

/// Whether the rule held.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    Held,
    Broken,
}

type Outcome = Result<Verdict, Box<dyn std::error::Error>>;

fn play(case: &str, run: &Arc<Run>) -> Outcome {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(3)
        .enable_all()
        .build()?;
    runtime.block_on(async {
        let played = async {
            match case {
                "outage" => outage::play(run.clone()).await,
                "poison" => poison::play(run.clone()).await,
                "lines" => lines::play(run.clone()).await,
                "spoiled" => spoiled::play(run.clone()).await,
                other => Err(format!("there is no case {other}").into()),
            }
        };
        let mut terminate = signal(SignalKind::terminate())?;
        let mut interrupt = signal(SignalKind::interrupt())?;
        // Dropping the case ends the processes that it has started.
        tokio::select! {
            outcome = played => outcome,
            _ = terminate.recv() => Err("terminated".into()),
            _ = interrupt.recv() => Err("interrupted".into()),
        }
    })
}

fn prepare(root: &str, folder: &str, trouble: &str) -> std::io::Result<Run> {
    let temporary = std::env::temp_dir().join(format!("review-3-{}", std::process::id()));
    std::fs::create_dir_all(&temporary)?;
    Ok(Run {
        root: Path::new(root).canonicalize()?,
        temporary,
        record: Record::create(Path::new(folder))?,
        has_trouble: trouble != "0",
    })
}

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let [case, root, folder, trouble] = args.as_slice() else {
        eprintln!("usage: review-standins-3 CASE ROOT FOLDER TROUBLE");
        return ExitCode::from(2);
    };
    let run = match prepare(root, folder, trouble) {
        Ok(run) => Arc::new(run),
        Err(error) => {
            eprintln!("the case can't run: {error}");
            return ExitCode::from(2);
        }
    };
    let outcome = play(case, &run);
    if std::env::var_os("KEEP").is_none() {
        // What is left of a temporary folder does no harm.
        let _ = std::fs::remove_dir_all(&run.temporary);
    }
    match outcome {
        Ok(Verdict::Held) => ExitCode::SUCCESS,
        Ok(Verdict::Broken) => ExitCode::from(1),
        Err(error) => {
            eprintln!("the case can't run: {error}");
            ExitCode::from(2)
        }
    }
}
